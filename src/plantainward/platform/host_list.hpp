#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/platform/reply.hpp>

#include <concepts>
#include <string>
#include <vector>

namespace plantainward::platform
{

/// The platform's list of hosts, which may be minutes old.
struct listed_hosts
{
    /// Hosts that run a proxy.
    std::vector<core::host> proxies;
    /// Addresses of upstreams that are about to leave.
    std::vector<core::address> leaving_upstreams;
};

/// The platform's lagging list of live and leaving hosts.
template <class T>
concept host_list = requires(T& t, reply_handler<listed_hosts> handler)
{
    t.list_hosts(handler);
};

} // namespace plantainward::platform
