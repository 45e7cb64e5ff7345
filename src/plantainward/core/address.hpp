#pragma once

#include <plantainward/core/host.hpp>

#include <optional>
#include <string_view>

namespace plantainward::core
{

/// Parses "ip:port"; empty optional with a reason when malformed.
std::optional<address> parse_address(std::string_view text);

} // namespace plantainward::core
