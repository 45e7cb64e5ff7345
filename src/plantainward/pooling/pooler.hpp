#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/pooling/action.hpp>
#include <plantainward/pooling/drain_stage.hpp>
#include <plantainward/pooling/opening.hpp>
#include <plantainward/pooling/service_view.hpp>
#include <plantainward/pooling/session.hpp>
#include <plantainward/quota/token_ledger.hpp>
#include <plantainward/quota/token_requester.hpp>
#include <plantainward/quota/workspace_labels.hpp>

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

/// Kind of a decision about one statement.
enum class decision_kind : std::uint8_t
{
    placed,
    forwarded,
    queued,
    retried,
    lost,
    timed_out,
    refused,
    /// A commit was confirmed to the caller.
    committed
};

/// Why a statement was refused, for metrics.
enum class refusal_cause : std::uint8_t
{
    other,
    /// On its arrival, the work that was queued left no time for it.
    no_time_on_arrival,
    /// While it waited, other work with precedence left no time for it.
    no_time_left,
    /// It waited until its limit.
    waited_too_long,
    /// The service's retries were used up.
    no_retries_left
};

/// Names of the causes in logs and metrics.
inline constexpr core::enum_names<refusal_cause, 5> refusal_cause_names{
    {"other", "no_time_on_arrival", "no_time_left", "waited_too_long",
     "no_retries_left"}};

/// A decision about one statement with the inputs that led to it, for logs.
struct decision
{
    decision_kind kind{decision_kind::placed};
    /// Id that the caller gave the statement.
    std::string_view request;
    std::string_view service;
    std::string_view upstream;
    std::string detail;
    std::size_t attempt{0};
    /// Time since the statement arrived.
    core::millis elapsed{0};
    /// Time left of the lease on the primary; negative when there is none.
    core::millis lease_left{-1};
    /// Age of the newest watermark; negative when there is none.
    core::millis watermark_age{-1};
    std::uint64_t routing_version{0};
    refusal_cause cause{refusal_cause::other};
    /// Workspace of the caller, or "other"; empty without workspaces.
    std::string workspace{};
    int priority{0};
    /// Waiting statements of the service on this host with the same priority,
    /// and with the same workspace.
    std::size_t queued_of_priority{0};
    std::size_t queued_of_workspace{0};
    /// Statements that this host may have in flight at the primary; 0 when the
    /// host does not decide on admission.
    double window{0};
};

/// Receives decisions; must not block. The decision is valid during the call.
using decision_observer = std::function<void(const decision&)>;

/// The end of one statement, for metrics.
struct finished_statement
{
    const routes::route& route;
    /// Empty when the statement succeeded.
    std::optional<core::error_kind> error;
    bool at_replica{false};
    /// Time between the statement's arrival and its answer.
    core::millis elapsed{0};
};

/// Receives the end of each statement of this host's callers; must not block.
using statement_observer = std::function<void(const finished_statement&)>;

/// Why a statement was refused before it was given to a database.
enum class identity_refusal_cause : std::uint8_t
{
    /// No workspace ever had the caller's key in the routing of this host.
    unknown_key,
    /// The key was valid earlier in the session, or belongs to another
    /// workspace now than the open transaction.
    withdrawn_key,
    /// This host can't prove that its routing is current.
    routing_not_proved
};

inline constexpr core::enum_names<identity_refusal_cause, 3>
    identity_refusal_cause_names{
        {"unknown_key", "withdrawn_key", "routing_not_proved"}};

/// A refusal because of the caller's key or of the routing's age, for logs and
/// metrics.
struct identity_refusal
{
    identity_refusal_cause cause{identity_refusal_cause::unknown_key};
    /// Workspace of the session before the refusal; empty: none.
    std::string_view workspace;
    std::uint64_t routing_version{0};
    /// Time since the routing was proved to be current; negative when it was
    /// not proved since this process started.
    core::millis proof_age{-1};
};

/// Receives refusals; must not block. The refusal is valid during the call.
using refusal_observer = std::function<void(const identity_refusal&)>;

/// Result of opening a session.
enum class open_result : std::uint8_t
{
    opened,
    /// No route has this database name.
    unknown_database,
    /// The route is not public, and no workspace holds the caller's key.
    unknown_key,
    /// This host is about to end.
    host_stopping
};

/// Settings of the pooler.
struct pooler_options
{
    /// Failure domain of this host; databases in it are preferred for reads.
    std::string failure_domain;
    /// Time for which a leaving primary still gets new work, from the instant
    /// at which this host learns that it is leaving.
    core::millis leaving_grace{3000};
    /// Name of this host among the owners of quotas; also spreads its pauses
    /// from those of other hosts.
    std::string host{};
    /// Statements under a key start only while the proof that the routing is
    /// current is at most this old; empty: no proof is needed.
    std::optional<core::millis> max_proof_age{};
    /// The bound that quotas keep.
    quota::quota_bounds quota{};
};

/// Runs the statements of callers' sessions on pooled database connections.
///
/// Receives events with the current time and returns the actions to carry out;
/// it has no sockets and no clock. Many sessions share few connections; a
/// transaction keeps its connection until its end. A statement that may have
/// run is sent again only if it cannot have changed data.
class pooler
{
public:
    explicit pooler(pooler_options options);

    /// Sets the receivers of decisions and of ended statements; either may be
    /// empty.
    void observe(decision_observer on_decision,
                 statement_observer on_statement);
    /// Sets the receiver of refusals because of a key or of the routing's age.
    void observe_refusals(refusal_observer on_refusal)
    {
        m_on_refusal = std::move(on_refusal);
    }
    /// Sets the receiver of the causes of openings; may be empty.
    void observe_openings(opening_observer on_opening);

    /// Replaces the routing; returns false and changes nothing unless its
    /// version is newer.
    bool set_routing(routes::routing routing, core::boot_instant now);
    const routes::routing& routing() const { return m_routing; }

    /// Sets the instant at or after which the table service had no newer
    /// routing than this host's; empty: it is not known.
    void set_routing_proof(std::optional<core::boot_instant> at)
    {
        m_routing_proof = at;
    }

    /// Replaces the registered databases of all services. Connections to
    /// databases that are gone, restarted or moved are closed.
    actions set_upstreams(const std::vector<routes::upstream>& upstreams,
                          core::boot_instant now);

    /// Sets how the connections of a service are divided among hosts.
    void set_plan(const std::string& service, connection_plan plan);

    /// Sets how far a planned stop of this host has got; a stage that is
    /// earlier than the present one is ignored. Ends what the stage ends;
    /// called again in the same stage, also what has come to rest since.
    actions advance_drain(drain_stage stage, core::boot_instant now);

    /// Sets the primary of a service (empty for none), the end of the lease
    /// under which this host may use it, and the term that it leads (0 when not
    /// known).
    actions set_primary(const std::string& service, const std::string& upstream,
                        core::boot_instant until, core::boot_instant now,
                        upstream::term_number term = 0);

    /// Sets whether this host is isolated. While it is, statements that cannot
    /// start are refused at once instead of queued: no database can be proved
    /// to be the primary, and other hosts can serve the caller.
    void set_isolated(bool isolated) { m_isolated = isolated; }
    bool is_isolated() const { return m_isolated; }

    /// Adds a watermark that another host observed.
    void add_watermark(const std::string& service,
                       const freshness::watermark& watermark);
    /// The newest watermark of a service; empty when there is none.
    std::optional<freshness::watermark>
    newest_watermark(const std::string& service) const;

    /// Statements of this host in flight at each database of a service, in the
    /// order of the databases' ids; larger numbers are reported as 255. Empty
    /// for a service that every host holds connections to.
    std::vector<std::uint8_t>
    in_flight_by_database(const std::string& service) const;
    /// Another host has reported its statements in flight, in the same order
    /// and no earlier than `at`; ignored when the number of databases differs.
    void add_load_report(const std::string& service, const std::string& host,
                         const std::vector<std::uint8_t>& in_flight,
                         core::boot_instant at);

    /// Another host gets no answer from a database; this host probes it at the
    /// next `tick` unless it has just heard from it.
    void doubt(const std::string& service, const std::string& upstream,
               core::boot_instant now);

    /// Whether a database does not seem to answer this host; false for unknown
    /// databases.
    bool is_suspected(const std::string& service, const std::string& upstream,
                      core::boot_instant now) const;

    /// Since when this host knows that a database is leaving; empty when it is
    /// not, and for unknown databases.
    std::optional<core::boot_instant>
    leaving_since(const std::string& service,
                  const std::string& upstream) const;

    /// Opens a session of a caller with a key, whose digest is empty without
    /// one.
    open_result open_session(session_id id, const std::string& database,
                             const std::string& key_digest,
                             core::boot_instant now);
    /// Closes a session; its open transaction is rolled back.
    actions close_session(session_id id, core::boot_instant now);
    /// Runs a statement, or queues it behind the session's current one. Each
    /// statement is answered by one `reply_action`.
    actions on_statement(session_id id, sql::statement statement,
                         core::boot_instant now);

    /// Callers' sessions with no open transaction and no running statement.
    std::vector<session_id> idle_sessions() const;
    std::size_t session_count() const { return m_sessions.size(); }
    /// Number of statements that wait or run.
    std::size_t work_count() const { return m_work_count; }

    /// A connection that was requested by `open_action` is open; `position` is
    /// the end of the log that the database reports, if it does.
    actions on_opened(connection_id id,
                      std::optional<upstream::log_point> position,
                      core::boot_instant now);
    /// A connection could not be opened; `refusal` is empty when the database
    /// gave no reason.
    actions on_open_failed(connection_id id,
                           std::optional<sql::refusal> refusal,
                           core::boot_instant now);
    /// An open connection was closed or broken by the other end.
    actions on_closed(connection_id id, core::boot_instant now);
    /// The database answered the oldest unanswered command of a connection.
    actions on_answer(connection_id id, sql::command_answer answer,
                      core::boot_instant now);

    /// Runs a statement that another host forwarded. Each is answered by one
    /// `forwarded_reply_action`; an operation runs one statement at a time.
    actions run_forwarded(const std::string& host, operation_id operation,
                          forwarded_work work, core::boot_instant now);
    /// Ends an operation of another host and rolls back its open transaction.
    actions end_forwarded(const std::string& host, operation_id operation,
                          core::boot_instant now);

    /// The answer to a statement that this host forwarded has arrived; late
    /// answers are ignored.
    actions on_forwarded_reply(session_id id, operation_id operation,
                               forwarded_reply answer, core::boot_instant now);
    /// No answer to a forwarded statement will arrive; `sent` tells whether it
    /// may have run.
    actions on_forward_lost(session_id id, operation_id operation, bool sent,
                            core::boot_instant now);

    /// Replaces the voters, some of which own the quotas. With
    /// `has_all_domains` unset, the failure domain of a voter is not known,
    /// and this host grants no tokens.
    void set_quota_voters(std::uint64_t version,
                          const quota::voter_domains& voters,
                          bool has_all_domains, core::boot_instant now);
    /// Notes that a majority of the voters had the same set at this instant or
    /// later.
    void set_quota_majority_at(core::boot_instant at, core::boot_instant now);
    /// Whether any workspace has a quota.
    bool has_quotas() const { return !m_quota_limits.empty(); }
    /// Quota events of this host's callers, by workspace.
    std::map<std::string, quota::quota_counts> quota_counts() const
    {
        return m_tokens.counts();
    }
    /// Names of workspaces in logs and metrics.
    const quota::workspace_labels& workspace_labels() const
    {
        return m_workspace_labels;
    }

    /// Another host requests tokens; answered by one `grant_tokens_action`.
    actions on_token_request(const std::string& host, std::uint64_t request,
                             const std::string& workspace, std::uint32_t count,
                             core::boot_instant now);
    /// The answer to a `request_tokens_action` has arrived.
    actions on_token_grant(std::uint64_t request,
                           const quota::token_grant& grant,
                           core::boot_instant now);
    /// No answer to a `request_tokens_action` will arrive.
    actions on_token_request_lost(std::uint64_t request,
                                  core::boot_instant now);

    /// Ends statements whose time is up and idle transactions, probes silent
    /// databases, and serves the queue.
    actions tick(core::boot_instant now);

    /// Whether any statement waits or runs.
    bool is_busy() const { return m_work_count > 0; }

private:
    struct connection_location
    {
        std::string service;
        std::string upstream;
    };

    // Sessions and statements.
    void process_statement(session& session, sql::statement statement);
    void run_statement(session& session, sql::statement statement);
    void run_work(session& session, sql::statement statement,
                  const routes::route& route, core::millis time_left);
    void start_work(session& session);
    void begin(session& session, const sql::statement& statement);
    void roll_back(session& session);
    void reply(session& session, sql::reply answer);
    void finish(session& session, sql::reply answer);
    /// The detail is added to the text in logs.
    void refuse(session& session, core::error_kind kind,
                const std::string& text,
                refusal_cause cause = refusal_cause::other,
                const std::string& detail = {});
    void fail_transaction(session& session, bool is_reported);

    // The planned stop.
    bool may_start_operation(const session& session) const;
    static sql::reply stopping_reply(const session& session);
    void close_if_stopping(const session& session);
    void roll_back_idle_transactions();
    void end_all_work();
    void end_work(session& session);

    // The callers' keys.
    bool authorize(session& session, const sql::statement& statement);
    const routes::workspace* holder_of_key(const session& session) const;
    bool needs_key(const session& session) const;
    bool has_valid_identity(const session& session) const;
    bool lacks_proof(const session& session) const;
    void refuse_identity(session& session, const sql::statement& statement,
                         core::error_kind kind, const char* text);
    void end_withdrawn_work();
    void report_refusal(identity_refusal_cause cause,
                        const std::string& workspace);

    // Statements that other hosts run for this host, and this host for others.
    bool may_forward_to(const std::string& host, const std::string& service);
    void avoid_lost_host(const std::string& host);
    bool try_forward(session& session, const std::vector<std::string>& hosts);
    bool is_primary_unreachable(const work& work);
    void return_remote_work();
    bool is_primary_withdrawn(const work& work);
    void refuse_for_withdrawn_primary(session& session);
    void refuse_waiting_for_withdrawn_primaries();
    void forward(session& session, const forwarding& target);
    void finish_forwarded(session& session, forwarded_reply answer);
    void end_forwarding(session& session);
    void reply_to_host(session& session, forwarded_reply answer);
    bool is_outdated(const forwarded_work& work) const;
    void refuse_on_this_host(session& session, const std::string& text);
    void erase_ended_remote_sessions();

    // Quotas.
    void update_quota_limits();
    void update_quota_owners();
    bool needs_token(const session& session) const;
    bool obtain_token(session& session);
    void use_token(session& session, const quota::token& token);
    void handle_tokens();
    void settle_token_wait(const quota::settled_wait& wait);
    void end_token_use(const session& session, bool was_not_run);

    // The queue.
    void enqueue(session& session);
    std::string unplaced_reason(const work& work);
    void serve_queue();
    bool is_within_target(const session& session) const;
    bool try_start(session& session);
    void end_expired_work();

    // Admission.
    candidate candidate_of(const session& session);
    service_rank rank_of_waiting(const session& session);
    std::vector<session_id> waiting_in_order(const std::string& service,
                                             bool needs_primary,
                                             session_id except);
    double service_rate(const service_view& service, bool needs_primary) const;
    double expected_ms(const service_view& service, const work& work) const;
    bool may_serve(const std::string& service,
                   std::map<std::string, bool>& known);
    bool reject_on_arrival(session& session);
    void reject_unservable();
    void record_start(const session& session);
    bool may_retry(const session& session);
    void end_longest_idle_transactions();
    void end_idle_transactions_at(const std::string& service,
                                  const upstream_pool& pool);
    void add_queue_state(decision& report, const session& session);

    // Connections.
    static void apply_plan(const connection_plan& plan, upstream_pool& pool);
    connection* find(connection_id id);
    upstream_pool* pool_of(connection_id id);
    service_view* service_of(connection_id id);
    connection& open(const std::string& service, upstream_pool& pool,
                     const std::string& workspace, bool is_probe = false);
    void report_opening(const std::string& service, const upstream_pool& pool,
                        const std::string& workspace, bool is_probe);
    void drop_unused_connections();
    delegation_view delegation_of(const session& session);
    void make_room(upstream_pool& pool, const std::string& workspace);
    static bool is_of_workspace(const connection& connection,
                                const session& session);
    void leave_connection(connection& connection, session& session);
    void assign_connection(connection& connection, session& session);
    void prepare_connection(connection& connection, session& session);
    bool must_show_log(const connection& connection, const session& session);
    void send_statement(connection& connection, session& session);
    void release(connection& connection, bool in_transaction);
    void drop(connection_id id);
    void remove_connection(connection_id id);
    void handle_lost_work(session& session, bool sent, std::string_view detail);
    void note_failure(service_view& service, upstream_pool& pool);
    void retry_elsewhere(session& session, const std::string& upstream,
                         sql::refusal refusal);
    void handle_setup_answer(connection& connection,
                             const sql::command_answer& answer);
    void retry_or_abort(connection& connection, session& session,
                        sql::refusal refusal, sql::transaction_state state);
    void end_lost_transaction(connection& connection, session& session,
                              sql::transaction_state state);
    void handle_statement_answer(connection& connection,
                                 sql::command_answer answer);
    void handle_statement_error(connection& connection, session& session,
                                sql::command_answer answer);
    void resend_due_statements();
    void add_watermark(const connection& connection,
                       const sql::command_answer& answer);
    void record_answer(connection& connection,
                       const sql::command_answer& answer);
    void drop_silent_connections();
    void drop_lost_answers();
    void probe_silent_upstreams();
    void drop_surplus_connections();
    void report_decision(decision_kind kind, const session& session,
                         const std::string& upstream, std::string detail,
                         refusal_cause cause = refusal_cause::other);
    actions collect_actions();

    pooler_options m_options;
    decision_observer m_on_decision;
    statement_observer m_on_statement;
    refusal_observer m_on_refusal;
    opening_observer m_on_opening;
    routes::routing m_routing;
    /// The keys of waiting statements and open transactions have to be looked
    /// up in the routing again.
    bool m_must_recheck_keys{false};
    std::optional<core::boot_instant> m_routing_proof;
    quota::limits_by_workspace m_quota_limits;
    quota::voter_domains m_quota_voters;
    quota::workspace_labels m_workspace_labels;
    quota::token_ledger m_ledger;
    quota::token_requester m_tokens;
    std::map<std::string, service_view> m_services;
    std::unordered_map<connection_id, connection_location> m_locations;
    std::unordered_map<session_id, session> m_sessions;
    std::vector<session_id> m_queue;
    std::size_t m_work_count{0};
    bool m_isolated{false};
    drain_stage m_drain_stage{drain_stage::none};
    operation_id m_last_operation_id{0};
    /// Sessions that run operations of other hosts, by host and operation.
    std::map<std::pair<std::string, operation_id>, session_id>
        m_remote_sessions;
    session_id m_last_remote_id{0};
    /// Remote sessions whose operation has ended.
    std::vector<session_id> m_ended_remote_sessions;
    /// A host that did not answer: until when it gets no new statements, and
    /// the length of that pause, which is doubled when it does not answer
    /// again.
    struct avoided_host
    {
        core::boot_instant until;
        core::millis pause{0};
    };

    std::map<std::string, avoided_host> m_avoided_hosts;
    /// Until when a host gets no new statements of a service, by service and
    /// host.
    std::map<std::pair<std::string, std::string>, core::boot_instant>
        m_avoided_for_service;
    connection_id m_last_connection_id{0};
    core::boot_instant m_now{};
    actions m_actions;
};

} // namespace plantainward::pooling
