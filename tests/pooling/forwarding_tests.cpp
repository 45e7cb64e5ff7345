#include <plantainward/pooling/pooler.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <string>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::error_kind;
using core::millis;
using sql::statement_kind;
using sql::transaction_state;

namespace
{

constexpr session_id caller = 1;

/// A host without connections ("front") and its two delegates ("first" and
/// "second"), with the actions that they returned.
struct forwarding_case
{
    struct host
    {
        pooler pool{{"a"}};
        std::vector<open_action> opened;
        std::vector<send_action> sent;
        std::vector<connection_id> closed;
    };

    forwarding_case()
    {
        for (const char* name : {"front", "first", "second"})
        {
            auto& pool = hosts[name].pool;
            pool.set_routing(routing(), now);
            pool.set_upstreams({{"p", "ledger", {"p", 1}, "a", false, true, 1}},
                               now);
            pool.set_primary("ledger", "p", now + millis(100'000), now);
            pool.set_plan("ledger", {2, {}, {}});
        }
        hosts["front"].pool.set_plan("ledger", {0, {"first", "second"}, {}});
        CHECK(hosts["front"].pool.open_session(caller, "cards", {}, now) ==
              open_result::opened);
    }

    static routes::routing routing()
    {
        routes::routing routing_table;
        routing_table.version = 1;
        routing_table.services["ledger"].max_connections = 30;
        routes::route route;
        route.database = "cards";
        route.service = "ledger";
        route.consistency = routes::read_consistency::latest;
        route.timeout = millis(800);
        routing_table.routes["cards"] = route;
        return routing_table;
    }

    /// Moves the route of all hosts to a service that has one database.
    void move_route_to(
        const std::string& service,
        routes::read_consistency consistency = routes::read_consistency::latest)
    {
        services.insert(service);
        auto moved = routing();
        moved.version = ++routing_version;
        moved.routes["cards"].service = service;
        moved.routes["cards"].consistency = consistency;
        moved.routes["cards"].max_age = millis(1500);
        std::vector<routes::upstream> databases;
        for (const auto& name : services)
        {
            moved.services[name].max_connections = 30;
            const auto id = name == "ledger" ? "p" : "p-" + name;
            databases.push_back({id, name, {id, 1}, "a", false, true, 1});
        }
        for (auto& [name, simulated_host] : hosts)
        {
            auto& pool = simulated_host.pool;
            pool.set_routing(moved, now);
            apply(name, pool.set_upstreams(databases, now));
            for (const auto& database : databases)
                apply(name, pool.set_primary(database.service, database.id,
                                             now + millis(100'000), now));
            pool.set_plan(service,
                          name == "front"
                              ? connection_plan{0, {"first", "second"}, {}}
                              : connection_plan{2, {}, {}});
        }
    }

    /// Records the actions of a host; messages are delivered to the other host
    /// at once.
    void apply(const std::string& name, const actions& new_actions)
    {
        auto& sender = hosts.at(name);
        for (const auto& action : new_actions)
        {
            if (const auto* open = std::get_if<open_action>(&action))
                sender.opened.push_back(*open);
            if (const auto* send = std::get_if<send_action>(&action))
                sender.sent.push_back(*send);
            if (const auto* close = std::get_if<close_action>(&action))
                sender.closed.push_back(close->connection);
            if (const auto* answer = std::get_if<reply_action>(&action))
                replies.push_back(answer->reply);
            if (const auto* forward = std::get_if<forward_action>(&action))
                deliver(*forward);
            if (const auto* ended = std::get_if<end_forwarding_action>(&action))
                apply(ended->host, hosts.at(ended->host)
                                       .pool.end_forwarded(
                                           "front/1", ended->operation, now));
            if (const auto* reply =
                    std::get_if<forwarded_reply_action>(&action))
                apply("front",
                      hosts.at("front").pool.on_forwarded_reply(
                          caller, reply->operation, reply->reply, now));
        }
    }

    void deliver(const forward_action& action)
    {
        forwarded.push_back(action);
        if (silent_hosts.contains(action.host))
            return;
        apply(action.host, hosts.at(action.host)
                               .pool.run_forwarded("front/1", action.operation,
                                                   action.work, now));
    }

    void submit(statement_kind kind, const std::string& text,
                const std::string& name = {}, const std::string& value = {})
    {
        sql::statement statement;
        statement.kind = kind;
        statement.id = "q" + std::to_string(++last_id);
        statement.text = text;
        statement.name = name;
        statement.value = value;
        apply("front",
              hosts["front"].pool.on_statement(caller, statement, now));
    }

    void lose_answer(bool sent)
    {
        const auto last = forwarded.back();
        apply("front", hosts["front"].pool.on_forward_lost(
                           caller, last.operation, sent, now));
    }

    void tick(millis time)
    {
        now += time;
        for (auto& [name, simulated_host] : hosts)
            apply(name, simulated_host.pool.tick(now));
    }

    /// Reports the connection that a host requested last as open.
    connection_id complete_open(const std::string& name)
    {
        const auto id = hosts[name].opened.back().connection;
        apply(name,
              hosts[name].pool.on_opened(id, upstream::log_point{1, 10}, now));
        return id;
    }

    void succeed(const std::string& name, connection_id id,
                 transaction_state state = transaction_state::idle,
                 std::uint64_t position = 10)
    {
        sql::command_answer command_answer;
        command_answer.signature = "s";
        command_answer.state = state;
        command_answer.position = upstream::log_point{1, position};
        apply(name, hosts[name].pool.on_answer(id, command_answer, now));
    }

    /// Begins a transaction whose first statement has run at the first
    /// delegate.
    connection_id begin_with(statement_kind kind, const std::string& text)
    {
        submit(statement_kind::begin, "BEGIN");
        submit(kind, text);
        const auto id = complete_open("first");
        succeed("first", id, transaction_state::open);
        succeed("first", id, transaction_state::open);
        return id;
    }

    const sql::command& last_command(const std::string& name)
    {
        return hosts[name].sent.back().commands.back();
    }

    boot_instant now{std::chrono::seconds(100)};
    std::map<std::string, host> hosts;
    std::set<std::string> silent_hosts;
    std::set<std::string> services{"ledger"};
    std::uint64_t routing_version{1};
    std::vector<forward_action> forwarded;
    std::vector<sql::reply> replies;
    int last_id{0};
};

} // namespace

TEST_GROUP(forwarding)
{
    forwarding_case c;
};

TEST(forwarding, a_host_without_connections_forwards_statements_to_a_delegate)
{
    c.submit(statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(0, c.hosts["front"].opened.size());
    const auto id = c.complete_open("first");
    STRCMP_EQUAL("q1", c.last_command("first").id.c_str());
    STRCMP_EQUAL("WRITE a 1", c.last_command("first").text.c_str());
    c.succeed("first", id);
    LONGS_EQUAL(1, c.replies.size());
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_delegate_sets_the_session_values_and_prepared_statements)
{
    c.submit(statement_kind::set_value, "SET x 1", "x", "1");
    c.submit(statement_kind::prepare, "PREPARE s READ q", "s", "q");
    c.submit(statement_kind::execute, "EXECUTE s a", "s", "a");
    const auto id = c.complete_open("first");
    const auto& setup = c.hosts["first"].sent.back().commands;
    LONGS_EQUAL(2, setup.size());
    CHECK(setup[0].kind == sql::command_kind::set_value);
    STRCMP_EQUAL("1", setup[0].value.c_str());
    STRCMP_EQUAL("q", setup[1].value.c_str());
    c.succeed("first", id);
    c.succeed("first", id);
    CHECK(c.last_command("first").kind == sql::command_kind::execute);
}

TEST(forwarding, all_statements_of_a_transaction_run_on_one_connection)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.submit(statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(id, c.hosts["first"].sent.back().connection);
    c.succeed("first", id, transaction_state::open);
    c.submit(statement_kind::commit, "COMMIT");
    LONGS_EQUAL(id, c.hosts["first"].sent.back().connection);
    c.succeed("first", id);
    CHECK(c.replies.back().state == transaction_state::idle);
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_rollback_ends_the_operation_at_the_delegate)
{
    c.begin_with(statement_kind::read, "READ a");
    c.submit(statement_kind::rollback, "ROLLBACK");
    CHECK_FALSE(c.replies.back().error.has_value());
    CHECK(c.last_command("first").kind == sql::command_kind::rollback);
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding,
     a_session_closed_in_a_transaction_is_rolled_back_at_the_delegate)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
    c.apply("front", c.hosts["front"].pool.close_session(caller, c.now));
    CHECK(c.last_command("first").kind == sql::command_kind::rollback);
}

// Guards against a statement that runs at the old service of a moved route: a
// host with an old routing forwards it to one that has the new routing.
TEST(forwarding, a_host_with_a_newer_routing_runs_no_statement_of_a_moved_route)
{
    for (const bool is_moved : {true, false})
    {
        auto newer = forwarding_case::routing();
        newer.version = is_moved ? 2 : 3;
        if (is_moved)
            newer.routes["cards"].service = "other";
        else
            newer.routes.clear();
        for (const char* name : {"first", "second"})
            c.hosts[name].pool.set_routing(newer, c.now);
        c.replies.clear();
        c.submit(statement_kind::write, "WRITE a 1");
        CHECK_FALSE(c.replies.empty());
        CHECK(c.replies.back().error == error_kind::overloaded);
        c.submit(statement_kind::begin, "BEGIN");
        c.submit(statement_kind::read, "READ a");
        CHECK(c.replies.back().error == error_kind::overloaded);
        c.submit(statement_kind::rollback, "ROLLBACK");
        for (const char* name : {"first", "second"})
            CHECK(c.hosts[name].opened.empty());
    }
}

TEST(forwarding, a_newer_routing_with_the_same_service_runs_the_statement)
{
    auto newer = forwarding_case::routing();
    newer.version = 2;
    c.hosts["first"].pool.set_routing(newer, c.now);
    c.submit(statement_kind::read, "READ a");
    c.succeed("first", c.complete_open("first"));
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
}

TEST(forwarding, a_read_whose_delegate_is_lost_runs_at_another)
{
    c.silent_hosts.insert("first");
    c.submit(statement_kind::read, "READ a");
    c.lose_answer(true);
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
    c.succeed("second", c.complete_open("second"));
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
}

TEST(forwarding, a_write_whose_delegate_is_lost_is_unknown_and_not_repeated)
{
    c.silent_hosts.insert("first");
    c.submit(statement_kind::write, "WRITE a 1");
    c.lose_answer(true);
    LONGS_EQUAL(1, c.forwarded.size());
    CHECK(c.replies.back().error == error_kind::outcome_unknown);
}

TEST(forwarding, a_write_that_was_not_sent_to_its_delegate_runs_at_another)
{
    c.silent_hosts.insert("first");
    c.submit(statement_kind::write, "WRITE a 1");
    c.lose_answer(false);
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
}

TEST(forwarding, a_transaction_whose_delegate_is_lost_is_aborted)
{
    c.begin_with(statement_kind::read, "READ a");
    c.silent_hosts.insert("first");
    c.submit(statement_kind::read, "READ b");
    c.lose_answer(true);
    CHECK(c.replies.back().error == error_kind::transaction_lost);
    c.submit(statement_kind::rollback, "ROLLBACK");
    CHECK(c.replies.back().state == transaction_state::idle);
}

TEST(forwarding, a_lost_delegate_gets_no_new_statements_for_some_time)
{
    // Failure: each statement first waited for the answer of the lost host.
    c.silent_hosts.insert("first");
    c.submit(statement_kind::read, "READ a");
    c.lose_answer(true);
    c.succeed("second", c.complete_open("second"));
    c.submit(statement_kind::read, "READ b");
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
}

TEST(forwarding, a_host_that_stays_lost_is_tried_by_one_statement_at_a_time)
{
    // Failure: a delegate is cut off for seconds, and each statement that is
    // forwarded to it waits in vain for its answer.
    c.silent_hosts.insert("first");
    auto& front = c.hosts["front"].pool;
    int attempts = 0;
    for (session_id id = 10; id < 210; ++id)
    {
        c.now += millis(25);
        CHECK(front.open_session(id, "cards", {}, c.now) ==
              open_result::opened);
        sql::statement statement;
        statement.kind = statement_kind::read;
        statement.id = "r" + std::to_string(id);
        statement.text = "READ a";
        const auto before = c.forwarded.size();
        c.apply("front", front.on_statement(id, statement, c.now));
        if (c.forwarded.size() == before ||
            c.forwarded.at(before).host != "first")
            continue;
        ++attempts;
        c.apply("front",
                front.on_forward_lost(id, c.forwarded.at(before).operation,
                                      true, c.now));
    }
    // The host is tried at 0, 0.5, 1.5 and 3.5 s of the 5 s.
    CHECK(attempts >= 3);
    CHECK(attempts <= 5);
}

TEST(forwarding,
     a_draining_delegate_finishes_its_transactions_and_accepts_no_others)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.hosts["first"].pool.advance_drain(drain_stage::announced, c.now);
    c.submit(statement_kind::commit, "COMMIT");
    c.succeed("first", id);
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    c.submit(statement_kind::read, "READ b");
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
}

TEST(forwarding, an_isolated_delegate_returns_statements_for_another_host)
{
    c.apply("first",
            c.hosts["first"].pool.set_primary("ledger", "p", c.now, c.now));
    c.hosts["first"].pool.set_isolated(true);
    c.submit(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_host_without_connections_runs_no_statements_for_others)
{
    c.hosts["first"].pool.set_plan("ledger", {0, {}, {}});
    c.submit(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
}

TEST(forwarding, a_transaction_that_the_delegate_has_ended_is_aborted)
{
    c.begin_with(statement_kind::read, "READ a");
    c.apply("first", c.hosts["first"].pool.advance_drain(
                         drain_stage::refusing_work, c.now));
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
    c.submit(statement_kind::commit, "COMMIT");
    CHECK(c.replies.back().error == error_kind::transaction_lost);
}

TEST(forwarding, a_duplicate_message_runs_once)
{
    c.submit(statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open("first");
    const auto sent = c.hosts["first"].sent.size();
    const auto& last = c.forwarded.back();
    const auto new_actions = c.hosts["first"].pool.run_forwarded(
        "front/1", last.operation, last.work, c.now);
    LONGS_EQUAL(1, new_actions.size());
    LONGS_EQUAL(sent, c.hosts["first"].sent.size());
    c.succeed("first", id);
}

TEST(forwarding, an_unanswered_write_is_unknown_at_its_deadline)
{
    c.silent_hosts.insert("first");
    c.submit(statement_kind::write, "WRITE a 1");
    c.tick(millis(810));
    CHECK(c.replies.back().error == error_kind::outcome_unknown);
    LONGS_EQUAL(1, c.forwarded.size());
}

TEST(forwarding, a_late_answer_does_not_answer_a_later_statement)
{
    c.silent_hosts.insert("first");
    c.submit(statement_kind::write, "WRITE a 1");
    const auto old = c.forwarded.back().operation;
    c.tick(millis(810));
    c.submit(statement_kind::write, "WRITE b 1");
    forwarded_reply late;
    late.reply.signature = "old";
    c.apply("front",
            c.hosts["front"].pool.on_forwarded_reply(caller, old, late, c.now));
    LONGS_EQUAL(1, c.replies.size());
}

TEST(forwarding, the_age_of_the_last_commit_is_forwarded)
{
    c.submit(statement_kind::write, "WRITE a 1");
    c.succeed("first", c.complete_open("first"));
    c.now += millis(70);
    c.submit(statement_kind::read, "READ a");
    const auto& work = c.forwarded.back().work;
    CHECK((work.own_commit == upstream::log_point{1, 10}));
    LONGS_EQUAL(70, work.own_commit_age.count());
}

// Failure: the position of a commit at one service was forwarded with a read at
// another, and that of a commit at the read's service was not.
TEST(forwarding, the_last_commit_at_the_service_of_the_route_is_forwarded)
{
    c.submit(statement_kind::write, "WRITE a 1");
    c.succeed("first", c.complete_open("first"), transaction_state::idle, 50);
    c.move_route_to("archive");
    c.submit(statement_kind::write, "WRITE a 1");
    CHECK_FALSE(c.forwarded.back().work.own_commit.has_value());
    c.succeed("first", c.complete_open("first"), transaction_state::idle, 7);
    c.move_route_to("ledger");
    c.submit(statement_kind::read, "READ a");
    CHECK((c.forwarded.back().work.own_commit == upstream::log_point{1, 50}));
}

// Failure: another host read at a replica although the position of the
// session's commit was no longer known.
TEST(forwarding, a_read_whose_commit_is_not_kept_is_forwarded_to_the_primary)
{
    c.move_route_to("ledger", routes::read_consistency::session);
    c.submit(statement_kind::write, "WRITE a 1");
    c.succeed("first", c.complete_open("first"));
    for (std::size_t i = 0; i <= own_commits::max_services; ++i)
    {
        c.now += millis(1);
        c.move_route_to("archive-" + std::to_string(i),
                        routes::read_consistency::session);
        c.submit(statement_kind::write, "WRITE a 1");
        c.succeed("first", c.complete_open("first"));
    }
    c.move_route_to("ledger", routes::read_consistency::session);
    c.submit(statement_kind::read, "READ a");
    CHECK(c.forwarded.back().work.route.consistency ==
          routes::read_consistency::latest);
}

TEST(forwarding,
     a_host_that_cannot_reach_the_primary_forwards_to_a_fallback_delegate)
{
    // Failure: some hosts can't reach the primary, which most hosts still
    // reach.
    auto& front = c.hosts["front"];
    front.pool.set_plan("ledger", {2, {}, {"first", "second"}});
    c.submit(statement_kind::read, "READ a");
    c.complete_open("front");
    c.tick(millis(510));
    // The read is not left waiting for the primary; it is forwarded as well.
    STRCMP_EQUAL("READ a", c.forwarded.at(0).work.statement.text.c_str());
    c.succeed("first", c.complete_open("first"));
    c.submit(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("first", c.forwarded.back().host.c_str());
    c.succeed("first", c.hosts["first"].sent.back().connection);
    CHECK_FALSE(c.replies.back().error.has_value());
}

TEST(forwarding, a_delegate_that_cannot_reach_the_primary_returns_statements)
{
    c.submit(statement_kind::read, "READ a");
    c.complete_open("first");
    c.tick(millis(510));
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
    c.succeed("second", c.complete_open("second"));
    c.submit(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
}

TEST(forwarding, a_statement_that_no_host_can_run_is_refused_after_few_attempts)
{
    // Failure: the primary is lost, so each host that gets the statement
    // returns it.
    for (const char* name : {"first", "second"})
    {
        auto& pool = c.hosts[name].pool;
        CHECK(pool.open_session(99, "cards", {}, c.now) == open_result::opened);
        sql::statement statement;
        statement.kind = statement_kind::read;
        statement.id = "own";
        statement.text = "READ a";
        c.apply(name, pool.on_statement(99, statement, c.now));
        c.complete_open(name);
    }
    c.tick(millis(510));
    const auto before = c.forwarded.size();
    c.submit(statement_kind::write, "WRITE a 1");
    for (int i = 0; i < 24; ++i)
        c.tick(millis(20));
    CHECK(c.replies.back().error == error_kind::overloaded);
    CHECK(c.forwarded.size() - before <= 12);
}

TEST_GROUP(delegate)
{
    boot_instant now{std::chrono::seconds(100)};
    pooler pool{{"a"}};
    forwarded_work work;

    void setup() override
    {
        pool.set_routing(forwarding_case::routing(), now);
        pool.set_upstreams({{"p", "ledger", {"p", 1}, "a", false, true, 1},
                            {"r", "ledger", {"r", 1}, "a", false, false, 1}},
                           now);
        pool.set_primary("ledger", "p", now + millis(100'000), now);
        pool.set_plan("ledger", {2, {}, {}});
        work.statement.kind = statement_kind::read;
        work.statement.id = "q1";
        work.statement.text = "READ a";
        work.routing_version = 1;
        work.route.database = "status";
        work.route.service = "ledger";
        work.route.timeout = millis(800);
        work.route.max_age = millis(1500);
        work.time_left = millis(800);
    }

    /// The log point that the replica must have before it runs the statement.
    std::optional<upstream::log_point> required()
    {
        const auto opened = pool.run_forwarded("front/1", 1, work, now);
        const auto* open = std::get_if<open_action>(&opened.at(0));
        CHECK(open != nullptr);
        STRCMP_EQUAL("r", open->upstream.id.c_str());
        const auto new_actions =
            pool.on_opened(open->connection, upstream::log_point{1, 10}, now);
        const auto* sent = std::get_if<send_action>(&new_actions.at(0));
        CHECK(sent != nullptr);
        return sent->commands.back().after;
    }
};

TEST(delegate, a_replica_must_have_the_last_commit_of_the_session)
{
    work.route.consistency = routes::read_consistency::session;
    work.own_commit = upstream::log_point{1, 50};
    work.own_commit_age = millis(10);
    pool.add_watermark("ledger", {now - millis(200), {1, 42}});
    CHECK((required() == upstream::log_point{1, 50}));
}

TEST(delegate, the_age_of_a_read_is_measured_from_the_start_of_its_transaction)
{
    work.route.consistency = routes::read_consistency::bounded_age;
    work.part = transaction_part::first;
    work.read_only = true;
    work.transaction_age = millis(300);
    pool.add_watermark("ledger", {now - millis(1800), {1, 20}});
    pool.add_watermark("ledger", {now - millis(1600), {1, 30}});
    pool.add_watermark("ledger", {now - millis(200), {1, 42}});
    CHECK((required() == upstream::log_point{1, 30}));
}
