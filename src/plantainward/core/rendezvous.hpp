#pragma once

#include <plantainward/core/host.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace plantainward::core
{

/// The hosts in the order in which rendezvous hashing prefers them for a key.
///
/// The first `spread` places take distinct failure domains while there are
/// enough of them, so that the loss of one domain takes one of these hosts.
std::vector<host> rank_hosts(std::string_view key, std::vector<host> hosts,
                             std::size_t spread);

} // namespace plantainward::core
