#include <plantainward/pooling/commands.hpp>
#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainward::pooling
{

namespace
{

// Delay before a statement of a transaction is sent again to a busy database;
// about the time of one statement.
constexpr core::millis transaction_busy_pause{15};

// Whether a refusal shows a failure of the database. A missing log point or a
// lost prepared statement concerns only one kind of statement, and a database
// without a free slot is in order.
bool is_failure(sql::refusal refusal)
{
    return refusal != sql::refusal::behind && refusal != sql::refusal::busy &&
           refusal != sql::refusal::unknown_statement &&
           refusal != sql::refusal::malformed;
}

std::vector<sql::command> joined(std::vector<sql::command> first,
                                 std::vector<sql::command> second)
{
    std::move(second.begin(), second.end(), std::back_inserter(first));
    return first;
}

} // namespace

connection* pooler::find(connection_id id)
{
    auto* pool = pool_of(id);
    return pool == nullptr ? nullptr : pool->find(id);
}

service_view* pooler::service_of(connection_id id)
{
    const auto location = m_locations.find(id);
    if (location == m_locations.end())
        return nullptr;
    const auto found = m_services.find(location->second.service);
    return found == m_services.end() ? nullptr : &found->second;
}

upstream_pool* pooler::pool_of(connection_id id)
{
    auto* service = service_of(id);
    if (service == nullptr)
        return nullptr;
    const auto found = service->upstreams.find(m_locations.at(id).upstream);
    return found == service->upstreams.end() ? nullptr : &found->second;
}

connection& pooler::open(const std::string& service, upstream_pool& pool,
                         const std::string& workspace, bool is_probe)
{
    report_opening(service, pool, workspace, is_probe);
    make_room(pool, workspace);
    const auto id = ++m_last_connection_id;
    auto& new_connection = pool.add(id, workspace, m_now);
    m_locations[id] = {service, pool.registration().id};
    m_actions.emplace_back(open_action{id, pool.registration(), workspace});
    return new_connection;
}

void pooler::assign_connection(connection& connection, session& session)
{
    connection.user = session.id;
    session.current->connection = connection.id;
    prepare_connection(connection, session);
}

// Whether a read is about to run on a log that may have been lost: the present
// primary's, on a connection that has not shown it. An empty database refuses
// writes and the transactions that may write by itself.
bool pooler::must_show_log(const connection& connection, const session& session)
{
    const auto& work = *session.current;
    if (connection.shows_log() || work.is_unrepeatable ||
        !service_of(connection.id)->is_primary(connection.upstream, m_now))
        return false;
    return !session.transaction ||
           (work.begins && session.transaction->read_only);
}

void pooler::prepare_connection(connection& connection, session& session)
{
    if (!is_of_workspace(connection, session))
        return leave_connection(connection, session);
    auto commands = setup_commands(connection, session);
    if (must_show_log(connection, session))
        commands = joined(lead_commands(), std::move(commands));
    if (commands.empty())
        return send_statement(connection, session);
    connection.stage = connection_stage::preparing;
    connection.overtaken = 0;
    connection.setup_error.reset();
    connection.unanswered = commands.size();
    connection.unconfirmed = commands;
    connection.sent_at = m_now;
    m_actions.emplace_back(send_action{connection.id, std::move(commands)});
}

void pooler::send_statement(connection& connection, session& session)
{
    auto& work = *session.current;
    auto& service = *service_of(connection.id);
    const bool is_first_statement = !session.transaction || work.begins;
    // The lease or the grace of a leaving database may have expired while the
    // connection was being prepared.
    const bool may_start =
        !pool_of(connection.id)->is_withdrawn(m_now) &&
        (!work.at_primary || service.is_primary(connection.upstream, m_now));
    if (is_first_statement && !may_start)
    {
        release(connection, work.begins);
        if (session.transaction)
            session.transaction->connection = 0;
        return enqueue(session);
    }
    // The rest of a transaction must not run at a replaced primary.
    if (session.transaction && !session.transaction->read_only &&
        !work.begins && !service.is_primary(connection.upstream, m_now))
    {
        work.connection = 0;
        release(connection, true);
        session.transaction->connection = 0;
        return refuse(session, core::error_kind::transaction_lost,
                      "the primary of the transaction is being replaced");
    }
    work.at_primary = service.is_primary(connection.upstream, m_now);
    connection.stage = connection_stage::running;
    connection.unanswered = 1;
    connection.overtaken = 0;
    connection.sent_at = m_now;
    m_actions.emplace_back(
        send_action{connection.id, {statement_command(session)}});
}

void pooler::release(connection& connection, bool in_transaction)
{
    connection.user = 0;
    connection.last_used = m_now;
    if (!connection.is_state_known)
        return drop(connection.id);
    if (!in_transaction)
    {
        connection.stage = connection_stage::idle;
        return;
    }
    if (connection.unanswered > 0)
        return drop(connection.id);
    connection.stage = connection_stage::rolling_back;
    connection.unanswered = 1;
    connection.sent_at = m_now;
    m_actions.emplace_back(send_action{
        connection.id, {proxy_command(sql::command_kind::rollback)}});
}

void pooler::drop(connection_id id)
{
    if (find(id) == nullptr)
        return;
    m_actions.emplace_back(close_action{id});
    remove_connection(id);
}

// Removes a connection, and retries or fails what ran on it.
void pooler::remove_connection(connection_id id)
{
    auto* pool = pool_of(id);
    const auto connection = *pool->find(id);
    pool->erase(id);
    m_locations.erase(id);
    const auto user_session = m_sessions.find(connection.user);
    if (user_session == m_sessions.end())
        return;
    auto& session = user_session->second;
    if (session.current && session.current->connection == id)
        return handle_lost_work(session,
                                connection.stage == connection_stage::running,
                                connection_stage_names[connection.stage]);
    if (session.transaction && session.transaction->connection == id)
        fail_transaction(session, false);
}

void pooler::handle_lost_work(session& session, bool sent,
                              std::string_view detail)
{
    auto& work = *session.current;
    // The database may still run a first statement that was sent, and the rest
    // of the transaction must not run on another connection.
    const bool is_bound = session.transaction && (sent || !work.begins);
    report_decision(decision_kind::lost, session,
                    work.forwarded ? work.forwarded->host : std::string(),
                    std::string(detail));
    work.connection = 0;
    work.may_have_run = work.may_have_run || sent;
    end_forwarding(session);
    if (session.transaction)
        session.transaction->connection = 0;
    if (sent && work.is_unrepeatable)
        return refuse(session, core::error_kind::outcome_unknown,
                      "the connection to the database was lost");
    if (is_bound)
        return refuse(session, core::error_kind::transaction_lost,
                      "the connection of the transaction was lost");
    enqueue(session);
}

// Counts a failure of a database, and ejects it for some time if it keeps
// failing while others answer. It returns with a small share of the reads.
void pooler::note_failure(service_view& service, upstream_pool& pool)
{
    pool.load().record_failure(m_now);
    const auto time = service.ejected.record_failure(
        pool.registration().id, service.upstreams.size(), m_now);
    if (time)
        pool.load().start(m_now + *time);
}

void pooler::retry_elsewhere(session& session, const std::string& upstream,
                             sql::refusal refusal)
{
    auto& work = *session.current;
    work.connection = 0;
    auto& databases = m_services[work.route.service].upstreams;
    const auto refusing_pool = databases.find(upstream);
    if (refusing_pool != databases.end() && is_failure(refusal))
        note_failure(m_services[work.route.service], refusing_pool->second);
    else if (refusing_pool != databases.end() && refusal == sql::refusal::busy)
        refusing_pool->second.load().record_failure(m_now);
    if (refusal == sql::refusal::busy && refusing_pool != databases.end())
    {
        // The pool delays all statements to the database, so this refusal
        // neither excludes the database nor counts as an attempt.
        refusing_pool->second.record_busy(m_now);
        --work.attempts;
    }
    else
        work.excluded.insert(upstream);
    if (refusal == sql::refusal::behind && work.after &&
        refusing_pool != databases.end())
        refusing_pool->second.record_missing_point(*work.after, m_now);
    if (refusal == sql::refusal::malformed || refusal == sql::refusal::failed)
        return refuse(session, error_kind_of(refusal),
                      "the database refused the statement");
    if (refusal == sql::refusal::read_only && refusing_pool != databases.end())
        refusing_pool->second.record_not_primary(m_now);
    if (!may_retry(session))
    {
        refuse(session, core::error_kind::overloaded,
               "the database did not run it, and there is no time or retry "
               "left",
               refusal_cause::no_retries_left);
        return serve_queue();
    }
    enqueue(session);
    serve_queue();
}

actions pooler::on_opened(connection_id id,
                          std::optional<upstream::log_point> position,
                          core::boot_instant now)
{
    m_now = now;
    auto* connection = find(id);
    if (connection == nullptr)
        return collect_actions();
    connection->position = position;
    pool_of(id)->record_opened(now);
    const auto user_session = m_sessions.find(connection->user);
    if (user_session != m_sessions.end() && user_session->second.current &&
        user_session->second.current->connection == id)
    {
        prepare_connection(*connection, user_session->second);
        return collect_actions();
    }
    release(*connection, false);
    serve_queue();
    return collect_actions();
}

actions pooler::on_open_failed(connection_id id,
                               std::optional<sql::refusal> refusal,
                               core::boot_instant now)
{
    m_now = now;
    auto* pool = pool_of(id);
    if (pool == nullptr || pool->find(id) == nullptr)
        return collect_actions();
    if (refusal == sql::refusal::too_many_connections ||
        refusal == sql::refusal::busy)
        pool->record_contact(now);
    else
    {
        pool->record_failure(now);
        note_failure(*service_of(id), *pool);
    }
    pool->record_refused_opening(pool->find(id)->sent_at, now);
    remove_connection(id);
    serve_queue();
    return collect_actions();
}

actions pooler::on_closed(connection_id id, core::boot_instant now)
{
    m_now = now;
    auto* pool = pool_of(id);
    if (pool == nullptr || pool->find(id) == nullptr)
        return collect_actions();
    pool->record_failure(now);
    note_failure(*service_of(id), *pool);
    remove_connection(id);
    serve_queue();
    return collect_actions();
}

void pooler::record_answer(connection& connection,
                           const sql::command_answer& answer)
{
    auto& pool = *pool_of(connection.id);
    pool.record_contact(m_now);
    if (!answer.position)
        return;
    connection.position = answer.position;
    pool.update_known_point(*answer.position);
}

// An idle primary's answer to a probe shows the end of its log, so that reads
// with a stated age can run at replicas without statements at the primary.
void pooler::add_watermark(const connection& connection,
                           const sql::command_answer& answer)
{
    auto& service = *service_of(connection.id);
    if (answer.position && !answer.error &&
        service.stayed_primary(connection.upstream, connection.sent_at, m_now))
        service.watermarks.add({connection.sent_at, *answer.position});
}

actions pooler::on_answer(connection_id id, sql::command_answer answer,
                          core::boot_instant now)
{
    m_now = now;
    auto* connection = find(id);
    if (connection == nullptr)
        return collect_actions();
    record_answer(*connection, answer);
    if (connection->unanswered == 0)
    {
        drop(id);
        return collect_actions();
    }
    --connection->unanswered;
    switch (connection->stage)
    {
    case connection_stage::preparing:
        handle_setup_answer(*connection, answer);
        break;
    case connection_stage::running:
        handle_statement_answer(*connection, std::move(answer));
        break;
    case connection_stage::probing:
        confirm_command(*connection, answer);
        add_watermark(*connection, answer);
        if (connection->unanswered > 0)
            break;
        [[fallthrough]];
    case connection_stage::rolling_back:
        if (answer.state != sql::transaction_state::idle)
            drop(id);
        else
            release(*connection, false);
        serve_queue();
        break;
    default:
        drop(id);
    }
    return collect_actions();
}

void pooler::handle_setup_answer(connection& connection,
                                 const sql::command_answer& answer)
{
    confirm_command(connection, answer);
    if (answer.error && !connection.setup_error)
        connection.setup_error = answer.error;
    if (connection.unanswered > 0)
        return;
    const auto user_session = m_sessions.find(connection.user);
    if (user_session == m_sessions.end())
        return drop(connection.id);
    auto& session = user_session->second;
    // A database that has lost the transaction, or opened one on its own,
    // reports another state than the proxy expects.
    const auto expected = session.transaction ? sql::transaction_state::open
                                              : sql::transaction_state::idle;
    if (!connection.setup_error && answer.state != expected)
        connection.setup_error = sql::refusal::other;
    if (!connection.setup_error)
    {
        if (session.current->begins)
            session.transaction->connection = connection.id;
        return send_statement(connection, session);
    }
    const auto refusal = *connection.setup_error;
    report_decision(decision_kind::retried, session, connection.upstream,
                    answer.text);
    if (session.transaction && !session.current->begins)
        return retry_or_abort(connection, session, refusal, answer.state);
    const auto upstream = connection.upstream;
    session.current->connection = 0;
    release(connection, answer.state != sql::transaction_state::idle);
    retry_elsewhere(session, upstream, refusal);
}

// Handles a refusal in the middle of a transaction, which can continue only on
// its own connection.
void pooler::retry_or_abort(connection& connection, session& session,
                            sql::refusal refusal, sql::transaction_state state)
{
    auto& work = *session.current;
    // A busy database did not run the command.
    if (refusal == sql::refusal::busy && connection.is_state_known &&
        state == sql::transaction_state::open)
    {
        pool_of(connection.id)->record_busy(m_now);
        connection.stage = connection_stage::pinned;
        work.resend_at = m_now + transaction_busy_pause;
        return;
    }
    end_lost_transaction(connection, session, state);
}

// Ends a transaction that can't continue at the database, and takes its
// connection from it.
void pooler::end_lost_transaction(connection& connection, session& session,
                                  sql::transaction_state state)
{
    session.current->connection = 0;
    session.transaction->connection = 0;
    release(connection, state != sql::transaction_state::idle);
    refuse(session, core::error_kind::transaction_lost,
           "the database did not continue the transaction");
    serve_queue();
}

void pooler::handle_statement_answer(connection& connection,
                                     sql::command_answer answer)
{
    const auto user_session = m_sessions.find(connection.user);
    if (user_session == m_sessions.end())
        return drop(connection.id);
    auto& session = user_session->second;
    auto& work = *session.current;
    if (answer.error)
        return handle_statement_error(connection, session, std::move(answer));
    const bool keeps_connection = session.transaction && !is_commit(work);
    // The statement ran inside a transaction that nobody has begun, or its
    // commit has left the transaction open: the answer is worth nothing.
    if (!keeps_connection && answer.state != sql::transaction_state::idle)
    {
        drop(connection.id);
        return serve_queue();
    }
    auto& service = *service_of(connection.id);
    pool_of(connection.id)->count_overtaken(connection.sent_at);
    const auto duration =
        std::chrono::duration_cast<core::millis>(m_now - connection.sent_at);
    pool_of(connection.id)
        ->record_duration(work.route.database, duration, m_now);
    pool_of(connection.id)->load().record_success(duration, m_now);
    service.ejected.record_success(connection.upstream, m_now);
    if (work.is_unrepeatable)
        pool_of(connection.id)->record_write();
    service.retries.record_success();
    service.shares.record_use(session.workspace,
                              static_cast<double>(duration.count()), m_now);
    if (work.after)
        pool_of(connection.id)->clear_missing_point(*work.after);
    if (work.at_primary && answer.position && connection.shows_log())
        service.watermarks.add({connection.sent_at, *answer.position});
    const bool committed =
        work.is_unrepeatable &&
        (!session.transaction || !session.transaction->read_only);
    // A former primary that is to be promoted again still leads its old term
    // before the promotion takes effect, and what it commits until then is
    // rolled back. A commit without writes is exempt, since the log of a new
    // primary ends in an earlier term until its first write.
    const bool keeps_data =
        committed && (!session.transaction || session.transaction->wrote);
    const bool is_of_earlier_term =
        keeps_data && answer.position &&
        answer.position->term < service.primary_term;
    const bool is_current = service.stayed_primary(connection.upstream,
                                                   connection.sent_at, m_now) &&
                            !is_of_earlier_term;
    if (committed && answer.position)
        session.commits.record(work.route.service, {m_now, *answer.position});
    if (keeps_connection && answer.state != sql::transaction_state::open)
        return end_lost_transaction(connection, session, answer.state);
    const auto upstream = connection.upstream;
    if (keeps_connection)
        connection.stage = connection_stage::pinned;
    else
        release(connection, false);
    if (committed && !is_current)
    {
        refuse(session, core::error_kind::outcome_unknown,
               "the primary was replaced before the commit was confirmed");
        return serve_queue();
    }
    if (committed)
        report_decision(decision_kind::committed, session, upstream, {});
    sql::reply statement_reply;
    statement_reply.rows = std::move(answer.rows);
    statement_reply.signature = std::move(answer.signature);
    statement_reply.position = answer.position;
    statement_reply.state = session.state();
    finish(session, std::move(statement_reply));
    serve_queue();
}

void pooler::handle_statement_error(connection& connection, session& session,
                                    sql::command_answer answer)
{
    auto& work = *session.current;
    const auto refusal = *answer.error;
    const auto upstream = connection.upstream;
    report_decision(decision_kind::retried, session, upstream, answer.text);
    // The database has cleared what it had confirmed.
    if (refusal == sql::refusal::unknown_statement)
        connection.is_state_known = false;
    const bool can_run_elsewhere = !session.transaction || work.begins;
    if (sql::is_not_run(refusal) && can_run_elsewhere)
    {
        if (session.transaction)
            session.transaction->connection = 0;
        work.connection = 0;
        release(connection, answer.state != sql::transaction_state::idle);
        return retry_elsewhere(session, upstream, refusal);
    }
    // A busy database did not run the statement, so the transaction can
    // continue.
    if (refusal == sql::refusal::busy &&
        answer.state == sql::transaction_state::open)
    {
        pool_of(connection.id)->record_busy(m_now);
        connection.stage = connection_stage::pinned;
        work.resend_at = m_now + transaction_busy_pause;
        return;
    }
    if (session.transaction)
        session.transaction->connection = 0;
    work.connection = 0;
    release(connection, answer.state != sql::transaction_state::idle);
    refuse(session, error_kind_of(refusal), answer.text);
    serve_queue();
}

} // namespace plantainward::pooling
