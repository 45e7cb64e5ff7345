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
/// Allows for the time until the answer arrives, during which the proved age of
/// the data grows.
constexpr core::millis read_age_margin{10};

std::vector<fair_queue> make_queues(int slots, std::size_t capacity)
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
      m_primary_queues(make_queues(m_layout.slots, m_options.queue_capacity)),
      m_replica_queues(make_queues(m_layout.slots, m_options.queue_capacity)),
      m_planner(m_layout.databases.size(), m_layout.slots, m_options.polls),
      m_transactions(m_options.instance, m_layout.name, m_options.secret),
      m_retry_budget(retries_per_success, retry_reserve),
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
        m_pools[i].set_max_connections(
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
            record_event(event_kind::upstream_leaving, -1, {},
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
        answer(number,
               failure(error_kind::draining,
                       "the proxy is draining and accepts no new requests"));
        return finish(now);
    }
    pending_request arrived;
    arrived.digest = content_digest(request);
    arrived.submitted = now;
    arrived.deadline = now + request.time_left;
    arrived.request = std::move(request);
    auto& pending = m_pending.emplace(number, std::move(arrived)).first->second;
    if (!starts_work)
        submit_in_transaction(number, pending, now);
    else if (is_read_only(pending.request) &&
             pending.request.required_freshness != freshness::latest)
        route_read(number, pending, now);
    else if (pending.request.kind == request_kind::begin &&
             m_transactions.size() >= m_options.max_open_transactions)
        fail(number, pending, error_kind::overloaded,
             "too many interactive transactions are open");
    else
        enqueue(number, pending, stage::queued_for_primary, now);
    return finish(now);
}

void service_coordinator::submit_in_transaction(request_number number,
                                                pending_request& pending,
                                                core::instant now)
{
    auto* transaction = m_transactions.find(pending.request.transaction);
    const bool commits = pending.request.kind == request_kind::commit;
    if (transaction == nullptr && commits && !pending.request.id.empty())
    {
        // A repeated commit: the outcome of the first one is found by its id.
        pending.settles = true;
        pending.digest.clear();
        return enqueue(number, pending, stage::queued_for_primary, now);
    }
    if (transaction == nullptr)
        return fail(number, pending, error_kind::transaction_lost,
                    "no such transaction is open");
    if (transaction->busy)
        return fail(number, pending, error_kind::conflict,
                    "another statement of the transaction is running");
    if (transaction->slot != pending.request.slot ||
        transaction->tenant != pending.request.tenant)
        return fail(number, pending, error_kind::transaction_lost,
                    "no such transaction is open");
    transaction->busy = true;
    transaction->last_used = now;
    transaction->digest =
        core::sha256_hex(transaction->digest + pending.digest);
    pending.digest = transaction->digest;
    pending.closes_transaction = pending.request.kind != request_kind::execute;
    pending.term = transaction->term;
    run(number, pending, transaction->database, transaction->connection, now);
}

void service_coordinator::route_read(request_number number,
                                     pending_request& pending,
                                     core::instant now)
{
    if (pick_replica(pending, now))
        return enqueue(number, pending, stage::queued_for_replica, now);
    move_to(number, pending, stage::awaiting_catch_up);
    m_planner.request_poll(now);
    if (pending.request.session.position > 0)
        m_planner.request_wait(pending.request.slot, pending.request.session);
}

void service_coordinator::enqueue(request_number number,
                                  pending_request& pending, stage next,
                                  core::instant now)
{
    auto& queues =
        next == stage::queued_for_primary ? m_primary_queues : m_replica_queues;
    move_to(number, pending, next);
    if (!queues[index(pending.request.slot)].push(
            pending.request.klass, pending.request.tenant, number, now))
        fail(number, pending, error_kind::overloaded, "the queue is full");
}

void service_coordinator::move_to(request_number number,
                                  pending_request& pending, stage next)
{
    m_confirming.erase(number);
    m_catching_up.erase(number);
    if (next == stage::confirming)
        m_confirming.insert(number);
    if (next == stage::awaiting_catch_up)
        m_catching_up.insert(number);
    pending.current_stage = next;
    m_recheck = true;
}

void service_coordinator::requeue(request_number number,
                                  pending_request& pending, core::instant now)
{
    move_to(number, pending, stage::queued_for_primary);
    m_primary_queues[index(pending.request.slot)].push_front(
        pending.request.klass, pending.request.tenant, number, now);
}

void service_coordinator::retry_lost(request_number number,
                                     pending_request& pending,
                                     core::instant now)
{
    if (!m_retry_budget.try_spend())
        return fail(number, pending, error_kind::unavailable,
                    "the connection was lost and the retry budget is spent");
    record_event(
        event_kind::write_retried, pending.request.slot, pending.request.trace,
        pending.may_have_run
            ? "the answer was lost, sending the request again with its id"
            : "the answer was lost, sending the request again, as it writes "
              "nothing");
    requeue(number, pending, now);
}

void service_coordinator::start_queued(core::instant now)
{
    // The slots take turns, one request each, so that a busy slot can't starve
    // the others.
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
    auto& queue = m_primary_queues[slot];
    const auto primary = m_views[slot].primary();
    if (queue.size() == 0 || !primary || !accepts_new_work(*primary, true, now))
        return false;
    const auto connection = take_connection(*primary, queue.size(), now);
    if (!connection)
        return false;
    const auto number = *queue.pop();
    run(number, m_pending.at(number), *primary, *connection, now);
    return true;
}

bool service_coordinator::start_next_at_replica(std::size_t slot,
                                                core::instant now)
{
    auto& queue = m_replica_queues[slot];
    const auto number = queue.front();
    if (!number)
        return false;
    auto& pending = m_pending.at(*number);
    const auto replica = pick_replica(pending, now);
    if (!replica)
    {
        queue.pop();
        route_read(*number, pending, now);
        return true;
    }
    const auto connection = take_connection(*replica, queue.size(), now);
    if (!connection)
        return false;
    queue.pop();
    run(*number, pending, *replica, *connection, now);
    return true;
}

bool service_coordinator::accepts_new_work(std::size_t database,
                                           bool as_primary,
                                           core::instant now) const
{
    const auto& since = m_leaving_since[database];
    if (!since)
        return true;
    return as_primary && now - *since < m_options.leaving_grace;
}

bool service_coordinator::is_eligible(const pending_request& pending,
                                      std::size_t database,
                                      core::instant now) const
{
    const auto& view = m_views[index(pending.request.slot)];
    if (!accepts_new_work(database, false, now) ||
        !view.replica_serves(database, pending.request.session))
        return false;
    if (pending.request.required_freshness != freshness::max_age)
        return true;
    const auto until = view.data_proved_until(view.status(database).last);
    return until && now - *until + read_age_margin <= pending.request.max_age;
}

std::optional<std::size_t>
service_coordinator::pick_replica(const pending_request& pending,
                                  core::instant now) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        if (!is_eligible(pending, i, now))
            continue;
        // Prefers a replica with idle connections, then the one with the fewest
        // in use.
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
    if (auto idle = m_pools[database].acquire())
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
        pool.on_opening(connection);
        m_opening.emplace(connection, database);
        m_out.emplace_back(open_action{database, connection});
    }
}

void service_coordinator::run(request_number number, pending_request& pending,
                              std::size_t database,
                              upstream::connection_number connection,
                              core::instant now)
{
    move_to(number, pending, stage::running);
    pending.started = now;
    pending.database = database;
    pending.connection = connection;
    if (!is_in_transaction(pending.request) || pending.settles)
        pending.term = view_of(pending).term();
    m_running[connection] = number;
    if (needs_proof_of_primary(pending, m_layout.acknowledge))
        m_planner.request_poll(now);
    const auto left =
        std::chrono::duration_cast<core::millis>(pending.deadline - now);
    const auto timeout =
        std::clamp(left, core::millis(1), m_options.run_timeout);
    m_out.emplace_back(run_action{connection, make_order(pending), timeout});
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
    m_pools[database].on_opened(connection, end, now);
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
    const auto item = m_pending.find(number);
    if (item == m_pending.end())
    {
        // The request was already answered, because its deadline passed. The
        // state of the connection is unknown, so it isn't reused.
        for (auto& pool : m_pools)
            pool.drop(connection);
        m_out.emplace_back(close_action{connection});
        return finish(now);
    }
    auto& pending = item->second;
    switch (result.outcome)
    {
    case run_outcome::answered:
        on_answered(number, pending, std::move(result.answer), now);
        break;
    case run_outcome::refused:
        on_refused(number, pending, result, now);
        break;
    case run_outcome::not_sent:
        on_not_sent(number, pending, now);
        break;
    case run_outcome::lost:
        on_lost(number, pending, now);
        break;
    }
    return finish(now);
}

void service_coordinator::on_unreachable(std::size_t database)
{
    for (auto& view : m_views)
        view.set_unreachable(database);
    // The idle connections are closed too: an order sent on a dead connection
    // would end with an unknown outcome.
    for (const auto connection : m_pools[database].remove_all_idle())
        m_out.emplace_back(close_action{connection});
    m_recheck = true;
    m_out.emplace_back(suspect_action{database});
}

void service_coordinator::release(pending_request& pending, bool in_transaction)
{
    auto& pool = m_pools[pending.database];
    if (!in_transaction && pool.release(pending.connection))
        return;
    pool.drop(pending.connection);
    m_out.emplace_back(close_action{pending.connection});
}

void service_coordinator::on_answered(request_number number,
                                      pending_request& pending,
                                      upstream::run_answer answer,
                                      core::instant now)
{
    // The confirmation only covers the term in which the read was sent.
    if (is_read_only(pending.request) && answer.seen.term != pending.term)
    {
        release(pending, answer.in_transaction);
        return requeue(number, pending, now);
    }
    m_retry_budget.on_success();
    pending.answer = std::move(answer);
    pending.answered = now;
    move_to(number, pending, stage::confirming);
    if (view_of(pending).primary() == pending.database)
        view_of(pending).record_primary_point(pending.answer.seen,
                                              pending.started);
    const auto& request = pending.request;
    const bool begins = request.kind == request_kind::begin;
    auto* transaction = m_transactions.find(request.transaction);
    if (begins && pending.answer.in_transaction)
        pending.request.transaction = m_transactions.add({request.slot,
                                                          pending.database,
                                                          pending.connection,
                                                          pending.term,
                                                          request.tenant,
                                                          now,
                                                          false,
                                                          {}});
    else if (transaction != nullptr && !pending.closes_transaction &&
             pending.answer.in_transaction)
        transaction->busy = false;
    else
    {
        m_transactions.remove(request.transaction);
        release(pending, pending.answer.in_transaction);
    }
    if (request.kind == request_kind::rollback)
        complete(number, pending, now);
}

void service_coordinator::on_refused(request_number number,
                                     pending_request& pending,
                                     const upstream::run_result& result,
                                     core::instant now)
{
    const bool in_transaction =
        is_in_transaction(pending.request) && !pending.settles;
    if (in_transaction)
        m_transactions.remove(pending.request.transaction);
    release(pending, result.answer.in_transaction ||
                         result.refusal == error_kind::connection_limit);
    if (in_transaction && result.refusal == error_kind::wrong_term)
        return fail(number, pending, error_kind::transaction_lost,
                    "the primary of the transaction was replaced");
    if (result.refusal == error_kind::wrong_term &&
        view_of(pending).primary() != pending.database)
    {
        view_of(pending).set_unreachable(pending.database);
        return requeue(number, pending, now);
    }
    if (result.refusal == error_kind::wrong_term)
    {
        view_of(pending).invalidate_primary(now);
        record_event(event_kind::primary_doubted, pending.request.slot,
                     pending.request.trace,
                     "a database refused term " + std::to_string(pending.term) +
                         ", " + result.reason);
        m_planner.request_poll(now);
        return requeue(number, pending, now);
    }
    if (result.refusal == error_kind::too_stale)
    {
        record_event(event_kind::replica_skipped, pending.request.slot,
                     pending.request.trace, result.reason);
        return requeue(number, pending, now);
    }
    if (result.refusal == error_kind::connection_limit)
        return requeue(number, pending, now);
    fail(number, pending, result.refusal, result.reason);
}

void service_coordinator::on_not_sent(request_number number,
                                      pending_request& pending,
                                      core::instant now)
{
    m_pools[pending.database].drop(pending.connection);
    on_unreachable(pending.database);
    if (!is_in_transaction(pending.request) || pending.settles)
        return requeue(number, pending, now);
    m_transactions.remove(pending.request.transaction);
    fail(number, pending, error_kind::transaction_lost,
         "the connection of the transaction was lost");
}

void service_coordinator::on_lost(request_number number,
                                  pending_request& pending, core::instant now)
{
    m_pools[pending.database].drop(pending.connection);
    on_unreachable(pending.database);
    const auto& request = pending.request;
    if (is_in_transaction(request) && !pending.settles)
    {
        m_transactions.remove(request.transaction);
        // A lost connection rolls the transaction back, unless a commit was
        // already sent.
        if (request.kind == request_kind::rollback)
            return complete(number, pending, now);
        if (request.kind == request_kind::execute)
            return fail(number, pending, error_kind::transaction_lost,
                        "the connection of the transaction was lost");
        pending.may_have_run = true;
        pending.settles = true;
        if (request.id.empty())
            return fail(number, pending, error_kind::outcome_unknown,
                        "the answer to the commit was lost");
        return retry_lost(number, pending, now);
    }
    if (is_read_only(request) || request.kind == request_kind::begin)
        return retry_lost(number, pending, now);
    pending.may_have_run = true;
    if (request.id.empty())
        return fail(number, pending, error_kind::outcome_unknown,
                    "the answer was lost and the request has no id");
    retry_lost(number, pending, now);
}

void service_coordinator::check_confirming(core::instant now)
{
    std::vector<request_number> ready;
    for (const auto number : m_confirming)
    {
        const auto& pending = m_pending.at(number);
        if (may_answer_caller(pending, view_of(pending), m_layout.acknowledge,
                              now))
        {
            ready.push_back(number);
            continue;
        }
        m_planner.request_wait(pending.request.slot, pending.answer.seen);
        if (needs_proof_of_primary(pending, m_layout.acknowledge))
            m_planner.request_poll(pending.started);
        else if (is_read_only(pending.request))
            m_planner.request_poll(now - m_options.polls.busy_interval);
    }
    for (const auto number : ready)
        complete(number, m_pending.at(number), now);
}

void service_coordinator::complete(request_number number,
                                   pending_request& pending, core::instant now)
{
    const auto& view = m_views[index(pending.request.slot)];
    const bool from_replica =
        is_read_only(pending.request) && view.primary() != pending.database;
    if (from_replica && !is_fresh_enough(pending, view, now))
    {
        record_event(event_kind::replica_skipped, pending.request.slot,
                     pending.request.trace,
                     "the age of the data is not proved to be within the "
                     "requested maximum, "
                     "reading at the primary");
        return requeue(number, pending, now);
    }
    if (pending.answer.voided)
        return fail(
            number, pending,
            pending.settles ? error_kind::transaction_lost
                            : error_kind::id_voided,
            "the id was settled as not run, so the request can't run any more");
    if (pending.may_have_run)
        record_event(event_kind::write_settled, pending.request.slot,
                     pending.request.trace,
                     pending.answer.replayed
                         ? "the first attempt had run"
                         : "the first attempt had not run; it ran now");
    caller_reply reply;
    reply.results = std::move(pending.answer.results);
    reply.seen = pending.answer.seen;
    reply.replayed = pending.answer.replayed;
    reply.from_replica = from_replica;
    reply.queue_ms = core::to_ms_exact(pending.started - pending.submitted);
    reply.confirmation_ms = core::to_ms_exact(now - pending.answered);
    reply.transaction = pending.closes_transaction
                            ? std::string{}
                            : pending.request.transaction;
    if (const auto until = view.data_proved_until(pending.answer.seen))
        reply.age_ms = from_replica ? core::to_ms(now - *until) : 0;
    answer(number, std::move(reply));
}

void service_coordinator::check_catch_up(core::instant now)
{
    std::vector<request_number> ready;
    for (const auto number : m_catching_up)
    {
        const auto& pending = m_pending.at(number);
        const bool timed_out =
            now - pending.submitted >= m_options.near_replica_timeout;
        if (timed_out || pick_replica(pending, now))
        {
            ready.push_back(number);
            continue;
        }
        m_planner.request_poll(now - m_options.polls.min_interval);
        if (pending.request.session.position > 0)
            m_planner.request_wait(pending.request.slot,
                                   pending.request.session);
    }
    for (const auto number : ready)
    {
        auto& pending = m_pending.at(number);
        const bool found = pick_replica(pending, now).has_value();
        if (!found)
            record_event(
                event_kind::replica_skipped, pending.request.slot,
                pending.request.trace,
                "no replica caught up in time, reading at the primary");
        enqueue(number, pending,
                found ? stage::queued_for_replica : stage::queued_for_primary,
                now);
    }
}

actions service_coordinator::on_poll(std::size_t database, int slot,
                                     const upstream::control_result& result,
                                     core::instant sent_at, core::instant now)
{
    m_planner.on_finished(database, slot);
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
        m_pools[database].on_database_answer();
    for (const auto& slot_status : status)
    {
        if (slot_status.slot < 0 || slot_status.slot >= m_layout.slots)
            continue;
        m_recheck = true;
        if (m_views[index(slot_status.slot)].record_status(
                database, slot_status, sent_at))
            on_term_change(index(slot_status.slot), now);
    }
    return finish(now);
}

void service_coordinator::on_term_change(std::size_t slot, core::instant now)
{
    const auto& view = m_views[slot];
    record_event(event_kind::term_seen, static_cast<int>(slot), {},
                 "term " + std::to_string(view.term()) + " at " +
                     m_layout.databases[*view.primary()].name);
    m_planner.reset_waits(static_cast<int>(slot));
    const auto ended = m_transactions.handles_of([&](const auto& transaction) {
        return index(transaction.slot) == slot &&
               transaction.term < view.term() && !transaction.busy;
    });
    for (const auto& handle : ended)
        end_transaction(handle, "the primary was replaced");

    std::vector<request_number> affected;
    for (const auto& [number, pending] : m_pending)
    {
        const bool awaits_outcome = pending.current_stage == stage::running ||
                                    pending.current_stage == stage::confirming;
        if (awaits_outcome && index(pending.request.slot) == slot &&
            pending.term < view.term())
            affected.push_back(number);
    }
    for (const auto number : affected)
    {
        auto& pending = m_pending.at(number);
        if (pending.current_stage == stage::running)
        {
            m_running.erase(pending.connection);
            m_out.emplace_back(close_action{pending.connection});
            on_lost(number, pending, now);
            continue;
        }
        const auto kind = pending.request.kind;
        if (kind == request_kind::begin)
        {
            pending.request.transaction.clear();
            requeue(number, pending, now);
            continue;
        }
        if (kind == request_kind::execute)
        {
            fail(number, pending, error_kind::transaction_lost,
                 "the primary of the transaction was replaced");
            continue;
        }
        if (!is_read_only(pending.request) && pending.request.id.empty())
        {
            fail(number, pending, error_kind::outcome_unknown,
                 "the primary was replaced before the commit was confirmed");
            continue;
        }
        pending.may_have_run = !is_read_only(pending.request);
        pending.settles = pending.request.kind == request_kind::commit;
        requeue(number, pending, now);
    }
}

void service_coordinator::end_transaction(const std::string& handle,
                                          std::string reason)
{
    auto* transaction = m_transactions.find(handle);
    if (transaction == nullptr)
        return;
    record_event(event_kind::transaction_ended, transaction->slot, handle,
                 std::move(reason));
    m_pools[transaction->database].drop(transaction->connection);
    m_out.emplace_back(close_action{transaction->connection});
    m_transactions.remove(handle);
}

void service_coordinator::fail_expired(core::instant now)
{
    std::vector<request_number> late;
    for (const auto& [number, pending] : m_pending)
        if (pending.deadline <= now && pending.current_stage != stage::running)
            late.push_back(number);
    for (const auto number : late)
    {
        auto& pending = m_pending.at(number);
        const auto kind = pending.request.kind;
        const bool holds_transaction =
            kind == request_kind::begin || kind == request_kind::execute;
        if (holds_transaction && pending.current_stage == stage::confirming)
            end_transaction(
                pending.request.transaction,
                "an answer of the transaction was not confirmed in time");
        const bool committed = pending.current_stage == stage::confirming &&
                               !is_read_only(pending.request) &&
                               !holds_transaction;
        pending.may_have_run = pending.may_have_run || committed;
        fail(number, pending, error_kind::deadline_passed,
             pending.current_stage == stage::confirming
                 ? "no replica confirmed before the deadline"
                 : "no upstream could run the request before its deadline");
    }
    const auto idle = m_transactions.handles_of([&](const auto& transaction) {
        return !transaction.busy &&
               now - transaction.last_used > m_options.transaction_idle_timeout;
    });
    for (const auto& handle : idle)
        end_transaction(
            handle, "the transaction was idle for too long, rolling it back");
}

void service_coordinator::shed_overdue(core::instant now)
{
    for (std::size_t slot = 0; slot < m_views.size(); ++slot)
    {
        // Without a primary the requests wait for the failover rather than for
        // a connection; then only their deadlines end them.
        const auto primary = m_views[slot].primary();
        const bool can_run = primary && m_pools[*primary].in_use() > 0 &&
                             accepts_new_work(*primary, true, now);
        if (!can_run)
            continue;
        for (auto* queue : {&m_primary_queues[slot], &m_replica_queues[slot]})
            for (const auto number :
                 queue->remove_older(now - m_options.queue_timeout))
            {
                auto& pending = m_pending.at(number);
                move_to(number, pending, stage::answered);
                fail(number, pending, error_kind::overloaded,
                     "waited too long for a connection");
            }
    }
}

actions service_coordinator::close_idle()
{
    for (auto& pool : m_pools)
        for (const auto connection : pool.remove_all_idle())
            m_out.emplace_back(close_action{connection});
    return std::exchange(m_out, {});
}

actions service_coordinator::on_tick(core::instant now)
{
    m_recheck = true;
    fail_expired(now);
    shed_overdue(now);
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        if (!accepts_new_work(i, true, now))
        {
            for (const auto connection : m_pools[i].remove_all_idle())
                m_out.emplace_back(close_action{connection});
            continue;
        }
        open_more(i, 0, now);
    }
    for (const auto& view : m_views)
        if (!view.primary())
            m_planner.request_poll(now - m_options.polls.min_interval);
    return finish(now);
}

void service_coordinator::answer(request_number number, caller_reply reply)
{
    const auto found = m_pending.find(number);
    if (found != m_pending.end())
    {
        auto& pending = found->second;
        auto& queues = pending.current_stage == stage::queued_for_replica
                           ? m_replica_queues
                           : m_primary_queues;
        if (pending.current_stage == stage::queued_for_replica ||
            pending.current_stage == stage::queued_for_primary)
            queues[index(pending.request.slot)].remove(number);
        move_to(number, pending, stage::answered);
        m_pending.erase(found);
    }
    m_out.emplace_back(answer_action{number, std::move(reply)});
}

void service_coordinator::fail(request_number number,
                               const pending_request& pending, error_kind kind,
                               std::string reason)
{
    // A request that may have run is never reported as not run, unless its id
    // was settled as not run.
    const bool is_settled = pending.answer.voided;
    if (pending.may_have_run && !is_settled)
        kind = error_kind::outcome_unknown;
    record_event(event_kind::request_refused, pending.request.slot,
                 pending.request.trace,
                 std::string(core::name_of(kind)) + ": " + reason);
    answer(number, failure(kind, std::move(reason)));
}

void service_coordinator::record_event(event_kind kind, int slot,
                                       const std::string& trace,
                                       std::string reason)
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
        start_queued(now);
    }
    start_queued(now);
    m_planner.plan(now, !m_pending.empty(), m_views, m_out);
    return std::exchange(m_out, {});
}

} // namespace plantainward::coordinator
