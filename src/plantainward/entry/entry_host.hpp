#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/entry/routing_proof.hpp>
#include <plantainward/entry/upstream_directory.hpp>
#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/fleet/fleet_view.hpp>
#include <plantainward/fleet/table_update.hpp>
#include <plantainward/fleet/voter_change.hpp>
#include <plantainward/fleet/workspace_holders.hpp>
#include <plantainward/observe/log_event.hpp>
#include <plantainward/observe/metrics.hpp>
#include <plantainward/pooling/pooler.hpp>
#include <plantainward/succession/succession.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainward::entry
{

/// Sends an encoded heartbeat to a host.
struct heartbeat_action
{
    core::address address;
    std::string bytes;
};

/// Reads all shared records; the answer proves them current.
struct read_records_action
{
};

/// Reads the list of hosts; the answer proves which are registered.
struct read_members_action
{
};

/// Reads the routing, since a peer has a newer one.
struct read_routing_action
{
};

/// Fetches the routing from a peer that has a newer one, since the table
/// service has not answered.
struct fetch_routing_action
{
    core::address peer;
};

/// Reads the changes of the table of routings without waiting for one; the end
/// is passed to `entry_host::on_routing_read` as a probe.
struct probe_routing_action
{
};

/// Reads the list of databases, since a peer has a newer one.
struct read_upstreams_action
{
};

/// Writes the record of a service if it still has the expected version.
struct write_record_action
{
    std::string service;
    succession::write_action write;
    /// Version that the row of the voter set must have too; empty: any.
    std::optional<std::uint64_t> expected_voters;
};

/// Writes the shared voter set if its row still has the expected version; 0:
/// the row must not exist.
struct write_voters_action
{
    std::uint64_t expected{0};
    fleet::voter_set voters;
};

/// Requests the status of a database.
struct request_status_action
{
    routes::upstream upstream;
};

/// Makes a replaced primary a replica.
struct demote_upstream_action
{
    routes::upstream upstream;
    upstream::term_number term{0};
};

/// Makes a database the primary of its service.
struct promote_upstream_action
{
    std::string service;
    succession::promote_action promote;
};

/// Aborts the promotion call of a service, so that it no longer reaches the
/// platform.
struct abort_promotion_action
{
    std::string service;
};

/// Removes the registration of a host that is lost.
struct remove_member_action
{
    std::string member;
};

using control_action = std::variant<
    heartbeat_action, read_records_action, read_members_action,
    read_routing_action, fetch_routing_action, probe_routing_action,
    read_upstreams_action, write_record_action, write_voters_action,
    request_status_action, demote_upstream_action, promote_upstream_action,
    abort_promotion_action, remove_member_action>;

/// What the process has to do after one event.
struct entry_actions
{
    std::vector<control_action> control;
    pooling::actions pooling;
};

/// A change in the host's state, for logs and metrics.
struct host_event
{
    observe::log_event event{observe::log_event::upstream_known};
    std::string service;
    std::string detail;
    /// Values that the decision depended on, by name.
    std::vector<observe::log_field> inputs{};
    /// The metric to which the duration is added, if something has ended.
    std::optional<observe::measure> measure{};
    core::millis duration{0};
};

/// A promotion call whose outcome is not known yet.
struct promotion_call
{
    succession::promote_action action;
    core::boot_instant sent_at;
};

/// The end of a read of the table of routings.
struct routing_read
{
    /// It answers a `probe_routing_action`.
    bool is_probe{false};
    /// The routing that it showed was passed to `on_routing` before, if it was
    /// valid.
    bool succeeded{false};
    /// Instant before the call was sent.
    core::boot_instant sent_at{};
    /// Era of the table service that the answer showed.
    std::uint64_t era{0};
};

/// A table whose changes a host follows and passes on.
enum class followed_table : std::uint8_t
{
    routing,
    upstreams,
    members
};

/// Where a host got a routing from.
enum class routing_source : std::uint8_t
{
    table_service,
    another_host
};

/// Names of the sources in logs.
inline constexpr core::enum_names<routing_source, 2> routing_source_names{
    {"table service", "another host"}};

using host_event_observer = std::function<void(const host_event&)>;

/// Identity of a host process.
struct entry_identity
{
    std::string name;
    std::string failure_domain;
    /// Grows with each start of the host.
    std::uint64_t incarnation{0};
};

/// Settings of a host.
struct entry_options
{
    /// A leaving primary gets new work for this time at most.
    core::millis leaving_grace{pooling::pooler_options{}.leaving_grace};
    /// Time after which a withdrawn key is not used on any host; empty: a host
    /// that is cut off may use it longer.
    std::optional<core::millis> revocation_limit{};
    /// The bound on the operations of workspaces with quotas.
    quota::quota_bounds quota{};
};

/// Where a host gets changes of the routing, the databases and the hosts from.
enum class table_source : std::uint8_t
{
    /// It reads its first list of hosts.
    first_list,
    /// Nowhere: it waits until a host has created the voter set.
    none,
    /// It votes: it follows the table service, and passes the tables on.
    table_service,
    /// It does not vote: a voter passes them on to it.
    voters
};

/// What one read of the shared records and of the voter set showed.
struct record_table
{
    /// The records by service.
    std::map<std::string, succession::leadership> records;
    fleet::voter_row voters;
    /// Records that came back with a table service that returned from a copy;
    /// newer ones may have been lost. The version is that of the row.
    std::map<std::string, succession::leadership> restored{};
};

/// Key of the voter set's row in the table of records; no service has it.
inline constexpr std::string_view voters_key = "#voters";

/// Decides everything for one host: its sessions, connections, primaries and
/// members.
///
/// Each event is passed with the present time and returns the actions to carry
/// out. The class owns no socket, thread or clock.
class entry_host
{
public:
    explicit entry_host(entry_identity identity, entry_options options = {});

    pooling::pooler& pooler() { return m_pooler; }
    const pooling::pooler& pooler() const { return m_pooler; }
    /// Sets the function that is called for each change in the host's state.
    void observe(host_event_observer on_event);

    /// Replaces the routing; ignores one that is not newer.
    entry_actions
    on_routing(routes::routing routing, core::boot_instant now,
               routing_source source = routing_source::table_service);
    /// Handles the end of a read of the routing; a successful one proves that
    /// this host's routing was current when the call was sent.
    entry_actions on_routing_read(const routing_read& read,
                                  core::boot_instant now);
    /// The table service is in this era; earlier proofs no longer count.
    void on_store_era(std::uint64_t era);
    /// Replaces the whole list of databases; versions order its changes. The
    /// list was read from the table service no earlier than `read_at`, which is
    /// empty for a list of another host.
    entry_actions on_upstreams(const std::vector<routes::upstream>& upstreams,
                               std::uint64_t version,
                               std::optional<core::boot_instant> read_at,
                               core::boot_instant now);
    /// Adds or replaces one database.
    entry_actions on_upstream(const routes::upstream& upstream,
                              std::uint64_t version, core::boot_instant now);
    /// Marks one database as no longer registered.
    entry_actions on_upstream_removed(const std::string& id,
                                      std::uint64_t version,
                                      core::boot_instant now);

    /// Updates all records and the voter set, which were read together and no
    /// earlier than `read_at`. The records prove leases, but no later than at
    /// the last read of a list of hosts that contained this one. Restored
    /// records prove nothing; a voter that knows the present ones writes these
    /// again.
    entry_actions on_records(const record_table& table,
                             core::boot_instant read_at,
                             core::boot_instant now);
    /// Replaces the list of registered hosts; versions order the lists. The
    /// whole list was read no earlier than `read_at`, which is empty if the
    /// list results from single changes.
    void on_members(const fleet::members& members, std::uint64_t version,
                    std::optional<core::boot_instant> read_at,
                    core::boot_instant now);

    /// Where this host gets changes of the tables from.
    table_source choose_table_source() const;
    /// Sets whether calls to the table service for a table succeed.
    void set_table_reachable(followed_table table, bool reachable);
    /// How long the table service is to hold a feed of this host, by the time
    /// since the last change of the table.
    core::millis feed_wait(core::millis since_change,
                           core::boot_instant now) const;
    /// Versions of the tables that this host has.
    fleet::table_versions versions() const;
    /// Hosts to ask for table updates; those of the own failure domain come
    /// first.
    std::vector<core::address> table_sources() const;
    /// The tables that are newer than those of the receiver. Empty when there
    /// are none, unless `must_answer` is set or this host's own tables may be
    /// old.
    std::optional<fleet::table_update>
    table_update_for(const fleet::table_versions& receiver_versions,
                     bool must_answer, core::boot_instant now) const;
    /// Whether a fetch that arrived at this instant is answered now, so that
    /// its sender gets a proof of its routing.
    bool must_answer_with_proof(core::boot_instant received_at,
                                core::boot_instant now) const;
    /// Adds this host's proof of its routing, if it needs any, to the answer to
    /// a fetch that arrived at an instant.
    void attach_routing_proof(fleet::table_update& update,
                              core::boot_instant received_at) const;
    /// Takes the proof of an update that was requested at an instant, and whose
    /// tables have been applied.
    void take_routing_proof(const fleet::table_update& update,
                            core::boot_instant requested_at);
    /// Applies the tables of an update that are newer than this host's.
    entry_actions on_table_update(const fleet::table_update& update,
                                  core::boot_instant now);

    /// Address of a registered host; empty for any other.
    std::optional<core::address> address_of(const std::string& host) const;
    /// Handles the bytes of a datagram; reports what is not a heartbeat.
    entry_actions on_heartbeat(std::string_view bytes, core::boot_instant now);

    /// Handles the answer to the write with this id, which was sent at `sent`.
    entry_actions
    on_record_written(const std::string& service, std::uint64_t id,
                      succession::write_outcome outcome, std::uint64_t version,
                      core::boot_instant sent, core::boot_instant now);
    /// Handles the end of a write of the voter set, whatever its outcome.
    entry_actions on_voters_written(core::boot_instant now);
    /// Handles the answer to a status request that was sent at `requested_at`.
    entry_actions on_status(const std::string& service,
                            const std::string& upstream,
                            core::boot_instant requested_at,
                            const sql::status_answer& status,
                            core::boot_instant now);
    /// Handles the outcome of the promotion call with this token.
    entry_actions on_promoted(const std::string& service, std::uint64_t token,
                              succession::promotion_outcome outcome,
                              core::boot_instant now);

    /// Does what is due at `now`: heartbeats, leases, claims and timeouts.
    entry_actions tick(core::boot_instant now);

    /// Whether this host can serve callers, as its readiness check reports.
    bool is_ready(core::boot_instant now) const;

    /// Whether this host has received a routing.
    bool has_routing() const { return m_pooler.routing().version > 0; }

    /// Whether this host is replacing the primary of a service.
    bool is_claiming(const std::string& service) const;

    /// Whether the record says that this host is replacing the primary.
    bool has_claimed(const std::string& service) const;

    /// Starts no more claims; a running claim continues to its end.
    void stop_claims() { m_may_claim = false; }

private:
    /// Id of the writes that restore a record; those of claims begin with 1.
    static constexpr std::uint64_t rewrite_id = 0;

    succession::succession& succession_of(const std::string& service);
    void update_primary(succession::succession& service_succession,
                        core::boot_instant now, entry_actions& out);
    void send_heartbeats(core::boot_instant now, entry_actions& out);
    void
    send_heartbeat(const std::string& peer,
                   const std::map<std::string, fleet::service_status>& statuses,
                   entry_actions& out);
    std::set<std::string> heartbeat_targets(core::boot_instant now) const;
    bool must_report(const std::string& service, const std::string& peer) const;
    bool exchanges_load(const std::string& service,
                        const std::string& peer) const;
    fleet::service_status service_status_of(const std::string& service,
                                            core::boot_instant now) const;
    void add_claim_actions(const std::string& service,
                           const succession::claim_actions& actions,
                           core::boot_instant now, entry_actions& out);
    void promote(const std::string& service,
                 const succession::promote_action& action,
                 core::boot_instant now, entry_actions& out);
    void abort_promotion(const std::string& service, entry_actions& out);
    void report_claim_end(succession::succession& service_succession,
                          core::boot_instant now);
    void run_claims(core::boot_instant now, entry_actions& out);
    void report_leaving_primaries(core::boot_instant now);
    void update_upstreams(core::boot_instant now, entry_actions& out);
    void renew_leases(core::boot_instant now, entry_actions& out);
    bool needs_routing_proofs() const;
    void add_routing_proof(std::uint64_t era, std::uint64_t version,
                           core::boot_instant at);
    void renew_routing_proof(core::boot_instant now, entry_actions& out);
    void report_routing_proof(fleet::heartbeat& message,
                              core::boot_instant now) const;
    void take_routing_proof(const fleet::heartbeat& message);
    bool is_registered() const { return m_members.contains(m_identity.name); }
    void prove_by_table(succession::succession& service_succession,
                        std::uint64_t version, core::boot_instant at) const;
    void prove_by_reads();
    void remove_lost_members(core::boot_instant now, entry_actions& out);
    bool is_first_to_remove(const std::string& member,
                            core::boot_instant now) const;
    bool must_adopt(core::boot_instant now) const;
    bool awaits_rewrite(const record_table& table, core::boot_instant now);
    bool adopt_restored(const record_table& table, core::boot_instant now,
                        entry_actions& out);
    void note_lost_records(const record_table& table,
                           core::boot_instant read_at, core::boot_instant now);
    void rewrite_lost_records(core::boot_instant now, entry_actions& out);
    std::optional<std::uint64_t>
    lost_row_version(const record_table& table,
                     const std::string& service) const;
    bool may_rewrite(const std::string& service, core::boot_instant now) const;
    void set_voters(const fleet::voter_set& voters);
    void update_quotas(core::boot_instant now);
    void update_voters(const fleet::voter_row& row, core::boot_instant read_at,
                       core::boot_instant now);
    void change_voters(core::boot_instant now, entry_actions& out);
    std::size_t rank_for_voters() const;
    bool must_read_voters(core::boot_instant now) const;
    void read_records(core::boot_instant now, entry_actions& out);
    bool update_record(const std::string& service,
                       const succession::leadership& record,
                       core::boot_instant now, entry_actions& out);
    void request_newer_tables(const fleet::heartbeat& heartbeat,
                              core::boot_instant now, entry_actions& out);
    std::size_t count_suspected_primaries(core::boot_instant now) const;
    void update_isolation(core::boot_instant now);
    std::size_t rank_for(const std::string& service,
                         core::boot_instant now) const;
    void plan_connections();
    std::shared_ptr<const fleet::workspace_shares> workspace_shares() const;
    pooling::workspace_delegations
    delegations_of(const std::string& service,
                   std::shared_ptr<const fleet::workspace_shares> shares) const;
    bool watches(const std::string& service) const;
    bool has_current_tables(core::boot_instant now) const;
    void report(observe::log_event event, const std::string& service,
                std::string detail) const;
    void report(const host_event& event) const;

    entry_identity m_identity;
    entry_options m_options;
    pooling::pooler m_pooler;
    routing_proof m_routing_proof;
    fleet::fleet_options m_fleet_options;
    fleet::fleet_view m_fleet;
    fleet::voter_change m_voter_change{fleet::voter_options{}};
    /// The row of the voter set as this host last read it.
    std::uint64_t m_voters_row_version{0};
    bool m_is_writing_voters{false};
    core::boot_instant m_last_voters_write{};
    bool m_is_voters_row_restored{false};
    /// A row that has lost this host's record of a service.
    struct lost_record
    {
        /// Version of the row; 0: the row is gone.
        std::uint64_t row_version{0};
        /// Version of the voter set's row that was read with it.
        std::uint64_t voters_row_version{0};
        /// When this state of the row was first read.
        core::boot_instant read_at{};
    };
    std::map<std::string, lost_record> m_lost_records;
    /// When lost records were first seen, while there are any.
    std::optional<core::boot_instant> m_records_lost_since;
    core::boot_instant m_last_rewrite{};
    /// When this host received its first list of hosts.
    core::boot_instant m_members_known_at{};
    fleet::plan_options m_plan_options;
    fleet::members m_members;
    std::uint64_t m_members_version{0};
    /// Failure domains of hosts by name; also of voters that are not registered
    /// at present, so that the owners of quotas stay the same meanwhile.
    quota::voter_domains m_known_domains;
    std::set<followed_table> m_unreachable_tables;
    /// The whole list of hosts was read at this instant or later.
    core::boot_instant m_members_read_at{};
    /// Services whose records other hosts have sent, by host; these wait until
    /// this host acknowledges them.
    std::map<std::string, std::set<fleet::service_key>>
        m_awaiting_acknowledgement;
    std::map<std::string, fleet::service_holders> m_holders;
    upstream_directory m_directory;
    std::vector<routes::upstream> m_upstreams;
    std::uint64_t m_upstreams_version{0};
    /// Newest versions that any peer's heartbeat has shown.
    std::uint64_t m_peer_routing_version{0};
    /// The host that last reported this version.
    std::string m_newest_routing_host;
    std::uint64_t m_peer_upstreams_version{0};
    /// Newest version of a peer when the list of databases was last requested,
    /// and the instant of the request: a list read since then includes it.
    std::uint64_t m_requested_upstreams_version{0};
    core::boot_instant m_upstreams_requested_at{};
    /// Leaving primaries that were reported, by service.
    std::map<std::string, std::string> m_reported_leaving;
    std::map<fleet::service_key, std::string> m_service_keys;
    std::map<std::string, succession::succession> m_successions;
    /// The promotion call in flight of each service.
    std::map<std::string, promotion_call> m_promotion_calls;
    host_event_observer m_on_event;
    bool m_knows_records{false};
    /// A record's version as the table service showed it.
    struct record_read
    {
        std::uint64_t version{0};
        core::boot_instant at{};
    };
    std::map<std::string, record_read> m_record_reads;
    /// This host was registered at this instant or later; empty when the last
    /// list of hosts does not contain it.
    std::optional<core::boot_instant> m_registered_at;
    bool m_may_claim{true};
    core::boot_instant m_last_round{};
    core::boot_instant m_last_record_read{};
    core::boot_instant m_last_table_read{};
    std::optional<core::boot_instant> m_behind_since;
    std::optional<core::boot_instant> m_isolated_since;
    std::size_t m_suspected_primaries{0};
    core::boot_instant m_last_removal{};
};

} // namespace plantainward::entry
