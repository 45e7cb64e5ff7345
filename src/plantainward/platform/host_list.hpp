#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/platform/reply.hpp>

#include <concepts>
#include <string>
#include <vector>

namespace plantainward::platform
{

/// Content of the platform's list of hosts, which may be minutes old.
struct listed_hosts
{
    /// Hosts that run a proxy.
    std::vector<core::host> proxies;
    /// Addresses of upstreams that are about to leave.
    std::vector<core::address> leaving_upstreams;
};

/// The platform's service that lists live and leaving hosts. The reply may be
/// minutes old.
template <class T>
concept host_list = requires(T& t, reply_handler<listed_hosts> handler)
{
    t.list_hosts(handler);
};

} // namespace plantainward::platform
