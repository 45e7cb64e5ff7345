#pragma once

#include <database/database.hpp>

#include <plantainward/coordinator/service_coordinator.hpp>
#include <plantainward/daemon/forwarding.hpp>
#include <plantainward/failover/failover_monitor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace support
{

namespace core = plantainward::core;
namespace coordinator = plantainward::coordinator;
namespace failover = plantainward::failover;
namespace upstream = plantainward::upstream;
namespace daemon = plantainward::daemon;
namespace observe = plantainward::observe;

using reply_handler = std::function<void(const coordinator::caller_reply&)>;

/// Size, timing and randomness of a simulation.
struct simulation_options
{
    std::uint64_t seed{1};
    int hosts{2};
    int slots{1};
    std::size_t connections{8};
    /// Longest delay of a message in one direction.
    core::millis longest_delay{4};
    upstream::acknowledgement acknowledge{upstream::acknowledgement::replica};
};

/// Runs the coordinators and failover monitors of a few hosts against in-memory
/// databases, with a simulated clock and network.
///
/// All random choices come from the seed.
class simulation
{
public:
    explicit simulation(const simulation_options& options);

    core::instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    /// Runs all scheduled events until this much simulated time has passed.
    void run_for(core::millis duration);

    /// Runs until a condition holds; false when the time-out passes first.
    bool run_until(const std::function<bool()>& condition,
                   core::millis timeout);

    /// Schedules a function.
    void after(core::millis delay, std::function<void()> callback);

    /// Sends a request through the gateway of a host.
    void send(int gateway, coordinator::caller_request request,
              reply_handler handler);

    /// Sends a request and runs the simulation until the reply arrives.
    coordinator::caller_reply
    send_and_wait(int gateway, const coordinator::caller_request& request);

    // Faults: `true` starts one and `false` ends it.
    /// Drops all messages between a host and a database.
    void cut(int host, int database, bool is_cut);
    /// Stops replication from and to a database.
    void cut_replication(int database, bool is_cut);
    /// Defers everything that reaches a database until it is unfrozen.
    void freeze_database(int database, bool frozen);
    /// Refuses all connections and ends the sessions of a database; its log
    /// survives.
    void kill_database(int database);
    void restart_database(int database);
    /// Defers all events of a host.
    void pause_host(int host, core::millis duration);
    /// Ends a host with its connections and starts it again as a new
    /// incarnation.
    void kill_host(int host);
    void set_lag(int database, core::millis lag);
    /// Drops the next answer of a database, after it has run the order.
    void lose_next_answer(int database);
    void set_leaving(int database, bool leaving);
    /// Ends all faults but leaving, and runs until the groups have recovered.
    void heal();

    // State.
    standin::database& database(int index)
    {
        return *m_databases[index].backend;
    }
    coordinator::service_coordinator& coordinator_at(int host)
    {
        return *m_hosts[host].coordinator;
    }
    failover::failover_monitor& monitor_at(int host)
    {
        return *m_hosts[host].monitor;
    }
    /// The database that is primary at the highest term; empty when there is
    /// none.
    std::optional<int> primary(int slot = 0) const;
    int promotions() const { return m_promotions; }
    std::size_t orders_run(int database) const
    {
        return m_databases[database].orders_run;
    }
    std::vector<observe::event> events;
    core::host host_named(int index) const;
    const upstream::service_layout& layout() const { return m_layout; }

private:
    struct fake_database
    {
        std::unique_ptr<standin::database> backend;
        bool frozen{false};
        bool down{false};
        bool replication_cut{false};
        core::millis lag{0};
        int answers_to_lose{0};
        std::size_t orders_run{0};
        /// What reached the database while it was frozen.
        std::vector<std::function<void()>> deferred;
        /// For each slot the database that it replicates from, and when it last
        /// got an answer from there.
        std::vector<std::optional<int>> followed;
        std::vector<core::instant> last_contact;
        std::vector<bool> pull_in_flight;
    };

    struct fake_host
    {
        std::unique_ptr<coordinator::service_coordinator> coordinator;
        std::unique_ptr<failover::failover_monitor> monitor;
        std::map<coordinator::request_number, reply_handler> pending;
        /// Database of each connection, and when the last order on it arrives.
        std::map<upstream::connection_number, std::pair<int, core::instant>>
            connections;
        core::instant paused_until;
        std::uint64_t incarnation{0};
        coordinator::request_number last_number{0};
    };

    /// Runs at an instant; `order` keeps the sequence of equal instants.
    struct scheduled
    {
        core::instant when;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const scheduled& other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    struct gateway_call;

    core::millis delay();
    void start_host(int host);
    void tick_host(int host, std::uint64_t incarnation);
    void at_host(int host, std::uint64_t incarnation,
                 std::function<void()> callback);
    void at_database(int host, int database, core::instant when,
                     std::function<void()> callback,
                     std::function<void()> reset);
    void carry_out(int host, const coordinator::actions& requested);
    void carry_out(int host, const failover::actions& requested);
    void open(int host, const coordinator::open_action& action);
    void run_order(int host, const coordinator::run_action& action);
    void close(int host, upstream::connection_number connection);
    void control(int host, int database, const upstream::control_order& order,
                 core::millis timeout,
                 std::function<void(const upstream::control_result&)> handler);
    void answer_status(int database, const upstream::control_order& order,
                       core::instant until,
                       std::function<void(upstream::control_result)> answer);
    upstream::control_result execute(int database,
                                     const upstream::control_order& order);
    void broadcast_opinion(int from, const failover::opinion& watcher_opinion);
    void replicate(int database, int slot);
    void step_gateway(const std::shared_ptr<gateway_call>& call,
                      daemon::forward_step step);
    int host_index(const core::host& host) const;

    simulation_options m_options;
    std::mt19937_64 m_random;
    core::instant m_now{core::instant{} + core::millis(1'000'000)};
    std::uint64_t m_order{0};
    std::priority_queue<scheduled> m_queue;
    upstream::service_layout m_layout;
    std::vector<fake_database> m_databases;
    std::vector<fake_host> m_hosts;
    std::set<std::pair<int, int>> m_cuts;
    int m_promotions{0};
};

/// Makes a one-shot request to the simulated service, with a deadline of 5 s.
coordinator::caller_request make_request(
    std::vector<upstream::statement> statements,
    coordinator::freshness required_freshness = coordinator::freshness::latest);

} // namespace support
