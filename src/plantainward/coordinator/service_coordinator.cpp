#include <plantainward/coordinator/service_coordinator.hpp>

#include <plantainward/coordinator/answer_rules.hpp>
#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::coordinator
{

using core::error_kind;
using observe::event_kind;
using upstream::run_outcome;

namespace
{

constexpr double retries_per_success = 0.2;
constexpr double retry_reserve = 200;
/// The proved age of a read grows while it is under way.
constexpr core::millis age_margin{10};

std::vector<fair_queue> make_lines(int slots, std::size_t capacity)
{
    return std::vector<fair_queue>(static_cast<std::size_t>(slots),
                                   fair_queue(capacity));
}

} // namespace

service_coordinator::service_coordinator(upstream::service_layout layout,
                                         coordinator_options options)
    : m_layout(std::move(layout)), m_options(std::move(options)),
      m_views(static_cast<std::size_t>(m_layout.slots),
              group_view(m_layout.databases.size())),
      m_pools(m_layout.databases.size(), connection_pool(m_options.pool)),
      m_leaving_since(m_layout.databases.size()),
      m_primary_lines(make_lines(m_layout.slots, m_options.queue_capacity)),
      m_replica_lines(make_lines(m_layout.slots, m_options.queue_capacity)),
      m_planner(m_layout.databases.size(), m_layout.slots, m_options.polls),
      m_transactions(m_options.instance, m_layout.name, m_options.secret),
      m_retries(retries_per_success, retry_reserve),
      m_next_connection(m_options.first_connection)
{
    set_share(1);
}

void service_coordinator::set_share(double share)
{
    m_share = share;
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        const auto limit =
            static_cast<double>(m_layout.databases[i].connections) * share;
        m_pools[i].set_share(
            std::max<std::size_t>(1, static_cast<std::size_t>(limit)));
    }
}

actions service_coordinator::set_layout(const upstream::service_layout& layout,
                                        core::instant now)
{
    m_layout = layout;
    set_share(m_share);
    for (std::size_t i = 0; i < m_layout.databases.size(); ++i)
    {
        const auto& database = m_layout.databases[i];
        if (database.leaving && !m_leaving_since[i])
        {
            m_leaving_since[i] = now;
            note(event_kind::upstream_leaving, -1, {},
                 database.name + " is leaving and gets no new work");
        }
        if (!database.leaving)
            m_leaving_since[i].reset();
    }
    return finish(now);
}

actions service_coordinator::submit(request_number number,
                                    caller_request request, core::instant now)
{
    m_last_request = now;
    const bool starts_work = !is_in_transaction(request);
    if (request.slot < 0 || request.slot >= m_layout.slots)
    {
        answer(number, failure(error_kind::not_found, "no such slot"));
        return finish(now);
    }
    if (m_draining && starts_work)
    {
        answer(number, failure(error_kind::draining, "the proxy is leaving"));
        return finish(now);
    }
    work made;
    made.digest = content_digest(request);
    made.submitted = now;
    made.deadline = now + request.time_left;
    made.request = std::move(request);
    auto& one = m_works.emplace(number, std::move(made)).first->second;
    if (!starts_work)
        submit_in_transaction(number, one, now);
    else if (is_read_only(one.request) &&
             one.request.required_freshness != freshness::latest)
        place_read(number, one, now);
    else if (one.request.kind == request_kind::begin &&
             m_transactions.size() >= m_options.most_transactions)
        fail(number, one, error_kind::overloaded, "too many open transactions");
    else
        enqueue(number, one, stage::for_primary, now);
    return finish(now);
}

void service_coordinator::submit_in_transaction(request_number number,
                                                work& one, core::instant now)
{
    auto* transaction = m_transactions.find(one.request.transaction);
    const bool commits = one.request.kind == request_kind::commit;
    if (transaction == nullptr && commits && !one.request.id.empty())
    {
        // A repeated commit: its id tells the outcome of the first one.
        one.settles = true;
        one.digest.clear();
        return enqueue(number, one, stage::for_primary, now);
    }
    if (transaction == nullptr)
        return fail(number, one, error_kind::transaction_lost,
                    "no such transaction is open");
    if (transaction->busy)
        return fail(number, one, error_kind::conflict,
                    "another statement of the transaction is running");
    if (transaction->slot != one.request.slot ||
        transaction->tenant != one.request.tenant)
        return fail(number, one, error_kind::transaction_lost,
                    "no such transaction is open");
    transaction->busy = true;
    transaction->last_used = now;
    transaction->digest = core::sha256_hex(transaction->digest + one.digest);
    one.digest = transaction->digest;
    one.closes_transaction = one.request.kind != request_kind::execute;
    one.term = transaction->term;
    run(number, one, transaction->database, transaction->connection, now);
}

void service_coordinator::place_read(request_number number, work& one,
                                     core::instant now)
{
    if (pick_replica(one, now))
        return enqueue(number, one, stage::for_replica, now);
    move_to(number, one, stage::for_catch_up);
    m_planner.want_fresh(now);
    if (one.request.session.position > 0)
        m_planner.want_point(one.request.slot, one.request.session);
}

void service_coordinator::enqueue(request_number number, work& one, stage line,
                                  core::instant now)
{
    auto& lines =
        line == stage::for_primary ? m_primary_lines : m_replica_lines;
    move_to(number, one, line);
    if (!lines[index(one.request.slot)].push(one.request.klass,
                                             one.request.tenant, number, now))
        fail(number, one, error_kind::overloaded, "the queue is full");
}

void service_coordinator::move_to(request_number number, work& one, stage next)
{
    m_confirming.erase(number);
    m_catching_up.erase(number);
    if (next == stage::confirming)
        m_confirming.insert(number);
    if (next == stage::for_catch_up)
        m_catching_up.insert(number);
    one.at = next;
    m_recheck = true;
}

void service_coordinator::requeue(request_number number, work& one,
                                  core::instant now)
{
    move_to(number, one, stage::for_primary);
    m_primary_lines[index(one.request.slot)].push_front(
        one.request.klass, one.request.tenant, number, now);
}

void service_coordinator::retry_lost(request_number number, work& one,
                                     core::instant now)
{
    if (!m_retries.take())
        return fail(number, one, error_kind::unavailable,
                    "the connection was lost and the retry budget is spent");
    note(event_kind::write_retried, one.request.slot, one.request.trace,
         one.maybe_ran ? "outcome lost, asked again by its id"
                       : "read lost, read again");
    requeue(number, one, now);
}

void service_coordinator::pump(core::instant now)
{
    // One request a slot in turn, so that a busy slot can't starve others.
    const auto slots = m_views.size();
    m_first_slot = (m_first_slot + 1) % slots;
    bool progress = true;
    while (progress)
    {
        progress = false;
        for (std::size_t i = 0; i < slots; ++i)
        {
            const auto slot = (m_first_slot + i) % slots;
            progress |= start_next_at_primary(slot, now);
            progress |= start_next_at_replica(slot, now);
        }
    }
}

bool service_coordinator::start_next_at_primary(std::size_t slot,
                                                core::instant now)
{
    auto& line = m_primary_lines[slot];
    const auto primary = m_views[slot].primary();
    if (line.size() == 0 || !primary || !takes_new_work(*primary, true, now))
        return false;
    const auto connection = take_connection(*primary, line.size(), now);
    if (!connection)
        return false;
    const auto number = *line.pop();
    run(number, m_works.at(number), *primary, *connection, now);
    return true;
}

bool service_coordinator::start_next_at_replica(std::size_t slot,
                                                core::instant now)
{
    auto& line = m_replica_lines[slot];
    const auto number = line.front();
    if (!number)
        return false;
    auto& one = m_works.at(*number);
    const auto replica = pick_replica(one, now);
    if (!replica)
    {
        line.pop();
        place_read(*number, one, now);
        return true;
    }
    const auto connection = take_connection(*replica, line.size(), now);
    if (!connection)
        return false;
    line.pop();
    run(*number, one, *replica, *connection, now);
    return true;
}

bool service_coordinator::takes_new_work(std::size_t database, bool as_primary,
                                         core::instant now) const
{
    const auto& since = m_leaving_since[database];
    if (!since)
        return true;
    return as_primary && now - *since < m_options.leaving_grace;
}

bool service_coordinator::is_eligible(const work& one, std::size_t database,
                                      core::instant now) const
{
    const auto& view = m_views[index(one.request.slot)];
    if (!takes_new_work(database, false, now) ||
        !view.replica_serves(database, one.request.session))
        return false;
    if (one.request.required_freshness != freshness::max_age)
        return true;
    const auto until = view.data_proved_until(view.status(database).last);
    return until && now - *until + age_margin <= one.request.max_age;
}

std::optional<std::size_t>
service_coordinator::pick_replica(const work& one, core::instant now) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        if (!is_eligible(one, i, now))
            continue;
        // Prefer idle connections, then the fewest in use.
        const auto load = [&](std::size_t database) {
            return std::pair(m_pools[database].idle() == 0,
                             m_pools[database].in_use());
        };
        if (!best || load(i) < load(*best))
            best = i;
    }
    return best;
}

std::optional<upstream::connection_number>
service_coordinator::take_connection(std::size_t database, std::size_t waiting,
                                     core::instant now)
{
    if (auto idle = m_pools[database].take())
        return idle;
    open_more(database, waiting, now);
    return std::nullopt;
}

void service_coordinator::open_more(std::size_t database, std::size_t waiting,
                                    core::instant now)
{
    auto& pool = m_pools[database];
    while (pool.should_open(waiting, now))
    {
        const auto connection = m_next_connection++;
        pool.opening(connection);
        m_opening.emplace(connection, database);
        m_out.emplace_back(open_action{database, connection});
    }
}

void service_coordinator::run(request_number number, work& one,
                              std::size_t database,
                              upstream::connection_number connection,
                              core::instant now)
{
    move_to(number, one, stage::running);
    one.started = now;
    one.database = database;
    one.connection = connection;
    if (!is_in_transaction(one.request) || one.settles)
        one.term = view_of(one).term();
    m_running[connection] = number;
    if (needs_proof_of_primary(one, m_layout.acknowledge))
        m_planner.want_fresh(now);
    const auto left =
        std::chrono::duration_cast<core::millis>(one.deadline - now);
    const auto timeout =
        std::clamp(left, core::millis(1), m_options.run_timeout);
    m_out.emplace_back(run_action{connection, make_order(one), timeout});
}

actions service_coordinator::on_opened(upstream::connection_number connection,
                                       upstream::open_outcome end,
                                       core::instant now)
{
    const auto found = m_opening.find(connection);
    if (found == m_opening.end())
        return finish(now);
    const auto database = found->second;
    m_opening.erase(found);
    m_pools[database].opened(connection, end, now);
    if (end == upstream::open_outcome::failed)
        on_unreachable(database);
    return finish(now);
}

actions service_coordinator::on_run(upstream::connection_number connection,
                                    upstream::run_result result,
                                    core::instant now)
{
    const auto found = m_running.find(connection);
    if (found == m_running.end())
        return finish(now);
    const auto number = found->second;
    m_running.erase(found);
    const auto item = m_works.find(number);
    if (item == m_works.end())
    {
        // Its request was answered by its deadline; the connection's state is
        // not known to be clean.
        for (auto& pool : m_pools)
            pool.drop(connection);
        m_out.emplace_back(close_action{connection});
        return finish(now);
    }
    auto& one = item->second;
    switch (result.outcome)
    {
    case run_outcome::answered:
        on_answered(number, one, std::move(result.answer), now);
        break;
    case run_outcome::refused:
        on_refused(number, one, result, now);
        break;
    case run_outcome::not_sent:
        on_not_sent(number, one, now);
        break;
    case run_outcome::lost:
        on_lost(number, one, now);
        break;
    }
    return finish(now);
}

void service_coordinator::on_unreachable(std::size_t database)
{
    for (auto& view : m_views)
        view.set_unreachable(database);
    // What is sent on a dead connection ends with an unknown outcome.
    for (const auto connection : m_pools[database].take_all_idle())
        m_out.emplace_back(close_action{connection});
    m_recheck = true;
    m_out.emplace_back(suspect_action{database});
}

void service_coordinator::release(work& one, bool in_transaction)
{
    auto& pool = m_pools[one.database];
    if (!in_transaction && pool.give_back(one.connection))
        return;
    pool.drop(one.connection);
    m_out.emplace_back(close_action{one.connection});
}

void service_coordinator::on_answered(request_number number, work& one,
                                      upstream::run_answer answer,
                                      core::instant now)
{
    // A replica vouches only for the term that it was asked at.
    if (is_read_only(one.request) && answer.seen.term != one.term)
    {
        release(one, answer.in_transaction);
        return requeue(number, one, now);
    }
    m_retries.on_success();
    one.answer = std::move(answer);
    one.answered = now;
    move_to(number, one, stage::confirming);
    if (view_of(one).primary() == one.database)
        view_of(one).observe_primary_point(one.answer.seen, one.started);
    const auto& request = one.request;
    const bool begins = request.kind == request_kind::begin;
    auto* transaction = m_transactions.find(request.transaction);
    if (begins && one.answer.in_transaction)
        one.request.transaction = m_transactions.add({request.slot,
                                                      one.database,
                                                      one.connection,
                                                      one.term,
                                                      request.tenant,
                                                      now,
                                                      false,
                                                      {}});
    else if (transaction != nullptr && !one.closes_transaction &&
             one.answer.in_transaction)
        transaction->busy = false;
    else
    {
        m_transactions.remove(request.transaction);
        release(one, one.answer.in_transaction);
    }
    if (request.kind == request_kind::rollback)
        complete(number, one, now);
}

void service_coordinator::on_refused(request_number number, work& one,
                                     const upstream::run_result& result,
                                     core::instant now)
{
    const bool in_transaction = is_in_transaction(one.request) && !one.settles;
    if (in_transaction)
        m_transactions.remove(one.request.transaction);
    release(one, result.answer.in_transaction ||
                     result.refusal == error_kind::connection_limit);
    if (in_transaction && result.refusal == error_kind::wrong_term)
        return fail(number, one, error_kind::transaction_lost,
                    "the primary of the transaction was replaced");
    if (result.refusal == error_kind::wrong_term &&
        view_of(one).primary() != one.database)
    {
        view_of(one).set_unreachable(one.database);
        return requeue(number, one, now);
    }
    if (result.refusal == error_kind::wrong_term)
    {
        view_of(one).doubt(now);
        note(event_kind::primary_doubted, one.request.slot, one.request.trace,
             "a database refused term " + std::to_string(one.term) + ", " +
                 result.reason);
        m_planner.want_fresh(now);
        return requeue(number, one, now);
    }
    if (result.refusal == error_kind::too_stale)
    {
        note(event_kind::replica_skipped, one.request.slot, one.request.trace,
             result.reason);
        return requeue(number, one, now);
    }
    if (result.refusal == error_kind::connection_limit)
        return requeue(number, one, now);
    fail(number, one, result.refusal, result.reason);
}

void service_coordinator::on_not_sent(request_number number, work& one,
                                      core::instant now)
{
    m_pools[one.database].drop(one.connection);
    on_unreachable(one.database);
    if (!is_in_transaction(one.request) || one.settles)
        return requeue(number, one, now);
    m_transactions.remove(one.request.transaction);
    fail(number, one, error_kind::transaction_lost,
         "the connection of the transaction was lost");
}

void service_coordinator::on_lost(request_number number, work& one,
                                  core::instant now)
{
    m_pools[one.database].drop(one.connection);
    on_unreachable(one.database);
    const auto& request = one.request;
    if (is_in_transaction(request) && !one.settles)
    {
        m_transactions.remove(request.transaction);
        // The loss of the connection rolls the transaction back, unless a
        // commit was under way.
        if (request.kind == request_kind::rollback)
            return complete(number, one, now);
        if (request.kind == request_kind::execute)
            return fail(number, one, error_kind::transaction_lost,
                        "the connection of the transaction was lost");
        one.maybe_ran = true;
        one.settles = true;
        if (request.id.empty())
            return fail(number, one, error_kind::outcome_unknown,
                        "the answer to the commit was lost");
        return retry_lost(number, one, now);
    }
    if (is_read_only(request) || request.kind == request_kind::begin)
        return retry_lost(number, one, now);
    one.maybe_ran = true;
    if (request.id.empty())
        return fail(number, one, error_kind::outcome_unknown,
                    "the answer was lost and the request has no id");
    retry_lost(number, one, now);
}

void service_coordinator::check_confirming(core::instant now)
{
    std::vector<request_number> ready;
    for (const auto number : m_confirming)
    {
        const auto& one = m_works.at(number);
        if (may_be_told(one, view_of(one), m_layout.acknowledge, now))
        {
            ready.push_back(number);
            continue;
        }
        m_planner.want_point(one.request.slot, one.answer.seen);
        if (needs_proof_of_primary(one, m_layout.acknowledge))
            m_planner.want_fresh(one.started);
        else if (is_read_only(one.request))
            m_planner.want_fresh(now - m_options.polls.busy_interval);
    }
    for (const auto number : ready)
        complete(number, m_works.at(number), now);
}

void service_coordinator::complete(request_number number, work& one,
                                   core::instant now)
{
    const auto& view = m_views[index(one.request.slot)];
    const bool from_replica =
        is_read_only(one.request) && view.primary() != one.database;
    if (from_replica && !is_fresh_enough(one, view, now))
    {
        note(event_kind::replica_skipped, one.request.slot, one.request.trace,
             "the age of the answer is not proved within the bound");
        return requeue(number, one, now);
    }
    if (one.answer.voided)
        return fail(number, one,
                    one.settles ? error_kind::transaction_lost
                                : error_kind::id_voided,
                    "the id was settled as not run");
    if (one.maybe_ran)
        note(event_kind::write_settled, one.request.slot, one.request.trace,
             one.answer.replayed ? "the first copy had run"
                                 : "the first copy had not run; it ran now");
    caller_reply reply;
    reply.results = std::move(one.answer.results);
    reply.seen = one.answer.seen;
    reply.replayed = one.answer.replayed;
    reply.from_replica = from_replica;
    reply.queue_ms = core::to_ms_exact(one.started - one.submitted);
    reply.confirmation_ms = core::to_ms_exact(now - one.answered);
    reply.transaction =
        one.closes_transaction ? std::string{} : one.request.transaction;
    if (const auto until = view.data_proved_until(one.answer.seen))
        reply.age_ms = from_replica ? core::to_ms(now - *until) : 0;
    answer(number, std::move(reply));
}

void service_coordinator::check_catch_up(core::instant now)
{
    std::vector<request_number> ready;
    for (const auto number : m_catching_up)
    {
        const auto& one = m_works.at(number);
        const bool gives_up =
            now - one.submitted >= m_options.near_replica_timeout;
        if (gives_up || pick_replica(one, now))
        {
            ready.push_back(number);
            continue;
        }
        m_planner.want_fresh(now - m_options.polls.least_interval);
        if (one.request.session.position > 0)
            m_planner.want_point(one.request.slot, one.request.session);
    }
    for (const auto number : ready)
    {
        auto& one = m_works.at(number);
        const bool found = pick_replica(one, now).has_value();
        if (!found)
            note(event_kind::replica_skipped, one.request.slot,
                 one.request.trace, "no replica caught up in time");
        enqueue(number, one, found ? stage::for_replica : stage::for_primary,
                now);
    }
}

actions service_coordinator::on_poll(std::size_t database, int slot,
                                     const upstream::control_result& result,
                                     core::instant sent_at, core::instant now)
{
    m_planner.finished(database, slot);
    if (result.outcome == upstream::control_outcome::unreachable ||
        result.outcome == upstream::control_outcome::timed_out)
        on_unreachable(database);
    return on_status(database, result.status, sent_at, now);
}

actions service_coordinator::on_status(std::size_t database,
                                       const upstream::database_status& status,
                                       core::instant sent_at, core::instant now)
{
    if (!status.empty())
        m_pools[database].database_answers();
    for (const auto& one : status)
    {
        if (one.slot < 0 || one.slot >= m_layout.slots)
            continue;
        m_recheck = true;
        if (m_views[index(one.slot)].observe(database, one, sent_at))
            on_term_change(index(one.slot), now);
    }
    return finish(now);
}

void service_coordinator::on_term_change(std::size_t slot, core::instant now)
{
    const auto& view = m_views[slot];
    note(event_kind::term_seen, static_cast<int>(slot), {},
         "term " + std::to_string(view.term()) + " at " +
             m_layout.databases[*view.primary()].name);
    m_planner.forget_waits(static_cast<int>(slot));
    const auto ended = m_transactions.handles_of([&](const auto& one) {
        return index(one.slot) == slot && one.term < view.term() && !one.busy;
    });
    for (const auto& handle : ended)
        end_transaction(handle, "the primary was replaced");

    std::vector<request_number> affected;
    for (const auto& [number, one] : m_works)
    {
        const bool is_out =
            one.at == stage::running || one.at == stage::confirming;
        if (is_out && index(one.request.slot) == slot && one.term < view.term())
            affected.push_back(number);
    }
    for (const auto number : affected)
    {
        auto& one = m_works.at(number);
        if (one.at == stage::running)
        {
            m_running.erase(one.connection);
            m_out.emplace_back(close_action{one.connection});
            on_lost(number, one, now);
            continue;
        }
        const auto kind = one.request.kind;
        if (kind == request_kind::begin)
        {
            one.request.transaction.clear();
            requeue(number, one, now);
            continue;
        }
        if (kind == request_kind::execute)
        {
            fail(number, one, error_kind::transaction_lost,
                 "the primary of the transaction was replaced");
            continue;
        }
        if (!is_read_only(one.request) && one.request.id.empty())
        {
            fail(number, one, error_kind::outcome_unknown,
                 "the primary was replaced before the commit was confirmed");
            continue;
        }
        one.maybe_ran = !is_read_only(one.request);
        one.settles = one.request.kind == request_kind::commit;
        requeue(number, one, now);
    }
}

void service_coordinator::end_transaction(const std::string& handle,
                                          std::string reason)
{
    auto* transaction = m_transactions.find(handle);
    if (transaction == nullptr)
        return;
    note(event_kind::transaction_ended, transaction->slot, handle,
         std::move(reason));
    m_pools[transaction->database].drop(transaction->connection);
    m_out.emplace_back(close_action{transaction->connection});
    m_transactions.remove(handle);
}

void service_coordinator::expire(core::instant now)
{
    std::vector<request_number> late;
    for (const auto& [number, one] : m_works)
        if (one.deadline <= now && one.at != stage::running)
            late.push_back(number);
    for (const auto number : late)
    {
        auto& one = m_works.at(number);
        const auto kind = one.request.kind;
        const bool holds_transaction =
            kind == request_kind::begin || kind == request_kind::execute;
        if (holds_transaction && one.at == stage::confirming)
            end_transaction(one.request.transaction,
                            "its answer was not confirmed in time");
        const bool committed = one.at == stage::confirming &&
                               !is_read_only(one.request) && !holds_transaction;
        one.maybe_ran = one.maybe_ran || committed;
        fail(number, one, error_kind::deadline_passed,
             one.at == stage::confirming
                 ? "no replica confirmed before the deadline"
                 : "no upstream could run it before the deadline");
    }
    const auto idle = m_transactions.handles_of([&](const auto& one) {
        return !one.busy &&
               now - one.last_used > m_options.transaction_idle_timeout;
    });
    for (const auto& handle : idle)
        end_transaction(handle, "idle for too long");
}

void service_coordinator::shed(core::instant now)
{
    for (std::size_t slot = 0; slot < m_views.size(); ++slot)
    {
        // Without a primary the wait is for the failover, not for a connection.
        const auto primary = m_views[slot].primary();
        const bool can_run = primary && m_pools[*primary].in_use() > 0 &&
                             takes_new_work(*primary, true, now);
        if (!can_run)
            continue;
        for (auto* line : {&m_primary_lines[slot], &m_replica_lines[slot]})
            for (const auto number :
                 line->remove_older(now - m_options.queue_timeout))
            {
                auto& one = m_works.at(number);
                move_to(number, one, stage::answered);
                fail(number, one, error_kind::overloaded,
                     "waited too long for a connection");
            }
    }
}

actions service_coordinator::close_idle()
{
    for (auto& pool : m_pools)
        for (const auto connection : pool.take_all_idle())
            m_out.emplace_back(close_action{connection});
    return std::exchange(m_out, {});
}

actions service_coordinator::on_tick(core::instant now)
{
    m_recheck = true;
    expire(now);
    shed(now);
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        if (!takes_new_work(i, true, now))
        {
            for (const auto connection : m_pools[i].take_all_idle())
                m_out.emplace_back(close_action{connection});
            continue;
        }
        open_more(i, 0, now);
    }
    for (const auto& view : m_views)
        if (!view.primary())
            m_planner.want_fresh(now - m_options.polls.least_interval);
    return finish(now);
}

void service_coordinator::answer(request_number number, caller_reply reply)
{
    const auto found = m_works.find(number);
    if (found != m_works.end())
    {
        auto& one = found->second;
        auto& lines =
            one.at == stage::for_replica ? m_replica_lines : m_primary_lines;
        if (one.at == stage::for_replica || one.at == stage::for_primary)
            lines[index(one.request.slot)].remove(number);
        move_to(number, one, stage::answered);
        m_works.erase(found);
    }
    m_out.emplace_back(answer_action{number, std::move(reply)});
}

void service_coordinator::fail(request_number number, const work& one,
                               error_kind kind, std::string reason)
{
    // What may have run is never called not run, unless its id is settled.
    const bool is_settled = one.answer.voided;
    if (one.maybe_ran && !is_settled)
        kind = error_kind::outcome_unknown;
    note(event_kind::request_refused, one.request.slot, one.request.trace,
         std::string(core::name_of(kind)) + ": " + reason);
    answer(number, failure(kind, std::move(reason)));
}

void service_coordinator::note(event_kind kind, int slot,
                               const std::string& trace, std::string reason)
{
    m_out.emplace_back(
        event_action{{kind, m_layout.name, slot, trace, std::move(reason)}});
}

actions service_coordinator::finish(core::instant now)
{
    while (std::exchange(m_recheck, false))
    {
        check_confirming(now);
        check_catch_up(now);
        pump(now);
    }
    pump(now);
    m_planner.plan(now, !m_works.empty(), m_views, m_out);
    return std::exchange(m_out, {});
}

} // namespace plantainward::coordinator
