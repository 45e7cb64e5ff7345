#include <plantainward/pooling/connection_budget.hpp>

#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(connection_budget)
{
    connection_budget budget{"h1", "p"};
    boot_instant now{std::chrono::seconds(100)};
};

TEST(connection_budget, a_full_database_is_tried_less_and_less_often)
{
    int attempts = 0;
    for (int ms = 0; ms < 20'000; ms += 10)
    {
        if (budget.may_open(1, 0, now))
        {
            ++attempts;
            budget.record_refused(1, now, now + millis(3));
        }
        now += millis(10);
    }
    CHECK(attempts >= 6);
    CHECK(attempts <= 9);
}

TEST(connection_budget, openings_under_way_at_a_refusal_count_as_one)
{
    for (int i = 0; i < 5; ++i)
        budget.record_refused(2, now, now + millis(i));
    LONGS_EQUAL(1, budget.refusals());
}

TEST(connection_budget, after_a_pause_connections_are_opened_one_at_a_time)
{
    budget.record_refused(2, now, now);
    now += millis(2000);
    CHECK(budget.may_open(2, 0, now));
    CHECK_FALSE(budget.may_open(2, 1, now));
    budget.record_opened();
    CHECK(budget.may_open(3, 1, now));
}

TEST(connection_budget, pauses_of_hosts_differ_and_are_the_same_in_each_run)
{
    connection_budget same{"h1", "p"};
    budget.record_refused(1, now, now);
    same.record_refused(1, now, now);
    CHECK(budget.no_open_before() == same.no_open_before());
    std::set<boot_instant> ends;
    for (int host = 0; host < 20; ++host)
    {
        connection_budget other("h" + std::to_string(host), "p");
        other.record_refused(1, now, now);
        ends.insert(other.no_open_before());
    }
    CHECK(ends.size() >= 10);
}

TEST(connection_budget, an_answer_on_another_connection_does_not_end_the_pause)
{
    // Failure: traffic on open connections ended the pause, so every waiting
    // statement tried to open a connection again.
    pooler_case c;
    c.open_session(1, "cards");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    c.open_session(2, "cards");
    c.submit(2, statement_kind::read, "READ b");
    LONGS_EQUAL(2, c.opened.size());
    c.apply(c.pool.on_open_failed(c.opened.back().connection,
                                  refusal::too_many_connections, c.now));
    c.succeed(id);
    c.open_session(3, "cards");
    c.submit(3, statement_kind::read, "READ c");
    c.succeed(id);
    c.now += millis(700);
    c.submit(1, statement_kind::read, "READ a");
    c.submit(2, statement_kind::read, "READ b");
    LONGS_EQUAL(2, c.opened.size());
}
