#pragma once

#include <plantainward/platform/reply.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace plantainward::platform
{

/// A row of the table service; version 0: there is no row.
struct table_row
{
    std::string value;
    std::uint64_t version{0};
};

/// The platform's table service. `compare_and_set` writes a row only when it
/// has the expected version, and ends as `conflict` otherwise.
template <class T>
concept table_service = requires(T& t, const std::string& name,
                                 std::uint64_t expected_version,
                                 const std::string& value,
                                 reply_handler<table_row> handler)
{
    t.read_row(name, handler);
    t.compare_and_set(name, expected_version, value, handler);
};

} // namespace plantainward::platform
