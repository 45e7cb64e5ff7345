#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/pooling/connection.hpp>
#include <plantainward/pooling/connection_budget.hpp>
#include <plantainward/pooling/database_load.hpp>
#include <plantainward/pooling/flight_window.hpp>
#include <plantainward/pooling/load_reports.hpp>
#include <plantainward/pooling/refusal_pause.hpp>
#include <plantainward/routes/routing.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::pooling
{

/// The connections of this host to one database, with the database's health,
/// load and log point as observed on them.
class upstream_pool
{
public:
    /// A database that is leaving gets new work for `leaving_grace`. `host` is
    /// the name of this host.
    upstream_pool(routes::upstream registration, core::millis leaving_grace,
                  std::string_view host = {})
        : m_registration(std::move(registration)),
          m_leaving_grace(leaving_grace), m_budget(host, m_registration.id),
          m_busy_pause(m_budget.seed()), m_write_pause(m_budget.seed())
    {
    }

    const routes::upstream& registration() const { return m_registration; }
    void set_registration(const routes::upstream& registration,
                          core::boot_instant now);

    /// Since when this host knows that the database is leaving; empty when it
    /// is not.
    std::optional<core::boot_instant> leaving_since() const
    {
        return m_leaving_since;
    }

    /// Whether the database has been leaving for so long that it gets no new
    /// work any more.
    bool is_withdrawn(core::boot_instant now) const
    {
        return m_leaving_since && now - *m_leaving_since >= m_leaving_grace;
    }

    /// The database is gone: no statement starts here any more.
    void retire() { m_is_retired = true; }

    /// Sets the largest number of connections that this host may hold.
    void set_share(std::size_t share) { m_share = share; }
    std::size_t share() const { return m_share; }

    /// Sets whether only a few hosts hold the connections. Then the first
    /// openings are limited, and statements in flight are limited by the
    /// database's delay.
    void set_shared(bool is_shared)
    {
        m_is_shared = is_shared;
        m_budget.set_slow_start(is_shared);
    }

    /// Delays the first probe of a host that only watches the database; a
    /// doubted database is probed at once all the same.
    void delay_first_probe(core::boot_instant now);

    /// Limit of the statements in flight; used while the pool is shared.
    const flight_window& window() const { return m_window; }

    /// Statements that the database is expected to complete for this host in a
    /// millisecond; 0 when no connection can be used.
    double statements_per_ms(core::boot_instant now) const;

    /// Number of connections of a stage.
    std::size_t count(connection_stage stage) const;

    /// What the database's refusals allow this host to open.
    const connection_budget& budget() const { return m_budget; }

    /// The connections by id.
    std::map<connection_id, connection>& connections() { return m_connections; }
    const std::map<connection_id, connection>& connections() const
    {
        return m_connections;
    }
    /// A connection of this pool; null when there is none with this id.
    connection* find(connection_id id);
    const connection* find(connection_id id) const;

    /// An idle connection of the workspace, preferably one that holds these
    /// session values; null when there is none.
    connection* idle_connection(std::string_view workspace,
                                const session_values& values);
    /// Whether the workspace has an idle connection.
    bool has_idle_connection(std::string_view workspace) const;

    /// A connection of any workspace on which the database can be probed; null
    /// when none is idle.
    connection* probe_connection();

    /// The connection that is closed to make room for one of the workspace: the
    /// least recently used idle connection of the other workspaces. Null when
    /// there is room, and when nothing can be closed.
    const connection* eviction_candidate(std::string_view workspace) const;

    /// Whether another connection may be opened now without closing one.
    bool may_open(core::boot_instant now) const;
    /// Whether a connection of the workspace may be opened now, possibly after
    /// closing the `eviction_candidate`.
    bool may_open(std::string_view workspace, core::boot_instant now) const;

    /// Whether a statement of some workspace can start here now.
    bool has_any_capacity(core::boot_instant now) const;

    /// Whether a statement of the workspace can start here now.
    bool has_capacity(std::string_view workspace, core::boot_instant now) const;

    /// Adds a connection that is being opened for a workspace.
    connection& add(connection_id id, std::string workspace,
                    core::boot_instant now);
    void erase(connection_id id) { m_connections.erase(id); }

    /// The database sent something; ends any suspicion and backoff.
    void record_contact(core::boot_instant now);
    /// A connection was opened.
    void record_opened(core::boot_instant now);
    /// A connection was reset or timed out; failures in a row delay the next
    /// opening.
    void record_failure(core::boot_instant now);
    /// An opening that was requested at `sent` was refused, reset or timed out;
    /// nothing is opened for a pause.
    void record_refused_opening(core::boot_instant sent,
                                core::boot_instant now);
    /// All slots of the database were taken; halves the number of statements
    /// that run there at a time and pauses before the next one.
    void record_busy(core::boot_instant now);

    /// The database refused a write because it is not the primary; statements
    /// that need the primary pause.
    void record_not_primary(core::boot_instant now);
    /// The database ran a write.
    void record_write() { m_write_pause.end(); }
    /// Whether the database has just refused a write; after a pause, one
    /// statement tries it.
    bool refuses_writes(core::boot_instant now) const
    {
        return m_write_pause.is_active(now) ||
               (m_write_pause.is_trying() && busy_count() > 0);
    }

    /// A connection was closed because the database did not answer; the
    /// database is suspected until it sends something.
    void record_silence() { m_was_silent = true; }

    /// Another host gets no answer from the database: probes it, unless it has
    /// just sent something to this host.
    void doubt(core::boot_instant now);

    /// Whether the database does not seem to answer this host.
    bool is_suspected(core::boot_instant now) const;

    /// Whether a probe should be sent to test whether the database answers.
    bool needs_probe(core::boot_instant now) const;

    /// Number of connections on which a statement runs or is being prepared.
    std::size_t busy_count() const;

    /// Last reported log point of the data that reads see here.
    const upstream::log_point& known_point() const { return m_known_point; }
    /// Sets the known point, also to a lower one.
    void update_known_point(const upstream::log_point& point);

    /// The database refused a read because it lacked this log point.
    void record_missing_point(const upstream::log_point& point,
                              core::boot_instant now);
    /// The database has run a read that required a log point.
    void clear_missing_point(const upstream::log_point& point);
    /// A read that requires a log point is sent. If the database lacked the
    /// point before, further reads wait for the answer.
    void note_point_required(const upstream::log_point& point,
                             core::boot_instant now);
    /// Whether the database has recently lacked this log point or an earlier
    /// one.
    bool is_behind(const upstream::log_point& point,
                   core::boot_instant now) const;

    /// A statement that was sent at this instant was answered; counts it for
    /// the connections whose commands were sent earlier.
    void count_overtaken(core::boot_instant sent);

    /// Connections whose answer is presumed lost, since later statements on
    /// other connections were answered or the database is suspected.
    std::vector<connection_id> lost_answers(core::boot_instant now) const;

    /// A statement of a route succeeded after this time; updates the expected
    /// time and raises the limit of concurrent statements.
    void record_duration(std::string_view route, core::millis time,
                         core::boot_instant now);
    /// Moving average of the time of one statement, in milliseconds.
    double expected_ms() const { return m_expected_ms; }

    /// What this host has observed of the database's load.
    database_load& load() { return m_load; }
    const database_load& load() const { return m_load; }
    /// What other hosts have reported of it.
    load_reports& reports() { return m_reports; }
    const load_reports& reports() const { return m_reports; }

private:
    std::optional<core::boot_instant> oldest_unanswered() const;
    /// Whether pauses after failures allow another connection to be opened.
    bool is_opening_allowed(core::boot_instant now) const;
    /// Whether the window and the pauses allow another statement.
    bool may_send(core::boot_instant now) const;
    bool may_send_another() const;

    database_load m_load;
    load_reports m_reports;

    routes::upstream m_registration;
    core::millis m_leaving_grace;
    std::optional<core::boot_instant> m_leaving_since;
    bool m_is_retired{false};
    std::size_t m_share{1};
    connection_budget m_budget;
    bool m_is_shared{false};
    flight_window m_window;
    refusal_pause m_busy_pause;
    refusal_pause m_write_pause;
    core::boot_instant m_no_idle_probe_before{};
    std::map<connection_id, connection> m_connections;
    core::boot_instant m_last_contact{};
    std::optional<core::boot_instant> m_first_failure;
    std::size_t m_failures{0};
    bool m_was_silent{false};
    bool m_is_doubted{false};
    core::boot_instant m_no_open_before{};
    upstream::log_point m_known_point;
    upstream::log_point m_missing_point;
    core::boot_instant m_missing_at{};
    /// The database was last seen to lack the point; false while a trial is
    /// under way.
    bool m_is_point_missing{false};
    /// For how long the database is presumed to lack the missing point.
    core::millis m_missing_time{0};
    /// Statements that may run at a time; 0 when only the connections limit
    /// them.
    double m_send_limit{0};
    core::boot_instant m_no_send_before{};
    double m_expected_ms{15};
};

} // namespace plantainward::pooling
