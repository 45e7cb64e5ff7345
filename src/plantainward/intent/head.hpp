#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::intent
{

/// Name of the table row that says which revision is in force.
inline constexpr std::string_view head_row = "plantainward-head";

/// The accepted revision: its number is the version of the head row.
struct head
{
    std::uint64_t revision{0};
    /// SHA-256 of the body, under which the object store keeps it.
    std::string digest;
    /// Unique id of the write that set the row.
    std::string writer;
    /// Who applied it, and when, as text.
    std::string author;

    bool operator==(const head&) const = default;
};

/// The value of the head row, without the revision.
std::string encode(const head& one);

/// The head in a row's value at a version; empty optional when malformed.
std::optional<head> decode_head(std::string_view value, std::uint64_t version);

} // namespace plantainward::intent
