#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/intent/routing_intent.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace plantainward::daemon
{

/// Number of hosts that watch each service; the first of them coordinates it.
inline constexpr std::size_t watchers_per_service = 3;

/// Number of hosts kept for each service. A gateway tries them in order when a
/// coordinator can't be reached.
inline constexpr std::size_t ranked_per_service = 8;

/// The settings of one service and the hosts that serve it.
struct service_route
{
    intent::service_intent intent;
    /// The hosts in the order in which they coordinate the service, at most
    /// `ranked_per_service`. The watchers among them are in different failure
    /// domains when there are enough.
    std::vector<core::host> ranked;

    /// The first `watchers_per_service` hosts.
    std::vector<core::host> watchers() const;
};

/// The route of each service, computed from an intent and the live hosts;
/// immutable.
class routing_table
{
public:
    routing_table() = default;
    routing_table(const intent::routing_intent& intent,
                  const std::vector<core::host>& live);

    /// The route of a service, or null.
    const service_route* find(const std::string& service) const;

    const std::map<std::string, service_route>& routes() const
    {
        return m_routes;
    }

    /// The live host with a name, or null.
    const core::host* host_named(const std::string& name) const;

    /// Number of live hosts.
    std::size_t hosts() const { return m_hosts.size(); }

private:
    std::map<std::string, service_route> m_routes;
    std::map<std::string, core::host> m_hosts;
};

} // namespace plantainward::daemon
