#pragma once

#include <plantainward/fleet/table_update.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay
{

/// The bytes of what a host knows and of the news for it, and back; empty
/// optional with a reason when they are damaged.
std::string encode(const fleet::table_versions& one);
std::optional<fleet::table_versions> decode_versions(std::string_view bytes);

std::string encode(const fleet::table_update& one);
std::optional<fleet::table_update> decode_news(std::string_view bytes);

} // namespace plantainward::relay
