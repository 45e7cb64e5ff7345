#pragma once

#include <plantainward/core/host.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace plantainward::core
{

/// Orders the hosts by their rendezvous hash for a key, best first.
///
/// The first `domain_count` hosts are in distinct failure domains if there are
/// that many, so that the loss of one domain affects only one of them.
std::vector<host> rank_hosts(std::string_view key, std::vector<host> hosts,
                             std::size_t domain_count);

} // namespace plantainward::core
