// Statements that wait for a database, and where they go.

#include <plantainward/pooling/placement.hpp>
#include <plantainward/pooling/pooler.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Attempts to place one statement; a bound on the work that a failing service
// causes.
constexpr std::size_t most_attempts = 12;

} // namespace

void pooler::wait(session& who)
{
    who.current->connection = 0;
    if (std::find(m_queue.begin(), m_queue.end(), who.id) != m_queue.end())
        return;
    note(decision_kind::queued, who,
         m_services[who.current->route.service].primary,
         why_not_placed(*who.current));
    const auto before = [&](session_id a, session_id b) {
        const auto& first = *m_sessions.at(a).current;
        const auto& second = *m_sessions.at(b).current;
        return std::pair(first.route.priority, first.received) <
               std::pair(second.route.priority, second.received);
    };
    m_queue.insert(
        std::upper_bound(m_queue.begin(), m_queue.end(), who.id, before),
        who.id);
}

// Under overload a queue that is served in order makes all late; so statements
// that can still meet their objective go first.
std::string pooler::why_not_placed(const work& what)
{
    const auto& service = m_services[what.route.service];
    if (!service.plan.delegates.empty())
        return "no holder of connections is reached";
    if (!service.has_primary(m_now))
        return "no primary is proved";
    const auto found = service.upstreams.find(service.primary);
    if (found == service.upstreams.end())
        return "the primary is not registered";
    const auto& pool = found->second;
    if (pool.is_suspected(m_now))
        return "the primary does not answer";
    return "the primary has no room: " + std::to_string(pool.busy()) +
           " statements, " + std::to_string(pool.connections().size()) +
           " connections of " + std::to_string(pool.share());
}

void pooler::serve_queue()
{
    const auto waiting = m_queue;
    for (const bool in_time : {true, false})
    {
        for (const auto id : waiting)
        {
            const auto found = m_sessions.find(id);
            if (found == m_sessions.end() || !found->second.current ||
                !is_waiting(*found->second.current) ||
                meets_target(found->second) != in_time)
                continue;
            if (try_start(found->second))
                std::erase(m_queue, id);
        }
    }
}

bool pooler::meets_target(const session& who) const
{
    const auto began =
        who.transaction ? who.transaction->began : who.current->received;
    return m_now - began < who.current->route.target_latency;
}

bool pooler::try_start(session& who)
{
    auto& what = *who.current;
    auto& service = m_services[what.route.service];
    if (what.attempts >= most_attempts)
        return false;
    if (!who.origin && !service.plan.delegates.empty())
        return try_forward(who, service.plan.delegates);
    const auto chosen =
        place(service, what, who, m_options.failure_domain, m_now);
    if (!chosen)
        return !who.origin && is_cut_from_primary(what) &&
               try_forward(who, service.plan.fallback_delegates);
    ++what.attempts;
    what.after = chosen->after;
    what.at_primary = service.is_primary(chosen->upstream, m_now);
    note(decision_kind::placed, who, chosen->upstream,
         chosen->after ? "after " + upstream::to_string(*chosen->after)
                       : std::string());
    auto& pool = service.upstreams.at(chosen->upstream);
    auto* one = pool.idle_connection(who.values);
    if (one == nullptr)
    {
        auto& made = open(what.route.service, pool);
        made.user = who.id;
        what.connection = made.id;
        return true;
    }
    use(*one, who);
    return true;
}

void pooler::give_up_late_work()
{
    std::vector<session_id> late;
    for (auto& [id, who] : m_sessions)
    {
        if (who.transaction && !who.current && !who.failed &&
            m_now - who.last_active > m_routing.transaction_idle_timeout)
            fail_transaction(who, false);
        if (!who.current)
            continue;
        const bool waits = is_waiting(*who.current);
        if (m_now >= (waits ? who.current->wait_until : who.current->deadline))
            late.push_back(id);
    }
    for (const auto id : late)
    {
        auto& who = m_sessions.at(id);
        const auto used = who.current->connection;
        if (is_waiting(*who.current))
        {
            refuse(who, core::error_kind::overloaded,
                   "no database could run it in time");
            continue;
        }
        if (who.current->forwarded)
        {
            note(decision_kind::timed_out, who, who.current->forwarded->host,
                 "forwarded");
            end_forwarding(who);
            refuse(who, core::error_kind::outcome_unknown,
                   "the time limit of the statement has passed");
            continue;
        }
        const auto* one = find(used);
        const bool sent = one->stage == connection_stage::running;
        note(decision_kind::timed_out, who, one->upstream,
             sent ? "sent" : "not sent");
        who.current->connection = 0;
        if (who.transaction)
            who.transaction->connection = 0;
        drop(used);
        refuse(who,
               sent ? core::error_kind::outcome_unknown
                    : core::error_kind::overloaded,
               "the time limit of the statement has passed");
    }
}

} // namespace plantainward::pooling
