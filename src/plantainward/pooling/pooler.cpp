#include <plantainward/pooling/pooler.hpp>

#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

using sql::statement_kind;

// Statements that a caller may send ahead of the answer to the first.
constexpr std::size_t most_queued = 64;

// Share of a statement's time limit that it may wait for a database. A caller
// that is refused then has as much time left to try another host.
constexpr double waiting_share = 0.5;

// Pause after which databases that refused a waiting statement are asked again.
constexpr core::millis retry_interval{30};

} // namespace

void pooler::observe(decision_observer on_decision,
                     statement_observer on_statement)
{
    m_on_decision = std::move(on_decision);
    m_on_statement = std::move(on_statement);
}

void pooler::note(decision_kind kind, const session& who,
                  const std::string& upstream, std::string detail)
{
    if (!m_on_decision || !who.current)
        return;
    const auto in_ms = [](auto time) {
        return std::chrono::duration_cast<core::millis>(time);
    };
    const auto& what = *who.current;
    decision made;
    made.kind = kind;
    made.request = what.statement.id;
    made.service = what.route.service;
    made.upstream = upstream;
    made.detail = std::move(detail);
    made.attempt = what.attempts;
    made.elapsed = in_ms(m_now - what.received);
    made.routing_version = m_routing.version;
    const auto& service = m_services[what.route.service];
    if (service.has_primary(m_now))
        made.lease_left = in_ms(service.primary_until - m_now);
    if (const auto watermark = service.watermarks.newest())
        made.watermark_age = in_ms(m_now - watermark->since);
    m_on_decision(made);
}

bool pooler::set_routing(routes::routing routing, core::boot_instant now)
{
    if (routing.version <= m_routing.version)
        return false;
    m_now = now;
    m_routing = std::move(routing);
    for (const auto& [name, limits] : m_routing.services)
        m_services.try_emplace(name);
    return true;
}

void pooler::set_plan(const std::string& service, connection_plan plan)
{
    auto& known = m_services[service];
    known.plan = std::move(plan);
    for (auto& [id, pool] : known.upstreams)
        pool.set_share(known.plan.share);
}

actions pooler::set_upstreams(const std::vector<routes::upstream>& upstreams,
                              core::boot_instant now)
{
    m_now = now;
    std::map<std::string, const routes::upstream*> listed;
    for (const auto& one : upstreams)
        listed[one.id] = &one;
    for (auto& [name, service] : m_services)
    {
        std::vector<std::string> gone;
        for (auto& [id, pool] : service.upstreams)
        {
            const auto found = listed.find(id);
            const bool is_same =
                found != listed.end() && found->second->service == name &&
                found->second->address == pool.what().address &&
                found->second->started_at_ms == pool.what().started_at_ms;
            if (!is_same)
                gone.push_back(id);
        }
        for (const auto& id : gone)
        {
            std::vector<connection_id> open;
            for (const auto& [connection, one] :
                 service.upstreams.at(id).connections())
                open.push_back(connection);
            for (const auto connection : open)
                drop(connection);
            service.upstreams.erase(id);
        }
    }
    for (const auto& one : upstreams)
    {
        auto& service = m_services[one.service];
        auto& pool = service.upstreams.try_emplace(one.id, one).first->second;
        pool.set_what(one);
        pool.set_share(service.plan.share);
    }
    serve_queue();
    return take();
}

actions pooler::set_primary(const std::string& service,
                            const std::string& upstream,
                            core::boot_instant until, core::boot_instant now,
                            upstream::term_number term)
{
    m_now = now;
    auto& known = m_services[service];
    const bool opens = !known.has_primary(now) || known.primary != upstream;
    known.set_primary(upstream, until, now);
    known.primary_term = term;
    if (opens && known.has_primary(now))
        serve_queue();
    return take();
}

void pooler::add_watermark(const std::string& service,
                           const freshness::watermark& one)
{
    m_services[service].watermarks.add(one);
}

std::optional<freshness::watermark>
pooler::newest_watermark(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt
                                     : found->second.watermarks.newest();
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

bool pooler::open_session(session_id id, const std::string& database,
                          core::boot_instant now)
{
    if (m_routing.find(database) == nullptr)
        return false;
    auto& made = m_sessions[id];
    made.id = id;
    made.database = database;
    made.last_active = now;
    return true;
}

actions pooler::close_session(session_id id, core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return take();
    auto& who = found->second;
    end_forwarding(who);
    if (who.current)
    {
        --m_in_work;
        std::erase(m_queue, id);
        // A statement that nobody waits for is ended with its connection.
        if (const auto used = who.current->connection; used != 0)
        {
            who.current.reset();
            drop(used);
        }
    }
    else if (who.transaction && who.transaction->connection != 0)
    {
        if (auto* one = find(who.transaction->connection))
            release(*one, true);
    }
    if (who.origin)
        m_remote.erase({who.origin->host, who.origin->operation});
    m_sessions.erase(id);
    serve_queue();
    return take();
}

std::vector<session_id> pooler::idle_sessions() const
{
    std::vector<session_id> idle;
    for (const auto& [id, one] : m_sessions)
        if (!one.current && !one.transaction && !one.origin)
            idle.push_back(id);
    return idle;
}

actions pooler::end_transactions(core::boot_instant now)
{
    m_now = now;
    for (auto& [id, one] : m_sessions)
        if (one.transaction && !one.current)
            fail_transaction(one, false);
    return take();
}

actions pooler::on_statement(session_id id, sql::statement one,
                             core::boot_instant now)
{
    m_now = now;
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return take();
    auto& who = found->second;
    who.last_active = now;
    if (!who.current)
        start(who, std::move(one));
    else if (who.queued.size() < most_queued)
        who.queued.push_back(std::move(one));
    else
        reply(who, answer_error(who, core::error_kind::overloaded,
                                "too many statements ahead of their answers"));
    return take();
}

void pooler::start(session& who, sql::statement one)
{
    if (auto answer = answer_locally(who, one))
        return reply(who, std::move(*answer));
    switch (one.kind)
    {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        return begin(who, one);
    case statement_kind::rollback:
        return roll_back(who);
    default:
        return start_work(who, std::move(one));
    }
}

void pooler::begin(session& who, const sql::statement& one)
{
    const auto* route = m_routing.find(who.database);
    if (route == nullptr)
        return reply(who, answer_error(who, core::error_kind::not_found,
                                       "no route has this database name"));
    who.transaction.emplace();
    who.transaction->read_only = one.kind == statement_kind::begin_read_only;
    who.transaction->began = m_now;
    who.transaction->route = *route;
    reply(who, answer_done(who));
}

void pooler::roll_back(session& who)
{
    const auto used = who.transaction->connection;
    end_forwarding(who);
    who.transaction.reset();
    if (auto* one = find(used))
        release(*one, true);
    reply(who, answer_done(who));
    serve_queue();
}

void pooler::start_work(session& who, sql::statement one)
{
    const auto* route = who.transaction ? &who.transaction->route
                                        : m_routing.find(who.database);
    if (route == nullptr)
        return reply(who, answer_error(who, core::error_kind::not_found,
                                       "no route has this database name"));
    const auto in_force = *route;
    run_work(who, std::move(one), in_force, in_force.timeout);
}

void pooler::run_work(session& who, sql::statement one,
                      const routes::route& route, core::millis time_left)
{
    work made;
    made.route = route;
    const bool writes = writes_data(who, one);
    const bool in_transaction = who.transaction.has_value();
    if (in_transaction && writes)
        who.transaction->wrote = true;
    made.needs_primary =
        writes || route.consistency == routes::read_consistency::latest ||
        (in_transaction && !who.transaction->read_only);
    made.begins = in_transaction && !who.transaction->has_started();
    made.is_final =
        one.kind == statement_kind::commit || (writes && !in_transaction);
    made.statement = std::move(one);
    made.received = m_now;
    made.deadline = m_now + time_left;
    made.wait_until = made.deadline - std::chrono::duration_cast<core::millis>(
                                          route.timeout * (1 - waiting_share));
    who.current = std::move(made);
    ++m_in_work;
    if (in_transaction && who.transaction->forwarded)
        return forward(who, *who.transaction->forwarded);
    if (in_transaction && who.transaction->connection != 0)
    {
        auto& pinned = *find(who.transaction->connection);
        return use(pinned, who);
    }
    if (try_start(who))
        return;
    const bool has_helpers = !m_services[route.service].plan.delegates.empty();
    if (m_isolated && !has_helpers)
        return refuse_here(
            who, "this host can't prove which database is the primary");
    if (who.origin && is_cut_from_primary(*who.current))
        return refuse_here(who, "this host does not reach the primary");
    wait(who);
}

void pooler::reply(session& who, sql::reply answer)
{
    if (who.origin)
        return reply_to_host(who, {std::move(answer), false, false});
    m_out.emplace_back(reply_action{who.id, std::move(answer)});
}

void pooler::finish(session& who, sql::reply answer)
{
    const auto& done = *who.current;
    const bool at_replica = !done.at_primary;
    // The host that the caller is connected to counts it.
    if (m_on_statement && !who.origin)
        m_on_statement(
            {done.route, answer.error, at_replica,
             std::chrono::duration_cast<core::millis>(m_now - done.received)});
    if (ends_transaction(done))
    {
        who.transaction.reset();
        who.failed = false;
        answer.state = sql::transaction_state::idle;
    }
    who.current.reset();
    who.last_active = m_now;
    --m_in_work;
    std::erase(m_queue, who.id);
    if (who.origin)
        return reply_to_host(who, {std::move(answer), at_replica, false});
    reply(who, std::move(answer));
    while (!who.current && !who.queued.empty())
    {
        auto next = std::move(who.queued.front());
        who.queued.pop_front();
        start(who, std::move(next));
    }
}

void pooler::refuse(session& who, core::error_kind kind,
                    const std::string& text)
{
    note(decision_kind::refused, who, {},
         std::string(core::name_of(kind)) + ": " + text);
    if (who.transaction && !ends_transaction(*who.current))
        fail_transaction(who, true);
    finish(who, answer_error(who, kind, text));
}

void pooler::fail_transaction(session& who, bool told)
{
    if (auto* one = find(who.transaction->connection))
        release(*one, true);
    end_forwarding(who);
    who.transaction->connection = 0;
    who.failed = true;
    who.owes_failure = !told;
    if (who.origin && !who.current)
        m_ended_remote.push_back(who.id);
}

actions pooler::take()
{
    end_remote_sessions();
    return std::exchange(m_out, {});
}

actions pooler::tick(core::boot_instant now)
{
    m_now = now;
    give_up_late_work();
    for (const auto id : m_queue)
    {
        auto& what = *m_sessions.at(id).current;
        if (now - what.received >
            retry_interval * static_cast<int>(what.attempts + 1))
        {
            what.excluded.clear();
            what.excluded_hosts.clear();
        }
    }
    send_again();
    drop_silent();
    leave_lost_answers();
    send_remote_elsewhere();
    drop_surplus();
    serve_queue();
    probe_silent();
    return take();
}

} // namespace plantainward::pooling
