// Periodic work of the pooler: retries, silent connections, lost answers,
// probes.

#include <plantainward/pooling/commands.hpp>
#include <plantainward/pooling/pooler.hpp>

namespace plantainward::pooling
{

namespace
{

// Time limit for the answer to a command that occupies no slot of the database.
constexpr core::millis proxy_answer_timeout{1000};

} // namespace

void pooler::resend_due_statements()
{
    for (auto& [id, session] : m_sessions)
    {
        if (!session.current || !session.current->resend_at ||
            m_now < *session.current->resend_at)
            continue;
        session.current->resend_at.reset();
        if (auto* connection = find(session.current->connection))
            prepare_connection(*connection, session);
    }
}

// Closes connections on which the proxy's own command was not answered in time;
// such a connection stays silent even when others to the database work.
void pooler::drop_silent_connections()
{
    std::vector<connection_id> silent;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
            for (const auto& [number, connection] : pool.connections())
            {
                const bool runs_proxy_command =
                    connection.stage == connection_stage::probing ||
                    connection.stage == connection_stage::rolling_back;
                if (runs_proxy_command &&
                    m_now - connection.sent_at > proxy_answer_timeout)
                    silent.push_back(number);
            }
    for (const auto id : silent)
    {
        pool_of(id)->record_failure(m_now);
        drop(id);
    }
}

// Closes idle connections in excess of the share, which may have been lowered.
void pooler::drop_surplus_connections()
{
    std::vector<connection_id> surplus;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
        {
            auto connection_count = pool.connections().size();
            for (const auto& [number, connection] : pool.connections())
            {
                if (connection_count <= pool.share())
                    break;
                if (connection.stage != connection_stage::idle)
                    continue;
                surplus.push_back(number);
                --connection_count;
            }
        }
    for (const auto id : surplus)
        drop(id);
}

// Reads and open transactions don't wait for an answer that is lost: a read is
// run again elsewhere, and the caller of a transaction can begin it again in
// time. The answer to a statement that may have committed is awaited.
void pooler::drop_lost_answers()
{
    std::vector<connection_id> lost;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
        {
            const bool is_silent = pool.is_suspected(m_now);
            for (const auto number : pool.lost_answers(m_now))
            {
                const auto& connection = *pool.find(number);
                const auto user_session = m_sessions.find(connection.user);
                const bool runs_statement =
                    user_session != m_sessions.end() &&
                    user_session->second.current &&
                    user_session->second.current->connection == number;
                const bool may_have_committed =
                    connection.stage == connection_stage::running &&
                    runs_statement &&
                    user_session->second.current->is_unrepeatable;
                if (!runs_statement || may_have_committed)
                    continue;
                lost.push_back(number);
                if (is_silent)
                    pool.record_silence();
            }
        }
    for (const auto id : lost)
    {
        if (auto* pool = pool_of(id))
            note_failure(*service_of(id), *pool);
        drop(id);
    }
    if (!lost.empty())
        serve_queue();
}

void pooler::probe_silent_upstreams()
{
    for (auto& [name, service] : m_services)
    {
        for (auto& [id, pool] : service.upstreams)
        {
            if (!pool.needs_probe(m_now))
                continue;
            auto* connection = pool.probe_connection();
            if (connection == nullptr)
            {
                if (pool.may_open(m_now))
                    open(name, pool, {}, true);
                continue;
            }
            const bool must_lead =
                service.is_primary(id, m_now) && !connection->shows_log();
            connection->stage = connection_stage::probing;
            connection->unconfirmed =
                must_lead
                    ? lead_commands()
                    : std::vector{proxy_command(sql::command_kind::reset)};
            connection->unanswered = connection->unconfirmed.size();
            connection->sent_at = m_now;
            m_actions.emplace_back(
                send_action{connection->id, connection->unconfirmed});
        }
    }
}

} // namespace plantainward::pooling
