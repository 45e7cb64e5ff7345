#pragma once

#include <plantainward/platform/host_list.hpp>
#include <plantainward/platform/table_service.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON texts of the platform's protocol. Decoders give an empty optional with
/// a reason when a text is malformed.
namespace plantainward::platform::wire
{

std::string encode(const table_row& row);
std::optional<table_row> decode_row(std::string_view text);

std::string encode(const listed_hosts& hosts);
std::optional<listed_hosts> decode_hosts(std::string_view text);

} // namespace plantainward::platform::wire
