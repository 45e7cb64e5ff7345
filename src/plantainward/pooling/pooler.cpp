#include <plantainward/pooling/pooler.hpp>

#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

using sql::statement_kind;

// Statements of one session that may wait behind its current one.
constexpr std::size_t max_queued_statements = 64;

// Fraction of a statement's time limit that it may wait for a database. A
// caller that is refused then has as much time left to try another host.
constexpr double max_wait_share = 0.5;

// Interval after which a waiting statement may be sent again to databases and
// hosts that refused it; multiplied by its number of attempts.
constexpr core::millis upstream_retry_interval{30};

// Whether a statement that ends with this error was refused before it ran.
// Other errors without an effect, such as conflicts, arise while it runs.
bool is_refusal(core::error_kind kind)
{
    switch (kind)
    {
    case core::error_kind::unavailable:
    case core::error_kind::overloaded:
    case core::error_kind::draining:
    case core::error_kind::too_stale:
    case core::error_kind::connection_limit:
    case core::error_kind::unauthenticated:
        return true;
    default:
        return false;
    }
}

} // namespace

pooler::pooler(pooler_options options)
    : m_options(std::move(options)), m_ledger(m_options.host, m_options.quota),
      m_tokens(m_options.quota)
{
}

void pooler::observe(decision_observer on_decision,
                     statement_observer on_statement)
{
    m_on_decision = std::move(on_decision);
    m_on_statement = std::move(on_statement);
}

void pooler::report_decision(decision_kind kind, const session& session,
                             const std::string& upstream, std::string detail,
                             refusal_cause cause)
{
    if (!m_on_decision || !session.current)
        return;
    const auto in_ms = [](auto time) {
        return std::chrono::duration_cast<core::millis>(time);
    };
    const auto& work = *session.current;
    decision report;
    report.kind = kind;
    report.request = work.statement.id;
    report.service = work.route.service;
    report.upstream = upstream;
    report.detail = std::move(detail);
    report.attempt = work.attempts;
    report.elapsed = in_ms(m_now - work.received);
    report.routing_version = m_routing.version;
    report.cause = cause;
    if (kind == decision_kind::queued || kind == decision_kind::refused)
        add_queue_state(report, session);
    report.workspace = m_workspace_labels.of(session.workspace);
    const auto& service = m_services[work.route.service];
    if (service.has_primary(m_now))
        report.lease_left = in_ms(service.primary_until - m_now);
    if (const auto watermark = service.watermarks.newest())
        report.watermark_age = in_ms(m_now - watermark->since);
    m_on_decision(report);
}

bool pooler::set_routing(routes::routing routing, core::boot_instant now)
{
    if (routing.version <= m_routing.version)
        return false;
    m_now = now;
    m_must_recheck_keys = routing.has_workspaces || m_routing.has_workspaces;
    m_routing = std::move(routing);
    for (const auto& [name, limits] : m_routing.services)
        m_services.try_emplace(name);
    update_quota_limits();
    return true;
}

void pooler::set_plan(const std::string& service, connection_plan plan)
{
    auto& view = m_services[service];
    view.plan = std::move(plan);
    for (auto& [id, pool] : view.upstreams)
        apply_plan(view.plan, pool);
}

void pooler::apply_plan(const connection_plan& plan, upstream_pool& pool)
{
    pool.set_share(plan.share);
    pool.set_shared(plan.is_shared);
}

actions pooler::set_upstreams(const std::vector<routes::upstream>& upstreams,
                              core::boot_instant now)
{
    m_now = now;
    std::map<std::string, const routes::upstream*> registered;
    for (const auto& upstream : upstreams)
        registered[upstream.id] = &upstream;
    for (auto& [name, service] : m_services)
    {
        std::vector<std::string> removed;
        for (auto& [id, pool] : service.upstreams)
        {
            const auto found = registered.find(id);
            const bool is_unchanged =
                found != registered.end() && found->second->service == name &&
                found->second->address == pool.registration().address &&
                found->second->started_at_ms ==
                    pool.registration().started_at_ms;
            if (!is_unchanged)
                removed.push_back(id);
        }
        for (const auto& id : removed)
        {
            // What ran on the connections may be followed by other statements
            // of the same sessions, which must not start here.
            auto& pool = service.upstreams.at(id);
            pool.retire();
            std::vector<connection_id> open_connections;
            for (const auto& [number, connection] : pool.connections())
                open_connections.push_back(number);
            for (const auto number : open_connections)
                drop(number);
            service.upstreams.erase(id);
            service.ejected.erase(id);
        }
    }
    for (const auto& upstream : upstreams)
    {
        auto& service = m_services[upstream.service];
        const auto [found, is_new] = service.upstreams.try_emplace(
            upstream.id, upstream, m_options.leaving_grace, m_options.host);
        auto& pool = found->second;
        pool.set_registration(upstream, now);
        apply_plan(service.plan, pool);
        const bool only_watches =
            service.plan.is_shared && !service.plan.delegates.empty();
        if (is_new && only_watches)
            pool.delay_first_probe(now);
        if (is_new)
            pool.load().start(now);
    }
    serve_queue();
    return collect_actions();
}

actions pooler::set_primary(const std::string& service,
                            const std::string& upstream,
                            core::boot_instant until, core::boot_instant now,
                            upstream::term_number term)
{
    m_now = now;
    auto& view = m_services[service];
    const bool becomes_usable =
        !view.has_primary(now) || view.primary != upstream;
    view.set_primary(upstream, until, now);
    view.primary_term = term;
    if (becomes_usable && view.has_primary(now))
        serve_queue();
    return collect_actions();
}

void pooler::add_watermark(const std::string& service,
                           const freshness::watermark& watermark)
{
    m_services[service].watermarks.add(watermark);
}

std::optional<freshness::watermark>
pooler::newest_watermark(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt
                                     : found->second.watermarks.newest();
}

void pooler::doubt(const std::string& service, const std::string& upstream,
                   core::boot_instant now)
{
    auto& upstreams = m_services[service].upstreams;
    const auto pool = upstreams.find(upstream);
    if (pool != upstreams.end() && pool->second.share() > 0)
        pool->second.doubt(now);
}

std::optional<core::boot_instant>
pooler::leaving_since(const std::string& service,
                      const std::string& upstream) const
{
    const auto view = m_services.find(service);
    if (view == m_services.end())
        return std::nullopt;
    const auto pool = view->second.upstreams.find(upstream);
    return pool == view->second.upstreams.end() ? std::nullopt
                                                : pool->second.leaving_since();
}

bool pooler::is_suspected(const std::string& service,
                          const std::string& upstream,
                          core::boot_instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto pool = found->second.upstreams.find(upstream);
    return pool != found->second.upstreams.end() &&
           pool->second.is_suspected(now);
}

open_result pooler::open_session(session_id id, const std::string& database,
                                 const std::string& key_digest,
                                 core::boot_instant now)
{
    m_now = now;
    if (m_drain_stage >= drain_stage::refusing_work)
        return open_result::host_stopping;
    const auto* route = m_routing.find(database);
    if (route == nullptr)
        return open_result::unknown_database;
    if (m_routing.has_workspaces && !route->is_public &&
        m_routing.find_workspace(key_digest) == nullptr)
    {
        report_refusal(identity_refusal_cause::unknown_key, {});
        return open_result::unknown_key;
    }
    auto& session = m_sessions[id];
    session.id = id;
    session.database = database;
    session.key_digest = key_digest;
    if (const auto* holder = holder_of_key(session))
        session.workspace = holder->name;
    session.last_active = now;
    return open_result::opened;
}

actions pooler::close_session(session_id id, core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return collect_actions();
    auto& session = found->second;
    end_forwarding(session);
    if (session.current)
    {
        --m_work_count;
        std::erase(m_queue, id);
        end_token_use(session, is_waiting_for_upstream(*session.current) &&
                                   !session.current->may_have_run);
        // Closing the connection ends the statement, which nobody waits for.
        if (const auto used_connection = session.current->connection;
            used_connection != 0)
        {
            session.current.reset();
            drop(used_connection);
        }
    }
    else if (session.transaction && session.transaction->connection != 0)
    {
        if (auto* connection = find(session.transaction->connection))
            release(*connection, true);
    }
    if (session.origin)
        m_remote_sessions.erase(
            {session.origin->host, session.origin->operation});
    m_sessions.erase(id);
    serve_queue();
    return collect_actions();
}

std::vector<session_id> pooler::idle_sessions() const
{
    std::vector<session_id> idle;
    for (const auto& [id, session] : m_sessions)
        if (!session.current && !session.transaction && !session.origin)
            idle.push_back(id);
    return idle;
}

actions pooler::on_statement(session_id id, sql::statement statement,
                             core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return collect_actions();
    auto& session = found->second;
    session.last_active = now;
    if (!session.current)
        process_statement(session, std::move(statement));
    else if (session.queued.size() < max_queued_statements)
        session.queued.push_back(std::move(statement));
    else
        reply(session,
              error_reply(session, core::error_kind::overloaded,
                          "the session has too many unanswered statements"));
    return collect_actions();
}

void pooler::process_statement(session& session, sql::statement statement)
{
    if (auto answer = answer_locally(session, statement))
        return reply(session, std::move(*answer));
    if (!may_start_operation(session))
        return reply(session, stopping_reply(session));
    switch (statement.kind)
    {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        return begin(session, statement);
    case statement_kind::rollback:
        return roll_back(session);
    default:
        return run_statement(session, std::move(statement));
    }
}

void pooler::begin(session& session, const sql::statement& statement)
{
    const auto* route = m_routing.find(session.database);
    if (route == nullptr)
        return reply(session, error_reply(session, core::error_kind::not_found,
                                          "no route has this database name"));
    if (!authorize(session, statement))
        return;
    session.transaction.emplace();
    session.transaction->read_only =
        statement.kind == statement_kind::begin_read_only;
    session.transaction->began_at = m_now;
    session.transaction->route = *route;
    reply(session, success_reply(session));
}

void pooler::roll_back(session& session)
{
    const auto used_connection = session.transaction->connection;
    end_forwarding(session);
    session.transaction.reset();
    if (auto* connection = find(used_connection))
        release(*connection, true);
    reply(session, success_reply(session));
    serve_queue();
}

void pooler::run_statement(session& session, sql::statement statement)
{
    const auto* route = session.transaction ? &session.transaction->route
                                            : m_routing.find(session.database);
    if (route == nullptr)
        return reply(session, error_reply(session, core::error_kind::not_found,
                                          "no route has this database name"));
    if (!authorize(session, statement))
        return;
    const auto route_in_force = *route;
    run_work(session, std::move(statement), route_in_force,
             route_in_force.timeout);
}

void pooler::run_work(session& session, sql::statement statement,
                      const routes::route& route, core::millis time_left)
{
    work new_work;
    new_work.route = route;
    const bool writes = writes_data(session, statement);
    const bool in_transaction = session.transaction.has_value();
    if (in_transaction && writes)
        session.transaction->wrote = true;
    new_work.needs_primary =
        writes || route.consistency == routes::read_consistency::latest ||
        (in_transaction && !session.transaction->read_only);
    new_work.begins = in_transaction && !session.transaction->has_started();
    new_work.is_unrepeatable =
        statement.kind == statement_kind::commit || (writes && !in_transaction);
    new_work.statement = std::move(statement);
    new_work.received = m_now;
    new_work.deadline = m_now + time_left;
    new_work.wait_until =
        new_work.deadline - std::chrono::duration_cast<core::millis>(
                                route.timeout * (1 - max_wait_share));
    if (session.start_by)
    {
        new_work.start_by = session.start_by;
        new_work.wait_until = std::min(new_work.wait_until, *session.start_by);
    }
    session.current = std::move(new_work);
    ++m_work_count;
    if (needs_token(session) && !obtain_token(session))
        return;
    start_work(session);
}

void pooler::start_work(session& session)
{
    const auto& service = session.current->route.service;
    const bool in_transaction = session.transaction.has_value();
    if (in_transaction && session.transaction->forwarded)
        return forward(session, *session.transaction->forwarded);
    if (in_transaction && session.transaction->connection != 0)
    {
        auto& pinned = *find(session.transaction->connection);
        return assign_connection(pinned, session);
    }
    if (try_start(session))
        return;
    const bool has_delegates = !m_services[service].plan.delegates.empty() ||
                               !delegation_of(session).preferred.empty();
    if (m_isolated && !has_delegates)
        return refuse_on_this_host(
            session, "this host can't prove which database is the primary");
    if (is_primary_withdrawn(*session.current))
        return refuse_for_withdrawn_primary(session);
    if (session.origin && is_primary_unreachable(*session.current))
        return refuse_on_this_host(session,
                                   "this host does not reach the primary");
    if (!reject_on_arrival(session))
        enqueue(session);
}

void pooler::reply(session& session, sql::reply answer)
{
    if (session.origin)
        return reply_to_host(session, {std::move(answer), false, false, false});
    m_actions.emplace_back(reply_action{session.id, std::move(answer)});
    close_if_stopping(session);
}

void pooler::finish(session& session, sql::reply answer)
{
    const auto& finished_work = *session.current;
    const bool at_replica = !finished_work.at_primary;
    const bool was_not_run = answer.error && is_refusal(*answer.error) &&
                             !finished_work.may_have_run;
    end_token_use(session, was_not_run);
    // A forwarded statement is counted by the host that the caller is connected
    // to.
    if (m_on_statement && !session.origin)
        m_on_statement({finished_work.route, answer.error, at_replica,
                        std::chrono::duration_cast<core::millis>(
                            m_now - finished_work.received)});
    if (is_commit(finished_work))
    {
        session.transaction.reset();
        session.failed = false;
        answer.state = sql::transaction_state::idle;
    }
    session.current.reset();
    session.last_active = m_now;
    --m_work_count;
    std::erase(m_queue, session.id);
    if (session.origin)
        return reply_to_host(
            session, {std::move(answer), at_replica, false, was_not_run});
    reply(session, std::move(answer));
    while (!session.current && !session.queued.empty())
    {
        auto next = std::move(session.queued.front());
        session.queued.pop_front();
        process_statement(session, std::move(next));
    }
}

void pooler::refuse(session& session, core::error_kind kind,
                    const std::string& text, refusal_cause cause,
                    const std::string& detail)
{
    report_decision(decision_kind::refused, session, {},
                    std::string(core::name_of(kind)) + ": " + text + detail,
                    cause);
    if (session.transaction && !is_commit(*session.current))
        fail_transaction(session, true);
    finish(session, error_reply(session, kind, text));
}

void pooler::fail_transaction(session& session, bool is_reported)
{
    if (auto* connection = find(session.transaction->connection))
        release(*connection, true);
    end_forwarding(session);
    session.transaction->connection = 0;
    session.failed = true;
    session.has_unreported_failure = !is_reported;
    if (session.origin && !session.current)
        m_ended_remote_sessions.push_back(session.id);
}

actions pooler::collect_actions()
{
    erase_ended_remote_sessions();
    return std::exchange(m_actions, {});
}

actions pooler::tick(core::boot_instant now)
{
    m_now = now;
    if (std::exchange(m_must_recheck_keys, false))
        end_withdrawn_work();
    end_expired_work();
    for (const auto id : m_queue)
    {
        auto& work = *m_sessions.at(id).current;
        if (now - work.received >
            upstream_retry_interval * static_cast<int>(work.attempts + 1))
        {
            work.excluded.clear();
            work.excluded_hosts.clear();
        }
    }
    m_ledger.tick(now);
    m_tokens.tick(now);
    handle_tokens();
    resend_due_statements();
    drop_silent_connections();
    drop_lost_answers();
    return_remote_work();
    refuse_waiting_for_withdrawn_primaries();
    drop_surplus_connections();
    drop_unused_connections();
    reject_unservable();
    end_longest_idle_transactions();
    serve_queue();
    probe_silent_upstreams();
    return collect_actions();
}

} // namespace plantainward::pooling
