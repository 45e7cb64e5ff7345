#include <plantainward/pooling/pooler.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::error_kind;
using core::millis;
using sql::command_kind;
using sql::refusal;
using sql::statement_kind;
using sql::transaction_state;

namespace
{

/// A pooler before one service, and what it asked for.
struct pooler_case
{
    pooler_case()
    {
        routes::routing routing;
        routing.version = 1;
        routing.services["ledger"].max_connections = 30;
        add_route(routing, "cards", routes::read_rule::latest);
        add_route(routing, "specs", routes::read_rule::bounded_age);
        add_route(routing, "status", routes::read_rule::session);
        pool.set_routing(routing, now);
        pool.set_plan("ledger", {2, {}, {}});
        pool.set_upstreams({upstream("p"), upstream("r")}, now);
        pool.set_primary("ledger", "p", now + millis(100'000), now);
    }

    static void add_route(routes::routing& routing, const std::string& name,
                          routes::read_rule rule)
    {
        routes::route one;
        one.database = name;
        one.service = "ledger";
        one.rule = rule;
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

} // namespace

TEST_GROUP(pooler)
{
    pooler_case c;
};

TEST(pooler, a_write_goes_to_the_primary_with_its_id_and_text)
{
    c.open_session(1, "status");
    c.ask(1, statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
    const auto id = c.let_open();
    STRCMP_EQUAL("q1", c.last_command().id.c_str());
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    STRCMP_EQUAL("s", c.replies.back().reply.signature.c_str());
}

TEST(pooler, a_bounded_read_without_a_mark_goes_to_the_primary)
{
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
}

TEST(pooler, a_bounded_read_waits_at_a_replica_for_the_marked_log_point)
{
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("r", c.opened.back().where.id.c_str());
    c.let_open();
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler, a_mark_that_is_too_old_proves_nothing)
{
    c.pool.add_mark("ledger", {c.now - millis(1450), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
}

TEST(pooler, a_session_reads_its_own_commit_at_a_replica)
{
    c.open_session(1, "status");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.let_open(), transaction_state::idle, 50);
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    c.ask(1, statement_kind::read, "READ a");
    c.let_open();
    STRCMP_EQUAL("r", c.opened.back().where.id.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 50}));
}

TEST(pooler, a_replica_that_is_behind_is_left_for_the_primary)
{
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    c.fail(c.let_open(), refusal::behind);
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
}

TEST(pooler, reads_are_not_tried_at_replicas_that_were_just_behind)
{
    // Load: a replica lags by seconds, so every read would ask it in vain.
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    c.fail(c.let_open(), refusal::behind);
    c.open_session(2, "specs");
    c.ask(2, statement_kind::read, "READ b");
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
    c.now += millis(100);
    c.open_session(3, "specs");
    c.ask(3, statement_kind::read, "READ c");
    STRCMP_EQUAL("READ c", c.last_command().text.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler, without_a_lease_nothing_is_sent_to_the_primary)
{
    c.take(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    LONGS_EQUAL(0, c.opened.size());
    c.now += millis(450);
    c.take(c.pool.tick(c.now));
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_lease_that_ends_while_a_connection_opens_stops_the_read)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    c.take(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.let_open();
    LONGS_EQUAL(0, c.sent.size());
}

TEST(pooler, a_commit_answered_after_the_lease_is_not_called_done)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    c.take(c.pool.set_primary("ledger", {}, c.now, c.now));
    c.succeed(id);
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

TEST(pooler, a_lost_write_is_unknown_and_never_sent_again)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    const auto before = c.sent.size();
    c.take(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    LONGS_EQUAL(before, c.sent.size());
}

TEST(pooler, a_lost_read_is_sent_again)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    c.take(c.pool.on_closed(c.let_open(), c.now));
    LONGS_EQUAL(2, c.opened.size());
    c.let_open();
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
}

TEST(pooler, a_write_that_a_database_refused_runs_elsewhere)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.fail(c.let_open(), refusal::busy);
    LONGS_EQUAL(0, c.replies.size());
    c.now += millis(100);
    c.take(c.pool.tick(c.now));
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
}

TEST(pooler, a_transaction_keeps_its_connection_from_others)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    CHECK(c.last_command().kind == command_kind::begin);
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.open_session(2, "cards");
    c.ask(2, statement_kind::read, "READ b");
    CHECK(c.opened.back().connection != id);
    c.ask(1, statement_kind::commit, "COMMIT");
    LONGS_EQUAL(id, c.sent.back().connection);
}

TEST(pooler, a_connection_is_used_by_others_only_after_its_rollback)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.take(c.pool.close_session(1, c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    c.open_session(2, "cards");
    c.ask(2, statement_kind::read, "READ b");
    CHECK(c.opened.back().connection != id);
}

TEST(pooler, a_transaction_whose_connection_is_lost_is_aborted)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.take(c.pool.on_closed(id, c.now));
    c.ask(1, statement_kind::write, "WRITE b 1");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
}

TEST(pooler, a_lost_commit_is_unknown)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.ask(1, statement_kind::commit, "COMMIT");
    c.take(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
}

TEST(pooler, the_rest_of_a_transaction_is_not_sent_to_a_replaced_primary)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.take(c.pool.set_primary("ledger", {}, c.now, c.now));
    c.ask(1, statement_kind::commit, "COMMIT");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    CHECK(c.last_command().kind == command_kind::rollback);
}

TEST(pooler, session_values_are_set_before_a_statement_runs)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::set_value, "SET l nl", "l", "nl");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    CHECK(c.last_command().kind == command_kind::set_value);
    c.succeed(id);
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
    c.succeed(id);
    // Another session without values gets a clean connection.
    c.open_session(2, "cards");
    c.ask(2, statement_kind::read, "READ b");
    CHECK(c.last_command().kind == command_kind::reset);
}

TEST(pooler, an_idle_transaction_is_ended)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.now += millis(3100);
    c.take(c.pool.tick(c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    c.ask(1, statement_kind::read, "READ a");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
}

TEST(pooler, a_statement_that_takes_too_long_is_unknown_and_its_link_closed)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.now += millis(801);
    c.take(c.pool.tick(c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    LONGS_EQUAL(id, c.closed.back());
}

TEST(pooler, an_isolated_host_refuses_at_once)
{
    c.take(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.pool.set_isolated(true);
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_leaving_replica_gets_no_new_reads)
{
    auto leaving = pooler_case::upstream("r");
    leaving.leaving = true;
    c.take(c.pool.set_upstreams({pooler_case::upstream("p"), leaving}, c.now));
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().where.id.c_str());
}

TEST(pooler, the_connections_of_a_database_are_shared_by_the_hosts)
{
    // 30 connections before 10 hosts leave two each, with some kept back.
    for (session_id id = 1; id <= 5; ++id)
    {
        c.open_session(id, "cards");
        c.ask(id, statement_kind::read, "READ a");
    }
    LONGS_EQUAL(2, c.opened.size());
}

TEST(pooler, a_restarted_database_loses_its_connections)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto id = c.let_open();
    auto restarted = pooler_case::upstream("p");
    restarted.born_ms = 2;
    c.take(
        c.pool.set_upstreams({restarted, pooler_case::upstream("r")}, c.now));
    LONGS_EQUAL(id, c.closed.back());
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

TEST(pooler, an_older_routing_never_comes_back)
{
    routes::routing older;
    older.version = 1;
    CHECK_FALSE(c.pool.set_routing(older, c.now));
    CHECK(c.pool.routing().find("cards") != nullptr);
}

TEST(pooler, a_silent_question_of_the_proxy_ends_its_connection)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.succeed(id);
    c.now += millis(1100);
    c.take(c.pool.tick(c.now));
    CHECK(c.last_command().kind == command_kind::reset);
    c.now += millis(1100);
    c.take(c.pool.tick(c.now));
    LONGS_EQUAL(id, c.closed.back());
}

TEST(pooler, a_busy_database_is_not_asked_by_all_that_wait)
{
    // Load: the replicas lag, so the primary has to run all statements.
    c.pool.set_plan("ledger", {20, {}, {}});
    for (session_id id = 1; id <= 20; ++id)
    {
        c.open_session(id, "cards");
        c.ask(id, statement_kind::read, "READ a");
    }
    const auto opened = c.opened;
    for (const auto& one : opened)
        c.take(c.pool.on_opened(one.connection, c.now));
    for (const auto& one : opened)
        c.fail(one.connection, refusal::busy);
    const auto before = c.sent.size();
    for (int i = 0; i < 5; ++i)
    {
        c.now += millis(20);
        c.take(c.pool.tick(c.now));
        if (c.sent.size() > before + static_cast<std::size_t>(i))
            c.fail(c.sent.back().connection, refusal::busy);
    }
    CHECK(c.sent.size() > before);
    CHECK(c.sent.size() <= before + 5);
}

TEST(pooler, statements_in_time_go_before_those_that_are_late_already)
{
    // Load: more work than the slots of the primary can run in time.
    c.pool.set_plan("ledger", {1, {}, {}});
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.open_session(2, "cards");
    c.ask(2, statement_kind::read, "READ late");
    c.now += millis(260);
    c.open_session(3, "cards");
    c.ask(3, statement_kind::read, "READ in time");
    c.succeed(id);
    STRCMP_EQUAL("READ in time", c.last_command().text.c_str());
    c.succeed(id);
    STRCMP_EQUAL("READ late", c.last_command().text.c_str());
}

TEST(pooler, a_replica_that_lags_for_long_is_asked_ever_more_rarely)
{
    // Load: replicas lag by seconds; each read would be refused there first.
    c.pool.add_mark("ledger", {c.now - millis(200), {1, 42}});
    int asked = 0;
    for (session_id id = 1; id <= 100; ++id)
    {
        c.now += millis(10);
        c.pool.add_mark("ledger", {c.now - millis(200), {1, 42 + id}});
        c.open_session(id, "specs");
        c.ask(id, statement_kind::read, "READ a");
        if (c.opened.back().where.id == "r" && c.opened.size() == id)
            c.let_open();
        while (!c.sent.empty() && c.sent.back().commands.back().after)
        {
            ++asked;
            const auto one = c.sent.back().connection;
            c.sent.clear();
            c.fail(one, refusal::behind);
        }
        c.take(c.pool.close_session(id, c.now));
    }
    CHECK(asked >= 1);
    CHECK(asked <= 5);
}

TEST(pooler, a_transaction_waits_for_a_busy_database)
{
    // Load: more transactions than slots; each has been granted some work.
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto answered = c.replies.size();
    c.fail(id, refusal::busy, transaction_state::open);
    LONGS_EQUAL(answered, c.replies.size());
    c.now += millis(20);
    c.take(c.pool.tick(c.now));
    LONGS_EQUAL(id, c.sent.back().connection);
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    c.succeed(id, transaction_state::open);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler, a_transaction_that_a_busy_database_ended_is_refused)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::begin, "BEGIN");
    c.ask(1, statement_kind::read, "READ a");
    const auto id = c.let_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.fail(id, refusal::busy, transaction_state::failed);
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_read_whose_answer_is_lost_runs_again)
{
    // Load: a database runs statements and some of its answers are lost.
    c.open_session(1, "cards");
    c.ask(1, statement_kind::read, "READ a");
    const auto silent = c.let_open();
    c.open_session(2, "cards");
    for (int i = 0; i < 3; ++i)
    {
        c.now += millis(100);
        c.ask(2, statement_kind::read, "READ b");
        if (c.opened.size() == 2 && i == 0)
            c.let_open();
        c.succeed(c.sent.back().connection);
    }
    c.now += millis(20);
    c.take(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), silent) !=
          c.closed.end());
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
    CHECK(c.sent.back().connection != silent);
}

TEST(pooler, a_write_whose_answer_is_lost_is_waited_for)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    const auto silent = c.let_open();
    c.open_session(2, "cards");
    for (int i = 0; i < 5; ++i)
    {
        c.now += millis(100);
        c.ask(2, statement_kind::read, "READ b");
        if (i == 0)
            c.let_open();
        c.succeed(c.sent.back().connection);
    }
    c.take(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), silent) ==
          c.closed.end());
    c.succeed(silent);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler, reads_leave_a_database_that_has_gone_silent)
{
    // Load: the primary is cut off; reads that replicas may run wait for it.
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    const auto silent = c.let_open();
    c.pool.add_mark("ledger", {c.now, {1, 42}});
    c.now += millis(510);
    c.take(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), silent) !=
          c.closed.end());
    STRCMP_EQUAL("r", c.opened.at(1).where.id.c_str());
}
