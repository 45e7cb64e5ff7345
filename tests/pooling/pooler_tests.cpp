#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(pooler)
{
    pooler_case c;
};

TEST(pooler, a_write_goes_to_the_primary_with_its_id_and_text)
{
    c.open_session(1, "status");
    c.submit(1, statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
    const auto id = c.complete_open();
    STRCMP_EQUAL("q1", c.last_command().id.c_str());
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    STRCMP_EQUAL("s", c.replies.back().reply.signature.c_str());
}

TEST(pooler, a_bounded_read_without_a_watermark_goes_to_the_primary)
{
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler,
     a_bounded_read_requires_the_log_point_of_the_watermark_at_a_replica)
{
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    c.complete_open();
    CHECK((c.last_command().after == upstream::log_point{1, 42}));
}

TEST(pooler, a_watermark_that_is_too_old_permits_no_read_at_a_replica)
{
    c.pool.add_watermark("ledger", {c.now - millis(1450), {1, 42}});
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler, a_session_reads_its_own_commit_at_a_replica)
{
    c.open_session(1, "status");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.complete_open(), transaction_state::idle, 50);
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.submit(1, statement_kind::read, "READ a");
    c.complete_open();
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    CHECK((c.last_command().after == upstream::log_point{1, 50}));
}

TEST(pooler, a_read_that_a_replica_refuses_as_behind_goes_to_the_primary)
{
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    c.fail(c.complete_open(), refusal::behind);
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler, without_a_lease_nothing_is_sent_to_the_primary)
{
    c.apply(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    LONGS_EQUAL(0, c.opened.size());
    c.now += millis(450);
    c.apply(c.pool.tick(c.now));
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_read_is_not_sent_when_the_lease_ends_while_its_connection_opens)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    c.apply(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.complete_open();
    LONGS_EQUAL(0, c.sent.size());
}

TEST(pooler, a_commit_answered_after_the_lease_is_unknown)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open();
    c.apply(c.pool.set_primary("ledger", {}, c.now, c.now));
    c.succeed(id);
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

// Failure: a write was confirmed by a primary whose promotion had not taken
// effect, and was rolled back afterwards.
TEST(pooler, a_commit_in_a_term_before_the_recorded_one_is_unknown)
{
    c.apply(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 2));
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.complete_open());
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

// The log of a new primary ends in an earlier term until its first write.
TEST(pooler, a_commit_without_writes_succeeds_before_the_first_write_of_a_term)
{
    c.apply(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 2));
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.submit(1, statement_kind::commit, "COMMIT");
    c.succeed(id);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler, a_commit_in_the_recorded_term_succeeds)
{
    c.apply(c.pool.set_primary("ledger", "p", c.now + millis(1000), c.now, 1));
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(pooler, a_lost_write_is_unknown_and_never_sent_again)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open();
    const auto before = c.sent.size();
    c.apply(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    LONGS_EQUAL(before, c.sent.size());
}

TEST(pooler, a_lost_read_is_sent_again)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    c.apply(c.pool.on_closed(c.complete_open(), c.now));
    LONGS_EQUAL(2, c.opened.size());
    c.complete_open();
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
}

TEST(pooler, a_write_that_a_busy_database_refused_is_sent_again)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.fail(c.complete_open(), refusal::busy);
    LONGS_EQUAL(0, c.replies.size());
    c.now += millis(100);
    c.apply(c.pool.tick(c.now));
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
}

TEST(pooler, other_sessions_do_not_use_the_connection_of_a_transaction)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::begin, "BEGIN");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    CHECK(c.last_command().kind == command_kind::begin);
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.open_session(2, "cards");
    c.submit(2, statement_kind::read, "READ b");
    CHECK(c.opened.back().connection != id);
    c.submit(1, statement_kind::commit, "COMMIT");
    LONGS_EQUAL(id, c.sent.back().connection);
}

TEST(pooler, a_connection_is_reused_only_after_its_rollback)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.apply(c.pool.close_session(1, c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    c.open_session(2, "cards");
    c.submit(2, statement_kind::read, "READ b");
    CHECK(c.opened.back().connection != id);
}

TEST(pooler, a_transaction_whose_connection_is_lost_is_aborted)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.apply(c.pool.on_closed(id, c.now));
    c.submit(1, statement_kind::write, "WRITE b 1");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
}

TEST(pooler, a_lost_commit_is_unknown)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.submit(1, statement_kind::commit, "COMMIT");
    c.apply(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
}

TEST(pooler, a_transaction_that_loses_its_connection_during_a_read_is_aborted)
{
    const auto id = c.begin_with(statement_kind::write, "WRITE a 1");
    c.submit(1, statement_kind::read, "READ a");
    const auto opened = c.opened.size();
    c.apply(c.pool.on_closed(id, c.now));
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    LONGS_EQUAL(opened, c.opened.size());
}

TEST(pooler, the_rest_of_a_transaction_is_not_sent_to_a_replaced_primary)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
    c.apply(c.pool.set_primary("ledger", {}, c.now, c.now));
    c.submit(1, statement_kind::commit, "COMMIT");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    CHECK(c.last_command().kind == command_kind::rollback);
}

TEST(pooler, session_values_are_set_before_a_statement_runs)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::set_value, "SET l nl", "l", "nl");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    CHECK(c.last_command().kind == command_kind::set_value);
    c.succeed(id);
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
    c.succeed(id);
    // A session without values gets a connection that has been reset.
    c.open_session(2, "cards");
    c.submit(2, statement_kind::read, "READ b");
    CHECK(c.last_command().kind == command_kind::reset);
}

TEST(pooler, an_idle_transaction_is_ended)
{
    c.begin_with(statement_kind::read, "READ a");
    c.now += millis(3100);
    c.apply(c.pool.tick(c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    c.submit(1, statement_kind::read, "READ a");
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
}

TEST(pooler, a_statement_past_its_deadline_is_unknown_and_its_connection_closed)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    c.now += millis(801);
    c.apply(c.pool.tick(c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    LONGS_EQUAL(id, c.closed.back());
}

TEST(pooler, an_isolated_host_refuses_at_once)
{
    c.apply(c.pool.set_primary("ledger", "p", c.now, c.now));
    c.pool.set_isolated(true);
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_leaving_replica_gets_no_new_reads)
{
    auto leaving = pooler_case::upstream("r");
    leaving.leaving = true;
    c.apply(c.pool.set_upstreams({pooler_case::upstream("p"), leaving}, c.now));
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.open_session(1, "specs");
    c.submit(1, statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}

TEST(pooler, a_host_opens_no_more_connections_than_its_share)
{
    // The share is 2: 30 connections divided among 10 hosts, with some in
    // reserve.
    for (session_id id = 1; id <= 5; ++id)
    {
        c.open_session(id, "cards");
        c.submit(id, statement_kind::read, "READ a");
    }
    LONGS_EQUAL(2, c.opened.size());
}

TEST(pooler, the_connections_of_a_restarted_database_are_closed)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open();
    auto restarted = pooler_case::upstream("p");
    restarted.started_at_ms = 2;
    c.apply(
        c.pool.set_upstreams({restarted, pooler_case::upstream("r")}, c.now));
    LONGS_EQUAL(id, c.closed.back());
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
}

// Guards against a process that ends: the next statement of a session whose
// write was lost started on the database that was being removed, and its
// connection vanished with it.
TEST(pooler, a_statement_behind_a_lost_write_does_not_start_at_a_database_gone)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.complete_open();
    c.submit(1, statement_kind::read, "READ a");
    auto restarted = c.upstream("p");
    restarted.started_at_ms = 2;
    c.apply(c.pool.set_upstreams({restarted, c.upstream("r")}, c.now));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    LONGS_EQUAL(2, c.opened.back().upstream.started_at_ms);
    c.now += millis(900);
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(2, c.replies.size());
}

TEST(pooler, an_older_routing_never_comes_back)
{
    routes::routing older;
    older.version = 1;
    CHECK_FALSE(c.pool.set_routing(older, c.now));
    CHECK(c.pool.routing().find("cards") != nullptr);
}

TEST(pooler, an_unanswered_probe_closes_its_connection)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    c.succeed(id);
    c.now += millis(1100);
    c.apply(c.pool.tick(c.now));
    CHECK(c.last_command().kind == command_kind::reset);
    c.now += millis(1100);
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(id, c.closed.back());
}

TEST(pooler, a_commit_sent_before_its_primary_was_replaced_is_unknown)
{
    // Failure: the database was the primary again when its answer arrived, but
    // had committed while another one was, so the commit is in no log any more.
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE k1 v1");
    const auto id = c.complete_open();
    const auto until = c.now + millis(100'000);
    c.apply(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.apply(c.pool.set_primary("ledger", "r", until, c.now += millis(300)));
    c.apply(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.apply(c.pool.set_primary("ledger", "p", until, c.now += millis(300)));
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    CHECK(c.replies.front().reply.error == error_kind::outcome_unknown);
}

TEST(pooler, a_commit_during_a_claim_that_keeps_the_primary_is_confirmed)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE k1 v1");
    const auto id = c.complete_open();
    const auto until = c.now + millis(100'000);
    c.apply(c.pool.set_primary("ledger", {}, {}, c.now += millis(50)));
    c.apply(c.pool.set_primary("ledger", "p", until, c.now += millis(50)));
    c.succeed(id);
    LONGS_EQUAL(1, c.replies.size());
    CHECK_FALSE(c.replies.front().reply.error.has_value());
}

TEST(pooler, a_primary_that_leaves_for_long_gets_no_new_work)
{
    // Guards against a leaving primary that was used until it exited, since
    // nothing but its replacement ended its use.
    c.open_session(1, "cards");
    auto leaving = c.upstream("p");
    leaving.leaving = true;
    const std::vector<routes::upstream> registered{leaving, c.upstream("r")};
    c.apply(c.pool.set_upstreams(registered, c.now));
    c.submit(1, statement_kind::write, "WRITE k1 v1");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    c.now += millis(3000);
    // A repeated announcement does not extend the time.
    c.apply(c.pool.set_upstreams(registered, c.now));
    const auto sent = c.sent.size();
    c.submit(1, statement_kind::write, "WRITE k2 v2");
    LONGS_EQUAL(sent, c.sent.size());
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, a_statement_that_waits_for_a_leaving_primary_is_refused_in_time)
{
    c.open_session(1, "cards");
    c.open_session(2, "cards");
    auto leaving = c.upstream("p");
    leaving.leaving = true;
    c.apply(c.pool.set_upstreams({leaving, c.upstream("r")}, c.now));
    c.pool.set_plan("ledger", {1, {}, {}});
    c.now += millis(2900);
    c.submit(1, statement_kind::write, "WRITE k1 v1");
    c.complete_open();
    c.submit(2, statement_kind::write, "WRITE k2 v2");
    CHECK(c.replies.empty());
    c.now += millis(100);
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(1, c.replies.size());
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler, answers_to_probes_of_an_idle_primary_let_reads_run_at_replicas)
{
    // Guards against reads with a stated age that were refused beside a leaving
    // primary, since only its statements showed how old the replicas were.
    c.open_session(1, "cards");
    c.open_session(2, "specs");
    c.submit(1, statement_kind::write, "WRITE k1 v1");
    const auto id = c.complete_open();
    c.succeed(id);
    c.now += millis(1700);
    c.apply(c.pool.tick(c.now));
    c.succeed(id);
    auto leaving = c.upstream("p");
    leaving.leaving = true;
    c.apply(c.pool.set_upstreams({leaving, c.upstream("r")}, c.now));
    const auto sent = c.sent.size();
    c.submit(2, statement_kind::read, "READ a");
    LONGS_EQUAL(sent, c.sent.size());
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
}
