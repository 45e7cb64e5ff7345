#include <support/pooler_case.hpp>

#include <algorithm>

using namespace support;

TEST_GROUP(pooler_load)
{
    pooler_case c;
};

TEST(pooler_load, reads_are_not_tried_at_replicas_that_were_just_behind)
{
    // Load: a replica lags by seconds, so every read would ask it in vain.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    c.fail(c.let_open(), refusal::behind);
    c.open_session(2, "specs");
    c.ask(2, statement_kind::read, "READ b");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
    c.now += millis(100);
    c.open_session(3, "specs");
    c.ask(3, statement_kind::read, "READ c");
    STRCMP_EQUAL("READ c", c.last_command().text.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler_load, a_busy_database_is_not_asked_by_all_that_wait)
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

TEST(pooler_load, statements_in_time_go_before_those_that_are_late_already)
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

TEST(pooler_load, a_replica_that_lags_for_long_is_asked_ever_more_rarely)
{
    // Load: replicas lag by seconds; each read would be refused there first.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    int asked = 0;
    for (session_id id = 1; id <= 100; ++id)
    {
        c.now += millis(10);
        c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42 + id}});
        c.open_session(id, "specs");
        c.ask(id, statement_kind::read, "READ a");
        if (c.opened.back().upstream.id == "r" && c.opened.size() == id)
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

TEST(pooler_load, a_transaction_waits_for_a_busy_database)
{
    // Load: more transactions than slots; each has been granted some work.
    const auto id = c.begin_with(statement_kind::read, "READ a");
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

TEST(pooler_load, a_transaction_that_a_busy_database_ended_is_refused)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.fail(id, refusal::busy, transaction_state::failed);
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler_load, a_read_whose_answer_is_lost_runs_again)
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

TEST(pooler_load, a_write_whose_answer_is_lost_is_waited_for)
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

TEST(pooler_load, reads_leave_a_database_that_has_gone_silent)
{
    // Load: the primary is cut off; reads that replicas may run wait for it.
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    const auto silent = c.let_open();
    c.pool.add_watermark("ledger", {c.now, {1, 42}});
    c.now += millis(510);
    c.take(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), silent) !=
          c.closed.end());
    STRCMP_EQUAL("r", c.opened.at(1).upstream.id.c_str());
}
