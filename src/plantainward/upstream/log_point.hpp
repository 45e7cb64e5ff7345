#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace plantainward::upstream
{

/// Number of the period in which one database is a group's primary; grows with
/// each promotion.
using term_number = std::uint64_t;

/// Number of entries in a group's log.
using log_position = std::uint64_t;

/// The end of a log: the term of its last entry, then its length.
///
/// Logs are compared by term, then by length, and never by length alone.
struct log_point
{
    term_number term{0};
    log_position position{0};

    // clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const log_point&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, position);
    }
};

/// Formats a log point as "term/position", for logs and reports.
inline std::string to_string(const log_point& point)
{
    return std::to_string(point.term) + "/" + std::to_string(point.position);
}

} // namespace plantainward::upstream
