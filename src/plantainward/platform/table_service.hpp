#pragma once

#include <plantainward/platform/reply.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace plantainward::platform
{

/// A row of the table service with its version; version 0 means absent.
struct table_row
{
    std::string value;
    std::uint64_t version{0};
};

/// The platform's transactional table service.
template <class T>
concept table_service = requires(T& t, const std::string& name,
                                 std::uint64_t expected,
                                 const std::string& value,
                                 reply_handler<table_row> handler)
{
    t.read_row(name, handler);
    t.compare_and_set(name, expected, value, handler);
};

} // namespace plantainward::platform
