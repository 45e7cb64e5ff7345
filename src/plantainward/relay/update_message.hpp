#pragma once

#include <plantainward/fleet/fleet_news.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay
{

/// The bytes of what a host knows and of the news for it, and back; empty
/// optional with a reason when they are damaged.
std::string encode(const fleet::news_versions& one);
std::optional<fleet::news_versions> decode_versions(std::string_view bytes);

std::string encode(const fleet::fleet_news& one);
std::optional<fleet::fleet_news> decode_news(std::string_view bytes);

} // namespace plantainward::relay
