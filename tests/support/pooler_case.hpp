#pragma once

#include <plantainward/pooling/pooler.hpp>

#include <string>
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

/// A pooler before one service, and what it asked for.
struct pooler_case
{
    pooler_case()
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
                          routes::read_consistency rule)
    {
        routes::route one;
        one.database = name;
        one.service = "ledger";
        one.consistency = rule;
        one.timeout = millis(800);
        one.max_age = millis(1500);
        routing.routes[name] = one;
    }

    static routes::upstream upstream(const std::string& id)
    {
        return {id, "ledger", {id, 1}, "a", false, id == "p", 1};
    }

    void take(const actions& made)
    {
        for (const auto& one : made)
        {
            if (const auto* open = std::get_if<open_action>(&one))
                opened.push_back(*open);
            if (const auto* send = std::get_if<send_action>(&one))
                sent.push_back(*send);
            if (const auto* close = std::get_if<close_action>(&one))
                closed.push_back(close->connection);
            if (const auto* answer = std::get_if<reply_action>(&one))
                replies.push_back(*answer);
        }
    }

    void open_session(session_id id, const std::string& database)
    {
        CHECK(pool.open_session(id, database, now));
    }

    void ask(session_id id, statement_kind kind, const std::string& text,
             const std::string& name = {}, const std::string& value = {})
    {
        sql::statement one;
        one.kind = kind;
        one.id = "q" + std::to_string(++last_id);
        one.text = text;
        one.name = name;
        one.value = value;
        take(pool.on_statement(id, one, now));
    }

    /// Lets the connection that was asked for last open.
    connection_id let_open()
    {
        const auto id = opened.back().connection;
        take(pool.on_opened(id, now));
        return id;
    }

    void answer(connection_id id, sql::command_answer one)
    {
        take(pool.on_answer(id, std::move(one), now));
    }

    void succeed(connection_id id,
                 transaction_state state = transaction_state::idle,
                 std::uint64_t position = 10)
    {
        sql::command_answer one;
        one.signature = "s";
        one.state = state;
        one.position = upstream::log_point{1, position};
        answer(id, one);
    }

    void fail(connection_id id, refusal why,
              transaction_state state = transaction_state::idle)
    {
        sql::command_answer one;
        one.error = why;
        one.state = state;
        answer(id, one);
    }

    /// Begins a transaction of session 1 whose first statement has run.
    connection_id begin_with(statement_kind kind, const std::string& text)
    {
        open_session(1, "cards");
        ask(1, statement_kind::begin, "BEGIN");
        ask(1, kind, text);
        const auto id = let_open();
        succeed(id, transaction_state::open);
        succeed(id, transaction_state::open);
        return id;
    }

    const sql::command& last_command() const
    {
        return sent.back().commands.back();
    }

    boot_instant now{std::chrono::seconds(100)};
    pooler pool{{"a"}};
    std::vector<open_action> opened;
    std::vector<send_action> sent;
    std::vector<connection_id> closed;
    std::vector<reply_action> replies;
    int last_id{0};
};

} // namespace support
