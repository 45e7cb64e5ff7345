#include <plantainward/daemon/service_directory.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::daemon
{

namespace
{

/// Size of the range of connection numbers that each coordinator gets, so that
/// numbers of different coordinators never meet in the gate.
constexpr upstream::connection_number connection_block = 1ULL << 40U;

/// Time without a request after which a coordinator on a host that is not the
/// first of its service ends.
constexpr core::millis unused_coordinator_timeout{10'000};

/// Parts of a database's connections for the first host of a service and for a
/// host that coordinates it because its view of the members differs; together
/// they stay within the database's limit.
constexpr double first_share = 0.7;
constexpr double other_share = 0.3;

} // namespace

service_directory::service_directory(upstream::http_gate& gate,
                                     telemetry outputs,
                                     const settings::settings& options,
                                     std::string instance, std::string secret,
                                     opinion_broadcast broadcast)
    : m_gate(gate), m_telemetry(outputs), m_options(options),
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
    auto coordinator_instance =
        std::make_shared<coordinator_shell<upstream::http_gate>>(
            m_gate, m_telemetry, effective_layout(route), std::move(options),
            [this, service = route.intent.layout.name](std::size_t database) {
                if (const auto monitor = monitor_of(service))
                    monitor->on_suspect_report(database);
            });
    coordinator_instance->set_share(share_of(route));
    return coordinator_instance;
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
        m_gate, m_telemetry, effective_layout(route), std::move(options),
        [this, service](const failover::opinion& opinion) {
            const auto table = routes();
            if (const auto* current_route = table->find(service))
                m_broadcast(current_route->watchers(), opinion);
        },
        [this, service](std::size_t database,
                        const upstream::database_status& status,
                        core::instant sent) {
            coordinator_ptr coordinator;
            {
                const lock_type lock(m_mutex);
                const auto found = m_coordinators.find(service);
                if (found != m_coordinators.end())
                    coordinator = found->second;
            }
            if (coordinator)
                coordinator->on_status(database, status, sent);
        });
}

void service_directory::set_routes(std::shared_ptr<const routing_table> routes)
{
    {
        const lock_type lock(m_mutex);
        m_routes = std::move(routes);
        m_routes_set_at = core::steady::now();
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
    const bool needs_restart = coordinator && !coordinator->set_layout(layout);
    const auto watchers = route.watchers();
    std::vector<std::string> names;
    names.reserve(watchers.size());
    for (const auto& watcher : watchers)
        names.push_back(watcher.name);
    const bool is_watcher =
        std::find(names.begin(), names.end(), m_host) != names.end();
    const bool is_first = !names.empty() && names.front() == m_host;
    {
        const lock_type lock(m_mutex);
        if (needs_restart)
        {
            coordinator->start_drain();
            m_retiring.push_back(coordinator);
            m_coordinators.erase(name);
            m_monitors.erase(name);
            coordinator.reset();
        }
        if (!coordinator && is_first && !m_draining)
            coordinator = m_coordinators[name] = make_coordinator(route);
        if (!is_watcher)
            m_monitors.erase(name);
        else if (!m_monitors.contains(name))
            m_monitors[name] = make_monitor(route);
        if (is_watcher)
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

// Ends coordinators that ran here in place of another host and are not used.
void service_directory::retire_unused()
{
    const auto now = core::steady::now();
    for (auto it = m_coordinators.begin(); it != m_coordinators.end();)
    {
        const bool is_unused = it->second->read([&](const auto& coordinator) {
            return !coordinator.is_busy() &&
                   now - std::max(coordinator.last_request(), m_routes_set_at) >
                       unused_coordinator_timeout;
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
        std::erase_if(m_retiring, [](const auto& shell) {
            if (shell->is_busy())
                return false;
            shell->close_connections();
            return true;
        });
        coordinators = m_retiring;
        for (const auto& [name, shell] : m_coordinators)
            coordinators.push_back(shell);
        for (const auto& [name, shell] : m_monitors)
            monitors.push_back(shell);
    }
    for (const auto& shell : coordinators)
        shell->tick();
    for (const auto& shell : monitors)
        shell->tick();
}

void service_directory::start_drain()
{
    const lock_type lock(m_mutex);
    m_draining = true;
    for (const auto& [name, coordinator] : m_coordinators)
        coordinator->start_drain();
}

bool service_directory::is_busy() const
{
    const auto running = coordinators();
    return std::any_of(running.begin(), running.end(),
                       [](const auto& item) { return item.second->is_busy(); });
}

} // namespace plantainward::daemon
