#pragma once

#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainward::session
{

/// A log point in a token: term, then position.
using token_point = std::pair<std::uint64_t, std::uint64_t>;

/// A group in a token: service, then slot.
using token_group = std::pair<std::string, int>;

/// Maximum length of a token's text, in characters.
inline constexpr std::size_t max_token_length = 8192;

/// Maximum number of groups in a token.
inline constexpr std::size_t max_token_groups = 64;

/// The log points that a session has seen: the newest confirmed one of each
/// group.
class token
{
public:
    /// The log point seen in a group; zero when there is none.
    token_point seen(const token_group& group) const;

    /// Raises the log point of a group; a lower one changes nothing.
    ///
    /// Returns false and changes nothing when the group is new and the token
    /// has `max_token_groups` groups.
    bool merge(const token_group& group, const token_point& point);

    /// The groups with their log points.
    const std::map<token_group, token_point>& groups() const
    {
        return m_groups;
    }

private:
    std::map<token_group, token_point> m_groups;
};

/// Encodes and decodes authenticated tokens.
///
/// The first key signs. All keys verify, so that keys can be rotated.
class token_codec
{
public:
    /// Makes a codec; empty with an error when there is no key or a key is
    /// shorter than 16 bytes.
    static std::optional<token_codec> create(std::vector<std::string> keys);

    /// The signed text of a token.
    std::string encode(const token& token) const;

    /// The token of a text; empty with an error when the text is too long,
    /// malformed, damaged or forged.
    std::optional<token> decode(std::string_view text) const;

private:
    explicit token_codec(std::vector<std::string> keys)
        : m_keys(std::move(keys))
    {
    }

    bool is_authentic(std::string_view payload, std::string_view mac) const;

    std::vector<std::string> m_keys;
};

} // namespace plantainward::session
