#include <support/pooler_case.hpp>

#include <algorithm>

using namespace support;

TEST_GROUP(pooler_load)
{
    pooler_case c;
};

TEST(pooler_load, reads_are_not_sent_to_replicas_that_were_just_behind)
{
    // Failure: a replica lags by seconds, and every read was sent there in
    // vain.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    c.fail(c.complete_open(), refusal::behind);
    c.open_session(2, "specs");
    c.submit(2, statement_kind::read, "READ b");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
    c.now += millis(100);
    c.open_session(3, "specs");
    c.submit(3, statement_kind::read, "READ c");
    STRCMP_EQUAL("READ c", c.last_command().text.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler_load, waiting_statements_are_not_all_sent_to_a_busy_database)
{
    // Failure: the replicas lag, so the primary has to run all statements and
    // its slots are taken; every refused statement was sent again at once.
    c.pool.set_plan("ledger", {20, {}, {}});
    for (session_id id = 1; id <= 20; ++id)
    {
        c.open_session(id, "cards");
        c.submit(id, statement_kind::read, "READ a");
    }
    const auto opened = c.opened;
    for (const auto& open : opened)
        c.apply(c.pool.on_opened(open.connection, upstream::log_point{1, 10},
                                 c.now));
    for (const auto& open : opened)
        c.fail(open.connection, refusal::busy);
    const auto before = c.sent.size();
    for (int i = 0; i < 5; ++i)
    {
        c.now += millis(20);
        c.apply(c.pool.tick(c.now));
        if (c.sent.size() > before + static_cast<std::size_t>(i))
            c.fail(c.sent.back().connection, refusal::busy);
    }
    CHECK(c.sent.size() > before);
    CHECK(c.sent.size() <= before + 5);
}

TEST(pooler_load, statements_within_their_target_run_before_late_ones)
{
    // Failure: there is more work than the slots of the primary can run in
    // time, and serving it in order of arrival makes all statements late.
    c.pool.set_plan("ledger", {1, {}, {}});
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    c.open_session(2, "cards");
    c.submit(2, statement_kind::read, "READ late");
    c.now += millis(260);
    c.open_session(3, "cards");
    c.submit(3, statement_kind::read, "READ in time");
    c.succeed(id);
    STRCMP_EQUAL("READ in time", c.last_command().text.c_str());
    c.succeed(id);
    STRCMP_EQUAL("READ late", c.last_command().text.c_str());
}

TEST(pooler_load, a_replica_that_stays_behind_is_tried_less_and_less_often)
{
    // Failure: replicas lag by seconds, and each read was refused there first.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    int attempts = 0;
    for (session_id id = 1; id <= 100; ++id)
    {
        c.now += millis(10);
        c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42 + id}});
        c.open_session(id, "specs");
        c.submit(id, statement_kind::read, "READ a");
        if (c.opened.back().upstream.id == "r" && c.opened.size() == id)
            c.complete_open();
        while (!c.sent.empty() && c.sent.back().commands.back().after)
        {
            ++attempts;
            const auto connection = c.sent.back().connection;
            c.sent.clear();
            c.fail(connection, refusal::behind);
        }
        c.apply(c.pool.close_session(id, c.now));
    }
    CHECK(attempts >= 1);
    CHECK(attempts <= 5);
}

TEST(pooler_load, a_statement_of_a_transaction_is_sent_again_to_a_busy_database)
{
    // Failure: there are more open transactions than slots, and each refusal
    // aborted a transaction that had already done some of its work.
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto answered = c.replies.size();
    c.fail(id, refusal::busy, transaction_state::open);
    LONGS_EQUAL(answered, c.replies.size());
    c.now += millis(20);
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(id, c.sent.back().connection);
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    c.succeed(id, transaction_state::open);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler_load, a_transaction_that_a_busy_database_ended_is_refused)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.fail(id, refusal::busy, transaction_state::failed);
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler_load, a_read_whose_answer_is_lost_runs_again)
{
    // Failure: a database runs statements, but some of its answers are lost.
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    const auto unanswered = c.complete_open();
    c.open_session(2, "cards");
    for (int i = 0; i < 3; ++i)
    {
        c.now += millis(100);
        c.submit(2, statement_kind::read, "READ b");
        if (c.opened.size() == 2 && i == 0)
            c.complete_open();
        c.succeed(c.sent.back().connection);
    }
    c.now += millis(20);
    c.apply(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), unanswered) !=
          c.closed.end());
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
    CHECK(c.sent.back().connection != unanswered);
}

TEST(pooler_load, a_write_whose_answer_is_overdue_keeps_its_connection)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto unanswered = c.complete_open();
    c.open_session(2, "cards");
    for (int i = 0; i < 5; ++i)
    {
        c.now += millis(100);
        c.submit(2, statement_kind::read, "READ b");
        if (i == 0)
            c.complete_open();
        c.succeed(c.sent.back().connection);
    }
    c.apply(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), unanswered) ==
          c.closed.end());
    c.succeed(unanswered);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler_load, a_read_at_a_silent_database_runs_again_elsewhere)
{
    // Failure: the primary is cut off, and reads that replicas could run waited
    // for its answer.
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    const auto unanswered = c.complete_open();
    c.pool.add_watermark("ledger", {c.now, {1, 42}});
    c.now += millis(510);
    c.apply(c.pool.tick(c.now));
    CHECK(std::find(c.closed.begin(), c.closed.end(), unanswered) !=
          c.closed.end());
    STRCMP_EQUAL("r", c.opened.at(1).upstream.id.c_str());
}
