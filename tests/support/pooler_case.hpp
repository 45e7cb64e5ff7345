#pragma once

#include <plantainward/pooling/pooler.hpp>

#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace support
{

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::error_kind;
using core::millis;
using sql::command_kind;
using sql::refusal;
using sql::statement_kind;
using sql::transaction_state;

/// A pooler with one service that has the primary "p" and the replica "r", and
/// the actions that it returned.
struct pooler_case
{
    explicit pooler_case(pooler_options options = {"a"})
        : pool(std::move(options))
    {
        set_up();
    }

    void set_up()
    {
        routes::routing routing;
        routing.version = 1;
        routing.services["ledger"].max_connections = 30;
        add_route(routing, "cards", routes::read_consistency::latest);
        add_route(routing, "specs", routes::read_consistency::bounded_age);
        add_route(routing, "status", routes::read_consistency::session);
        pool.set_routing(routing, now);
        pool.set_plan("ledger", {2, {}, {}});
        pool.set_upstreams({upstream("p"), upstream("r")}, now);
        pool.set_primary("ledger", "p", now + millis(100'000), now);
    }

    static void add_route(routes::routing& routing, const std::string& name,
                          routes::read_consistency consistency)
    {
        routes::route route;
        route.database = name;
        route.service = "ledger";
        route.consistency = consistency;
        route.timeout = millis(800);
        route.max_age = millis(1500);
        routing.routes[name] = route;
    }

    static routes::upstream upstream(const std::string& id)
    {
        return {id, "ledger", {id, 1}, "a", false, id == "p", 1};
    }

    /// Records actions by their kind.
    void apply(const actions& new_actions)
    {
        for (const auto& action : new_actions)
        {
            if (const auto* open = std::get_if<open_action>(&action))
                opened.push_back(*open);
            if (const auto* send = std::get_if<send_action>(&action))
                sent.push_back(*send);
            if (const auto* close = std::get_if<close_action>(&action))
                closed.push_back(close->connection);
            if (const auto* answer = std::get_if<reply_action>(&action))
                replies.push_back(*answer);
            if (const auto* end = std::get_if<close_session_action>(&action))
                closed_sessions.push_back(end->session);
        }
    }

    void open_session(session_id id, const std::string& database)
    {
        CHECK(pool.open_session(id, database, {}, now) == open_result::opened);
    }

    void submit(session_id id, statement_kind kind, const std::string& text,
                const std::string& name = {}, const std::string& value = {})
    {
        sql::statement statement;
        statement.kind = kind;
        statement.id = "q" + std::to_string(++last_id);
        statement.text = text;
        statement.name = name;
        statement.value = value;
        apply(pool.on_statement(id, statement, now));
    }

    /// Reports the connection that was requested last as open.
    connection_id complete_open()
    {
        const auto id = opened.back().connection;
        apply(pool.on_opened(id, upstream::log_point{1, 10}, now));
        return id;
    }

    void answer(connection_id id, sql::command_answer command_answer)
    {
        apply(pool.on_answer(id, std::move(command_answer), now));
    }

    void succeed(connection_id id,
                 transaction_state state = transaction_state::idle,
                 std::uint64_t position = 10)
    {
        sql::command_answer command_answer;
        command_answer.signature = "s";
        command_answer.state = state;
        command_answer.position = upstream::log_point{1, position};
        answer(id, command_answer);
    }

    void fail(connection_id id, refusal error,
              transaction_state state = transaction_state::idle)
    {
        sql::command_answer command_answer;
        command_answer.error = error;
        command_answer.state = state;
        answer(id, command_answer);
    }

    /// Begins a transaction of session 1 whose first statement has run.
    connection_id begin_with(statement_kind kind, const std::string& text)
    {
        open_session(1, "cards");
        submit(1, statement_kind::begin, "BEGIN");
        submit(1, kind, text);
        const auto id = complete_open();
        succeed(id, transaction_state::open);
        succeed(id, transaction_state::open);
        return id;
    }

    const sql::command& last_command() const
    {
        return sent.back().commands.back();
    }

    boot_instant now{std::chrono::seconds(100)};
    pooler pool;
    std::vector<open_action> opened;
    std::vector<send_action> sent;
    std::vector<connection_id> closed;
    std::vector<reply_action> replies;
    std::vector<session_id> closed_sessions;
    int last_id{0};
};

} // namespace support
