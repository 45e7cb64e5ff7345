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

/// Shape and timing of a world.
struct simulation_options
{
    std::uint64_t seed{1};
    int hosts{2};
    int slots{1};
    std::size_t connections{8};
    core::millis longest_delay{4};
    upstream::acknowledgement acknowledge{upstream::acknowledgement::replica};
};

/// A scheduler loop that runs the real decisions of a few hosts against
/// in-memory databases, with a fake clock and a fake network.
class simulation
{
public:
    explicit simulation(const simulation_options& options);

    core::instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    /// Runs what is scheduled until this much time has passed.
    void run_for(core::millis duration);

    /// Runs until a condition holds; false when the time passes first.
    bool run_until(const std::function<bool()>& condition, core::millis most);

    /// Calls a function later.
    void after(core::millis delay, std::function<void()> work);

    /// Sends a request as the gateway on some host would.
    void send(int gateway, coordinator::caller_request request,
              reply_handler handler);

    /// Sends a request and runs until its reply.
    coordinator::caller_reply ask(int gateway,
                                  const coordinator::caller_request& request);

    // Faults.
    void cut(int host, int database, bool is_cut);
    void cut_replication(int database, bool is_cut);
    void freeze_database(int database, bool frozen);
    void kill_database(int database);
    void restart_database(int database);
    void pause_host(int host, core::millis duration);
    void kill_host(int host);
    void set_lag(int database, core::millis lag);
    void lose_next_answer(int database);
    void set_leaving(int database, bool leaving);
    /// Mends everything and waits until the group is whole again.
    void heal();

    // Views.
    standin::database& database(int index) { return *m_databases[index].state; }
    coordinator::service_coordinator& coordinator_at(int host)
    {
        return *m_hosts[host].coordinator;
    }
    failover::failover_monitor& monitor_at(int host)
    {
        return *m_hosts[host].monitor;
    }
    /// The database that is primary of the highest term, if one is.
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
        std::unique_ptr<standin::database> state;
        bool frozen{false};
        bool down{false};
        bool replication_cut{false};
        core::millis lag{0};
        int answers_to_lose{0};
        std::size_t orders_run{0};
        std::vector<std::function<void()>> held;
        std::vector<std::optional<int>> follows;
        std::vector<core::instant> contact;
        std::vector<bool> pulling;
    };

    struct fake_host
    {
        std::unique_ptr<coordinator::service_coordinator> coordinator;
        std::unique_ptr<failover::failover_monitor> monitor;
        std::map<coordinator::request_number, reply_handler> pending;
        std::map<upstream::connection_number, std::pair<int, core::instant>>
            connections;
        core::instant paused_until;
        std::uint64_t incarnation{0};
        coordinator::request_number last_number{0};
    };

    struct scheduled
    {
        core::instant when;
        std::uint64_t order;
        std::function<void()> work;
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
                 std::function<void()> work);
    void at_database(int host, int database, core::instant when,
                     std::function<void()> work, std::function<void()> reset);
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
    void opinion(int from, const failover::opinion& what);
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

/// A one-shot request to the world's service.
coordinator::caller_request
make_request(std::vector<upstream::statement> statements,
             coordinator::freshness need = coordinator::freshness::latest);

} // namespace support
