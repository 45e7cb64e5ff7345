#include <plantainward/daemon/service_directory.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::daemon
{

namespace
{

/// Connection numbers that one coordinator may use.
constexpr upstream::connection_number connection_block = 1ULL << 40U;

/// Part of a database's connections for the host that coordinates, and for
/// one that only believes so; together they stay within the limit.
constexpr core::millis unused_time{10'000};
constexpr double first_share = 0.7;
constexpr double other_share = 0.3;

} // namespace

service_directory::service_directory(upstream::http_gate& gate, observers seen,
                                     const settings::settings& options,
                                     std::string instance, std::string secret,
                                     opinion_broadcast broadcast)
    : m_gate(gate), m_seen(seen), m_options(options),
      m_instance(std::move(instance)), m_host(options.text("host-name")),
      m_secret(std::move(secret)), m_broadcast(std::move(broadcast))
{
}

std::shared_ptr<const routing_table> service_directory::routes() const
{
    const lock_type lock(m_mutex);
    return m_routes;
}

upstream::service_layout
service_directory::effective_layout(const service_route& route) const
{
    auto layout = route.intent.layout;
    for (auto& database : layout.databases)
        database.leaving =
            database.leaving || m_leaving.contains(database.address);
    return layout;
}

double service_directory::share_of(const service_route& route) const
{
    if (route.ranked.size() <= 1)
        return 1;
    return route.ranked.front().name == m_host ? first_share : other_share;
}

service_directory::coordinator_ptr
service_directory::make_coordinator(const service_route& route)
{
    coordinator::coordinator_options options;
    options.instance = m_instance;
    options.secret = m_secret;
    options.first_connection = connection_block * m_next_block++;
    options.queue_timeout = m_options.duration("queue-ms");
    options.queue_capacity =
        static_cast<std::size_t>(m_options.number("queue-capacity"));
    options.near_replica_timeout = m_options.duration("near-replica-wait-ms");
    options.transaction_idle_timeout =
        m_options.duration("transaction-idle-ms");
    auto made = std::make_shared<coordinator_shell<upstream::http_gate>>(
        m_gate, m_seen, effective_layout(route), std::move(options),
        [this, service = route.intent.layout.name](std::size_t database) {
            if (const auto monitor = monitor_of(service))
                monitor->hint(database);
        });
    made->set_share(share_of(route));
    return made;
}

service_directory::monitor_ptr
service_directory::make_monitor(const service_route& route)
{
    failover::failover_options options;
    options.claimant = m_instance;
    options.probe_interval = m_options.duration("probe-interval-ms");
    options.silence_timeout = m_options.duration("silence-ms");
    const auto service = route.intent.layout.name;
    return std::make_shared<monitor_shell<upstream::http_gate>>(
        m_gate, m_seen, effective_layout(route), std::move(options),
        [this, service](const failover::opinion& what) {
            const auto table = routes();
            if (const auto* route_now = table->find(service))
                m_broadcast(route_now->watchers(), what);
        },
        [this, service](std::size_t database,
                        const upstream::database_status& status,
                        core::instant sent) {
            coordinator_ptr one;
            {
                const lock_type lock(m_mutex);
                const auto found = m_coordinators.find(service);
                if (found != m_coordinators.end())
                    one = found->second;
            }
            if (one)
                one->take_status(database, status, sent);
        });
}

void service_directory::set_routes(std::shared_ptr<const routing_table> routes)
{
    {
        const lock_type lock(m_mutex);
        m_routes = std::move(routes);
        m_routes_since = core::steady::now();
    }
    apply_routes();
}

void service_directory::set_leaving(std::set<core::address> leaving)
{
    {
        const lock_type lock(m_mutex);
        if (leaving == m_leaving)
            return;
        m_leaving = std::move(leaving);
    }
    apply_routes();
}

void service_directory::apply_routes()
{
    const auto table = routes();
    for (const auto& [name, route] : table->routes())
        update_service(route);
    const lock_type lock(m_mutex);
    const auto is_gone = [&](const auto& item) {
        return table->find(item.first) == nullptr;
    };
    for (const auto& item : m_coordinators)
    {
        if (!is_gone(item))
            continue;
        item.second->start_drain();
        m_retiring.push_back(item.second);
    }
    std::erase_if(m_coordinators, is_gone);
    std::erase_if(m_monitors, is_gone);
}

void service_directory::update_service(const service_route& route)
{
    const auto& name = route.intent.layout.name;
    coordinator_ptr coordinator;
    monitor_ptr monitor;
    upstream::service_layout layout;
    {
        const lock_type lock(m_mutex);
        layout = effective_layout(route);
        const auto found = m_coordinators.find(name);
        if (found != m_coordinators.end())
            coordinator = found->second;
    }
    const bool is_changed = coordinator && !coordinator->set_layout(layout);
    const auto watchers = route.watchers();
    std::vector<std::string> names;
    names.reserve(watchers.size());
    for (const auto& one : watchers)
        names.push_back(one.name);
    const bool watches =
        std::find(names.begin(), names.end(), m_host) != names.end();
    const bool is_first = !names.empty() && names.front() == m_host;
    {
        const lock_type lock(m_mutex);
        if (is_changed)
        {
            coordinator->start_drain();
            m_retiring.push_back(coordinator);
            m_coordinators.erase(name);
            m_monitors.erase(name);
            coordinator.reset();
        }
        if (!coordinator && is_first && !m_draining)
            coordinator = m_coordinators[name] = make_coordinator(route);
        if (!watches)
            m_monitors.erase(name);
        else if (!m_monitors.contains(name))
            m_monitors[name] = make_monitor(route);
        if (watches)
            monitor = m_monitors[name];
    }
    if (coordinator)
        coordinator->set_share(share_of(route));
    if (monitor)
    {
        monitor->set_watchers(names, m_host);
        monitor->set_layout(layout);
    }
}

service_directory::coordinator_ptr
service_directory::coordinator_of(const std::string& service)
{
    const lock_type lock(m_mutex);
    const auto found = m_coordinators.find(service);
    if (found != m_coordinators.end())
        return found->second;
    const auto* route = m_routes->find(service);
    if (route == nullptr)
        return {};
    return m_coordinators[service] = make_coordinator(*route);
}

service_directory::monitor_ptr
service_directory::monitor_of(const std::string& service) const
{
    const lock_type lock(m_mutex);
    const auto found = m_monitors.find(service);
    return found == m_monitors.end() ? monitor_ptr{} : found->second;
}

std::map<std::string, service_directory::coordinator_ptr>
service_directory::coordinators() const
{
    const lock_type lock(m_mutex);
    return m_coordinators;
}

bool service_directory::is_first(const std::string& service) const
{
    const auto* route = m_routes->find(service);
    return route != nullptr && !route->ranked.empty() &&
           route->ranked.front().name == m_host;
}

// A coordinator that stood in for another host ends when it is not needed.
void service_directory::retire_unused()
{
    const auto now = core::steady::now();
    for (auto it = m_coordinators.begin(); it != m_coordinators.end();)
    {
        const bool is_unused = it->second->read([&](const auto& coordinator) {
            return !coordinator.is_busy() &&
                   now - std::max(coordinator.last_request(), m_routes_since) >
                       unused_time;
        });
        if (!is_unused || is_first(it->first))
        {
            ++it;
            continue;
        }
        it->second->start_drain();
        m_retiring.push_back(it->second);
        it = m_coordinators.erase(it);
    }
}

void service_directory::tick()
{
    std::vector<coordinator_ptr> coordinators;
    std::vector<monitor_ptr> monitors;
    {
        const lock_type lock(m_mutex);
        retire_unused();
        std::erase_if(m_retiring, [](const auto& one) {
            if (one->is_busy())
                return false;
            one->close_connections();
            return true;
        });
        coordinators = m_retiring;
        for (const auto& [name, one] : m_coordinators)
            coordinators.push_back(one);
        for (const auto& [name, one] : m_monitors)
            monitors.push_back(one);
    }
    for (const auto& one : coordinators)
        one->tick();
    for (const auto& one : monitors)
        one->tick();
}

void service_directory::start_drain()
{
    const lock_type lock(m_mutex);
    m_draining = true;
    for (const auto& [name, one] : m_coordinators)
        one->start_drain();
}

bool service_directory::is_busy() const
{
    const auto all = coordinators();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& item) { return item.second->is_busy(); });
}

} // namespace plantainward::daemon
