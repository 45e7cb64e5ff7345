#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/intent/routing_intent.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace plantainward::daemon
{

/// Hosts that watch each service; the first one coordinates it.
inline constexpr std::size_t watchers_per_service = 3;

/// Hosts kept for each service, to fall back on one after the other.
inline constexpr std::size_t ranked_per_service = 8;

/// Who serves one service.
struct service_route
{
    intent::service_intent intent;
    /// The first hosts in the order in which they coordinate; those that watch
    /// are in different failure domains.
    std::vector<core::host> ranked;

    /// The first hosts, which watch.
    std::vector<core::host> watchers() const;
};

/// The routes that follow from an intent and the live hosts; immutable.
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

    /// A live host by its name, or null.
    const core::host* host_named(const std::string& name) const;

    std::size_t hosts() const { return m_hosts.size(); }

private:
    std::map<std::string, service_route> m_routes;
    std::map<std::string, core::host> m_hosts;
};

} // namespace plantainward::daemon
