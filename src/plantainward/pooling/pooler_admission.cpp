// Admission of statements on connections that a few hosts share: which wait, in
// which order, which are refused, and which idle transactions end for them.

#include <plantainward/pooling/pooler.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

core::boot_instant later(core::boot_instant instant, double ms)
{
    return instant + std::chrono::microseconds(static_cast<int>(ms * 1000));
}

} // namespace

double pooler::expected_ms(const service_view& service, const work& work) const
{
    double lowest_ms = 0;
    for (const auto& [id, pool] : service.upstreams)
    {
        if ((work.needs_primary && id != service.primary) ||
            pool.is_suspected(m_now))
            continue;
        const auto ms =
            pool.window().expected_ms(work.route.database, pool.expected_ms());
        lowest_ms = lowest_ms > 0 ? std::min(lowest_ms, ms) : ms;
    }
    return lowest_ms;
}

double pooler::service_rate(const service_view& service,
                            bool needs_primary) const
{
    double sum = 0;
    for (const auto& [id, pool] : service.upstreams)
    {
        const bool is_primary = service.is_primary(id, m_now);
        if (needs_primary && !is_primary)
            continue;
        if (pool.is_suspected(m_now) || pool.is_withdrawn(m_now) ||
            (is_primary && pool.refuses_writes(m_now)))
            continue;
        sum += pool.statements_per_ms(m_now);
    }
    return sum;
}

candidate pooler::candidate_of(const session& session)
{
    const auto& work = *session.current;
    const auto& service = m_services[work.route.service];
    const auto began_at =
        session.transaction ? session.transaction->began_at : work.received;
    candidate result;
    result.objective = began_at + work.route.target_latency;
    result.priority = work.route.priority;
    result.excess = service.shares.excess(session.workspace, m_now);
    result.service_ms = expected_ms(service, work);
    result.limit =
        std::min(work.deadline, later(work.wait_until, result.service_ms));
    return result;
}

// Without admission, statements run in the order of the queue, those within
// their target first.
service_rank pooler::rank_of_waiting(const session& session)
{
    if (m_services[session.current->route.service].has_admission())
        return rank_of(candidate_of(session), m_now);
    return {!is_within_target(session), 0, 0, {}};
}

// Whether any waiting statement of a service may start now; without it, each
// answer would rank the whole queues of full databases. `known` keeps the
// results.
bool pooler::may_serve(const std::string& service,
                       std::map<std::string, bool>& known)
{
    const auto found = known.find(service);
    if (found != known.end())
        return found->second;
    const auto& view = m_services[service];
    const auto accepts = [&](const auto& entry) {
        return entry.second.has_any_capacity(m_now) ||
               entry.second.is_suspected(m_now);
    };
    const bool result =
        !view.has_admission() ||
        std::any_of(view.upstreams.begin(), view.upstreams.end(), accepts);
    return known[service] = result;
}

std::vector<session_id> pooler::waiting_in_order(const std::string& service,
                                                 bool needs_primary,
                                                 session_id except)
{
    std::vector<std::pair<service_rank, session_id>> waiting;
    for (const auto id : m_queue)
    {
        const auto& session = m_sessions.at(id);
        if (id == except || !session.current ||
            !is_waiting_for_upstream(*session.current) ||
            session.current->route.service != service ||
            session.current->needs_primary != needs_primary)
            continue;
        waiting.emplace_back(rank_of_waiting(session), id);
    }
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<session_id> result;
    result.reserve(waiting.size());
    for (const auto& [rank, id] : waiting)
        result.push_back(id);
    return result;
}

bool pooler::reject_on_arrival(session& session)
{
    auto& work = *session.current;
    auto& service = m_services[work.route.service];
    if (!service.has_admission())
        return false;
    const auto rate = service_rate(service, work.needs_primary);
    std::vector<candidate> waiting;
    for (const auto id :
         waiting_in_order(work.route.service, work.needs_primary, session.id))
        waiting.push_back(candidate_of(m_sessions.at(id)));
    const auto& control =
        work.needs_primary ? service.primary_admission : service.read_admission;
    if (control.decide(waiting, candidate_of(session), rate, m_now) !=
        verdict::reject)
        return false;
    refuse(session, core::error_kind::overloaded,
           "not run: " + std::to_string(waiting.size()) +
               " statements wait, and it would not run before its limit",
           refusal_cause::no_time_on_arrival);
    return true;
}

void pooler::reject_unservable()
{
    if (m_queue.empty())
        return;
    for (auto& [name, service] : m_services)
    {
        if (!service.has_admission())
            continue;
        for (const bool needs_primary : {true, false})
        {
            const auto rate = service_rate(service, needs_primary);
            const auto ids = waiting_in_order(name, needs_primary, 0);
            std::vector<candidate> waiting;
            waiting.reserve(ids.size());
            for (const auto id : ids)
                waiting.push_back(candidate_of(m_sessions.at(id)));
            for (const auto i : admission::unservable(waiting, rate, m_now))
            {
                auto& session = m_sessions.at(ids[i]);
                // A refused session's next statement may have freed a
                // connection, on which this one runs by now.
                if (!session.current ||
                    !is_waiting_for_upstream(*session.current))
                    continue;
                refuse(session, core::error_kind::overloaded,
                       "not run: other statements left no time for it",
                       refusal_cause::no_time_left);
            }
        }
    }
}

void pooler::record_start(const session& session)
{
    const auto& work = *session.current;
    auto& service = m_services[work.route.service];
    if (!service.has_admission() ||
        !can_meet_objective(candidate_of(session), m_now))
        return;
    auto& control =
        work.needs_primary ? service.primary_admission : service.read_admission;
    control.record_admitted(service_rate(service, work.needs_primary), m_now);
}

// A retry that can't finish in time only adds load.
bool pooler::may_retry(const session& session)
{
    auto& service = m_services[session.current->route.service];
    if (!service.has_admission())
        return true;
    const auto ends_at = later(m_now, expected_ms(service, *session.current));
    return ends_at < session.current->deadline &&
           service.retries.try_take(m_now);
}

void pooler::end_longest_idle_transactions()
{
    if (m_queue.empty())
        return;
    for (auto& [name, service] : m_services)
    {
        if (!service.has_admission())
            continue;
        for (const auto& [id, pool] : service.upstreams)
            end_idle_transactions_at(name, pool);
    }
}

// Ends as many idle transactions as waiting statements could use their
// connections now, the longest idle ones first.
void pooler::end_idle_transactions_at(const std::string& service,
                                      const upstream_pool& pool)
{
    const auto& view = m_services[service];
    const bool is_primary = view.is_primary(pool.registration().id, m_now);
    if (pool.count(connection_stage::pinned) == 0 ||
        pool.count(connection_stage::idle) > 0 || pool.may_open(m_now))
        return;
    auto needed = waiting_in_order(service, false, 0).size();
    if (is_primary)
        needed += waiting_in_order(service, true, 0).size();
    const auto in_use = pool.busy_count() +
                        pool.count(connection_stage::opening) +
                        pool.count(connection_stage::rolling_back);
    const auto window = static_cast<std::size_t>(pool.window().limit());
    needed = std::min(needed, window - std::min(window, in_use));
    if (needed == 0)
        return;
    std::vector<std::pair<core::boot_instant, session_id>> idle;
    for (const auto& [id, session] : m_sessions)
    {
        if (session.current || session.failed || !session.transaction ||
            m_now - session.last_active <
                m_routing.transaction_idle_timeout / 2)
            continue;
        const auto* connection = pool.find(session.transaction->connection);
        if (connection != nullptr)
            idle.emplace_back(session.last_active, id);
    }
    std::sort(idle.begin(), idle.end());
    for (const auto& [since, id] : idle)
    {
        if (needed-- == 0)
            return;
        fail_transaction(m_sessions.at(id), false);
    }
}

void pooler::add_queue_state(decision& report, const session& session)
{
    const auto& work = *session.current;
    report.priority = work.route.priority;
    for (const auto id : m_queue)
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || !found->second.current ||
            found->second.current->route.service != work.route.service)
            continue;
        const auto& other = *found->second.current;
        report.queued_of_priority +=
            other.route.priority == work.route.priority ? 1 : 0;
        report.queued_of_workspace +=
            found->second.workspace == session.workspace ? 1 : 0;
    }
    const auto& service = m_services[work.route.service];
    const auto primary = service.upstreams.find(service.primary);
    if (service.has_admission() && primary != service.upstreams.end())
        report.window = primary->second.window().limit();
}

} // namespace plantainward::pooling
