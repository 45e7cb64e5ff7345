#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(pooler)
{
    pooler_case c;
};

TEST(pooler, a_write_goes_to_the_primary_with_its_id_and_text)
{
    c.open_session(1, "status");
    c.ask(1, statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
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
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler, a_bounded_read_waits_at_a_replica_for_the_marked_log_point)
{
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    c.let_open();
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler, a_mark_that_is_too_old_proves_nothing)
{
    c.pool.add_watermark("ledger", {c.now - millis(1450), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler, a_session_reads_its_own_commit_at_a_replica)
{
    c.open_session(1, "status");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.let_open(), transaction_state::idle, 50);
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.ask(1, statement_kind::read, "READ a");
    c.let_open();
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 50}));
}

TEST(pooler, a_replica_that_is_behind_is_left_for_the_primary)
{
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    c.fail(c.let_open(), refusal::behind);
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
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

// Guards against acknowledged writes at a primary whose promotion has not
// taken effect.
TEST(pooler, a_commit_in_a_term_before_the_recorded_one_is_not_called_done)
{
    c.take(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 2));
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.let_open());
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

// A new primary's log ends in an earlier term until its first write.
TEST(pooler, a_commit_without_writes_is_done_before_the_first_write_of_a_term)
{
    c.take(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 2));
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.ask(1, statement_kind::commit, "COMMIT");
    c.succeed(id);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler, a_commit_in_the_recorded_term_is_done)
{
    c.take(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 1));
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.let_open());
    CHECK_FALSE(c.replies.back().reply.error.has_value());
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
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.take(c.pool.close_session(1, c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    c.open_session(2, "cards");
    c.ask(2, statement_kind::read, "READ b");
    CHECK(c.opened.back().connection != id);
}

TEST(pooler, a_transaction_whose_connection_is_lost_is_aborted)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.take(c.pool.on_closed(id, c.now));
    c.ask(1, statement_kind::write, "WRITE b 1");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
}

TEST(pooler, a_lost_commit_is_unknown)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.ask(1, statement_kind::commit, "COMMIT");
    c.take(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
}

TEST(pooler, a_transaction_that_loses_its_connection_in_a_statement_is_aborted)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.ask(1, statement_kind::read, "READ a");
    const auto opened = c.opened.size();
    c.take(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    LONGS_EQUAL(opened, c.opened.size());
}

TEST(pooler, the_rest_of_a_transaction_is_not_sent_to_a_replaced_primary)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
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
    c.begin_with(statement_kind::read, "READ a");
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
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.ask(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
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
    restarted.started_at_ms = 2;
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

TEST(pooler, a_commit_sent_before_its_database_was_replaced_stays_unknown)
{
    // Failure: the database led again when the answer came, but had committed
    // while another one led, so the commit is in no log any more.
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE k1 v1");
    const auto id = c.let_open();
    const auto until = c.now + millis(100'000);
    c.take(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.take(c.pool.set_primary("ledger", "r", until, c.now += millis(300)));
    c.take(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.take(c.pool.set_primary("ledger", "p", until, c.now += millis(300)));
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    CHECK(c.replies.front().reply.error == error_kind::outcome_unknown);
}

TEST(pooler, a_commit_during_a_claim_that_keeps_the_primary_is_confirmed)
{
    c.open_session(1, "cards");
    c.ask(1, statement_kind::write, "WRITE k1 v1");
    const auto id = c.let_open();
    const auto until = c.now + millis(100'000);
    c.take(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.take(c.pool.set_primary("ledger", "p", until, c.now += millis(50)));
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    CHECK_FALSE(c.replies.front().reply.error.has_value());
}
