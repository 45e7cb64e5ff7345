#pragma once

#include <plantainward/daemon/coordinator_shell.hpp>
#include <plantainward/daemon/monitor_shell.hpp>
#include <plantainward/daemon/routing_table.hpp>
#include <plantainward/settings/settings.hpp>
#include <plantainward/upstream/http_gate.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace plantainward::daemon
{

/// Sends an opinion to the given hosts.
using opinion_broadcast = std::function<void(const std::vector<core::host>&,
                                             const failover::opinion&)>;

/// The coordinators and monitors that run on this host, by service.
///
/// The routing table determines what runs here. A coordinator also starts when
/// a request for its service arrives, since another host's view may differ.
class service_directory
{
public:
    using coordinator_ptr =
        std::shared_ptr<coordinator_shell<upstream::http_gate>>;
    using monitor_ptr = std::shared_ptr<monitor_shell<upstream::http_gate>>;

    service_directory(upstream::http_gate& gate, telemetry outputs,
                      const settings::settings& options, std::string instance,
                      std::string secret, opinion_broadcast broadcast);

    /// Applies new routes: starts, updates and stops coordinators and monitors.
    void set_routes(std::shared_ptr<const routing_table> routes);

    /// The routes in force.
    std::shared_ptr<const routing_table> routes() const;

    /// Sets the addresses of the upstreams that the platform lists as leaving.
    void set_leaving(std::set<core::address> leaving);

    /// The coordinator of a service, started if none runs; null when there is
    /// no route for the service.
    coordinator_ptr coordinator_of(const std::string& service);

    /// The monitor of a service, or null.
    monitor_ptr monitor_of(const std::string& service) const;

    /// All coordinators that run here, by service.
    std::map<std::string, coordinator_ptr> coordinators() const;

    /// Runs the timers of all that runs here and stops coordinators that are no
    /// longer needed.
    void tick();

    /// Makes all coordinators refuse new requests.
    void start_drain();

    /// Whether any coordinator of the routes has unfinished requests.
    bool is_busy() const;

private:
    using lock_type = std::lock_guard<std::mutex>;

    upstream::service_layout effective_layout(const service_route& route) const;
    coordinator_ptr make_coordinator(const service_route& route);
    monitor_ptr make_monitor(const service_route& route);
    double share_of(const service_route& route) const;
    bool is_first(const std::string& service) const;
    void retire_unused();
    void update_service(const service_route& route);
    void apply_routes();

    upstream::http_gate& m_gate;
    telemetry m_telemetry;
    const settings::settings& m_options;
    std::string m_instance;
    std::string m_host;
    std::string m_secret;
    opinion_broadcast m_broadcast;
    mutable std::mutex m_mutex;
    std::shared_ptr<const routing_table> m_routes{
        std::make_shared<const routing_table>()};
    core::instant m_routes_set_at;
    std::set<core::address> m_leaving;
    std::map<std::string, coordinator_ptr> m_coordinators;
    std::map<std::string, monitor_ptr> m_monitors;
    /// Coordinators that were replaced or are no longer needed; each is removed
    /// when its requests are finished.
    std::vector<coordinator_ptr> m_retiring;
    upstream::connection_number m_next_block{1};
    bool m_draining{false};
};

} // namespace plantainward::daemon
