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

/// A log point as a token carries it: term, then position.
using token_point = std::pair<std::uint64_t, std::uint64_t>;

/// A group as a token names it: service, then slot.
using token_group = std::pair<std::string, int>;

/// Longest token text that is accepted, in characters.
inline constexpr std::size_t max_token_length = 8192;

/// Most groups that a token carries.
inline constexpr std::size_t max_token_groups = 64;

/// What a session has seen: for each group, the newest confirmed log point.
class token
{
public:
    /// The point seen in a group; zero when none.
    token_point seen(const token_group& group) const;

    /// Raises the point of a group; a lower one changes nothing.
    ///
    /// False when the token is full and the group is new.
    bool merge(const token_group& group, const token_point& point);

    /// Groups with their points.
    const std::map<token_group, token_point>& groups() const
    {
        return m_groups;
    }

private:
    std::map<token_group, token_point> m_groups;
};

/// Writes and reads authenticated tokens.
///
/// The first key signs; every key verifies, so keys can be rotated.
class token_codec
{
public:
    /// Fails when there is no key or one is shorter than 16 bytes.
    static std::optional<token_codec> create(std::vector<std::string> keys);

    /// The text form of a token.
    std::string encode(const token& one) const;

    /// Empty optional with a reason when malformed, oversize or forged.
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
