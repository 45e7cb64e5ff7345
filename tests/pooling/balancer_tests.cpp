#include <plantainward/pooling/balancer.hpp>
#include <plantainward/pooling/database_load.hpp>
#include <plantainward/pooling/load_reports.hpp>

#include <support/pooler_case.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::millis;

TEST_GROUP(balancer)
{
    const boot_instant start{millis(100'000)};

    std::size_t first_of(const std::vector<read_candidate>& candidates,
                         std::size_t statements)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < statements; ++i)
            count += *balancer::choose(candidates, i) == 0 ? 1 : 0;
        return count;
    }
};

TEST(balancer, nothing_is_chosen_without_candidates)
{
    CHECK(!balancer::choose({}, 1));
}

TEST(balancer, a_database_with_longer_times_gets_fewer_statements)
{
    // Failure: only the number of statements counted, so a slow database got
    // as many as a fast one.
    const std::vector<read_candidate> candidates{{50, 1, 1}, {10, 1, 3}};
    LONGS_EQUAL(1, *balancer::choose(candidates, 1));
}

TEST(balancer, reports_of_other_hosts_decide_between_equal_databases)
{
    std::vector<read_candidate> candidates{{10, 1, 2}, {10, 1, 2}};
    candidates[0].reported_in_flight = 6;
    LONGS_EQUAL(1, *balancer::choose(candidates, 1));
}

TEST(balancer, a_starting_database_gets_its_share_although_it_is_idle)
{
    // Failure: an idle database that has just joined got every statement.
    std::vector<read_candidate> candidates{{10, 1, 0}, {10, 1, 20}};
    candidates[0].start_share = 0.1;
    const auto count = first_of(candidates, 1000);
    CHECK(count > 60);
    CHECK(count < 140);
}

TEST(balancer, databases_that_all_start_share_all_statements)
{
    // Failure: after a restart of the host all databases are new to it, and no
    // statement could be placed.
    std::vector<read_candidate> candidates{{10, 1, 0}, {10, 1, 20}};
    candidates[0].start_share = candidates[1].start_share = 0.05;
    LONGS_EQUAL(100, first_of(candidates, 100));
}

TEST(balancer, failures_raise_the_cost_and_successes_lower_it_again)
{
    database_load load;
    read_candidate candidate;
    candidate.observed_ms = 10;
    const auto before = balancer::cost_ms(candidate);
    for (int i = 0; i < 10; ++i)
        load.record_failure(start);
    candidate.success_share = load.success_share();
    CHECK(balancer::cost_ms(candidate) > 10 * before);
    for (int i = 0; i < 20; ++i)
        load.record_success(millis(10), start);
    candidate.success_share = load.success_share();
    CHECK(balancer::cost_ms(candidate) < 1.1 * before);
}

TEST(balancer, an_old_time_falls_so_that_the_database_is_measured_again)
{
    // Failure: a database that was slow once was never used again.
    database_load load;
    for (int i = 0; i < 100; ++i)
        load.record_success(millis(80), start);
    DOUBLES_EQUAL(80, load.observed_ms(start), 1);
    DOUBLES_EQUAL(20, load.observed_ms(start + millis(4000)), 1);
    // Failure: a time of 0 hid all statements in flight.
    DOUBLES_EQUAL(3, load.observed_ms(start + millis(60'000)), 0.1);
}

TEST(balancer, a_joined_database_reaches_its_full_share)
{
    database_load load;
    load.start(start);
    DOUBLES_EQUAL(0.05, load.start_share(start), 0.001);
    DOUBLES_EQUAL(0.5, load.start_share(start + millis(1500)), 0.001);
    DOUBLES_EQUAL(1, load.start_share(start + millis(9000)), 0.001);
}

TEST(balancer, reports_are_averaged_over_hosts_and_expire)
{
    load_reports reports;
    CHECK(!reports.mean_in_flight(start));
    reports.add("a", 4, start);
    reports.add("b", 2, start);
    DOUBLES_EQUAL(3, *reports.mean_in_flight(start), 0.001);
    CHECK(!reports.mean_in_flight(start + millis(3001)));
}

TEST(balancer, newer_reports_count_more)
{
    load_reports reports;
    reports.add("a", 8, start - millis(2000));
    reports.add("b", 3, start);
    DOUBLES_EQUAL(4, *reports.mean_in_flight(start), 0.001);
}

TEST(balancer, a_report_that_arrives_late_is_ignored)
{
    // Failure: datagrams arrive in another order than they were sent.
    load_reports reports;
    reports.add("a", 4, start);
    reports.add("a", 9, start - millis(300));
    DOUBLES_EQUAL(4, *reports.mean_in_flight(start), 0.001);
    LONGS_EQUAL(0, reports.oldest_age(start)->count());
}

TEST(balancer, the_own_failure_domain_is_preferred_while_it_is_as_good)
{
    // Failure: two thirds of the reads crossed failure domains although the
    // database of the own domain was as fast.
    std::vector<read_candidate> candidates{{10, 1, 3}, {10, 1, 1}};
    candidates[1].is_in_own_domain = false;
    LONGS_EQUAL(0, *balancer::choose(candidates, 1));
}

TEST(balancer, another_failure_domain_is_used_when_the_own_one_is_overloaded)
{
    std::vector<read_candidate> candidates{{10, 1, 9}, {10, 1, 1}};
    candidates[1].is_in_own_domain = false;
    LONGS_EQUAL(1, *balancer::choose(candidates, 1));
}

TEST(balancer, a_host_reports_what_it_has_in_flight_at_each_database)
{
    support::pooler_case c;
    c.open_session(1, "cards");
    c.submit(1, sql::statement_kind::read, "READ a");
    c.complete_open();
    CHECK(c.pool.in_flight_by_database("ledger").empty());
    c.pool.set_plan("ledger", {2, {}, {}, {}, true});
    CHECK((c.pool.in_flight_by_database("ledger") ==
           std::vector<std::uint8_t>{1, 0}));
    CHECK(c.pool.in_flight_by_database("unknown").empty());
}

TEST(balancer, a_report_of_another_number_of_databases_is_ignored)
{
    // Failure: the sender knew another list of databases, and its counts were
    // taken for those of other databases.
    support::pooler_case c;
    c.pool.set_plan("ledger", {2, {}, {}, {}, true});
    c.pool.add_watermark("ledger", {c.now - millis(200), {1, 42}});
    c.pool.add_load_report("ledger", "other", {0, 200, 0}, c.now);
    c.open_session(1, "specs");
    c.submit(1, sql::statement_kind::read, "READ a");
    STRCMP_EQUAL("r", c.opened.back().upstream.id.c_str());
    c.pool.add_load_report("ledger", "other", {0, 200}, c.now);
    c.open_session(2, "specs");
    c.submit(2, sql::statement_kind::read, "READ a");
    STRCMP_EQUAL("p", c.opened.back().upstream.id.c_str());
}
