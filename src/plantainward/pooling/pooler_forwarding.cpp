// Statements that other hosts run for this host, and this host for others.

#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::pooling
{

namespace
{

// For how long a host that did not answer gets no new statements. The minimum
// is about the time in which a missing answer is noticed; the time doubles
// while the host does not answer.
constexpr core::millis min_avoid_time{500};
constexpr core::millis max_avoid_time{4000};

// For how long a host that can't run statements of a service gets no new ones;
// by then a new primary may be in use.
constexpr core::millis service_avoid_time{150};

// Sessions of other hosts have ids above this one, which differ from the ids of
// callers' sessions.
constexpr session_id remote_id_base = session_id{1} << 63;

core::millis age_of(core::boot_instant now, core::boot_instant since)
{
    return std::chrono::duration_cast<core::millis>(now - since);
}

transaction_part part_of(const session& session)
{
    if (!session.transaction)
        return transaction_part::none;
    return session.current->begins ? transaction_part::first
                                   : transaction_part::later;
}

forwarded_work work_of(const session& session, std::uint64_t routing_version,
                       core::boot_instant now)
{
    const auto& work = *session.current;
    forwarded_work result;
    result.statement = work.statement;
    result.route = work.route;
    result.routing_version = routing_version;
    result.workspace = session.workspace;
    result.values = session.values;
    if (const auto found = session.prepared.find(work.statement.name);
        work.statement.kind == sql::statement_kind::execute &&
        found != session.prepared.end())
        result.prepared = found->second;
    result.part = part_of(session);
    if (session.transaction)
    {
        result.read_only = session.transaction->read_only;
        result.transaction_age = age_of(now, session.transaction->began_at);
    }
    result.time_left = std::max(core::millis(0), -age_of(now, work.deadline));
    if (work.start_by)
        result.start_within =
            std::max(core::millis(0), -age_of(now, *work.start_by));
    if (const auto commit = session.commits.last_at(work.route.service))
    {
        result.own_commit = commit->point;
        result.own_commit_age = age_of(now, commit->since);
    }
    // The receiver can't know which position a replica must have.
    const auto reads_since =
        session.transaction ? session.transaction->began_at : work.received;
    if (work.route.consistency == routes::read_consistency::session &&
        session.commits.may_lack(work.route.service,
                                 reads_since - work.route.max_age))
        result.route.consistency = routes::read_consistency::latest;
    return result;
}

} // namespace

// Whether the statement needs a primary that is proved but does not answer this
// host; other hosts may reach it.
bool pooler::is_primary_unreachable(const work& work)
{
    const auto& service = m_services[work.route.service];
    if (!work.needs_primary || !service.has_primary(m_now))
        return false;
    const auto found = service.upstreams.find(service.primary);
    return found != service.upstreams.end() &&
           found->second.is_suspected(m_now);
}

void pooler::avoid_lost_host(const std::string& host)
{
    auto& avoided = m_avoided_hosts[host];
    avoided.pause =
        std::clamp(avoided.pause * 2, min_avoid_time, max_avoid_time);
    avoided.until = m_now + avoided.pause;
}

// After the pause, a single statement tries a host that did not answer; others
// wait for the result of that attempt.
bool pooler::may_forward_to(const std::string& host, const std::string& service)
{
    const auto service_pause = m_avoided_for_service.find({service, host});
    if (service_pause != m_avoided_for_service.end() &&
        m_now < service_pause->second)
        return false;
    const auto avoided = m_avoided_hosts.find(host);
    if (avoided == m_avoided_hosts.end())
        return true;
    if (m_now < avoided->second.until)
        return false;
    avoided->second.until = m_now + avoided->second.pause;
    return true;
}

bool pooler::try_forward(session& session,
                         const std::vector<std::string>& hosts)
{
    auto& work = *session.current;
    for (const auto& host : hosts)
    {
        if (work.excluded_hosts.contains(host) ||
            !may_forward_to(host, work.route.service))
            continue;
        ++work.attempts;
        forward(session, {host, ++m_last_operation_id});
        return true;
    }
    return false;
}

void pooler::forward(session& session, const forwarding& target)
{
    auto& work = *session.current;
    report_decision(decision_kind::forwarded, session, target.host, {});
    work.forwarded = target;
    if (session.transaction)
        session.transaction->forwarded = target;
    m_actions.emplace_back(
        forward_action{target.host, target.operation, session.id,
                       work_of(session, m_routing.version, m_now)});
}

void pooler::end_forwarding(session& session)
{
    std::optional<forwarding> ended;
    if (session.transaction)
        ended = std::exchange(session.transaction->forwarded, std::nullopt);
    if (session.current && session.current->forwarded)
        ended = std::exchange(session.current->forwarded, std::nullopt);
    if (ended)
        m_actions.emplace_back(
            end_forwarding_action{ended->host, ended->operation});
}

actions pooler::on_forwarded_reply(session_id id, operation_id operation,
                                   forwarded_reply answer,
                                   core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || !found->second.current)
        return collect_actions();
    auto& session = found->second;
    auto& work = *session.current;
    if (!work.forwarded || work.forwarded->operation != operation)
        return collect_actions();
    m_avoided_hosts.erase(work.forwarded->host);
    if (!answer.try_elsewhere)
    {
        finish_forwarded(session, std::move(answer));
        return collect_actions();
    }
    const auto host = work.forwarded->host;
    report_decision(decision_kind::retried, session, host, answer.reply.text);
    m_avoided_for_service[{work.route.service, host}] =
        now + service_avoid_time;
    work.excluded_hosts.insert(host);
    work.forwarded.reset();
    if (session.transaction)
        session.transaction->forwarded.reset();
    // A host that has restarted knows nothing of the transactions before and
    // returns their statements too.
    if (session.transaction && !work.begins)
        refuse(session, core::error_kind::transaction_lost,
               "the host of the transaction has lost it");
    else if (!try_start(session))
        enqueue(session);
    return collect_actions();
}

void pooler::finish_forwarded(session& session, forwarded_reply answer)
{
    auto& work = *session.current;
    work.forwarded.reset();
    work.at_primary = !answer.at_replica;
    if (answer.reply.error)
    {
        work.may_have_run = work.may_have_run || !answer.was_not_run;
        // The other host has already ended the transaction.
        if (session.transaction)
            session.transaction->forwarded.reset();
        return refuse(session, *answer.reply.error, answer.reply.text);
    }
    const bool committed =
        work.is_unrepeatable &&
        (!session.transaction || !session.transaction->read_only);
    if (committed && answer.reply.position)
        session.commits.record(work.route.service,
                               {m_now, *answer.reply.position});
    if (committed)
        report_decision(decision_kind::committed, session, {},
                        "by another host");
    answer.reply.state = session.state();
    finish(session, std::move(answer.reply));
}

actions pooler::on_forward_lost(session_id id, operation_id operation,
                                bool sent, core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || !found->second.current)
        return collect_actions();
    auto& session = found->second;
    auto& work = *session.current;
    if (!work.forwarded || work.forwarded->operation != operation)
        return collect_actions();
    avoid_lost_host(work.forwarded->host);
    work.excluded_hosts.insert(work.forwarded->host);
    handle_lost_work(session, sent,
                     sent ? "sent to a host" : "not sent to a host");
    serve_queue();
    return collect_actions();
}

// Whether this host has a newer routing in which the work's route is gone or
// leads to another service.
bool pooler::is_outdated(const forwarded_work& work) const
{
    if (work.routing_version >= m_routing.version)
        return false;
    const auto* route = m_routing.find(work.route.database);
    return route == nullptr || route->service != work.route.service;
}

actions pooler::run_forwarded(const std::string& host, operation_id operation,
                              forwarded_work work, core::boot_instant now)
{
    m_now = now;
    const auto key = std::pair(host, operation);
    const auto remote = m_remote_sessions.find(key);
    const bool is_continuation = work.part == transaction_part::later;
    const auto reject = [&](core::error_kind kind, const char* text,
                            bool try_elsewhere) {
        forwarded_reply rejection;
        rejection.reply.error = kind;
        rejection.reply.text = text;
        rejection.try_elsewhere = try_elsewhere;
        m_actions.emplace_back(
            forwarded_reply_action{host, operation, std::move(rejection)});
        return collect_actions();
    };
    // This host ended the transaction earlier, or the message is a duplicate.
    const bool is_known = remote != m_remote_sessions.end();
    if (is_continuation != is_known ||
        (is_known && m_sessions[remote->second].current))
        return reject(core::error_kind::transaction_lost,
                      "this host does not know the transaction", false);
    if (!is_continuation && is_outdated(work))
        return reject(core::error_kind::overloaded, "the route has changed",
                      false);
    const bool has_no_connections =
        m_services[work.route.service].plan.share == 0;
    const bool is_stopping = m_drain_stage != drain_stage::none;
    if (!is_continuation && (has_no_connections || is_stopping))
        return reject(core::error_kind::overloaded,
                      is_stopping
                          ? "the host is stopping"
                          : "the host has no connections of the service",
                      true);
    const auto id =
        is_continuation ? remote->second : ++m_last_remote_id | remote_id_base;
    auto& session = m_sessions[id];
    if (!is_continuation)
    {
        m_remote_sessions[key] = id;
        session.id = id;
        session.origin = forwarding{host, operation};
        session.database = work.route.database;
    }
    session.last_active = now;
    session.workspace = std::move(work.workspace);
    session.start_by.reset();
    if (work.start_within)
        session.start_by = now + *work.start_within;
    session.values = std::move(work.values);
    if (work.prepared)
        session.prepared[work.statement.name] = *work.prepared;
    if (work.own_commit)
        session.commits.record(work.route.service,
                               {now - work.own_commit_age, *work.own_commit});
    if (work.part == transaction_part::first)
    {
        session.transaction.emplace();
        session.transaction->read_only = work.read_only;
        session.transaction->began_at = now - work.transaction_age;
        session.transaction->route = work.route;
    }
    run_work(session, std::move(work.statement), work.route, work.time_left);
    return collect_actions();
}

// Refuses a statement that another host may be able to run.
void pooler::refuse_on_this_host(session& session, const std::string& text)
{
    if (!session.origin)
        return refuse(session, core::error_kind::overloaded, text);
    report_decision(decision_kind::refused, session, {}, text);
    forwarded_reply rejection;
    rejection.reply = error_reply(session, core::error_kind::overloaded, text);
    rejection.try_elsewhere = true;
    std::erase(m_queue, session.id);
    session.current.reset();
    --m_work_count;
    session.transaction.reset();
    reply_to_host(session, std::move(rejection));
}

// Returns waiting statements of other hosts that need a primary which this host
// no longer reaches, since another host may reach it.
void pooler::return_remote_work()
{
    const auto waiting = m_queue;
    for (const auto id : waiting)
    {
        auto& session = m_sessions.at(id);
        if (session.origin && is_primary_unreachable(*session.current))
            refuse_on_this_host(session,
                                "this host does not reach the primary");
    }
}

void pooler::reply_to_host(session& session, forwarded_reply answer)
{
    if (!session.transaction || session.failed)
        m_ended_remote_sessions.push_back(session.id);
    m_actions.emplace_back(forwarded_reply_action{
        session.origin->host, session.origin->operation, std::move(answer)});
}

actions pooler::end_forwarded(const std::string& host, operation_id operation,
                              core::boot_instant now)
{
    m_now = now;
    const auto remote = m_remote_sessions.find({host, operation});
    if (remote == m_remote_sessions.end())
        return collect_actions();
    return close_session(remote->second, now);
}

void pooler::erase_ended_remote_sessions()
{
    for (const auto id : std::exchange(m_ended_remote_sessions, {}))
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end())
            continue;
        const auto& origin = *found->second.origin;
        m_remote_sessions.erase({origin.host, origin.operation});
        m_sessions.erase(found);
    }
}

} // namespace plantainward::pooling
