#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::intent
{

/// Name of the table row that holds the accepted revision.
inline constexpr std::string_view head_row = "plantainward-head";

/// The accepted revision: its number is the version of the head row.
struct head
{
    std::uint64_t revision{0};
    /// SHA-256 of the body, under which the object store keeps it.
    std::string digest;
    /// Unique id of the write that set the row.
    std::string writer;
    /// The operator who applied it and the time, as text.
    std::string author;

    bool operator==(const head&) const = default;
};

/// The value of the head row, without the revision.
std::string encode(const head& current);

/// The head in the value and version of a row; empty optional with an error
/// when malformed.
std::optional<head> decode_head(std::string_view value, std::uint64_t version);

} // namespace plantainward::intent
