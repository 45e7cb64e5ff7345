// The queue of statements that wait for a database, and their placement.

#include <plantainward/pooling/placement.hpp>
#include <plantainward/pooling/pooler.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Attempts to run one statement; bounds the work that a failing service causes.
constexpr std::size_t max_attempts = 12;

} // namespace

void pooler::enqueue(session& session)
{
    session.current->connection = 0;
    if (std::find(m_queue.begin(), m_queue.end(), session.id) != m_queue.end())
        return;
    report_decision(decision_kind::queued, session,
                    m_services[session.current->route.service].primary,
                    unplaced_reason(*session.current));
    const auto before = [&](session_id a, session_id b) {
        const auto& first = *m_sessions.at(a).current;
        const auto& second = *m_sessions.at(b).current;
        return std::pair(first.route.priority, first.received) <
               std::pair(second.route.priority, second.received);
    };
    m_queue.insert(
        std::upper_bound(m_queue.begin(), m_queue.end(), session.id, before),
        session.id);
}

std::string pooler::unplaced_reason(const work& work)
{
    const auto& service = m_services[work.route.service];
    if (!service.plan.delegates.empty())
        return "no host with connections can be reached";
    if (!service.has_primary(m_now))
        return "no primary is proved";
    const auto found = service.upstreams.find(service.primary);
    if (found == service.upstreams.end())
        return "the primary is not registered";
    const auto& pool = found->second;
    if (pool.is_withdrawn(m_now))
        return "the primary is leaving";
    if (pool.is_suspected(m_now))
        return "the primary does not answer";
    return "the primary has no capacity: " + std::to_string(pool.busy_count()) +
           " statements, " + std::to_string(pool.connections().size()) +
           " connections of " + std::to_string(pool.share());
}

// Statements that can still meet their latency objective are placed first:
// under overload, a queue served in order of arrival makes all of them late.
void pooler::serve_queue()
{
    std::vector<std::pair<service_rank, session_id>> waiting;
    std::map<std::string, bool> can_serve;
    for (const auto id : m_queue)
    {
        const auto found = m_sessions.find(id);
        if (found != m_sessions.end() && found->second.current &&
            may_serve(found->second.current->route.service, can_serve))
            waiting.emplace_back(rank_of_waiting(found->second), id);
    }
    const auto by_rank = [](const auto& a, const auto& b) {
        return a.first < b.first;
    };
    std::stable_sort(waiting.begin(), waiting.end(), by_rank);
    for (const auto& [rank, id] : waiting)
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || !found->second.current ||
            !is_waiting_for_upstream(*found->second.current))
            continue;
        if (try_start(found->second))
            std::erase(m_queue, id);
    }
}

bool pooler::is_within_target(const session& session) const
{
    const auto began_at = session.transaction ? session.transaction->began_at
                                              : session.current->received;
    return m_now - began_at < session.current->route.target_latency;
}

bool pooler::try_start(session& session)
{
    auto& work = *session.current;
    auto& service = m_services[work.route.service];
    if (work.attempts >= max_attempts ||
        (work.start_by && m_now >= *work.start_by))
        return false;
    const auto delegation = delegation_of(session);
    if (try_forward(session, delegation.preferred))
        return true;
    if (!delegation.runs_here)
        return false;
    const auto chosen =
        place(service, work, session, m_options.failure_domain, m_now);
    if (!chosen)
        return is_primary_unreachable(work) &&
               try_forward(session, delegation.fallback);
    ++work.attempts;
    work.after = chosen->after;
    work.at_primary = service.is_primary(chosen->upstream, m_now);
    report_decision(decision_kind::placed, session, chosen->upstream,
                    chosen->after
                        ? "after " + upstream::to_string(*chosen->after)
                        : std::string());
    record_start(session);
    auto& pool = service.upstreams.at(chosen->upstream);
    if (chosen->after)
        pool.note_point_required(*chosen->after, m_now);
    auto* connection = pool.idle_connection(session.workspace, session.values);
    if (connection == nullptr)
    {
        auto& new_connection =
            open(work.route.service, pool, session.workspace);
        new_connection.user = session.id;
        work.connection = new_connection.id;
        return true;
    }
    assign_connection(*connection, session);
    return true;
}

// Whether the statement needs a primary that is leaving and gets no new work.
// Nobody replaces it yet, or there would be no lease on it.
bool pooler::is_primary_withdrawn(const work& work)
{
    const auto& service = m_services[work.route.service];
    if (!work.needs_primary || !service.has_primary(m_now))
        return false;
    const auto found = service.upstreams.find(service.primary);
    return found != service.upstreams.end() &&
           found->second.is_withdrawn(m_now);
}

void pooler::refuse_for_withdrawn_primary(session& session)
{
    refuse(session, core::error_kind::overloaded,
           "the primary is leaving and has not been replaced");
}

void pooler::refuse_waiting_for_withdrawn_primaries()
{
    const auto waiting = m_queue;
    for (const auto id : waiting)
    {
        auto& session = m_sessions.at(id);
        if (session.current && is_waiting_for_upstream(*session.current) &&
            is_primary_withdrawn(*session.current))
            refuse_for_withdrawn_primary(session);
    }
}

void pooler::end_expired_work()
{
    std::vector<session_id> expired;
    for (auto& [id, session] : m_sessions)
    {
        if (session.transaction && !session.current && !session.failed &&
            m_now - session.last_active > m_routing.transaction_idle_timeout)
            fail_transaction(session, false);
        if (!session.current)
            continue;
        const bool is_queued = is_waiting_for_upstream(*session.current);
        if (m_now >= (is_queued ? session.current->wait_until
                                : session.current->deadline))
            expired.push_back(id);
    }
    for (const auto id : expired)
    {
        auto& session = m_sessions.at(id);
        const auto used_connection = session.current->connection;
        if (is_waiting_for_upstream(*session.current))
        {
            refuse(session, core::error_kind::overloaded,
                   session.current->awaits_token
                       ? "no owner of the workspace's quota answered in time"
                       : "no database could run it in time",
                   refusal_cause::waited_too_long);
            continue;
        }
        if (session.current->forwarded)
        {
            report_decision(decision_kind::timed_out, session,
                            session.current->forwarded->host, "forwarded");
            end_forwarding(session);
            refuse(session, core::error_kind::outcome_unknown,
                   "the time limit of the statement has passed");
            continue;
        }
        const auto* connection = find(used_connection);
        const bool sent = connection->stage == connection_stage::running;
        report_decision(decision_kind::timed_out, session, connection->upstream,
                        sent ? "sent" : "not sent");
        session.current->connection = 0;
        if (session.transaction)
            session.transaction->connection = 0;
        drop(used_connection);
        refuse(session,
               sent ? core::error_kind::outcome_unknown
                    : core::error_kind::overloaded,
               "the time limit of the statement has passed");
    }
}

} // namespace plantainward::pooling
