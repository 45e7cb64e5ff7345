#include <plantainward/pooling/admission.hpp>
#include <plantainward/pooling/workspace_shares.hpp>

#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(admission)
{
    candidate in(int objective_ms, int priority = 0, std::size_t excess = 0)
        const
    {
        return {now + millis(objective_ms), now + millis(1000), priority,
                excess, 20};
    }

    boot_instant now{std::chrono::seconds(100)};
    admission control;
};

TEST(admission, statements_that_can_meet_their_objective_run_first)
{
    // The database needs 20 ms, so a statement with 10 ms left is late.
    CHECK(rank_of(in(100, 5), now) < rank_of(in(10), now));
    CHECK(rank_of(in(300, 0), now) < rank_of(in(100, 1), now));
    CHECK(rank_of(in(300, 0, 0), now) < rank_of(in(100, 0, 6), now));
    CHECK(rank_of(in(100), now) < rank_of(in(300), now));
}

TEST(admission, a_statement_that_would_delay_an_admitted_one_is_rejected)
{
    // Failure: statements with a shorter objective were admitted before others
    // until all of those were late.
    for (int i = 0; i < 30; ++i)
        control.record_admitted(0.02, now);
    // A statement takes 50 ms of this host's service, and 20 ms to run.
    CHECK(control.decide({in(300)}, in(200), 0.02, now) == verdict::wait);
    CHECK(control.decide({in(201), in(202), in(203)}, in(200), 0.02, now) ==
          verdict::reject);
    // A statement with precedence is admitted all the same.
    CHECK(control.decide({in(201, 1), in(202, 1), in(203, 1)}, in(200), 0.02,
                         now) == verdict::wait);
}

TEST(admission, without_a_known_service_a_statement_waits)
{
    CHECK(control.decide({in(100)}, in(100), 0, now) == verdict::wait);
    LONGS_EQUAL(0, admission::unservable({in(100)}, 0, now).size());
}

TEST(admission, late_statements_wait_only_while_there_is_spare_service)
{
    const auto late = in(10);
    CHECK(control.decide({}, late, 0.05, now) == verdict::wait_late);
    for (int i = 0; i < 30; ++i)
        control.record_admitted(0.05, now);
    CHECK(control.decide({}, late, 0.05, now) == verdict::reject);
}

TEST(admission, a_workspace_at_six_times_its_usual_rate_is_above_its_share)
{
    workspace_shares shares;
    for (int second = 0; second < 120; ++second)
    {
        now += std::chrono::seconds(1);
        for (int i = 0; i < 20; ++i)
            shares.record_use("w" + std::to_string(i), i == 0 ? 100 : 20, now);
    }
    CHECK(shares.excess("w0", now) == 0);
    for (int i = 0; i < 2; ++i)
    {
        now += std::chrono::seconds(1);
        for (int other = 0; other < 20; ++other)
            shares.record_use("w" + std::to_string(other),
                              other == 0   ? 100
                              : other == 7 ? 240
                                           : 20,
                              now);
    }
    CHECK(shares.excess("w7", now) > 1);
    CHECK(shares.excess("w0", now) == 0);
    CHECK(shares.excess("w1", now) == 0);
    CHECK(shares.excess("", now) == 0);
}
