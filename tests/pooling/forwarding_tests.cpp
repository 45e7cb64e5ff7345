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

/// A host without connections, its two helpers, and what they asked for.
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
        CHECK(hosts["front"].pool.open_session(caller, "cards", now));
    }

    static routes::routing routing()
    {
        routes::routing made;
        made.version = 1;
        made.services["ledger"].max_connections = 30;
        routes::route one;
        one.database = "cards";
        one.service = "ledger";
        one.consistency = routes::read_consistency::latest;
        one.timeout = millis(800);
        made.routes["cards"] = one;
        return made;
    }

    /// Carries out the actions of a host; messages go straight to the other.
    void take(const std::string& name, const actions& made)
    {
        auto& from = hosts.at(name);
        for (const auto& one : made)
        {
            if (const auto* open = std::get_if<open_action>(&one))
                from.opened.push_back(*open);
            if (const auto* send = std::get_if<send_action>(&one))
                from.sent.push_back(*send);
            if (const auto* close = std::get_if<close_action>(&one))
                from.closed.push_back(close->connection);
            if (const auto* answer = std::get_if<reply_action>(&one))
                replies.push_back(answer->reply);
            if (const auto* passing = std::get_if<forward_action>(&one))
                pass(*passing);
            if (const auto* ended = std::get_if<end_forwarding_action>(&one))
                take(ended->host,
                     hosts.at(ended->host)
                         .pool.end_forwarded("front/1", ended->operation, now));
            if (const auto* got = std::get_if<forwarded_reply_action>(&one))
                take("front", hosts.at("front").pool.on_forwarded_reply(
                                  caller, got->operation, got->reply, now));
        }
    }

    void pass(const forward_action& action)
    {
        passed.push_back(action);
        if (silent.contains(action.host))
            return;
        take(action.host, hosts.at(action.host)
                              .pool.run_forwarded("front/1", action.operation,
                                                  action.work, now));
    }

    void ask(statement_kind kind, const std::string& text,
             const std::string& name = {}, const std::string& value = {})
    {
        sql::statement one;
        one.kind = kind;
        one.id = "q" + std::to_string(++last_id);
        one.text = text;
        one.name = name;
        one.value = value;
        take("front", hosts["front"].pool.on_statement(caller, one, now));
    }

    void lose(bool sent)
    {
        const auto last = passed.back();
        take("front", hosts["front"].pool.on_forward_lost(
                          caller, last.operation, sent, now));
    }

    void tick(millis time)
    {
        now += time;
        for (auto& [name, one] : hosts)
            take(name, one.pool.tick(now));
    }

    /// Lets the connection open that a host asked for last.
    connection_id let_open(const std::string& name)
    {
        const auto id = hosts[name].opened.back().connection;
        take(name, hosts[name].pool.on_opened(id, now));
        return id;
    }

    void succeed(const std::string& name, connection_id id,
                 transaction_state state = transaction_state::idle)
    {
        sql::command_answer one;
        one.signature = "s";
        one.state = state;
        one.position = upstream::log_point{1, 10};
        take(name, hosts[name].pool.on_answer(id, one, now));
    }

    /// Begins a transaction whose first statement the first helper has run.
    connection_id begin_with(statement_kind kind, const std::string& text)
    {
        ask(statement_kind::begin, "BEGIN");
        ask(kind, text);
        const auto id = let_open("first");
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
    std::set<std::string> silent;
    std::vector<forward_action> passed;
    std::vector<sql::reply> replies;
    int last_id{0};
};

} // namespace

TEST_GROUP(forwarding)
{
    forwarding_case c;
};

TEST(forwarding, a_host_without_connections_has_a_helper_run_the_statement)
{
    c.ask(statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(0, c.hosts["front"].opened.size());
    const auto id = c.let_open("first");
    STRCMP_EQUAL("q1", c.last_command("first").id.c_str());
    STRCMP_EQUAL("WRITE a 1", c.last_command("first").text.c_str());
    c.succeed("first", id);
    LONGS_EQUAL(1, c.replies.size());
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, the_helper_brings_its_connection_to_the_values_of_the_session)
{
    c.ask(statement_kind::set_value, "SET x 1", "x", "1");
    c.ask(statement_kind::prepare, "PREPARE s READ q", "s", "q");
    c.ask(statement_kind::execute, "EXECUTE s a", "s", "a");
    const auto id = c.let_open("first");
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
    c.ask(statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(id, c.hosts["first"].sent.back().connection);
    c.succeed("first", id, transaction_state::open);
    c.ask(statement_kind::commit, "COMMIT");
    LONGS_EQUAL(id, c.hosts["first"].sent.back().connection);
    c.succeed("first", id);
    CHECK(c.replies.back().state == transaction_state::idle);
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_rolled_back_transaction_frees_the_helper)
{
    c.begin_with(statement_kind::read, "READ a");
    c.ask(statement_kind::rollback, "ROLLBACK");
    CHECK_FALSE(c.replies.back().error.has_value());
    CHECK(c.last_command("first").kind == sql::command_kind::rollback);
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_caller_that_leaves_in_a_transaction_frees_the_helper)
{
    c.begin_with(statement_kind::write, "WRITE a 1");
    c.take("front", c.hosts["front"].pool.close_session(caller, c.now));
    CHECK(c.last_command("first").kind == sql::command_kind::rollback);
}

TEST(forwarding, a_read_whose_helper_is_lost_runs_at_another)
{
    c.silent.insert("first");
    c.ask(statement_kind::read, "READ a");
    c.lose(true);
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
    c.succeed("second", c.let_open("second"));
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
}

TEST(forwarding, a_write_whose_helper_is_lost_is_unknown_and_runs_nowhere_else)
{
    c.silent.insert("first");
    c.ask(statement_kind::write, "WRITE a 1");
    c.lose(true);
    LONGS_EQUAL(1, c.passed.size());
    CHECK(c.replies.back().error == error_kind::outcome_unknown);
}

TEST(forwarding, a_write_that_never_reached_its_helper_runs_at_another)
{
    c.silent.insert("first");
    c.ask(statement_kind::write, "WRITE a 1");
    c.lose(false);
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
}

TEST(forwarding, a_transaction_whose_helper_is_lost_is_aborted)
{
    c.begin_with(statement_kind::read, "READ a");
    c.silent.insert("first");
    c.ask(statement_kind::read, "READ b");
    c.lose(true);
    CHECK(c.replies.back().error == error_kind::transaction_lost);
    c.ask(statement_kind::rollback, "ROLLBACK");
    CHECK(c.replies.back().state == transaction_state::idle);
}

TEST(forwarding, a_lost_helper_gets_no_new_work_for_some_time)
{
    // Load: each statement would wait for the silence of the lost host.
    c.silent.insert("first");
    c.ask(statement_kind::read, "READ a");
    c.lose(true);
    c.succeed("second", c.let_open("second"));
    c.ask(statement_kind::read, "READ b");
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
}

TEST(forwarding, a_host_that_stays_lost_is_tried_by_one_statement)
{
    // Load: a holder is cut off for seconds; each statement that tries it waits
    // for its silence.
    c.silent.insert("first");
    auto& front = c.hosts["front"].pool;
    int tried = 0;
    for (session_id id = 10; id < 210; ++id)
    {
        c.now += millis(25);
        CHECK(front.open_session(id, "cards", c.now));
        sql::statement one;
        one.kind = statement_kind::read;
        one.id = "r" + std::to_string(id);
        one.text = "READ a";
        const auto before = c.passed.size();
        c.take("front", front.on_statement(id, one, c.now));
        if (c.passed.size() == before || c.passed.at(before).host != "first")
            continue;
        ++tried;
        c.take("front", front.on_forward_lost(id, c.passed.at(before).operation,
                                              true, c.now));
    }
    // In 5 s, at 0, 0.5, 1.5 and 3.5 s.
    CHECK(tried >= 3);
    CHECK(tried <= 5);
}

TEST(forwarding, a_stopping_helper_ends_its_transactions_and_takes_no_others)
{
    const auto id = c.begin_with(statement_kind::read, "READ a");
    c.hosts["first"].pool.set_draining();
    c.ask(statement_kind::commit, "COMMIT");
    c.succeed("first", id);
    STRCMP_EQUAL("s", c.replies.back().signature.c_str());
    c.ask(statement_kind::read, "READ b");
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
}

TEST(forwarding, a_helper_without_proof_of_the_primary_sends_work_elsewhere)
{
    c.take("first",
           c.hosts["first"].pool.set_primary("ledger", "p", c.now, c.now));
    c.hosts["first"].pool.set_isolated(true);
    c.ask(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
}

TEST(forwarding, a_host_without_connections_runs_nothing_for_others)
{
    c.hosts["first"].pool.set_plan("ledger", {0, {}, {}});
    c.ask(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
}

TEST(forwarding, an_operation_that_the_helper_has_ended_is_aborted)
{
    c.begin_with(statement_kind::read, "READ a");
    c.take("first", c.hosts["first"].pool.end_transactions(c.now));
    LONGS_EQUAL(0, c.hosts["first"].pool.session_count());
    c.ask(statement_kind::commit, "COMMIT");
    CHECK(c.replies.back().error == error_kind::transaction_lost);
}

TEST(forwarding, a_message_that_comes_twice_runs_once)
{
    c.ask(statement_kind::write, "WRITE a 1");
    const auto id = c.let_open("first");
    const auto sent = c.hosts["first"].sent.size();
    const auto& last = c.passed.back();
    const auto made = c.hosts["first"].pool.run_forwarded(
        "front/1", last.operation, last.work, c.now);
    LONGS_EQUAL(1, made.size());
    LONGS_EQUAL(sent, c.hosts["first"].sent.size());
    c.succeed("first", id);
}

TEST(forwarding, an_unanswered_statement_is_unknown_at_its_time_limit)
{
    c.silent.insert("first");
    c.ask(statement_kind::write, "WRITE a 1");
    c.tick(millis(810));
    CHECK(c.replies.back().error == error_kind::outcome_unknown);
    LONGS_EQUAL(1, c.passed.size());
}

TEST(forwarding, a_late_answer_is_not_taken_for_that_of_a_later_statement)
{
    c.silent.insert("first");
    c.ask(statement_kind::write, "WRITE a 1");
    const auto old = c.passed.back().operation;
    c.tick(millis(810));
    c.ask(statement_kind::write, "WRITE b 1");
    forwarded_reply late;
    late.reply.signature = "old";
    c.take("front",
           c.hosts["front"].pool.on_forwarded_reply(caller, old, late, c.now));
    LONGS_EQUAL(1, c.replies.size());
}

TEST(forwarding, the_age_of_the_own_commit_goes_along)
{
    c.ask(statement_kind::write, "WRITE a 1");
    c.succeed("first", c.let_open("first"));
    c.now += millis(70);
    c.ask(statement_kind::read, "READ a");
    const auto& work = c.passed.back().work;
    CHECK((work.own_commit == upstream::log_point{1, 10}));
    LONGS_EQUAL(70, work.own_commit_age.count());
}

TEST(forwarding, a_host_that_is_cut_from_the_primary_has_another_run_writes)
{
    // Load: a cut between some hosts and the primary, which most still reach.
    auto& front = c.hosts["front"];
    front.pool.set_plan("ledger", {2, {}, {"first", "second"}});
    c.ask(statement_kind::read, "READ a");
    c.let_open("front");
    c.tick(millis(510));
    // The read is not waited for; it has left for the other host as well.
    STRCMP_EQUAL("READ a", c.passed.at(0).work.statement.text.c_str());
    c.succeed("first", c.let_open("first"));
    c.ask(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("first", c.passed.back().host.c_str());
    c.succeed("first", c.hosts["first"].sent.back().connection);
    CHECK_FALSE(c.replies.back().error.has_value());
}

TEST(forwarding, a_holder_that_is_cut_from_the_primary_sends_writes_elsewhere)
{
    c.ask(statement_kind::read, "READ a");
    c.let_open("first");
    c.tick(millis(510));
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
    c.succeed("second", c.let_open("second"));
    c.ask(statement_kind::write, "WRITE a 1");
    STRCMP_EQUAL("second", c.passed.back().host.c_str());
}

TEST(forwarding, what_no_host_can_run_waits_and_is_refused)
{
    // Load: the primary is lost, so each host that is asked sends it on.
    for (const char* name : {"first", "second"})
    {
        auto& pool = c.hosts[name].pool;
        CHECK(pool.open_session(99, "cards", c.now));
        sql::statement one;
        one.kind = statement_kind::read;
        one.id = "own";
        one.text = "READ a";
        c.take(name, pool.on_statement(99, one, c.now));
        c.let_open(name);
    }
    c.tick(millis(510));
    const auto before = c.passed.size();
    c.ask(statement_kind::write, "WRITE a 1");
    for (int i = 0; i < 24; ++i)
        c.tick(millis(20));
    CHECK(c.replies.back().error == error_kind::overloaded);
    CHECK(c.passed.size() - before <= 12);
}

TEST_GROUP(helper)
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
        work.route.database = "status";
        work.route.service = "ledger";
        work.route.timeout = millis(800);
        work.route.max_age = millis(1500);
        work.time_left = millis(800);
    }

    /// The log point that the replica must have for the work.
    std::optional<upstream::log_point> required()
    {
        const auto opened = pool.run_forwarded("front/1", 1, work, now);
        const auto* open = std::get_if<open_action>(&opened.at(0));
        CHECK(open != nullptr);
        STRCMP_EQUAL("r", open->upstream.id.c_str());
        const auto made = pool.on_opened(open->connection, now);
        const auto* sent = std::get_if<send_action>(&made.at(0));
        CHECK(sent != nullptr);
        return sent->commands.back().after;
    }
};

TEST(helper, the_own_commit_of_the_session_is_waited_for_at_a_replica)
{
    work.route.consistency = routes::read_consistency::session;
    work.own_commit = upstream::log_point{1, 50};
    work.own_commit_age = millis(10);
    pool.add_watermark("ledger", {now - millis(200), {1, 42}});
    CHECK((required() == upstream::log_point{1, 50}));
}

TEST(helper, the_age_of_a_read_counts_from_the_start_of_its_transaction)
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
