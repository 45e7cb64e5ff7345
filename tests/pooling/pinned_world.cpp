#include "pinned_world.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace support
{

using namespace plantainward;
using namespace plantainward::pooling;
using core::error_kind;
using core::millis;
using sql::command;
using sql::command_answer;
using sql::command_kind;
using sql::refusal;
using sql::statement;
using sql::statement_kind;
using sql::transaction_state;

namespace
{

constexpr millis link_delay{1};
constexpr millis open_delay{5};
constexpr millis tick_interval{20};
constexpr millis transaction_idle_timeout{600};
// After this time a host that owes an answer counts as lost.
constexpr millis host_silence{400};
constexpr millis start_time{300};
constexpr std::size_t caller_count = 10;

bool is_callers(const command& command)
{
    return !command.id.empty();
}

// The errors of which PROTOCOL.md says that nothing is kept.
bool is_promise(error_kind kind)
{
    switch (kind)
    {
    case error_kind::overloaded:
    case error_kind::unavailable:
    case error_kind::draining:
    case error_kind::too_stale:
    case error_kind::transaction_lost:
    case error_kind::connection_limit:
        return true;
    default:
        return false;
    }
}

bool needs_database(statement_kind kind)
{
    return kind == statement_kind::read || kind == statement_kind::write ||
           kind == statement_kind::execute || kind == statement_kind::commit;
}

bool writes(const expected_run& run)
{
    return run.statement.kind == statement_kind::write ||
           (run.prepared && run.prepared->writes);
}

routes::upstream registration(const std::string& id, std::uint64_t started_at)
{
    routes::upstream result;
    result.id = id;
    result.service = "ledger";
    result.address = {id, 1};
    result.failure_domain = "a";
    result.started_at_ms = started_at;
    return result;
}

routes::routing ledger_routing()
{
    routes::routing routing;
    routing.version = 1;
    routing.services["ledger"].max_connections = 30;
    routing.transaction_idle_timeout = transaction_idle_timeout;
    for (const bool is_latest : {true, false})
    {
        routes::route route;
        route.database = is_latest ? "cards" : "specs";
        route.service = "ledger";
        route.consistency = is_latest ? routes::read_consistency::latest
                                      : routes::read_consistency::bounded_age;
        route.timeout = millis(800);
        route.max_age = millis(1500);
        routing.routes[route.database] = route;
    }
    return routing;
}

} // namespace

void run_judge::expect(const expected_run& run)
{
    m_expected[run.statement.id] = run;
}

void run_judge::report(const std::string& violation)
{
    m_violations.push_back(violation);
}

void run_judge::check(std::uint64_t number, database_connection& connection,
                      const command& command)
{
    ++m_runs;
    m_run_ids.insert(command.id);
    const auto found = m_expected.find(command.id);
    if (found == m_expected.end())
        return report("unknown id " + command.id);
    const auto& run = found->second;
    const auto& id = command.id;
    if (command.kind == command_kind::execute)
    {
        const auto& prepared = connection.prepared.at(command.name);
        if (!run.prepared || prepared.shape != run.prepared->shape ||
            prepared.writes != run.prepared->writes)
            report("another shape: " + id);
        if (command.value != run.statement.value)
            report("other arguments: " + id);
    }
    else if (command.text != run.statement.text)
        report("changed text: " + id);
    if (connection.values != run.values)
        report("other session values: " + id);
    if (run.transaction == 0)
    {
        if (connection.state != transaction_state::idle)
            report("inside a transaction: " + id);
        return;
    }
    if (connection.state != transaction_state::open)
        report("outside its transaction: " + id);
    else if (connection.transaction != 0 &&
             connection.transaction != run.transaction)
        report("inside another transaction: " + id);
    connection.transaction = run.transaction;
    const auto [first, is_new] =
        m_connections.try_emplace(run.transaction, number);
    if (first->second != number)
        report("another connection than the first statement: " + id);
}

void run_judge::check_unknown_name(const command& command)
{
    report("unknown prepared name: " + command.id);
}

void run_judge::note_kept(const std::string& id)
{
    const auto found = m_expected.find(id);
    if (++m_kept[id] > 1)
        report("kept twice: " + id);
    if (found != m_expected.end() && found->second.transaction != 0)
        m_kept_transactions.insert(found->second.transaction);
}

void run_judge::check_reply(const expected_run& run, const sql::reply& reply)
{
    const auto& id = run.statement.id;
    if (!needs_database(run.statement.kind))
        return;
    if (!reply.error)
    {
        if (!m_run_ids.contains(id))
            report("a success that did not run: " + id);
        if (run.transaction == 0 && writes(run) && !m_kept.contains(id))
            report("a success that was not kept: " + id);
        return;
    }
    if (!is_promise(*reply.error))
        return;
    if (run.transaction != 0)
        m_refused_transactions.insert(run.transaction);
    else
        m_refused.insert(id);
}

void run_judge::finish()
{
    for (const auto& id : m_refused)
        if (m_kept.contains(id))
            report("kept against a promise: " + id);
    for (const auto transaction : m_refused_transactions)
        if (m_kept_transactions.contains(transaction))
            report("kept against a promise: transaction " +
                   std::to_string(transaction));
}

pinned_world::pinned_world(std::uint64_t seed, fault_rates rates)
    : m_random(seed), m_rates(rates), m_is_shared(seed % 3 == 0)
{
    for (const char* name : {"a", "b"})
        start_host(name);
    m_callers.resize(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        m_callers[i].database = i % 3 == 0 ? "specs" : "cards";
        after(millis(10), [this, i] { connect(m_callers[i]); });
    }
}

bool pinned_world::chance(int thousandths)
{
    return static_cast<int>(m_random() % 1000) < thousandths;
}

std::size_t pinned_world::pick(std::size_t count)
{
    return static_cast<std::size_t>(m_random() % count);
}

void pinned_world::after(millis delay, task new_task)
{
    m_tasks.emplace(m_now + delay, std::move(new_task));
}

void pinned_world::run_tasks(instant end)
{
    while (!m_tasks.empty() && m_tasks.begin()->first <= end)
    {
        const auto next = m_tasks.begin();
        m_now = next->first;
        const auto run = std::move(next->second);
        m_tasks.erase(next);
        run();
    }
    m_now = end;
}

void pinned_world::run(millis time)
{
    after(millis(0), [this] { tick(); });
    run_tasks(m_now + time);
    m_has_callers = false;
    m_rates = {0, 0, 0, 0, 0, 0, 0};
    for (auto& caller : m_callers)
        leave(caller);
    // Longer than any wait for an answer and any idle time.
    run_tasks(m_now + millis(6000));
    for (const auto& [name, host] : m_hosts)
        if (host.pool->session_count() > 0 || host.pool->work_count() > 0)
            m_judge.report("host " + name + " still has sessions or work");
    for (const auto& [number, connection] : m_connections)
        if (connection.state != transaction_state::idle)
            m_judge.report("an open transaction is left");
    m_judge.finish();
}

void pinned_world::start_host(const std::string& name)
{
    auto& host = m_hosts[name];
    pooler_options options;
    options.failure_domain = "a";
    options.host = name;
    options.leaving_grace = millis(300);
    host.pool = std::make_unique<pooler>(options);
    host.incarnation = ++m_last_incarnation;
    host.pool->set_routing(ledger_routing(), m_now);
    connection_plan plan;
    plan.share = 6;
    plan.is_shared = m_is_shared;
    host.pool->set_plan("ledger", std::move(plan));
    update_upstreams(name);
    apply(name, host.pool->set_primary("ledger", m_primary,
                                       m_now + millis(60'000), m_now, m_term));
}

void pinned_world::update_upstreams(const std::string& name)
{
    std::vector<routes::upstream> upstreams;
    for (const auto& [id, started_at] : m_started_at)
    {
        upstreams.push_back(registration(id, started_at));
        upstreams.back().leaving = m_leaving == id;
    }
    apply(name, m_hosts.at(name).pool->set_upstreams(upstreams, m_now));
}

// The delegate loses its sessions and connections; while it starts, it returns
// what is forwarded to it.
void pinned_world::restart_delegate()
{
    auto& host = m_hosts.at("b");
    for (const auto& [id, number] : std::exchange(host.numbers, {}))
        after(link_delay,
              [this, number = number] { m_connections.erase(number); });
    for (const auto& [operation, session] : std::exchange(m_calls, {}))
        after(link_delay, [this, operation = operation, session = session] {
            call("a", m_hosts.at("a").incarnation, [&](pooler& pool) {
                return pool.on_forward_lost(session, operation, true, m_now);
            });
        });
    start_host("b");
    host.is_starting = true;
    after(start_time, [this] { m_hosts.at("b").is_starting = false; });
}

void pinned_world::change_plan()
{
    connection_plan plan;
    plan.share = 6;
    plan.is_shared = m_is_shared;
    const auto kind = pick(3);
    if (kind == 1)
        plan.delegates = {"b"};
    if (kind == 2)
        plan.fallback_delegates = {"b"};
    m_hosts.at("a").pool->set_plan("ledger", std::move(plan));
}

// The databases change their roles at once, the hosts follow.
void pinned_world::change_primary()
{
    if (chance(500))
    {
        m_primary = m_primary == "p" ? "r" : "p";
        ++m_term;
    }
    for (const auto& [name, host] : m_hosts)
    {
        apply(name, host.pool->set_primary("ledger", "", {}, m_now));
        after(millis(50 + pick(200)), [this, name = name] {
            apply(name, m_hosts.at(name).pool->set_primary(
                            "ledger", m_primary, m_now + millis(60'000), m_now,
                            m_term));
        });
    }
}

void pinned_world::tick()
{
    if (chance(m_rates.restart))
    {
        restart_delegate();
        change_plan();
    }
    if (chance(m_rates.restart))
        restart_database(chance(500) ? "p" : "r");
    if (chance(m_rates.restart))
        change_primary();
    if (chance(m_rates.restart * 4))
        change_plan();
    if (chance(m_rates.restart))
        m_leaving = m_leaving.empty() ? (chance(500) ? "p" : "r") : "";
    for (auto& [name, host] : m_hosts)
    {
        update_upstreams(name);
        host.pool->add_watermark("ledger", {m_now - millis(50), {m_term, 10}});
        apply(name, host.pool->tick(m_now));
    }
    after(tick_interval, [this] { tick(); });
}

void pinned_world::apply(const std::string& name, const actions& actions)
{
    auto& host = m_hosts.at(name);
    const auto incarnation = host.incarnation;
    for (const auto& action : actions)
    {
        if (const auto* open_request = std::get_if<open_action>(&action))
            open(name, *open_request);
        if (const auto* closed = std::get_if<close_action>(&action))
            close(name, closed->connection);
        if (const auto* reply = std::get_if<reply_action>(&action))
            on_reply(*reply);
        if (const auto* request = std::get_if<forward_action>(&action))
            forward(*request);
        if (const auto* reply = std::get_if<forwarded_reply_action>(&action))
            answer_forwarded(reply->operation, reply->reply);
        if (const auto* end = std::get_if<end_forwarding_action>(&action))
        {
            m_calls.erase(end->operation);
            const auto delegate = m_hosts.at("b").incarnation;
            after(link_delay, [this, delegate, operation = end->operation] {
                call("b", delegate, [&](pooler& pool) {
                    return pool.end_forwarded("a", operation, m_now);
                });
            });
        }
        const auto* send = std::get_if<send_action>(&action);
        if (send == nullptr)
            continue;
        after(link_delay, [this, name, incarnation, id = send->connection,
                           commands = send->commands] {
            if (m_hosts.at(name).incarnation != incarnation)
                return;
            const auto number = m_hosts.at(name).numbers.find(id);
            if (number == m_hosts.at(name).numbers.end())
                return;
            const auto found = m_connections.find(number->second);
            if (found == m_connections.end())
                return;
            auto& connection = found->second;
            connection.waiting.insert(connection.waiting.end(),
                                      commands.begin(), commands.end());
            if (!connection.is_working)
                work({name, incarnation, id, found->first});
        });
    }
}

void pinned_world::forward(const forward_action& action)
{
    const auto lose = [this, session = action.session,
                       operation = action.operation](bool sent) {
        if (m_calls.erase(operation) == 0)
            return;
        call("a", m_hosts.at("a").incarnation, [&](pooler& pool) {
            return pool.on_forward_lost(session, operation, sent, m_now);
        });
    };
    m_calls[action.operation] = action.session;
    if (chance(m_rates.lost_message))
        return after(link_delay, [lose] { lose(false); });
    if (chance(m_rates.lost_message))
    {
        after(host_silence, [lose] { lose(true); });
        if (chance(500))
            return;
    }
    const auto incarnation = m_hosts.at("b").incarnation;
    after(link_delay, [this, lose, incarnation, action] {
        if (m_hosts.at("b").incarnation != incarnation)
            return lose(true);
        if (!m_hosts.at("b").is_starting)
            return call("b", incarnation, [&](pooler& pool) {
                return pool.run_forwarded("a", action.operation, action.work,
                                          m_now);
            });
        forwarded_reply answer;
        answer.reply.error = error_kind::unavailable;
        answer.try_elsewhere = true;
        answer_forwarded(action.operation, answer);
    });
}

void pinned_world::answer_forwarded(operation_id operation,
                                    const forwarded_reply& answer)
{
    if (chance(m_rates.lost_message))
        return after(host_silence, [this, operation] {
            const auto found = m_calls.find(operation);
            if (found == m_calls.end())
                return;
            const auto session = found->second;
            m_calls.erase(found);
            call("a", m_hosts.at("a").incarnation, [&](pooler& pool) {
                return pool.on_forward_lost(session, operation, true, m_now);
            });
        });
    after(link_delay, [this, operation, answer] {
        const auto found = m_calls.find(operation);
        if (found == m_calls.end())
            return;
        const auto session = found->second;
        m_calls.erase(found);
        call("a", m_hosts.at("a").incarnation, [&](pooler& pool) {
            return pool.on_forwarded_reply(session, operation, answer, m_now);
        });
    });
}

// Some hosts learn of it by a closed connection, the others by its new entry.
void pinned_world::restart_database(const std::string& upstream)
{
    for (auto& [name, host] : m_hosts)
        for (const auto& [id, number] : host.numbers)
        {
            const auto found = m_connections.find(number);
            if (found == m_connections.end() ||
                found->second.upstream != upstream)
                continue;
            m_connections.erase(found);
            if (chance(300))
                continue;
            after(link_delay,
                  [this, name = name, id = id, incarnation = host.incarnation] {
                      if (!m_hosts.at(name).numbers.contains(id))
                          return;
                      call(name, incarnation, [&](pooler& pool) {
                          return pool.on_closed(id, m_now);
                      });
                  });
        }
    after(millis(100 + pick(300)),
          [this, upstream] { ++m_started_at.at(upstream); });
}

void pinned_world::open(const std::string& name, const open_action& action)
{
    auto& host = m_hosts.at(name);
    const auto id = action.connection;
    host.numbers[id] = 0;
    after(open_delay, [this, name, id, incarnation = host.incarnation,
                       upstream = action.upstream.id] {
        auto& opening_host = m_hosts.at(name);
        if (opening_host.incarnation != incarnation ||
            !opening_host.numbers.contains(id))
            return;
        if (chance(m_rates.refused))
            return call(name, incarnation, [&](pooler& pool) {
                return pool.on_open_failed(
                    id,
                    chance(500) ? std::optional(refusal::busy) : std::nullopt,
                    m_now);
            });
        opening_host.numbers[id] = ++m_last_number;
        m_connections[m_last_number].upstream = upstream;
        call(name, incarnation, [&](pooler& pool) {
            return pool.on_opened(id, upstream::log_point{1, 10}, m_now);
        });
    });
}

// What the database is at work on when the connection is closed still runs.
void pinned_world::close(const std::string& name, connection_id id)
{
    auto& numbers = m_hosts.at(name).numbers;
    const auto found = numbers.find(id);
    if (found == numbers.end())
        return;
    after(chance(100) ? millis(pick(100)) : link_delay,
          [this, number = found->second] { m_connections.erase(number); });
    numbers.erase(found);
}

void pinned_world::work(const location& at)
{
    m_connections.at(at.number).is_working = true;
    auto time = millis(1 + pick(10));
    if (chance(m_rates.delayed))
        time = millis(200 + pick(700));
    after(time, [this, at] { complete(at); });
}

void pinned_world::complete(const location& at)
{
    const auto found = m_connections.find(at.number);
    if (found == m_connections.end())
        return;
    auto& connection = found->second;
    const auto next = std::move(connection.waiting.front());
    connection.waiting.pop_front();
    const auto close_connection = [&] {
        m_connections.erase(at.number);
        after(link_delay, [this, at] {
            if (m_hosts.at(at.host).numbers.contains(at.id))
                call(at.host, at.incarnation, [&](pooler& pool) {
                    return pool.on_closed(at.id, m_now);
                });
        });
    };
    if (chance(m_rates.closed / 3))
        return close_connection();
    const auto answer = execute(at.number, next);
    if (chance(m_rates.closed))
        return close_connection();
    if (!chance(m_rates.lost_answer))
        after(link_delay, [this, at, answer] {
            if (m_hosts.at(at.host).numbers.contains(at.id))
                call(at.host, at.incarnation, [&](pooler& pool) {
                    return pool.on_answer(at.id, answer, m_now);
                });
        });
    connection.is_working = false;
    if (!connection.waiting.empty())
        work(at);
}

// Why a database does not run a command; empty when it runs it.
std::optional<refusal>
pinned_world::refusal_of(const database_connection& connection,
                         const command& command)
{
    if (chance(m_rates.refused))
        return refusal::busy;
    if (command.after && chance(m_rates.refused))
        return refusal::behind;
    if (connection.state == transaction_state::failed &&
        command.kind != command_kind::rollback && command.text != "COMMIT")
        return refusal::malformed;
    if (command.kind == command_kind::execute &&
        !connection.prepared.contains(command.name))
    {
        m_judge.check_unknown_name(command);
        return refusal::unknown_statement;
    }
    const bool is_primary = connection.upstream == m_primary;
    const bool needs_primary =
        command.kind == command_kind::begin ||
        command.text.starts_with("WRITE ") ||
        (command.kind == command_kind::execute &&
         connection.prepared.at(command.name).writes) ||
        (is_callers(command) && connection.state == transaction_state::open &&
         !connection.is_read_only &&
         (command.text != "COMMIT" || connection.has_written));
    if (needs_primary && !is_primary)
        return refusal::read_only;
    return std::nullopt;
}

command_answer pinned_world::execute(std::uint64_t number,
                                     const command& command)
{
    auto& connection = m_connections.at(number);
    command_answer answer;
    answer.position = upstream::log_point{m_term, 10};
    answer.error = refusal_of(connection, command);
    if (!answer.error)
        run_command(number, connection, command, answer);
    answer.state = connection.state;
    return answer;
}

void pinned_world::run_command(std::uint64_t number,
                               database_connection& connection,
                               const command& command, command_answer& answer)
{
    if (is_callers(command))
        m_judge.check(number, connection, command);
    const bool fails = chance(m_rates.failed);
    const bool has_effect = !fails || chance(500);
    if (fails)
        answer.error = chance(500) ? refusal::timed_out : refusal::failed;
    else
        answer.signature = is_callers(command) ? "s" : "";
    if (fails && !is_callers(command) && !has_effect)
        return;
    const bool is_commit = command.text == "COMMIT";
    const bool is_write = command.text.starts_with("WRITE ") ||
                          (command.kind == command_kind::execute &&
                           connection.prepared.at(command.name).writes);
    switch (command.kind)
    {
    case command_kind::reset:
        connection.values.clear();
        connection.prepared.clear();
        return;
    case command_kind::set_value:
        connection.values[command.name] = command.value;
        return;
    case command_kind::prepare:
        connection.prepared[command.name] = {command.writes, command.value};
        return;
    case command_kind::begin:
    case command_kind::begin_read_only:
        connection.state = transaction_state::open;
        connection.is_read_only = command.kind == command_kind::begin_read_only;
        connection.transaction = 0;
        connection.has_written = false;
        return;
    case command_kind::rollback:
        connection.state = transaction_state::idle;
        return;
    default:
        break;
    }
    const bool is_kept = answer.error == refusal::failed ? false : has_effect;
    if (is_commit)
    {
        const bool has_failed =
            std::exchange(connection.state, transaction_state::idle) ==
            transaction_state::failed;
        if (is_kept && !has_failed && connection.has_written)
            m_judge.note_kept(command.id);
        return;
    }
    if (connection.state == transaction_state::open)
    {
        connection.has_written = connection.has_written || is_write;
        if (fails)
            connection.state = transaction_state::failed;
        return;
    }
    if (is_write && is_kept)
        m_judge.note_kept(command.id);
}

void pinned_world::connect(caller_state& caller)
{
    if (!m_has_callers)
        return;
    const auto database = caller.database;
    caller = {};
    caller.database = database;
    caller.session = ++m_last_session;
    const auto opened =
        m_hosts.at("a").pool->open_session(caller.session, database, {}, m_now);
    CHECK(opened == open_result::opened);
    const auto number = static_cast<std::size_t>(&caller - m_callers.data());
    after(millis(1 + pick(20)),
          [this, number, session = caller.session] { step(number, session); });
}

void pinned_world::leave(caller_state& caller)
{
    if (caller.session == 0)
        return;
    const auto session = std::exchange(caller.session, 0);
    apply("a", m_hosts.at("a").pool->close_session(session, m_now));
    const auto number = static_cast<std::size_t>(&caller - m_callers.data());
    after(millis(10), [this, number] { connect(m_callers[number]); });
}

statement pinned_world::statement_of(statement_kind kind,
                                     const std::string& text)
{
    statement result;
    result.kind = kind;
    result.id = "q" + std::to_string(++m_last_statement);
    result.text = text;
    return result;
}

statement pinned_world::set_or_prepare()
{
    const auto name = std::to_string(pick(3));
    const auto value = std::to_string(pick(4));
    const auto kind = pick(3);
    auto result = statement_of(kind == 0   ? statement_kind::set_value
                               : kind == 1 ? statement_kind::prepare
                                           : statement_kind::deallocate,
                               "");
    result.name = (kind == 0 ? "v" : "s") + name;
    result.value = (kind == 0 ? "" : "shape") + value;
    result.writes = chance(400);
    return result;
}

statement pinned_world::read_or_write(const caller_state& caller,
                                      bool may_write)
{
    const auto item = std::to_string(pick(5));
    std::vector<std::string> names;
    for (const auto& [name, prepared] : caller.prepared)
        if (may_write || !prepared.writes)
            names.push_back(name);
    if (!names.empty() && chance(400))
    {
        auto result = statement_of(statement_kind::execute, "");
        result.name = names[pick(names.size())];
        result.value = item;
        return result;
    }
    return may_write && chance(500)
               ? statement_of(statement_kind::write, "WRITE " + item + " 1")
               : statement_of(statement_kind::read, "READ " + item);
}

void pinned_world::plan_operation(caller_state& caller)
{
    const auto kind = pick(100);
    if (kind < 20)
        return caller.plan.push_back(set_or_prepare());
    if (kind < 55)
        return caller.plan.push_back(read_or_write(caller, true));
    const bool may_write = kind < 85;
    caller.plan.push_back(
        may_write
            ? statement_of(statement_kind::begin, "BEGIN")
            : statement_of(statement_kind::begin_read_only, "BEGIN READ"));
    for (auto count = pick(4); count > 0; --count)
        caller.plan.push_back(chance(200) ? set_or_prepare()
                                          : read_or_write(caller, may_write));
    caller.plan.push_back(
        chance(750) ? statement_of(statement_kind::commit, "COMMIT")
                    : statement_of(statement_kind::rollback, "ROLLBACK"));
}

void pinned_world::step(std::size_t number, session_id session)
{
    auto& caller = m_callers[number];
    if (caller.session != session || !caller.unanswered.empty())
        return;
    if (chance(20))
        return leave(caller);
    if (caller.plan.empty())
        plan_operation(caller);
    const bool pipelines = chance(100);
    do
    {
        auto next = std::move(caller.plan.front());
        caller.plan.pop_front();
        submit(caller, std::move(next));
    } while (pipelines && !caller.plan.empty());
    if (chance(20))
        after(millis(1 + pick(60)), [this, number, session] {
            if (m_callers[number].session == session)
                leave(m_callers[number]);
        });
}

void pinned_world::submit(caller_state& caller, statement statement)
{
    caller.unanswered.push_back(statement);
    if (caller.unanswered.size() == 1)
        expect_oldest(caller);
    apply("a", m_hosts.at("a").pool->on_statement(caller.session,
                                                  std::move(statement), m_now));
}

void pinned_world::expect_oldest(caller_state& caller)
{
    auto& run = caller.expected;
    run.statement = caller.unanswered.front();
    run.values = caller.values;
    run.transaction = caller.transaction;
    run.prepared.reset();
    if (const auto found = caller.prepared.find(run.statement.name);
        run.statement.kind == statement_kind::execute &&
        found != caller.prepared.end())
        run.prepared = found->second;
    m_judge.expect(run);
}

void pinned_world::on_reply(const reply_action& action)
{
    const auto found = std::find_if(
        m_callers.begin(), m_callers.end(),
        [&](const auto& caller) { return caller.session == action.session; });
    if (found == m_callers.end())
        return;
    auto& caller = *found;
    m_judge.check_reply(caller.expected, action.reply);
    update_knowledge(caller, caller.unanswered.front(), action.reply);
    caller.unanswered.pop_front();
    if (!caller.unanswered.empty())
        return expect_oldest(caller);
    if (action.reply.error)
        caller.plan.clear();
    if (caller.transaction != 0 && caller.plan.empty())
        caller.plan.push_back(
            statement_of(statement_kind::rollback, "ROLLBACK"));
    const auto pause = chance(20) ? transaction_idle_timeout + millis(100)
                                  : millis(1 + pick(15));
    const auto number = static_cast<std::size_t>(&caller - m_callers.data());
    after(pause,
          [this, number, session = caller.session] { step(number, session); });
}

void pinned_world::update_knowledge(caller_state& caller,
                                    const statement& statement,
                                    const sql::reply& reply)
{
    if (reply.state == transaction_state::idle)
        caller.transaction = 0;
    if (reply.error)
        return;
    switch (statement.kind)
    {
    case statement_kind::set_value:
        caller.values[statement.name] = statement.value;
        break;
    case statement_kind::prepare:
        caller.prepared[statement.name] = {statement.writes, statement.value};
        break;
    case statement_kind::deallocate:
        caller.prepared.erase(statement.name);
        break;
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        caller.transaction = ++m_last_transaction;
        break;
    default:
        break;
    }
}

} // namespace support
