// The planned stop of this host: sessions are closed between two requests, and
// what can't be finished in time is answered.

#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <vector>

namespace plantainward::pooling
{

namespace
{

constexpr const char* stopping_text = "the host is stopping";

// Whether a caller's session has no request outstanding and no transaction.
bool is_between_operations(const session& session)
{
    return !session.origin && !session.current && !session.transaction &&
           session.queued.empty();
}

} // namespace

bool pooler::may_start_operation(const session& session) const
{
    return session.transaction || m_drain_stage < drain_stage::refusing_work;
}

sql::reply pooler::stopping_reply(const session& session)
{
    return error_reply(session, core::error_kind::draining, stopping_text);
}

// A caller that sends each request right after the answer to the one before is
// between two operations only here, and hardly ever when a timer fires.
void pooler::close_if_stopping(const session& session)
{
    if (m_drain_stage >= drain_stage::closing_sessions &&
        is_between_operations(session))
        m_actions.emplace_back(close_session_action{session.id});
}

actions pooler::advance_drain(drain_stage stage, core::boot_instant now)
{
    m_now = now;
    m_drain_stage = std::max(m_drain_stage, stage);
    if (m_drain_stage >= drain_stage::refusing_work)
        roll_back_idle_transactions();
    for (const auto& [id, session] : m_sessions)
        close_if_stopping(session);
    if (m_drain_stage == drain_stage::ending_work)
        end_all_work();
    return collect_actions();
}

void pooler::roll_back_idle_transactions()
{
    for (auto& [id, session] : m_sessions)
        if (session.transaction && !session.current && !session.failed)
            fail_transaction(session, false);
}

void pooler::end_all_work()
{
    std::vector<session_id> working;
    for (const auto& [id, session] : m_sessions)
        if (session.current)
            working.push_back(id);
    for (const auto id : working)
    {
        const auto found = m_sessions.find(id);
        if (found != m_sessions.end() && found->second.current)
            end_work(found->second);
    }
}

// Only a commit or a write outside a transaction may have an effect that lasts:
// the database rolls back a transaction whose connection is closed.
void pooler::end_work(session& session)
{
    auto& work = *session.current;
    const auto* connection = find(work.connection);
    const bool was_sent =
        work.forwarded || (connection != nullptr &&
                           connection->stage == connection_stage::running);
    const bool is_pinned = session.transaction && !work.begins;
    work.may_have_run = work.may_have_run || was_sent;
    if (session.origin && !work.may_have_run && !is_pinned &&
        connection == nullptr)
        return refuse_on_this_host(session, stopping_text);
    end_forwarding(session);
    if (session.transaction)
        session.transaction->connection = 0;
    drop(std::exchange(work.connection, 0));
    if (was_sent && work.is_unrepeatable)
        return refuse(session, core::error_kind::outcome_unknown,
                      stopping_text);
    refuse(session,
           session.transaction ? core::error_kind::transaction_lost
                               : core::error_kind::draining,
           stopping_text);
}

} // namespace plantainward::pooling
