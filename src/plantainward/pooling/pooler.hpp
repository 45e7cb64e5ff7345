#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/pooling/action.hpp>
#include <plantainward/pooling/service_view.hpp>
#include <plantainward/pooling/session.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantainward::pooling
{

/// Kinds of decisions about one request.
enum class decision_kind : std::uint8_t
{
    placed,
    forwarded,
    queued,
    retried,
    lost,
    timed_out,
    refused,
    /// The caller is told that a write is kept.
    committed
};

/// A decision about one request with the inputs that decided it.
struct decision
{
    decision_kind kind{decision_kind::placed};
    /// Id that the caller gave the request.
    std::string_view request;
    std::string_view service;
    std::string_view upstream;
    std::string detail;
    std::size_t attempt{0};
    /// Time since the statement came.
    core::millis elapsed{0};
    /// What is left of the right to use the primary; negative: none.
    core::millis lease_left{-1};
    /// Age of the newest watermark; negative: there is none.
    core::millis watermark_age{-1};
    std::uint64_t routing_version{0};
};

/// Receives decisions; must not block.
using decision_observer = std::function<void(const decision&)>;

/// How one statement ended, for metrics.
struct finished_statement
{
    const routes::route& route;
    std::optional<core::error_kind> error;
    bool at_replica{false};
    core::millis elapsed{0};
};

using statement_observer = std::function<void(const finished_statement&)>;

/// Settings of the pooler.
struct pooler_options
{
    std::string failure_domain;
};

/// The decisions of one host between callers' sessions and databases.
///
/// Takes events with the time and returns actions; holds no socket and no
/// clock. Sessions share few connections; a transaction keeps its connection
/// to its end. What may have run is never sent again unless it only reads.
class pooler
{
public:
    explicit pooler(pooler_options options) : m_options(std::move(options)) {}

    void observe(decision_observer on_decision,
                 statement_observer on_statement);

    /// Takes a newer routing; an older one is dropped.
    bool set_routing(routes::routing routing, core::boot_instant now);
    const routes::routing& routing() const { return m_routing; }

    /// Takes the registered databases of all services.
    actions set_upstreams(const std::vector<routes::upstream>& upstreams,
                          core::boot_instant now);

    /// Says who holds the connections of a service.
    void set_plan(const std::string& service, connection_plan plan);

    /// A draining host takes no new work of other hosts.
    void set_draining() { m_draining = true; }

    /// Names the primary of a service, until when it may be used, and the term
    /// that it leads; 0 when that is not known.
    actions set_primary(const std::string& service, const std::string& upstream,
                        core::boot_instant until, core::boot_instant now,
                        upstream::term_number term = 0);

    /// While isolated, what needs a primary is refused at once: no database
    /// can be proved to be the primary, and other hosts can serve the caller.
    void set_isolated(bool isolated) { m_isolated = isolated; }
    bool is_isolated() const { return m_isolated; }

    /// Takes a watermark that a peer made.
    void add_watermark(const std::string& service,
                       const freshness::watermark& one);
    std::optional<freshness::watermark>
    newest_watermark(const std::string& service) const;

    /// Whether a database seems not to answer this host.
    bool is_suspected(const std::string& service, const std::string& upstream,
                      core::boot_instant now) const;

    /// Opens a session; false when no route has this database name.
    bool open_session(session_id id, const std::string& database,
                      core::boot_instant now);
    actions close_session(session_id id, core::boot_instant now);
    actions on_statement(session_id id, sql::statement one,
                         core::boot_instant now);

    /// Sessions without a transaction and without a statement in work.
    std::vector<session_id> idle_sessions() const;
    std::size_t session_count() const { return m_sessions.size(); }

    /// Ends all open transactions that are not running a statement.
    actions end_transactions(core::boot_instant now);

    actions on_opened(connection_id id, core::boot_instant now);
    actions on_open_failed(connection_id id, std::optional<sql::refusal> why,
                           core::boot_instant now);
    actions on_closed(connection_id id, core::boot_instant now);
    actions on_answer(connection_id id, sql::command_answer answer,
                      core::boot_instant now);

    /// Runs a statement for another host. Each is answered by one
    /// `forwarded_reply_action`; an operation has one statement in work.
    actions run_forwarded(const std::string& host, operation_id operation,
                          forwarded_work work, core::boot_instant now);
    /// Forgets an operation of another host and rolls back what is open.
    actions end_forwarded(const std::string& host, operation_id operation,
                          core::boot_instant now);

    /// Takes the answer to a statement that this host passed on.
    actions on_forwarded_reply(session_id id, operation_id operation,
                               forwarded_reply answer, core::boot_instant now);
    /// The answer will not come; `sent` when the statement may have run.
    actions on_forward_lost(session_id id, operation_id operation, bool sent,
                            core::boot_instant now);

    /// Ends what has waited too long, asks silent databases, serves the queue.
    actions tick(core::boot_instant now);

    /// Whether a statement waits or runs.
    bool is_busy() const { return m_in_work > 0; }

private:
    struct connection_place
    {
        std::string service;
        std::string upstream;
    };

    // Sessions and statements.
    void start(session& who, sql::statement one);
    void start_work(session& who, sql::statement one);
    void run_work(session& who, sql::statement one, const routes::route& route,
                  core::millis time_left);
    void begin(session& who, const sql::statement& one);
    void roll_back(session& who);
    void reply(session& who, sql::reply answer);
    void finish(session& who, sql::reply answer);
    void refuse(session& who, core::error_kind kind, const std::string& text);
    void fail_transaction(session& who, bool told);

    // Work that other hosts run for this one, and this one for others.
    bool may_try(const std::string& host, const std::string& service);
    void host_lost(const std::string& host);
    bool try_forward(session& who, const std::vector<std::string>& hosts);
    bool is_cut_from_primary(const work& what);
    void send_remote_elsewhere();
    void forward(session& who, const forwarding& to);
    void forwarded_done(session& who, forwarded_reply answer);
    void end_forwarding(session& who);
    void reply_to_host(session& who, forwarded_reply answer);
    void refuse_here(session& who, const std::string& text);
    void end_remote_sessions();

    // The queue.
    void wait(session& who);
    std::string why_not_placed(const work& what);
    void serve_queue();
    bool meets_target(const session& who) const;
    bool try_start(session& who);
    void give_up_late_work();

    // Connections.
    connection* find(connection_id id);
    upstream_pool* pool_of(connection_id id);
    service_view* service_of(connection_id id);
    connection& open(const std::string& service, upstream_pool& pool);
    void use(connection& one, session& who);
    void set_up(connection& one, session& who);
    void send_main(connection& one, session& who);
    void release(connection& one, bool in_transaction);
    void drop(connection_id id);
    void connection_lost(connection_id id);
    void work_lost(session& who, bool sent, std::string_view detail);
    void retry_elsewhere(session& who, const std::string& upstream,
                         sql::refusal why);
    void setup_ended(connection& one, const sql::command_answer& last);
    void main_ended(connection& one, sql::command_answer answer);
    void main_failed(connection& one, session& who, sql::command_answer answer);
    void send_again();
    void learn(connection& one, const sql::command_answer& answer);
    void drop_silent();
    void leave_lost_answers();
    void probe_silent();
    void drop_surplus();
    void note(decision_kind kind, const session& who,
              const std::string& upstream, std::string detail);
    actions take();

    pooler_options m_options;
    decision_observer m_on_decision;
    statement_observer m_on_statement;
    routes::routing m_routing;
    std::map<std::string, service_view> m_services;
    std::unordered_map<connection_id, connection_place> m_places;
    std::unordered_map<session_id, session> m_sessions;
    std::vector<session_id> m_queue;
    std::size_t m_in_work{0};
    bool m_isolated{false};
    bool m_draining{false};
    operation_id m_last_operation{0};
    /// Sessions of other hosts by the operation that they run.
    std::map<std::pair<std::string, operation_id>, session_id> m_remote;
    session_id m_last_remote{0};
    /// Remote sessions whose operation has ended.
    std::vector<session_id> m_ended_remote;
    /// A host that was lost: until when it gets no new work, and for how long
    /// it is left after its next loss.
    struct lost_host
    {
        core::boot_instant until;
        core::millis pause{0};
    };

    std::map<std::string, lost_host> m_lost_hosts;
    /// The same for the work of one service, by service and host.
    std::map<std::pair<std::string, std::string>, core::boot_instant>
        m_avoided_for;
    connection_id m_last_connection{0};
    core::boot_instant m_now{};
    actions m_out;
};

} // namespace plantainward::pooling
