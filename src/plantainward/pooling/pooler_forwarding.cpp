// Work that other hosts run for this one, and work that it runs for them.

#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::pooling
{

namespace
{

// For how long a host that was lost gets no new work: about the time after
// which its silence is noticed again, doubled while it stays lost.
constexpr core::millis least_avoid_time{500};
constexpr core::millis most_avoid_time{4000};

// The same for a host that can't run the work of a service now; a replaced
// primary may be in use again by then.
constexpr core::millis elsewhere_time{150};

// Ids of sessions of other hosts lie above those of callers' connections.
constexpr session_id remote_ids = session_id{1} << 63;

core::millis age_of(core::boot_instant now, core::boot_instant since)
{
    return std::chrono::duration_cast<core::millis>(now - since);
}

transaction_part part_of(const session& who)
{
    if (!who.transaction)
        return transaction_part::none;
    return who.current->begins ? transaction_part::first
                               : transaction_part::later;
}

forwarded_work work_of(const session& who, core::boot_instant now)
{
    const auto& what = *who.current;
    forwarded_work made;
    made.statement = what.statement;
    made.route = what.route;
    made.values = who.values;
    if (const auto found = who.prepared.find(what.statement.name);
        what.statement.kind == sql::statement_kind::execute &&
        found != who.prepared.end())
        made.prepared = found->second;
    made.part = part_of(who);
    if (who.transaction)
    {
        made.read_only = who.transaction->read_only;
        made.transaction_age = age_of(now, who.transaction->began);
    }
    made.time_left = std::max(core::millis(0), -age_of(now, what.deadline));
    if (who.own_commit)
    {
        made.own_commit = who.own_commit->point;
        made.own_commit_age = age_of(now, who.own_commit->since);
    }
    return made;
}

} // namespace

// Whether a primary is proved that other hosts may reach and this one doesn't.
bool pooler::is_cut_from_primary(const work& what)
{
    const auto& service = m_services[what.route.service];
    if (!what.needs_primary || !service.has_primary(m_now))
        return false;
    const auto found = service.upstreams.find(service.primary);
    return found != service.upstreams.end() &&
           found->second.is_suspected(m_now);
}

void pooler::host_lost(const std::string& host)
{
    auto& lost = m_lost_hosts[host];
    lost.pause = std::clamp(lost.pause * 2, least_avoid_time, most_avoid_time);
    lost.until = m_now + lost.pause;
}

// A host that was lost is tried by one statement; the others wait for what
// becomes of it.
bool pooler::may_try(const std::string& host, const std::string& service)
{
    const auto avoided = m_avoided_for.find({service, host});
    if (avoided != m_avoided_for.end() && m_now < avoided->second)
        return false;
    const auto lost = m_lost_hosts.find(host);
    if (lost == m_lost_hosts.end())
        return true;
    if (m_now < lost->second.until)
        return false;
    lost->second.until = m_now + lost->second.pause;
    return true;
}

bool pooler::try_forward(session& who, const std::vector<std::string>& hosts)
{
    auto& what = *who.current;
    for (const auto& host : hosts)
    {
        if (what.excluded_hosts.contains(host) ||
            !may_try(host, what.route.service))
            continue;
        ++what.attempts;
        forward(who, {host, ++m_last_operation});
        return true;
    }
    return false;
}

void pooler::forward(session& who, const forwarding& to)
{
    auto& what = *who.current;
    note(decision_kind::forwarded, who, to.host, {});
    what.forwarded = to;
    if (who.transaction)
        who.transaction->forwarded = to;
    m_out.emplace_back(
        forward_action{to.host, to.operation, who.id, work_of(who, m_now)});
}

void pooler::end_forwarding(session& who)
{
    std::optional<forwarding> one;
    if (who.transaction)
        one = std::exchange(who.transaction->forwarded, std::nullopt);
    if (who.current && who.current->forwarded)
        one = std::exchange(who.current->forwarded, std::nullopt);
    if (one)
        m_out.emplace_back(end_forwarding_action{one->host, one->operation});
}

actions pooler::on_forwarded_reply(session_id id, operation_id operation,
                                   forwarded_reply answer,
                                   core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || !found->second.current)
        return take();
    auto& who = found->second;
    auto& what = *who.current;
    if (!what.forwarded || what.forwarded->operation != operation)
        return take();
    m_lost_hosts.erase(what.forwarded->host);
    if (!answer.try_elsewhere)
    {
        forwarded_done(who, std::move(answer));
        return take();
    }
    const auto host = what.forwarded->host;
    note(decision_kind::retried, who, host, answer.reply.text);
    m_avoided_for[{what.route.service, host}] = now + elsewhere_time;
    what.excluded_hosts.insert(host);
    what.forwarded.reset();
    if (who.transaction)
        who.transaction->forwarded.reset();
    if (!try_start(who))
        wait(who);
    return take();
}

void pooler::forwarded_done(session& who, forwarded_reply answer)
{
    auto& what = *who.current;
    what.forwarded.reset();
    what.at_primary = !answer.at_replica;
    if (answer.reply.error)
    {
        // The other host has ended the transaction already.
        if (who.transaction)
            who.transaction->forwarded.reset();
        return refuse(who, *answer.reply.error, answer.reply.text);
    }
    const bool committed =
        what.is_final && (!who.transaction || !who.transaction->read_only);
    if (committed && answer.reply.position)
        who.own_commit = freshness::watermark{m_now, *answer.reply.position};
    if (committed)
        note(decision_kind::committed, who, {}, "by another host");
    answer.reply.state = who.state();
    finish(who, std::move(answer.reply));
}

actions pooler::on_forward_lost(session_id id, operation_id operation,
                                bool sent, core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || !found->second.current)
        return take();
    auto& who = found->second;
    auto& what = *who.current;
    if (!what.forwarded || what.forwarded->operation != operation)
        return take();
    host_lost(what.forwarded->host);
    what.excluded_hosts.insert(what.forwarded->host);
    work_lost(who, sent, sent ? "sent to a host" : "not sent to a host");
    serve_queue();
    return take();
}

actions pooler::run_forwarded(const std::string& host, operation_id operation,
                              forwarded_work work, core::boot_instant now)
{
    m_now = now;
    const auto key = std::pair(host, operation);
    const auto known = m_remote.find(key);
    const bool goes_on = work.part == transaction_part::later;
    const auto reject = [&](core::error_kind kind, const char* text,
                            bool try_elsewhere) {
        forwarded_reply made;
        made.reply.error = kind;
        made.reply.text = text;
        made.try_elsewhere = try_elsewhere;
        m_out.emplace_back(
            forwarded_reply_action{host, operation, std::move(made)});
        return take();
    };
    // The transaction was ended here, or a message came twice.
    const bool is_known = known != m_remote.end();
    if (goes_on != is_known || (is_known && m_sessions[known->second].current))
        return reject(core::error_kind::transaction_lost,
                      "the transaction is not known here", false);
    const bool holds_none = m_services[work.route.service].plan.share == 0;
    if (!goes_on && (holds_none || m_draining))
        return reject(core::error_kind::overloaded,
                      m_draining ? "the host is stopping"
                                 : "the host holds no connections",
                      true);
    const auto id = goes_on ? known->second : ++m_last_remote | remote_ids;
    auto& who = m_sessions[id];
    if (!goes_on)
    {
        m_remote[key] = id;
        who.id = id;
        who.origin = forwarding{host, operation};
        who.database = work.route.database;
    }
    who.last_active = now;
    who.values = std::move(work.values);
    if (work.prepared)
        who.prepared[work.statement.name] = *work.prepared;
    if (work.own_commit)
        who.own_commit =
            freshness::watermark{now - work.own_commit_age, *work.own_commit};
    if (work.part == transaction_part::first)
    {
        who.transaction.emplace();
        who.transaction->read_only = work.read_only;
        who.transaction->began = now - work.transaction_age;
        who.transaction->route = work.route;
    }
    run_work(who, std::move(work.statement), work.route, work.time_left);
    return take();
}

// Refuses a statement that another host may be able to run.
void pooler::refuse_here(session& who, const std::string& text)
{
    if (!who.origin)
        return refuse(who, core::error_kind::overloaded, text);
    note(decision_kind::refused, who, {}, text);
    forwarded_reply made;
    made.reply = answer_error(who, core::error_kind::overloaded, text);
    made.try_elsewhere = true;
    std::erase(m_queue, who.id);
    who.current.reset();
    --m_in_work;
    who.transaction.reset();
    reply_to_host(who, std::move(made));
}

// Statements of other hosts that wait for a primary which this host no longer
// reaches go back, since another host may reach it.
void pooler::send_remote_elsewhere()
{
    const auto waiting = m_queue;
    for (const auto id : waiting)
    {
        auto& who = m_sessions.at(id);
        if (who.origin && is_cut_from_primary(*who.current))
            refuse_here(who, "this host does not reach the primary");
    }
}

void pooler::reply_to_host(session& who, forwarded_reply answer)
{
    if (!who.transaction || who.failed)
        m_ended_remote.push_back(who.id);
    m_out.emplace_back(forwarded_reply_action{
        who.origin->host, who.origin->operation, std::move(answer)});
}

actions pooler::end_forwarded(const std::string& host, operation_id operation,
                              core::boot_instant now)
{
    m_now = now;
    const auto known = m_remote.find({host, operation});
    if (known == m_remote.end())
        return take();
    return close_session(known->second, now);
}

void pooler::end_remote_sessions()
{
    for (const auto id : std::exchange(m_ended_remote, {}))
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end())
            continue;
        const auto& origin = *found->second.origin;
        m_remote.erase({origin.host, origin.operation});
        m_sessions.erase(found);
    }
}

} // namespace plantainward::pooling
