#include <support/workspace_case.hpp>

using namespace support;

TEST_GROUP(workspaces)
{
    workspace_case c;
};

TEST(workspaces, a_statement_never_runs_on_a_connection_of_another_workspace)
{
    // Failure: an idle connection was used although it had been opened for
    // another workspace.
    const auto first = c.add_idle("a");
    c.run("b");
    LONGS_EQUAL(2, c.opened.size());
    STRCMP_EQUAL("b", c.opened.back().workspace.c_str());
    c.finish(c.finish_open());
    c.run("a");
    LONGS_EQUAL(2, c.opened.size());
    LONGS_EQUAL(first, c.sent.back().connection);
    LONGS_EQUAL(0, c.closed.size());
}

TEST(workspaces, a_statement_without_a_workspace_uses_no_connection_of_one)
{
    // Failure: a caller of a public route ran on a connection of a workspace.
    auto routing = c.pool.routing();
    ++routing.version;
    routing.routes["cards"].is_public = true;
    CHECK(c.pool.set_routing(routing, c.now));
    c.add_idle("a");
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ x");
    LONGS_EQUAL(2, c.opened.size());
    STRCMP_EQUAL("", c.opened.back().workspace.c_str());
}

TEST(workspaces, a_full_pool_closes_the_least_recently_used_idle_connection)
{
    // Failure: the connection of the most active workspace was closed.
    const auto a = c.add_idle("a");
    const auto b = c.add_idle("b");
    c.now += millis(1);
    c.run("a");
    c.finish(a);
    c.now += millis(1);
    c.run("c");
    CHECK(c.is_closed(b));
    CHECK(!c.is_closed(a));
    STRCMP_EQUAL("c", c.opened.back().workspace.c_str());
    c.finish(c.finish_open());
    c.run("b");
    CHECK(c.is_closed(a));
    c.finish(c.finish_open());
}

TEST(workspaces, a_busy_connection_is_not_closed_for_another_workspace)
{
    // Failure: a running statement was lost to make room.
    c.run("a");
    c.finish_open();
    c.run("b");
    c.finish_open();
    c.run("c");
    LONGS_EQUAL(2, c.opened.size());
    LONGS_EQUAL(0, c.closed.size());
    // It runs as soon as a connection is idle and can be closed.
    c.finish(c.opened.front().connection);
    CHECK(c.is_closed(c.opened.front().connection));
    STRCMP_EQUAL("c", c.opened.back().workspace.c_str());
    c.finish(c.finish_open());
    LONGS_EQUAL(2, c.remote_replies.size());
}

TEST(workspaces, an_opening_connection_is_not_closed_for_another_workspace)
{
    // Failure: two workspaces closed each other's connections before either
    // was open.
    c.run("a");
    c.run("b");
    c.run("c");
    c.tick(millis(10));
    LONGS_EQUAL(2, c.opened_at_primary().size());
    LONGS_EQUAL(0, c.closed.size());
}

TEST(workspaces, the_connection_of_an_open_transaction_is_not_closed)
{
    // Failure: an idle transaction of a workspace was lost to make room.
    for (const char* workspace : {"a", "b"})
    {
        c.run(workspace, "cards", transaction_part::first);
        const auto id = c.finish_open();
        c.finish(id, transaction_state::open);
        c.finish(id, transaction_state::open);
    }
    c.run("c");
    c.tick(millis(10));
    LONGS_EQUAL(2, c.opened_at_primary().size());
    LONGS_EQUAL(0, c.closed.size());
}

TEST(workspaces, a_probed_connection_is_not_closed)
{
    // Failure: a database seemed silent because its probe was closed.
    c.pool.set_plan("ledger", {1, {}, {}});
    const auto id = c.add_idle("a");
    c.tick(millis(1500));
    LONGS_EQUAL(id, c.sent.back().connection);
    CHECK(c.last_command().kind == command_kind::reset);
    c.run("b");
    CHECK(!c.is_closed(id));
    c.finish(id);
    CHECK(c.is_closed(id));
    STRCMP_EQUAL("b", c.opened.back().workspace.c_str());
}

TEST(workspaces, a_database_without_connections_is_probed_without_a_workspace)
{
    // Failure: a workspace's name was used for a connection that runs none of
    // its statements.
    c.tick(millis(1500));
    LONGS_EQUAL(2, c.opened.size());
    for (const auto& open : c.opened)
        STRCMP_EQUAL("", open.workspace.c_str());
}

TEST(workspaces, a_retried_statement_keeps_its_workspace)
{
    // Failure: a statement that one database refused ran elsewhere on an idle
    // connection of another workspace; `record` checks it.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 5}});
    c.run("a", "specs");
    c.finish(c.finish_open());
    c.run("b", "specs");
    c.refuse(c.finish_open(), refusal::behind);
    STRCMP_EQUAL("b", c.opened.back().workspace.c_str());
    c.finish(c.finish_open());
    CHECK(!c.remote_replies.back().reply.error);
}

TEST(workspaces, a_lost_statement_is_run_again_under_its_workspace)
{
    // Failure: after the loss of its connection, a read was sent on the next
    // idle one.
    c.add_idle("a");
    c.run("b");
    const auto lost = c.finish_open();
    c.record(c.pool.on_closed(lost, c.now));
    c.tick(millis(50));
    LONGS_EQUAL(3, c.opened_at_primary().size());
    STRCMP_EQUAL("b", c.opened_at_primary().back().workspace.c_str());
    c.finish(c.finish_open(c.opened_at_primary().back().connection));
    LONGS_EQUAL(2, c.remote_replies.size());
}

TEST(workspaces, a_read_prefers_a_database_with_a_connection_of_its_workspace)
{
    // Failure: each read opened a connection at the other database, which costs
    // as much of a slot as a read.
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 5}});
    c.run("a", "specs");
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    c.finish(c.finish_open());
    for (int i = 0; i < 5; ++i)
    {
        c.run("a", "specs");
        c.finish(c.sent.back().connection);
    }
    LONGS_EQUAL(1, c.opened.size());
}

TEST(workspaces, a_transaction_does_not_continue_under_another_workspace)
{
    // Failure: a key was given to another workspace, and the next statement of
    // its open transaction ran on the connection of the former one.
    const auto operation = c.run("a", "cards", transaction_part::first);
    const auto id = c.finish_open();
    c.finish(id, transaction_state::open);
    c.finish(id, transaction_state::open);
    c.run("b", "cards", transaction_part::later, operation);
    CHECK(c.last_command().kind == command_kind::rollback);
    CHECK(c.remote_replies.back().reply.error == error_kind::transaction_lost);
    CHECK(!c.remote_replies.back().try_elsewhere);
    c.finish(id);
    c.run("a");
    LONGS_EQUAL(id, c.sent.back().connection);
}

TEST(workspaces, a_workspace_that_comes_back_gets_only_its_own_connections)
{
    // Failure: after a workspace was removed and added again, its statements
    // ran on a connection that had been opened for another one meanwhile.
    c.pool.set_plan("ledger", {1, {}, {}});
    const auto first = c.add_idle("a");
    c.set_workspaces({"b"});
    const auto second = c.add_idle("b");
    CHECK(c.is_closed(first));
    c.set_workspaces({"a", "b"});
    c.run("a");
    CHECK(c.is_closed(second));
    STRCMP_EQUAL("a", c.opened.back().workspace.c_str());
    c.finish(c.finish_open());
}

TEST(workspaces, a_pool_above_its_share_opens_nothing)
{
    // Failure: the share was lowered, and each statement of another workspace
    // replaced a connection, so the host stayed above its share.
    c.add_idle("a");
    c.add_idle("b");
    c.pool.set_plan("ledger", {1, {}, {}});
    c.run("c");
    LONGS_EQUAL(2, c.opened.size());
    c.tick(millis(10));
    LONGS_EQUAL(2, c.closed.size());
    LONGS_EQUAL(3, c.opened_at_primary().size());
}

TEST(workspaces, without_workspaces_no_connection_is_closed_to_make_room)
{
    // Failure: a deployment without workspaces replaced idle connections.
    c.pool.set_plan("ledger", {2, {}, {}});
    for (int i = 0; i < 20; ++i)
    {
        c.run("");
        c.run("");
        c.run("");
        if (i == 0)
            for (const auto& open : std::vector(c.opened))
                c.finish_open(open.connection);
        for (const auto& open : std::vector(c.opened))
            c.finish(open.connection);
        c.finish(c.opened.front().connection);
    }
    LONGS_EQUAL(2, c.opened.size());
    LONGS_EQUAL(0, c.closed.size());
    LONGS_EQUAL(60, c.remote_replies.size());
    for (const auto& open : c.opened)
        STRCMP_EQUAL("", open.workspace.c_str());
}

TEST(workspaces, unused_connections_of_a_removed_workspace_are_closed)
{
    // Failure: connections of a workspace that no longer exists stayed open
    // while other workspaces had to close theirs.
    const auto removed = c.add_idle("a");
    const auto kept = c.add_idle("b");
    c.set_workspaces({"b"});
    c.tick(std::chrono::seconds(4));
    CHECK(!c.is_closed(removed));
    c.tick(std::chrono::seconds(2));
    CHECK(c.is_closed(removed));
    CHECK(!c.is_closed(kept));
}

TEST(workspaces, unused_connections_of_a_moved_workspace_are_closed)
{
    // Failure: a workspace moved to another holder, and its connections here
    // stayed open for ever; a connection that is used stays open.
    const auto moved = c.add_idle("a");
    const auto used = c.add_idle("b");
    for (int i = 0; i < 13; ++i)
    {
        c.now += std::chrono::seconds(10);
        c.pool.set_primary("ledger", "p", c.now + millis(20'000), c.now);
        c.run("b");
        c.finish(used);
        c.tick(millis(0));
        if (i == 10)
            CHECK(!c.is_closed(moved));
    }
    CHECK(!c.is_closed(used));
    CHECK(c.is_closed(moved));
}

TEST(workspaces, connections_without_a_workspace_are_not_closed_when_unused)
{
    // Failure: a deployment without workspaces closed and opened idle
    // connections.
    c.run("");
    const auto id = c.finish_open();
    c.finish(id);
    for (int i = 0; i < 30; ++i)
    {
        c.tick(std::chrono::seconds(10));
        c.finish(id);
    }
    CHECK(!c.is_closed(id));
}

TEST(workspaces, openings_are_reported_by_cause)
{
    // Failure: the metrics did not tell evictions from growth.
    std::vector<std::string> causes;
    c.pool.observe_openings([&](std::string_view, opening_cause cause) {
        causes.emplace_back(opening_cause_names[cause]);
    });
    c.run("a");
    c.run("a");
    for (const auto& open : std::vector(c.opened))
        c.finish(c.finish_open(open.connection));
    c.run("b");
    LONGS_EQUAL(3, causes.size());
    STRCMP_EQUAL("first_of_workspace", causes[0].c_str());
    STRCMP_EQUAL("all_in_use", causes[1].c_str());
    STRCMP_EQUAL("eviction", causes[2].c_str());
}
