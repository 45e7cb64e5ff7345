#include <plantainward/daemon/routing_table.hpp>

#include <plantainward/core/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::daemon
{

std::vector<core::host> service_route::watchers() const
{
    auto hosts = ranked;
    hosts.resize(std::min(hosts.size(), watchers_per_service));
    return hosts;
}

routing_table::routing_table(const intent::routing_intent& intent,
                             const std::vector<core::host>& live)
{
    for (const auto& host : live)
        m_hosts[host.name] = host;
    for (const auto& service : intent.services)
    {
        auto ranked =
            core::rank_hosts(service.layout.name, live, watchers_per_service);
        ranked.resize(std::min(ranked.size(), ranked_per_service));
        ranked.shrink_to_fit();
        m_routes[service.layout.name] = {service, std::move(ranked)};
    }
}

const service_route* routing_table::find(const std::string& service) const
{
    const auto found = m_routes.find(service);
    return found == m_routes.end() ? nullptr : &found->second;
}

const core::host* routing_table::host_named(const std::string& name) const
{
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() ? nullptr : &found->second;
}

} // namespace plantainward::daemon
