#pragma once

#include <plantainward/core/host.hpp>

#include <optional>
#include <string_view>

namespace plantainward::core
{

/// Parses "ip:port"; empty optional with an error when malformed. The ip part
/// is not checked.
std::optional<address> parse_address(std::string_view text);

} // namespace plantainward::core
