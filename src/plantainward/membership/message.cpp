#include <plantainward/membership/message.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace plantainward::membership
{

namespace
{

constexpr char protocol_version = 1;
constexpr std::size_t mac_bytes = 8;
constexpr std::size_t header_bytes = 1 + mac_bytes;

} // namespace

std::string message_codec::encode(const message& datagram) const
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(datagram);
    }
    const auto payload = out.str();
    return std::string(1, protocol_version) +
           core::hmac_sha256(m_key, payload).substr(0, mac_bytes) + payload;
}

std::optional<message> message_codec::decode(std::string_view bytes) const
{
    using core::error_kind;
    if (bytes.size() > max_datagram_bytes || bytes.size() <= header_bytes)
        return core::fail(error_kind::bad_request, "datagram of a wrong size");
    if (bytes.front() != protocol_version)
        return core::fail(error_kind::bad_request,
                          "datagram of another version");
    const auto payload = bytes.substr(header_bytes);
    if (!core::equal_in_constant_time(
            core::hmac_sha256(m_key, payload).substr(0, mac_bytes),
            bytes.substr(1, mac_bytes)))
        return core::fail(error_kind::bad_request, "datagram with a wrong key");
    try
    {
        std::istringstream in{std::string(payload)};
        cereal::PortableBinaryInputArchive archive(in);
        message datagram;
        archive(datagram);
        return datagram;
    }
    catch (const std::exception&)
    {
        return core::fail(error_kind::bad_request, "malformed datagram");
    }
}

} // namespace plantainward::membership
