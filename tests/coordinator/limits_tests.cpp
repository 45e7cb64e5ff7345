#include <plantainward/coordinator/connection_pool.hpp>
#include <plantainward/coordinator/fair_queue.hpp>
#include <plantainward/coordinator/retry_budget.hpp>
#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;
using coordinator::connection_pool;
using coordinator::fair_queue;
using coordinator::request_class;

TEST_GROUP(fair_queue)
{
    core::instant now{};
};

TEST(fair_queue, tenants_take_turns)
{
    fair_queue queue(100);
    for (std::uint64_t i = 0; i < 10; ++i)
        queue.push(request_class::booking, "busy", i, now);
    queue.push(request_class::booking, "quiet", 100, now);
    CHECK(queue.pop() == 0U);
    CHECK(queue.pop() == 100U);
    CHECK(queue.pop() == 1U);
}

TEST(fair_queue, bookings_go_before_views_and_views_before_bulk)
{
    fair_queue queue(100);
    queue.push(request_class::bulk, "t", 1, now);
    queue.push(request_class::view, "t", 2, now);
    queue.push(request_class::booking, "t", 3, now);
    CHECK(queue.pop() == 3U);
    CHECK(queue.pop() == 2U);
    CHECK(queue.pop() == 1U);
    CHECK_FALSE(queue.pop().has_value());
}

TEST(fair_queue, bulk_requests_are_refused_before_bookings)
{
    fair_queue queue(10);
    for (std::uint64_t i = 0; i < 5; ++i)
        CHECK(queue.push(request_class::bulk, "t", i, now));
    CHECK_FALSE(queue.push(request_class::bulk, "t", 5, now));
    CHECK(queue.push(request_class::booking, "t", 6, now));
}

TEST(fair_queue, only_requests_older_than_the_given_instant_are_removed)
{
    fair_queue queue(10);
    queue.push(request_class::view, "a", 1, now);
    queue.push(request_class::view, "b", 2, now + core::millis(10));
    const auto left = queue.remove_older(now + core::millis(5));
    LONGS_EQUAL(1, left.size());
    LONGS_EQUAL(1, left.front());
    CHECK(queue.front() == 2U);
    CHECK(queue.remove(2));
    LONGS_EQUAL(0, queue.size());
}

TEST_GROUP(connection_pool)
{
    core::instant now{core::instant{} + core::millis(100'000)};
    coordinator::pool_limits limits{4, 1, 2, core::millis(20),
                                    core::millis(1000)};
};

TEST(connection_pool, it_never_exceeds_its_maximum)
{
    connection_pool pool(limits);
    std::uint64_t number = 0;
    for (int round = 0; round < 10; ++round)
        while (pool.should_open(100, now))
        {
            pool.on_opening(++number);
            pool.on_opened(number, upstream::open_outcome::opened, now);
        }
    LONGS_EQUAL(4, pool.total());
}

TEST(connection_pool, the_number_of_concurrent_openings_is_limited)
{
    connection_pool pool(limits);
    std::uint64_t number = 0;
    while (pool.should_open(100, now))
        pool.on_opening(++number);
    LONGS_EQUAL(2, number);
}

TEST(connection_pool, after_a_failed_opening_one_connection_at_a_time_is_tried)
{
    connection_pool pool(limits);
    pool.on_opening(1);
    pool.on_opened(1, upstream::open_outcome::failed, now);
    CHECK_FALSE(pool.should_open(100, now));
    now += core::millis(25);
    CHECK(pool.should_open(100, now));
    pool.on_opening(2);
    CHECK_FALSE(pool.should_open(100, now));
}

TEST(connection_pool, a_connection_above_a_lowered_maximum_is_not_kept)
{
    connection_pool pool(limits);
    for (std::uint64_t i = 1; i <= 4; ++i)
    {
        pool.on_opening(i);
        pool.on_opened(i, upstream::open_outcome::opened, now);
    }
    const auto taken = pool.acquire();
    pool.set_max_connections(2);
    CHECK_FALSE(pool.release(*taken));
}

TEST_GROUP(limits){};

TEST(limits, the_retry_budget_is_a_share_of_the_successes)
{
    coordinator::retry_budget budget(0.1, 5);
    int taken = 0;
    while (budget.try_spend())
        ++taken;
    LONGS_EQUAL(5, taken);
    for (int i = 0; i < 10; ++i)
        budget.on_success();
    CHECK(budget.try_spend());
    CHECK_FALSE(budget.try_spend());
}

TEST(limits, two_coordinators_together_stay_within_the_upstreams_limit)
{
    auto fleet = ready_simulation();
    for (int i = 0; i < 200; ++i)
        fleet.send(i % 2, put("key", "value", ""),
                   [](const coordinator::caller_reply&) {});
    fleet.run_for(core::millis(2000));
    for (int i = 0; i < 3; ++i)
        CHECK(fleet.database(i).peak_sessions() <= 8);
}

TEST(limits, requests_refused_by_the_upstreams_limit_are_queued_again)
{
    auto fleet = ready_simulation();
    // Both coordinators use all connections, as if they were alone.
    fleet.coordinator_at(0).set_share(1);
    fleet.coordinator_at(1).set_share(1);
    int done = 0;
    for (int i = 0; i < 100; ++i)
        fleet.send(i % 2, add("key", ""),
                   [&](const coordinator::caller_reply& reply) {
                       done += reply.error ? 0 : 1;
                   });
    fleet.run_for(core::millis(3000));
    LONGS_EQUAL(100, done);
    CHECK(fleet.database(*fleet.primary()).peak_sessions() <= 8);
}

TEST(limits, a_busy_tenant_does_not_delay_a_quiet_one)
{
    simulation_options options;
    options.connections = 2;
    auto fleet = ready_simulation(options);
    for (int i = 0; i < 300; ++i)
    {
        auto request = put("key", "value", "");
        request.tenant = "busy";
        fleet.send(0, request, [](const coordinator::caller_reply&) {});
    }
    auto request = put("key", "value", "");
    request.tenant = "quiet";
    const auto start = fleet.now();
    CHECK(!fleet.send_and_wait(0, request).error);
    CHECK(fleet.now() - start < core::millis(150));
}

TEST(connection_pool, an_answer_of_the_database_ends_the_backoff)
{
    connection_pool pool(limits);
    pool.on_opening(1);
    pool.on_opened(1, upstream::open_outcome::failed, now);
    pool.on_database_answer();
    CHECK(pool.should_open(1, now));
    pool.on_opening(2);
    pool.on_opened(2, upstream::open_outcome::refused_by_limit, now);
    pool.on_database_answer();
    CHECK_FALSE(pool.should_open(1, now));
}
