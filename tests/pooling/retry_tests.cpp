// Repetition of statements that a database did not run, and transactions that
// rest while others wait, on connections that a few hosts share.

#include <plantainward/pooling/retry_budget.hpp>

#include <support/load_world.hpp>
#include <support/pooler_case.hpp>

#include <cstdio>

using namespace support;

namespace
{

constexpr std::size_t host_count = 6;

/// Six poolers before one primary, and callers that send their next statement
/// 5 ms after each answer.
struct retry_case
{
    explicit retry_case(bool is_shared)
    {
        world.databases["p"];
        for (std::size_t i = 0; i < host_count; ++i)
            add_host("h" + std::to_string(i), is_shared);
        world.on_reply = [this](const auto& host, const auto& reply) {
            if (!reply.reply.error)
                last_success = world.now;
            if (!reply.reply.error && recovered_at && !first_success_after)
                first_success_after = world.now;
            world.after(millis(5), [this, host, id = reply.session] {
                world.submit(host, id, kind, "X a");
            });
        };
    }

    void add_host(const std::string& name, bool is_shared)
    {
        pooler_options options;
        options.failure_domain = "a";
        options.host = name;
        auto& pool = world.poolers.try_emplace(name, options).first->second;
        routes::routing routing;
        routing.version = 1;
        routes::route route;
        route.database = "cards";
        route.service = "ledger";
        route.timeout = millis(1000);
        routing.routes["cards"] = route;
        pool.set_routing(routing, world.now);
        connection_plan plan;
        plan.share = 7;
        plan.is_shared = is_shared;
        pool.set_plan("ledger", plan);
        world.apply(name, pool.set_upstreams(
                              {{"p", "ledger", {"p", 1}, "a", false, true, 1}},
                              world.now));
        world.apply(name,
                    pool.set_primary("ledger", "p", world.now + millis(60'000),
                                     world.now));
    }

    /// Runs with a primary that refuses everything for 1.5 s, then works.
    void run(refusal reason, statement_kind new_kind)
    {
        kind = new_kind;
        for (std::size_t i = 0; i < host_count * 10; ++i)
        {
            const auto host = "h" + std::to_string(i % host_count);
            world.poolers.at(host).open_session(i + 1, "cards", {}, world.now);
            world.submit(host, i + 1, kind, "X a");
        }
        auto& primary = world.databases.at("p");
        world.run_until(world.now + millis(1000));
        const auto before = primary.received;
        primary.refuses_all = reason;
        world.run_until(world.now + millis(1500));
        tries = primary.received - before;
        primary.refuses_all.reset();
        recovered_at = world.now;
        world.run_until(world.now + millis(1000));
        const auto outage_ms = first_success_after
                                   ? std::chrono::duration_cast<millis>(
                                         *first_success_after - *recovered_at)
                                   : millis(9999);
        std::printf("tries while all were refused %zu, first success after "
                    "%lld ms\n",
                    tries, static_cast<long long>(outage_ms.count()));
        resumed_in_time = outage_ms <= millis(200);
    }

    load_world world;
    statement_kind kind{statement_kind::read};
    std::size_t tries{0};
    bool resumed_in_time{false};
    boot_instant last_success{};
    std::optional<boot_instant> recovered_at;
    std::optional<boot_instant> first_success_after;
};

} // namespace

TEST_GROUP(retry){};

TEST(retry, a_database_that_is_busy_for_all_is_tried_a_bounded_number_of_times)
{
    // Failure: one host sent a statement to the same primary every 14 ms and
    // was told each time that it did not run.
    retry_case c(true);
    c.run(refusal::busy, statement_kind::read);
    CHECK(c.tries <= 150);
    CHECK(c.resumed_in_time);
}

TEST(retry, a_database_that_is_not_the_primary_is_not_sent_all_waiting_writes)
{
    // Failure: each waiting write was sent to a replaced primary in turn.
    retry_case c(true);
    c.run(refusal::read_only, statement_kind::write);
    CHECK(c.tries <= 150);
    CHECK(c.resumed_in_time);
}

TEST(retry, the_budget_of_retries_is_a_share_of_the_successes)
{
    retry_budget budget;
    const boot_instant now{std::chrono::seconds(100)};
    while (budget.try_take(now))
        ;
    for (int i = 0; i < 100; ++i)
        budget.record_success();
    int retries = 0;
    while (budget.try_take(now))
        ++retries;
    CHECK(retries >= 9 && retries <= 10);
}

TEST(retry, the_longest_resting_transactions_end_when_others_wait)
{
    // Failure: 100 callers rested in transactions for the whole idle time, and
    // statements of other callers were refused in the meantime.
    pooler_case c;
    connection_plan plan;
    plan.share = 100;
    plan.is_shared = true;
    c.pool.set_plan("ledger", plan);
    for (session_id id = 1; id <= 100; ++id)
    {
        c.open_session(id, "cards");
        c.submit(id, statement_kind::begin, "BEGIN");
        c.submit(id, statement_kind::read, "READ a");
        const auto connection = c.complete_open();
        c.succeed(connection, transaction_state::open);
        c.succeed(connection, transaction_state::open);
        c.now += millis(1);
    }
    c.apply(c.pool.tick(c.now));
    const auto sent = c.sent.size();
    // Half of the idle time has not passed for any transaction.
    c.now += millis(1300);
    c.open_session(201, "cards");
    c.submit(201, statement_kind::read, "READ a");
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(sent, c.sent.size());
    c.now += millis(150);
    c.apply(c.pool.tick(c.now));
    // One statement waits: the longest idle transaction ends, the others
    // stay open.
    LONGS_EQUAL(sent + 1, c.sent.size());
    CHECK(c.last_command().kind == command_kind::rollback);
    LONGS_EQUAL(c.opened.front().connection, c.sent.back().connection);
    c.succeed(c.sent.back().connection);
    STRCMP_EQUAL("READ a", c.last_command().text.c_str());
    c.apply(c.pool.tick(c.now));
    LONGS_EQUAL(sent + 2, c.sent.size());
    // Its caller learns of it with the next statement.
    c.submit(1, statement_kind::read, "READ b");
    CHECK(c.replies.back().reply.error.has_value());
    CHECK(c.replies.back().reply.state == transaction_state::failed);
    c.submit(2, statement_kind::read, "READ b");
    STRCMP_EQUAL("READ b", c.last_command().text.c_str());
}
