#pragma once

#include <plantainward/entry/entry_host.hpp>

#include <support/promotion_checker.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace support
{

using namespace plantainward;
using core::boot_instant;
using core::millis;

/// One entry of a simulated database's log.
struct sim_entry
{
    upstream::log_point point;
    std::string key;
    std::string value;
};

/// A simulated database: one log, replicated asynchronously.
struct sim_database
{
    routes::upstream what;
    bool up{true};
    bool is_primary{false};
    upstream::term_number term{1};
    std::vector<sim_entry> log;
    millis lag{5};

    upstream::log_point end() const
    {
        return log.empty() ? upstream::log_point{} : log.back().point;
    }
};

/// A write that a caller was told is done.
struct acknowledged_write
{
    std::string key;
    std::string value;
    upstream::log_point point;
    boot_instant when;
};

/// What the simulated callers saw.
struct fleet_history
{
    std::vector<acknowledged_write> writes;
    /// Broken promises, one line each.
    std::vector<std::string> faults;
    std::size_t served{0};
    std::size_t refused{0};
    std::size_t unknown{0};
    std::size_t reads_at_replicas{0};
    std::size_t promotions{0};
    /// Registrations of hosts that a host asked to remove.
    std::size_t removed_members{0};
    /// Statements that one host passed on to another.
    std::size_t forwarded{0};
    /// Last instant at which a write was acknowledged.
    boot_instant last_write{};
    millis longest_gap{0};
};

/// Bounds of a random time, both included.
struct time_range
{
    millis least{0};
    millis most{0};
};

/// Hosts, databases, the table service and callers under a simulated clock.
///
/// The real decisions of every host run against databases in memory; links
/// have a delay and can be cut, processes can freeze and restart.
class fleet_world
{
public:
    /// `max_connections` is the limit of each database; hosts are spread over
    /// the failure domains.
    fleet_world(std::size_t hosts, std::uint64_t seed,
                std::size_t max_connections = 60, std::size_t domains = 1);
    fleet_world(const fleet_world&) = delete;
    fleet_world& operator=(const fleet_world&) = delete;

    boot_instant now() const { return m_now; }
    void run_for(millis time);

    /// Issues writes and reads through all hosts, this often.
    void start_load(millis interval);
    void stop_load() { m_load = false; }

    void cut(const std::string& a, const std::string& b, bool is_cut = true);
    void cut_store(const std::string& host, bool is_cut = true);
    void freeze(const std::string& host, millis time);
    void restart(const std::string& host);
    void crash_database(const std::string& id);
    void recover_database(const std::string& id);
    void set_store_up(bool up);
    void set_leaving(const std::string& id);
    /// Starts a new, empty database under the id of one that has left; it
    /// follows the primary.
    void replace_database(const std::string& id);
    void lose_member_reads(bool lose) { m_lose_member_reads = lose; }
    void lose_promotion_answers(bool lose) { m_lose_promotions = lose; }

    /// Time until the table service has done a read or a write.
    void set_store_delay(const time_range& delay);
    void reset_store_delay();
    /// Writes of records are done, and their answers are lost.
    void lose_write_answers(bool lose);
    /// Writes of records are done long after their hosts gave them up.
    void delay_writes(bool delay);
    /// Writes of records are turned away.
    void refuse_writes(bool refuse);
    /// Time until a promotion call arrives; a call is sent after its first
    /// half and is then beyond its sender's reach.
    void set_promotion_delay(const time_range& delay)
    {
        m_promotion_delay = delay;
    }
    void lose_promotion_calls(bool lose) { m_lose_calls = lose; }
    void cut_platform(const std::string& host, bool is_cut = true);
    /// Time until a host hears of a change of the databases.
    void set_feed_delay(const time_range& delay) { m_feed_delay = delay; }
    /// The same for one host only.
    void set_feed_delay(const std::string& host, millis delay)
    {
        m_feed_delays[host] = delay;
    }

    /// The sender of a promotion call that has not arrived; empty without one.
    std::string promoting_host() const;
    /// The host that has written that it replaces the primary; empty without.
    std::string claiming_host();
    const promotion_checker& promotions() const { return m_checker; }

    /// Runs one statement through a host and waits for its answer.
    sql::reply call(const std::string& host, const std::string& database,
                    const std::string& text);

    std::string host_name(std::size_t index) const;
    /// Whether a host runs work on its own connections.
    bool holds_connections(const std::string& host) const;
    std::size_t host_count() const { return m_hosts.size(); }
    sim_database& database(const std::string& id) { return m_databases.at(id); }
    std::vector<std::string> database_ids() const;
    /// The database that the platform made the primary last.
    const std::string& leader() const { return m_leader; }
    entry::entry_host& host(const std::string& name);
    fleet_history& history() { return m_history; }
    /// Heartbeats that each host has sent.
    const std::map<std::string, std::size_t>& heartbeats() const
    {
        return m_heartbeats;
    }
    std::mt19937_64& random() { return m_random; }

private:
    struct sim_host
    {
        std::optional<entry::entry_host> host;
        std::uint64_t incarnation{0};
        boot_instant frozen_until{};
        std::vector<std::function<void()>> held;
    };

    struct sim_connection
    {
        std::string database;
        bool in_transaction{false};
        std::vector<sim_entry> pending;
    };

    /// The session and operation of a statement that a host passed on.
    struct passed_on
    {
        std::string from;
        pooling::session_id session{0};
    };

    struct promotion_under_way
    {
        promotion_seen what;
        bool is_sent{false};
    };

    struct pending_call
    {
        std::function<void(const sql::reply&)> done;
    };

    using step = std::function<void()>;
    using promotion_answer =
        std::function<void(succession::promotion_outcome end, millis delay)>;

    void at(boot_instant when, step what);
    void after(millis delay, step what) { at(m_now + delay, std::move(what)); }
    /// Runs the step on a host, after its freeze; drops it for a restarted one.
    void on_host(const std::string& name, millis delay, step what);
    bool is_cut(const std::string& a, const std::string& b) const;
    std::string domain_of(const std::string& name) const;
    fleet::members members() const;
    void start_host(const std::string& name);
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void tell_members();
    void run(const std::string& name, const entry::entry_actions& actions);
    void run(const std::string& name, const pooling::actions& actions);
    void run(const std::string& name, const entry::control_action& action);
    void forward(const std::string& name,
                 const pooling::forward_action& action);
    void end_forwarding(const std::string& name,
                        const pooling::end_forwarding_action& action);
    void reply_forwarded(const std::string& name,
                         const pooling::forwarded_reply_action& action);
    void open(const std::string& name, const pooling::open_action& action);
    void send(const std::string& name, const pooling::send_action& action);
    void answer_command(const std::string& name, pooling::connection_id id,
                        const sql::command& command);
    sql::command_answer execute(sim_connection& connection,
                                sim_database& database,
                                const sql::command& command);
    void commit(sim_connection& connection, sim_database& database,
                sql::command_answer& answer);
    void replicate(const std::string& from);
    void write_record(const std::string& name,
                      const entry::write_record_action& action);
    void promote(const std::string& name,
                 const entry::promote_upstream_action& action);
    void abort_promotions(const std::string& name);
    void arrive_promotion(std::uint64_t call, const promotion_answer& answer);
    void take_lead(const std::string& id);
    void tell_upstreams();
    void tell_upstreams(const std::string& name, millis delay);
    millis draw(const time_range& range);
    void disturb(const std::string& name, const std::string& why, bool begins);
    void load_step(millis interval);
    void issue_write(const std::string& host);
    void issue_read(const std::string& host, const std::string& database);
    void submit(const std::string& host, const std::string& database,
                const std::string& text,
                std::function<void(const sql::reply&)> done);
    routes::routing routing() const;
    std::vector<routes::upstream> upstreams() const;

    boot_instant m_now{std::chrono::seconds(1000)};
    std::size_t m_max_connections;
    std::size_t m_domains;
    std::mt19937_64 m_random;
    std::multimap<boot_instant, step> m_steps;
    std::map<std::string, sim_host> m_hosts;
    std::map<std::string, sim_database> m_databases;
    std::map<std::pair<std::string, pooling::connection_id>, sim_connection>
        m_connections;
    std::map<std::pair<std::string, pooling::session_id>, pending_call> m_calls;
    std::map<std::pair<std::string, pooling::operation_id>, passed_on>
        m_passed_on;
    std::set<std::pair<std::string, std::string>> m_cuts;
    bool m_store_up{true};
    std::uint64_t m_store_version{10};
    std::map<std::string, succession::leadership> m_records;
    std::string m_leader;
    bool m_lose_promotions{false};
    bool m_lose_calls{false};
    bool m_lose_write_answers{false};
    bool m_delay_writes{false};
    bool m_refuse_writes{false};
    std::optional<time_range> m_store_delay;
    time_range m_promotion_delay;
    std::optional<time_range> m_feed_delay;
    std::map<std::string, millis> m_feed_delays;
    std::uint64_t m_upstreams_version{1};
    std::uint64_t m_last_promotion{0};
    std::map<std::uint64_t, promotion_under_way> m_promotions;
    promotion_checker m_checker;
    bool m_lose_member_reads{false};
    bool m_load{false};
    pooling::session_id m_last_session{0};
    std::uint64_t m_last_value{0};
    fleet_history m_history;
    std::map<std::string, std::size_t> m_heartbeats;
};

} // namespace support
