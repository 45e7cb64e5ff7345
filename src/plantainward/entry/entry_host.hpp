#pragma once

#include <plantainward/entry/upstream_directory.hpp>
#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/fleet/fleet_view.hpp>
#include <plantainward/fleet/table_update.hpp>
#include <plantainward/observe/log_event.hpp>
#include <plantainward/observe/metrics.hpp>
#include <plantainward/pooling/pooler.hpp>
#include <plantainward/succession/succession.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plantainward::entry
{

/// Sends a heartbeat.
struct heartbeat_action
{
    core::address where;
    std::string bytes;
};

/// Reads the shared records; the answer proves what it shows.
struct read_records_action
{
};

/// Reads the list of hosts; the answer proves who is registered.
struct read_members_action
{
};

/// A peer has a newer routing than this host.
struct read_routing_action
{
};

/// A peer knows of changes of the databases that this host doesn't.
struct read_upstreams_action
{
};

/// Writes the record of a service if its version is still the expected one.
struct write_record_action
{
    std::string service;
    succession::write_action write;
};

/// Asks a database for its status.
struct ask_status_action
{
    routes::upstream where;
};

/// Makes a replaced primary a replica.
struct demote_upstream_action
{
    routes::upstream where;
    upstream::term_number term{0};
};

/// Makes a database the primary of its service.
struct promote_upstream_action
{
    std::string service;
    succession::promote_action promote;
};

/// Breaks off the promotion call of a service, so that it arrives no more.
struct abort_promotion_action
{
    std::string service;
};

/// Removes the registration of a host that is gone.
struct remove_member_action
{
    std::string member;
};

using control_action =
    std::variant<heartbeat_action, read_records_action, read_members_action,
                 read_routing_action, read_upstreams_action,
                 write_record_action, ask_status_action, demote_upstream_action,
                 promote_upstream_action, abort_promotion_action,
                 remove_member_action>;

/// What a host does after one event.
struct entry_actions
{
    std::vector<control_action> control;
    pooling::actions pooling;
};

/// A change of what the host believes, for logs.
struct belief
{
    observe::log_event event{observe::log_event::upstream_known};
    std::string service;
    std::string detail;
    /// What decided it, by name.
    std::vector<observe::log_field> inputs{};
    /// A span to count in metrics, if one has ended.
    std::optional<observe::measure> took{};
    core::millis time{0};
};

/// A promotion call whose end is not known yet.
struct promotion_call
{
    succession::promote_action what;
    core::boot_instant sent;
};

using belief_observer = std::function<void(const belief&)>;

/// Who a host is.
struct entry_identity
{
    std::string name;
    std::string failure_domain;
    /// Grows with each start of the host.
    std::uint64_t incarnation{0};
};

/// All decisions of one host: sessions, connections, primaries, members.
///
/// Takes events with the time and returns actions; holds no socket, thread or
/// clock.
class entry_host
{
public:
    explicit entry_host(entry_identity identity);

    pooling::pooler& pooler() { return m_pooler; }
    const pooling::pooler& pooler() const { return m_pooler; }
    void observe(belief_observer on_belief);

    entry_actions on_routing(routes::routing routing, core::boot_instant now);
    /// Takes the whole list of databases; versions order its changes.
    entry_actions on_upstreams(const std::vector<routes::upstream>& all,
                               std::uint64_t version, core::boot_instant now);
    entry_actions on_upstream(const routes::upstream& one,
                              std::uint64_t version, core::boot_instant now);
    entry_actions on_upstream_removed(const std::string& id,
                                      std::uint64_t version,
                                      core::boot_instant now);

    /// Takes all records, read no earlier than `read_at`; they prove a lease
    /// up to the last list of hosts that showed this one.
    entry_actions
    on_records(const std::map<std::string, succession::leadership>& records,
               core::boot_instant read_at, core::boot_instant now);
    /// Takes one changed record.
    entry_actions on_record(const std::string& service,
                            const succession::leadership& record,
                            core::boot_instant now);
    /// Takes all registered hosts; versions order the lists. `read_at` tells
    /// that the whole list was read no earlier; empty when it follows from news
    /// of changes.
    void on_members(const fleet::members& members, std::uint64_t version,
                    std::optional<core::boot_instant> read_at,
                    core::boot_instant now);

    /// Whether this host follows the tables itself and passes news on; others
    /// hear from such hosts.
    bool follows_tables() const { return m_fleet.is_voter(); }
    /// Whether calls to the table service work.
    void set_tables_reachable(bool reachable) { m_reaches_tables = reachable; }
    fleet::table_versions versions() const;
    /// Where to ask for news: hosts of the own failure domain come first.
    std::vector<core::address> table_sources() const;
    /// News for a host that knows these versions; empty without any, unless it
    /// must be answered.
    std::optional<fleet::table_update>
    table_update_for(const fleet::table_versions& known, bool must_answer,
                     core::boot_instant now) const;
    /// Takes what a host that follows the tables tells.
    entry_actions on_table_update(const fleet::table_update& news,
                                  core::boot_instant now);

    /// Where a registered host is reached; empty when there is none.
    std::optional<core::address> address_of(const std::string& host) const;
    entry_actions on_heartbeat(std::string_view bytes, core::boot_instant now);

    /// Takes the answer to the write with this id.
    entry_actions
    on_record_written(const std::string& service, std::uint64_t id,
                      succession::write_outcome end, std::uint64_t version,
                      core::boot_instant sent, core::boot_instant now);
    entry_actions on_status(const std::string& service,
                            const std::string& upstream,
                            core::boot_instant asked,
                            const sql::status_answer& status,
                            core::boot_instant now);
    /// Takes the end of the promotion call with this token.
    entry_actions on_promoted(const std::string& service, std::uint64_t token,
                              succession::promotion_outcome end,
                              core::boot_instant now);

    entry_actions tick(core::boot_instant now);

    /// Whether callers should be sent here.
    bool is_ready(core::boot_instant now) const;

    /// Whether the routing is known.
    bool has_routing() const { return m_pooler.routing().version > 0; }

    /// Whether this host is replacing the primary of a service.
    bool is_claiming(const std::string& service) const;

    /// Whether this host has written that it replaces the primary.
    bool has_claimed(const std::string& service) const;

    /// Starts no more claims; one that runs goes on to its end.
    void stop_claims() { m_claims = false; }

private:
    succession::succession& succession_of(const std::string& service);
    void update_primary(succession::succession& one, core::boot_instant now,
                        entry_actions& out);
    void send_heartbeats(core::boot_instant now, entry_actions& out);
    void
    send_heartbeat(const std::string& peer,
                   const std::map<std::string, fleet::service_status>& news,
                   entry_actions& out);
    std::set<std::string> heartbeat_targets(core::boot_instant now) const;
    fleet::service_status service_status_of(const std::string& service,
                                            core::boot_instant now) const;
    void carry_out(const std::string& service,
                   const succession::claim_actions& wanted,
                   core::boot_instant now, entry_actions& out);
    void promote(const std::string& service,
                 const succession::promote_action& wanted,
                 core::boot_instant now, entry_actions& out);
    void abort_call(const std::string& service, entry_actions& out);
    void tell_claim_end(succession::succession& one, core::boot_instant now);
    void run_claims(core::boot_instant now, entry_actions& out);
    void update_upstreams(core::boot_instant now, entry_actions& out);
    void renew_leases(core::boot_instant now, entry_actions& out);
    bool is_registered() const { return m_members.contains(m_identity.name); }
    void prove_by_table(succession::succession& one, std::uint64_t version,
                        core::boot_instant at) const;
    void prove_by_reads();
    void remove_lost_members(core::boot_instant now, entry_actions& out);
    bool take_record(const std::string& service,
                     const succession::leadership& record,
                     core::boot_instant now, entry_actions& out);
    void read_what_peers_know(const fleet::heartbeat& got,
                              core::boot_instant now, entry_actions& out);
    std::size_t doubted_services(core::boot_instant now) const;
    void watch_isolation(core::boot_instant now);
    std::size_t rank_for(const std::string& service,
                         core::boot_instant now) const;
    void plan_connections();
    bool watches(const std::string& service) const;
    bool knows_present_tables(core::boot_instant now) const;
    void tell(observe::log_event event, const std::string& service,
              std::string detail) const;
    void tell(const belief& one) const;

    entry_identity m_identity;
    pooling::pooler m_pooler;
    fleet::fleet_options m_fleet_options;
    fleet::fleet_view m_fleet;
    fleet::plan_options m_plan_options;
    fleet::members m_members;
    std::uint64_t m_members_version{0};
    bool m_reaches_tables{true};
    /// The list of hosts was whole at this instant or later.
    core::boot_instant m_members_read_at{};
    /// Hosts that told this one of a newer record and wait for its agreement.
    std::set<std::string> m_awaiting;
    std::map<std::string, fleet::service_holders> m_holders;
    upstream_directory m_directory;
    std::vector<routes::upstream> m_upstreams;
    std::uint64_t m_upstreams_version{0};
    /// Newest versions that any peer has told.
    std::uint64_t m_told_routing{0};
    std::uint64_t m_told_upstreams{0};
    /// Version that a peer knew when the list was last asked for.
    std::uint64_t m_wanted_upstreams{0};
    std::map<fleet::service_key, std::string> m_service_keys;
    std::map<std::string, succession::succession> m_successions;
    /// The promotion call under way of each service.
    std::map<std::string, promotion_call> m_calls;
    belief_observer m_on_belief;
    bool m_knows_records{false};
    /// A record's version as the table service showed it.
    struct record_read
    {
        std::uint64_t version{0};
        core::boot_instant at{};
    };
    std::map<std::string, record_read> m_reads;
    /// This host was registered at this instant or later, as far as it knows.
    std::optional<core::boot_instant> m_registered_at;
    bool m_claims{true};
    core::boot_instant m_last_round{};
    core::boot_instant m_last_record_read{};
    core::boot_instant m_last_table_read{};
    std::optional<core::boot_instant> m_behind_since;
    std::optional<core::boot_instant> m_isolated_since;
    std::size_t m_doubts{0};
    core::boot_instant m_last_removal{};
};

} // namespace plantainward::entry
