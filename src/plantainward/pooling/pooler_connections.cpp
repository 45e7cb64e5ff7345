#include <plantainward/pooling/commands.hpp>
#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Pause before a statement of a transaction is sent again to a busy database;
// about the time of one statement.
constexpr core::millis pinned_busy_pause{15};

} // namespace

connection* pooler::find(connection_id id)
{
    auto* pool = pool_of(id);
    return pool == nullptr ? nullptr : pool->find(id);
}

service_view* pooler::service_of(connection_id id)
{
    const auto place = m_places.find(id);
    if (place == m_places.end())
        return nullptr;
    const auto found = m_services.find(place->second.service);
    return found == m_services.end() ? nullptr : &found->second;
}

upstream_pool* pooler::pool_of(connection_id id)
{
    auto* service = service_of(id);
    if (service == nullptr)
        return nullptr;
    const auto found = service->upstreams.find(m_places.at(id).upstream);
    return found == service->upstreams.end() ? nullptr : &found->second;
}

connection& pooler::open(const std::string& service, upstream_pool& pool)
{
    const auto id = ++m_last_connection;
    auto& made = pool.add(id, m_now);
    m_places[id] = {service, pool.what().id};
    m_out.emplace_back(open_action{id, pool.what()});
    return made;
}

void pooler::use(connection& one, session& who)
{
    one.user = who.id;
    who.current->connection = one.id;
    set_up(one, who);
}

void pooler::set_up(connection& one, session& who)
{
    std::vector<sql::command> commands;
    add_values(one, who.values, commands);
    add_prepared(one, who, commands);
    if (who.current->begins)
    {
        auto made = own_command(who.transaction->read_only
                                    ? sql::command_kind::begin_read_only
                                    : sql::command_kind::begin);
        made.after = who.current->after;
        commands.push_back(std::move(made));
    }
    if (commands.empty())
        return send_main(one, who);
    one.stage = connection_stage::preparing;
    one.overtaken = 0;
    one.setup_error.reset();
    one.unanswered = commands.size();
    one.sent_at = m_now;
    m_out.emplace_back(send_action{one.id, std::move(commands)});
}

void pooler::send_main(connection& one, session& who)
{
    auto& what = *who.current;
    auto& service = *service_of(one.id);
    const bool is_placed = !who.transaction || what.begins;
    // The lease may have run out while the connection was set up.
    if (is_placed && what.at_primary &&
        !service.is_primary(one.upstream, m_now))
    {
        release(one, what.begins);
        if (who.transaction)
            who.transaction->connection = 0;
        return wait(who);
    }
    // A replaced primary must not take the rest of a transaction.
    if (who.transaction && !who.transaction->read_only && !what.begins &&
        !service.is_primary(one.upstream, m_now))
    {
        what.connection = 0;
        release(one, true);
        who.transaction->connection = 0;
        return refuse(who, core::error_kind::transaction_lost,
                      "the primary of the transaction is being replaced");
    }
    what.at_primary = service.is_primary(one.upstream, m_now);
    one.stage = connection_stage::running;
    one.unanswered = 1;
    one.overtaken = 0;
    one.sent_at = m_now;
    m_out.emplace_back(send_action{one.id, {main_command(who)}});
}

void pooler::release(connection& one, bool in_transaction)
{
    one.user = 0;
    one.last_used = m_now;
    if (!in_transaction)
    {
        one.stage = connection_stage::idle;
        return;
    }
    if (one.unanswered > 0)
        return drop(one.id);
    one.stage = connection_stage::rolling_back;
    one.unanswered = 1;
    one.sent_at = m_now;
    m_out.emplace_back(
        send_action{one.id, {own_command(sql::command_kind::rollback)}});
}

void pooler::drop(connection_id id)
{
    if (find(id) == nullptr)
        return;
    m_out.emplace_back(close_action{id});
    connection_lost(id);
}

// Takes the connection away and settles what ran on it.
void pooler::connection_lost(connection_id id)
{
    auto* pool = pool_of(id);
    const auto one = *pool->find(id);
    pool->erase(id);
    m_places.erase(id);
    const auto user = m_sessions.find(one.user);
    if (user == m_sessions.end())
        return;
    auto& who = user->second;
    if (who.current && who.current->connection == id)
        return work_lost(who, one.stage == connection_stage::running,
                         connection_stage_names[one.stage]);
    if (who.transaction && who.transaction->connection == id)
        fail_transaction(who, false);
}

void pooler::work_lost(session& who, bool sent, std::string_view detail)
{
    auto& what = *who.current;
    const bool is_pinned = who.transaction && !what.begins;
    note(decision_kind::lost, who,
         what.forwarded ? what.forwarded->host : std::string(),
         std::string(detail));
    what.connection = 0;
    end_forwarding(who);
    if (who.transaction)
        who.transaction->connection = 0;
    if (sent && what.is_final)
        return refuse(who, core::error_kind::outcome_unknown,
                      "the connection to the database was lost");
    if (is_pinned)
        return refuse(who, core::error_kind::transaction_lost,
                      "the connection of the transaction was lost");
    wait(who);
}

void pooler::retry_elsewhere(session& who, const std::string& upstream,
                             sql::refusal why)
{
    auto& what = *who.current;
    what.connection = 0;
    auto& databases = m_services[what.route.service].upstreams;
    const auto asked = databases.find(upstream);
    if (why == sql::refusal::busy && asked != databases.end())
    {
        // The pool holds back all statements, so this one keeps its place.
        asked->second.was_busy(m_now);
        --what.attempts;
    }
    else
        what.excluded.insert(upstream);
    if (why == sql::refusal::behind && what.after && asked != databases.end())
        asked->second.was_behind(*what.after, m_now);
    if (why == sql::refusal::malformed || why == sql::refusal::failed)
        return refuse(who, kind_of(why), "the database refused the statement");
    wait(who);
    serve_queue();
}

actions pooler::on_opened(connection_id id, core::boot_instant now)
{
    m_now = now;
    auto* one = find(id);
    if (one == nullptr)
        return take();
    pool_of(id)->heard(now);
    const auto user = m_sessions.find(one->user);
    if (user != m_sessions.end() && user->second.current &&
        user->second.current->connection == id)
    {
        set_up(*one, user->second);
        return take();
    }
    release(*one, false);
    serve_queue();
    return take();
}

actions pooler::on_open_failed(connection_id id,
                               std::optional<sql::refusal> why,
                               core::boot_instant now)
{
    m_now = now;
    auto* pool = pool_of(id);
    if (pool == nullptr || pool->find(id) == nullptr)
        return take();
    if (why == sql::refusal::too_many_connections || why == sql::refusal::busy)
    {
        pool->heard(now);
        pool->crowded(now);
    }
    else
        pool->failed(now);
    connection_lost(id);
    serve_queue();
    return take();
}

actions pooler::on_closed(connection_id id, core::boot_instant now)
{
    m_now = now;
    auto* pool = pool_of(id);
    if (pool == nullptr || pool->find(id) == nullptr)
        return take();
    pool->failed(now);
    connection_lost(id);
    serve_queue();
    return take();
}

void pooler::learn(connection& one, const sql::command_answer& answer)
{
    auto& pool = *pool_of(one.id);
    pool.heard(m_now);
    if (answer.position)
        pool.saw_point(*answer.position);
}

actions pooler::on_answer(connection_id id, sql::command_answer answer,
                          core::boot_instant now)
{
    m_now = now;
    auto* one = find(id);
    if (one == nullptr)
        return take();
    learn(*one, answer);
    if (one->unanswered == 0)
    {
        drop(id);
        return take();
    }
    --one->unanswered;
    switch (one->stage)
    {
    case connection_stage::preparing:
        setup_ended(*one, answer);
        break;
    case connection_stage::running:
        main_ended(*one, std::move(answer));
        break;
    case connection_stage::probing:
    case connection_stage::rolling_back:
        if (answer.state != sql::transaction_state::idle)
            drop(id);
        else
            release(*one, false);
        serve_queue();
        break;
    default:
        drop(id);
    }
    return take();
}

void pooler::setup_ended(connection& one, const sql::command_answer& last)
{
    if (last.error && !one.setup_error)
        one.setup_error = last.error;
    if (one.unanswered > 0)
        return;
    const auto user = m_sessions.find(one.user);
    if (user == m_sessions.end())
        return drop(one.id);
    auto& who = user->second;
    if (!one.setup_error)
    {
        if (who.current->begins)
            who.transaction->connection = one.id;
        return send_main(one, who);
    }
    const auto why = *one.setup_error;
    note(decision_kind::retried, who, one.upstream, last.text);
    const auto upstream = one.upstream;
    who.current->connection = 0;
    one.user = 0;
    // Only a refused beginning leaves the connection as it is known.
    if (who.current->begins && last.error)
        release(one, last.state != sql::transaction_state::idle);
    else
        drop(one.id);
    retry_elsewhere(who, upstream, why);
}

void pooler::main_ended(connection& one, sql::command_answer answer)
{
    const auto user = m_sessions.find(one.user);
    if (user == m_sessions.end())
        return drop(one.id);
    auto& who = user->second;
    auto& what = *who.current;
    if (answer.error)
        return main_failed(one, who, std::move(answer));
    auto& service = *service_of(one.id);
    pool_of(one.id)->overtake(one.sent_at);
    pool_of(one.id)->took(
        std::chrono::duration_cast<core::millis>(m_now - one.sent_at));
    if (what.after)
        pool_of(one.id)->kept_up();
    if (what.at_primary && answer.position)
        service.watermarks.add({one.sent_at, *answer.position});
    const bool committed =
        what.is_final && (!who.transaction || !who.transaction->read_only);
    // A primary that was replaced and is promoted again leads its old term
    // until then; what it commits before is rolled back. Without a write the
    // log may still end in that term.
    const bool keeps_data =
        committed && (!who.transaction || who.transaction->wrote);
    const bool is_of_earlier_term =
        keeps_data && answer.position &&
        answer.position->term < service.primary_term;
    const bool is_current =
        service.stayed_primary(one.upstream, one.sent_at, m_now) &&
        !is_of_earlier_term;
    if (committed && answer.position)
        who.own_commit = freshness::watermark{m_now, *answer.position};
    const bool stays = who.transaction && !ends_transaction(what);
    if (stays)
        one.stage = connection_stage::pinned;
    else
        release(one, answer.state != sql::transaction_state::idle);
    if (committed && !is_current)
    {
        refuse(who, core::error_kind::outcome_unknown,
               "the primary was replaced before the commit was confirmed");
        return serve_queue();
    }
    if (committed)
        note(decision_kind::committed, who, one.upstream, {});
    sql::reply made;
    made.rows = std::move(answer.rows);
    made.signature = std::move(answer.signature);
    made.position = answer.position;
    made.state = who.state();
    finish(who, std::move(made));
    serve_queue();
}

void pooler::main_failed(connection& one, session& who,
                         sql::command_answer answer)
{
    auto& what = *who.current;
    const auto why = *answer.error;
    const auto upstream = one.upstream;
    note(decision_kind::retried, who, upstream, answer.text);
    const bool may_move = !who.transaction || what.begins;
    if (sql::is_not_run(why) && may_move)
    {
        if (why == sql::refusal::unknown_statement)
            one.prepared.clear();
        if (who.transaction)
            who.transaction->connection = 0;
        what.connection = 0;
        release(one, answer.state != sql::transaction_state::idle);
        return retry_elsewhere(who, upstream, why);
    }
    // A busy database has not run it, so the transaction can go on.
    if (why == sql::refusal::busy &&
        answer.state == sql::transaction_state::open)
    {
        pool_of(one.id)->was_busy(m_now);
        one.stage = connection_stage::pinned;
        what.again_at = m_now + pinned_busy_pause;
        return;
    }
    if (who.transaction)
        who.transaction->connection = 0;
    what.connection = 0;
    release(one, answer.state != sql::transaction_state::idle);
    refuse(who, kind_of(why), answer.text);
    serve_queue();
}

} // namespace plantainward::pooling
