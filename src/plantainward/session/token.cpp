#include <plantainward/session/token.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <algorithm>
#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>

namespace plantainward::session
{

namespace
{

constexpr std::string_view version_prefix = "pw1.";
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t min_key_bytes = 16;

std::string mac_of(const std::string& key, std::string_view payload)
{
    std::string signed_text(version_prefix);
    signed_text += payload;
    return core::hmac_sha256(key, signed_text).substr(0, mac_bytes);
}

std::optional<token> parse(const std::string& payload)
{
    std::map<token_group, token_point> groups;
    std::istringstream in(payload);
    cereal::PortableBinaryInputArchive archive(in);
    archive(groups);
    token result;
    for (const auto& [group, point] : groups)
        if (!result.merge(group, point))
            return std::nullopt;
    return result;
}

} // namespace

token_point token::seen(const token_group& group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? token_point{} : found->second;
}

bool token::merge(const token_group& group, const token_point& point)
{
    if (m_groups.size() >= max_token_groups && !m_groups.contains(group))
        return false;
    auto& known_point = m_groups[group];
    known_point = std::max(known_point, point);
    return true;
}

std::optional<token_codec> token_codec::create(std::vector<std::string> keys)
{
    if (keys.empty())
        return core::fail(core::error_kind::bad_setting, "no token key");
    for (const auto& key : keys)
        if (key.size() < min_key_bytes)
            return core::fail(core::error_kind::bad_setting,
                              "a token key is shorter than 16 bytes");
    return token_codec(std::move(keys));
}

std::string token_codec::encode(const token& token) const
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(token.groups());
    }
    const auto payload = out.str();
    return std::string(version_prefix) +
           core::base64url_encode(mac_of(m_keys.front(), payload) + payload);
}

bool token_codec::is_authentic(std::string_view payload,
                               std::string_view mac) const
{
    return std::any_of(
        m_keys.begin(), m_keys.end(), [&](const std::string& key) {
            return core::equal_in_constant_time(mac_of(key, payload), mac);
        });
}

std::optional<token> token_codec::decode(std::string_view text) const
{
    using core::error_kind;
    if (text.size() > max_token_length)
        return core::fail(error_kind::bad_token, "the token is too long");
    if (!text.starts_with(version_prefix))
        return core::fail(error_kind::bad_token,
                          "the token has an unknown version");
    const auto bytes =
        core::base64url_decode(text.substr(version_prefix.size()));
    if (!bytes || bytes->size() < mac_bytes)
        return core::fail(error_kind::bad_token, "the token is malformed");
    const auto payload = bytes->substr(mac_bytes);
    if (!is_authentic(payload, std::string_view(*bytes).substr(0, mac_bytes)))
        return core::fail(error_kind::bad_token,
                          "the token is forged or damaged");
    try
    {
        if (auto result = parse(payload))
            return result;
    }
    catch (const std::exception&)
    {
    }
    return core::fail(error_kind::bad_token, "the token is malformed");
}

} // namespace plantainward::session
