#pragma once

#include <plantainward/entry/entry_host.hpp>

#include <support/drain_checker.hpp>
#include <support/promotion_checker.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <tuple>
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

/// A simulated database with one log that is replicated asynchronously.
struct sim_database
{
    routes::upstream registration;
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

/// A write that was acknowledged to a caller.
struct acknowledged_write
{
    std::string key;
    std::string value;
    upstream::log_point point;
    boot_instant acknowledged_at;
};

/// Counts and faults that the simulated callers and the checker observed.
struct fleet_history
{
    std::vector<acknowledged_write> writes;
    /// Violated guarantees, one line each.
    std::vector<std::string> faults;
    std::size_t served{0};
    std::size_t refused{0};
    std::size_t unknown{0};
    std::size_t reads_at_replicas{0};
    std::size_t promotions{0};
    /// Number of writes of the voter set.
    std::size_t voter_changes{0};
    /// Number of attempts to write it.
    std::size_t voter_writes{0};
    /// Number of removals of registrations that hosts requested.
    std::size_t removed_members{0};
    /// Number of statements that one host forwarded to another.
    std::size_t forwarded{0};
    /// Number of refusals because of a quota.
    std::size_t over_quota{0};
    /// Number of requests for tokens of a quota.
    std::size_t token_requests{0};
    /// When a database first ran each statement, by its id.
    std::map<std::string, boot_instant> started;
    /// When the last write was acknowledged.
    boot_instant last_write{};
    /// Statements that ran under a key which had been withdrawn for longer
    /// than `fleet_world::revocation_limit`, one line each.
    std::vector<std::string> late_runs;
    /// Number of statements that were served under a key.
    std::size_t served_with_key{0};
    /// Numbers of refusals under keys that were not withdrawn: because the
    /// routing was not proved, and because the key was not known.
    std::size_t unproved{0};
    std::size_t unknown_keys{0};
    /// Number of reads of the table of routings for a proof.
    std::size_t routing_probes{0};
    /// Longest time between two acknowledged writes.
    millis longest_gap{0};
};

/// Inclusive bounds of a random duration.
struct time_range
{
    millis min{0};
    millis max{0};
};

/// Simulates hosts, databases, the table service and callers under one clock.
///
/// The real decision code of every host runs against databases in memory. Links
/// have a delay and can be cut; processes can freeze and restart.
class fleet_world
{
public:
    /// `max_connections` is the connection limit of each database; the hosts
    /// are spread over the failure domains. The routing has workspaces if the
    /// options of the hosts are given.
    fleet_world(std::size_t hosts, std::uint64_t seed,
                std::size_t max_connections = 60, std::size_t domains = 1,
                std::optional<entry::entry_options> options = {});
    fleet_world(const fleet_world&) = delete;
    fleet_world& operator=(const fleet_world&) = delete;

    boot_instant now() const { return m_now; }
    /// Prints the events of all hosts from now on.
    void trace_to(std::ostream& out) { m_trace = &out; }
    void run_for(millis time);

    /// Limits all callers together, from now on.
    void set_quota(const routes::quota_limit& limit);

    /// Issues a write or a read through a random host at this interval.
    void start_load(millis interval);
    void stop_load() { m_load = false; }

    void cut(const std::string& a, const std::string& b, bool is_cut = true);
    void cut_store(const std::string& host, bool is_cut = true);
    void freeze(const std::string& host, millis time);
    void restart(const std::string& host);
    /// Ends a host's process, which unregisters the host; `restart` starts it
    /// again.
    void stop(const std::string& host);
    /// Ends a host's process for good; its registration stays until another
    /// host removes it.
    void lose(const std::string& host);
    /// Starts a further host and returns its name.
    std::string add_host();
    /// Whether a host's process runs.
    bool is_running(const std::string& host) const
    {
        return m_hosts.at(host).host.has_value();
    }
    void crash_database(const std::string& id);
    void recover_database(const std::string& id);
    /// Starts a crashed database again under its id, as a replica that has lost
    /// its log.
    void restart_empty(const std::string& id);
    void set_store_up(bool up);
    /// The table service returns from a copy of this age: it has lost the
    /// records and voter sets that were written since, and gives out the
    /// versions since then again, in a new era. Hosts that reach it notice that
    /// within half a second.
    void restore_store(millis age);
    void set_leaving(const std::string& id);
    /// Starts a new, empty database under the id of one that has left. It
    /// replicates from the primary.
    void replace_database(const std::string& id);
    void lose_member_reads(bool lose) { m_lose_member_reads = lose; }
    void lose_promotion_answers(bool lose) { m_lose_promotions = lose; }

    /// Sets the time that the table service takes for a read or a write.
    void set_store_delay(const time_range& delay);
    void reset_store_delay();
    /// Sets whether writes of records are performed and their answers lost.
    void lose_write_answers(bool lose);
    /// Sets whether writes of records are performed long after their hosts have
    /// stopped waiting for them.
    void delay_writes(bool delay);
    /// Sets whether writes of records are refused.
    void refuse_writes(bool refuse);
    /// Sets the time until a promotion call arrives. The call is sent after
    /// half of it and can't be aborted from then on.
    void set_promotion_delay(const time_range& delay)
    {
        m_promotion_delay = delay;
    }
    void lose_promotion_calls(bool lose) { m_lose_calls = lose; }
    void cut_platform(const std::string& host, bool is_cut = true);
    /// Sets the time until a change of the databases reaches a host.
    void set_feed_delay(const time_range& delay) { m_feed_delay = delay; }
    /// The same for one host.
    void set_feed_delay(const std::string& host, millis delay)
    {
        m_feed_delays[host] = delay;
    }

    /// The sender of a promotion call that has not arrived; empty without such
    /// a call.
    std::string promoting_host() const;
    /// The host that the record names as replacing the primary; empty without
    /// such a claim.
    std::string claiming_host();
    const promotion_checker& promotions() const { return m_checker; }

    /// A withdrawn key must not be used for longer than this.
    static constexpr millis revocation_limit{5000};
    /// Writes a routing with these keys; a key that was removed must not be
    /// added again. The hosts that don't vote learn of it from voters.
    void set_keys(const std::set<std::string>& keys);
    /// Issues a read under a random key, withdrawn or not, through a random
    /// host at this interval. Sessions are kept and used again.
    void start_keyed_load(millis interval);

    /// Runs one statement through a host and returns its reply, which is empty
    /// after two seconds without one.
    sql::reply call(const std::string& host, const std::string& database,
                    const std::string& text);

    std::string host_name(std::size_t index) const;
    /// Whether a host runs statements on its own connections.
    bool holds_connections(const std::string& host) const;
    std::size_t host_count() const { return m_hosts.size(); }
    sim_database& database(const std::string& id) { return m_databases.at(id); }
    std::vector<std::string> database_ids() const;
    /// The database that the platform last made the primary.
    const std::string& leader() const { return m_leader; }
    entry::entry_host& host(const std::string& name);
    fleet_history& history() { return m_history; }
    /// Number of heartbeats that each host has sent.
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
        bool is_registered{false};
        boot_instant frozen_until{};
        std::vector<std::function<void()>> deferred_steps;
    };

    struct sim_connection
    {
        std::string database;
        bool in_transaction{false};
        std::vector<sim_entry> pending;
    };

    /// The sender and session of a statement that a host has forwarded.
    struct forwarded_statement
    {
        std::string sender;
        pooling::session_id session{0};
    };

    /// A record as the table service keeps it; its version is the number that
    /// the service gave out.
    struct record_row
    {
        succession::leadership record;
        std::uint64_t written_era{0};
    };

    /// The tables of records and voters at one instant.
    struct store_copy
    {
        boot_instant at;
        std::uint64_t number{0};
        std::map<std::string, record_row> records;
        fleet::voter_row voters;
        std::uint64_t voters_era{0};
    };

    struct promotion_in_flight
    {
        observed_promotion promotion;
        bool is_sent{false};
    };

    struct pending_call
    {
        std::function<void(const sql::reply&)> done;
    };

    /// A fetch of tables that a host has sent to a voter.
    struct table_fetch
    {
        std::string sender;
        std::string target;
        fleet::table_versions versions;
        boot_instant sent_at;
        boot_instant received_at{};
        std::size_t failures{0};
        std::shared_ptr<bool> is_ended{std::make_shared<bool>(false)};
    };

    using step = std::function<void()>;
    using promotion_answer = std::function<void(
        succession::promotion_outcome outcome, millis delay)>;

    void at(boot_instant when, step next);
    void after(millis delay, step next) { at(m_now + delay, std::move(next)); }
    /// Runs the step on a host, after its freeze if it is frozen; drops the
    /// step if the host has restarted.
    void on_host(const std::string& name, millis delay, step next);
    bool is_cut(const std::string& a, const std::string& b) const;
    std::string domain_of(const std::string& name) const;
    fleet::members members() const;
    void start_host(const std::string& name);
    void trace(const std::string& name, const entry::host_event& event) const;
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void announce_members();
    void announce_members(const std::string& name);
    void remove_member(const std::string& name, const std::string& member);
    void forget_work_of(const std::string& host);
    void run(const std::string& name, const entry::entry_actions& actions);
    void run(const std::string& name, const pooling::actions& actions);
    void run(const std::string& name, const entry::control_action& action);
    void forward(const std::string& name,
                 const pooling::forward_action& action);
    void request_tokens(const std::string& name,
                        const pooling::request_tokens_action& action);
    void grant_tokens(const std::string& name,
                      const pooling::grant_tokens_action& action);
    void end_forwarding(const std::string& name,
                        const pooling::end_forwarding_action& action);
    void reply_forwarded(const std::string& name,
                         const pooling::forwarded_reply_action& action);
    void open(const std::string& name, const pooling::open_action& action);
    void send(const std::string& name, const pooling::send_action& action);
    void answer_command(const std::string& name, pooling::connection_id id,
                        const sql::command& command);
    void check_drain(const std::string& host, const sim_connection& connection,
                     const sql::command& command);
    sql::command_answer execute(sim_connection& connection,
                                sim_database& database,
                                const sql::command& command);
    void commit(sim_connection& connection, sim_database& database,
                sql::command_answer& answer);
    void replicate(const std::string& from);
    /// A version of the present era.
    std::uint64_t version_of(std::uint64_t number) const;
    void save_copy();
    entry::record_table read_record_table() const;
    void read_records(const std::string& name);
    void write_record(const std::string& name,
                      const entry::write_record_action& action);
    void write_voters(const std::string& name,
                      const entry::write_voters_action& action);
    void promote(const std::string& name,
                 const entry::promote_upstream_action& action);
    void abort_promotions(const std::string& name);
    void deliver_promotion(std::uint64_t call, const promotion_answer& answer);
    void become_primary(const std::string& id);
    void announce_upstreams();
    void announce_upstreams(const std::string& name, millis delay);
    millis draw(const time_range& range);
    void set_disturbance(const std::string& name, const std::string& reason,
                         bool begins);
    void issue_load(millis interval);
    void issue_write(const std::string& host);
    void issue_read(const std::string& host, const std::string& database);
    void submit(const std::string& host, const std::string& database,
                const std::string& text,
                std::function<void(const sql::reply&)> done);
    void announce_routing(const std::string& name, millis delay);
    void read_routing(const std::string& name, bool is_probe);
    void fetch_routing(const std::string& name, const std::string& peer);
    void follow_voters(const std::string& name, std::size_t failures);
    void hold_fetch(const table_fetch& fetch);
    void end_fetch(const table_fetch& fetch, const fleet::table_update& update);
    void issue_keyed_load(millis interval);
    void submit_with_key(const std::string& host, const std::string& key,
                         boot_instant sent_at);
    void check_keyed_reply(const std::string& host, const std::string& key,
                           boot_instant sent_at, const sql::reply& reply);
    void add_workspaces(routes::routing& table) const;
    routes::routing routing() const;
    std::vector<routes::upstream> upstreams() const;

    std::ostream* m_trace{nullptr};
    boot_instant m_now{std::chrono::seconds(1000)};
    std::size_t m_max_connections;
    std::size_t m_domains;
    std::optional<entry::entry_options> m_options;
    std::uint64_t m_routing_version{1};
    std::set<std::string> m_keys;
    std::map<std::string, boot_instant> m_withdrawn_at;
    /// Open sessions without a running statement, by host, incarnation and key.
    std::map<std::tuple<std::string, std::uint64_t, std::string>,
             std::vector<pooling::session_id>>
        m_keyed_sessions;
    std::mt19937_64 m_random;
    std::multimap<boot_instant, step> m_steps;
    std::map<std::string, sim_host> m_hosts;
    std::map<std::string, sim_database> m_databases;
    std::map<std::pair<std::string, pooling::connection_id>, sim_connection>
        m_connections;
    std::map<std::pair<std::string, pooling::session_id>, pending_call> m_calls;
    std::map<std::pair<std::string, pooling::operation_id>, forwarded_statement>
        m_forwarded;
    std::set<std::pair<std::string, std::string>> m_cuts;
    bool m_store_up{true};
    std::uint64_t m_era{1};
    std::uint64_t m_store_version{10};
    std::uint64_t m_members_version{0};
    std::map<std::string, record_row> m_records;
    /// Its version is the number that the service gave out.
    fleet::voter_row m_voters;
    std::uint64_t m_voters_era{0};
    std::vector<store_copy> m_copies;
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
    std::map<std::uint64_t, promotion_in_flight> m_promotions;
    promotion_checker m_checker;
    drain_checker m_drain_checker;
    bool m_lose_member_reads{false};
    bool m_load{false};
    pooling::session_id m_last_session{0};
    std::uint64_t m_last_value{0};
    fleet_history m_history;
    std::map<std::string, std::size_t> m_heartbeats;
    std::optional<routes::quota_limit> m_quota;
};

} // namespace support
