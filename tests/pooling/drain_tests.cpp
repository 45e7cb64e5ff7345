// The planned stop of a host, as one pooler decides it.

#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(drain)
{
    pooler_case c;

    void advance(drain_stage stage)
    {
        c.apply(c.pool.advance_drain(stage, c.now));
    }

    /// Opens a session and sends a read, whose connection it returns.
    connection_id start_read(session_id id)
    {
        c.open_session(id, "cards");
        c.submit(id, statement_kind::read, "READ a");
        return c.complete_open();
    }

    error_kind last_error() const
    {
        return c.replies.back().reply.error.value_or(error_kind::internal);
    }
};

// Guards against requests that are cut at the end of a process: a caller that
// sends each request right after the last answer was never found idle.
TEST(drain, a_session_is_closed_right_after_the_answer_to_its_request)
{
    const auto id = start_read(1);
    advance(drain_stage::closing_sessions);
    LONGS_EQUAL(0, c.closed_sessions.size());
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    LONGS_EQUAL(1, c.closed_sessions.size());
    LONGS_EQUAL(1, c.closed_sessions.front());
}

TEST(drain, an_idle_session_is_closed_when_the_stage_begins)
{
    c.open_session(1, "cards");
    advance(drain_stage::announced);
    LONGS_EQUAL(0, c.closed_sessions.size());
    advance(drain_stage::closing_sessions);
    LONGS_EQUAL(1, c.closed_sessions.size());
}

TEST(drain, a_request_that_was_sent_before_the_last_answer_is_answered_too)
{
    const auto id = start_read(1);
    c.submit(1, statement_kind::read, "READ b");
    advance(drain_stage::closing_sessions);
    c.succeed(id);
    LONGS_EQUAL(0, c.closed_sessions.size());
    c.succeed(id);
    LONGS_EQUAL(2, c.replies.size());
    LONGS_EQUAL(1, c.closed_sessions.size());
}

TEST(drain, a_transaction_keeps_its_session_open_until_its_end)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    advance(drain_stage::closing_sessions);
    LONGS_EQUAL(0, c.closed_sessions.size());
    c.submit(1, statement_kind::commit, "COMMIT");
    c.succeed(id);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    LONGS_EQUAL(1, c.closed_sessions.size());
}

// Guards against work that is passed on so late that the process ends before
// its answer.
TEST(drain, no_operation_starts_when_the_host_is_about_to_end)
{
    c.open_session(1, "cards");
    c.open_session(2, "cards");
    advance(drain_stage::refusing_work);
    c.submit(1, statement_kind::read, "READ a");
    CHECK(last_error() == error_kind::draining);
    c.submit(2, statement_kind::begin, "BEGIN");
    CHECK(last_error() == error_kind::draining);
    CHECK(c.pool.open_session(3, "cards", {}, c.now) ==
          open_result::host_stopping);
    LONGS_EQUAL(0, c.opened.size());
}

TEST(drain, a_statement_that_runs_when_operations_are_refused_is_answered)
{
    const auto id = start_read(1);
    advance(drain_stage::refusing_work);
    c.succeed(id);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    LONGS_EQUAL(1, c.closed_sessions.size());
}

TEST(drain, an_open_transaction_is_rolled_back_and_its_failure_reported_once)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
    advance(drain_stage::refusing_work);
    CHECK(c.last_command().kind == command_kind::rollback);
    c.submit(1, statement_kind::read, "READ a");
    CHECK(last_error() == error_kind::transaction_lost);
    advance(drain_stage::refusing_work);
    c.submit(1, statement_kind::read, "READ a");
    CHECK(last_error() == error_kind::bad_request);
    c.submit(1, statement_kind::rollback, "ROLLBACK");
    LONGS_EQUAL(1, c.closed_sessions.size());
}

// Guards against connections of callers that end without an answer although
// their requests were passed on.
TEST(drain, every_request_that_runs_at_the_end_is_answered)
{
    start_read(1);
    c.open_session(2, "cards");
    c.submit(2, statement_kind::write, "WRITE b 1");
    c.complete_open();
    c.open_session(3, "cards");
    c.submit(3, statement_kind::read, "READ c");
    advance(drain_stage::ending_work);
    LONGS_EQUAL(3, c.replies.size());
    for (const auto& answer : c.replies)
        CHECK(answer.reply.error == (answer.session == 2
                                         ? error_kind::outcome_unknown
                                         : error_kind::draining));
    LONGS_EQUAL(3, c.closed_sessions.size());
    LONGS_EQUAL(0, c.pool.work_count());
}

TEST(drain, a_commit_that_runs_at_the_end_is_unknown)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
    c.submit(1, statement_kind::commit, "COMMIT");
    advance(drain_stage::ending_work);
    CHECK(last_error() == error_kind::outcome_unknown);
}

TEST(drain, a_transaction_whose_statement_runs_at_the_end_is_aborted)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.submit(1, statement_kind::read, "READ a");
    advance(drain_stage::ending_work);
    CHECK(last_error() == error_kind::transaction_lost);
    // The database rolls back when its connection is closed.
    LONGS_EQUAL(id, c.closed.back());
}

TEST(drain, a_stage_that_is_earlier_than_the_present_one_is_ignored)
{
    c.open_session(1, "cards");
    advance(drain_stage::refusing_work);
    advance(drain_stage::announced);
    c.submit(1, statement_kind::read, "READ a");
    CHECK(last_error() == error_kind::draining);
}
