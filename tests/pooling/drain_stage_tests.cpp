#include <plantainward/pooling/drain_stage.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward::pooling;
using plantainward::core::millis;

namespace
{

constexpr millis grace{6000};

} // namespace

TEST_GROUP(drain_stage){};

TEST(drain_stage, callers_are_served_until_the_balancer_has_removed_the_host)
{
    CHECK(drain_stage_at(millis(0), grace) == drain_stage::announced);
    CHECK(drain_stage_at(balancer_removal_time - millis(1), grace) ==
          drain_stage::announced);
    CHECK(drain_stage_at(balancer_removal_time, grace) ==
          drain_stage::closing_sessions);
}

TEST(drain_stage, an_open_transaction_has_the_first_half_of_the_grace_period)
{
    CHECK(drain_stage_at(grace / 2, grace) == drain_stage::closing_sessions);
    CHECK(drain_stage_at(grace / 2 + millis(1), grace) ==
          drain_stage::refusing_work);
}

// Guards against a process that is killed before it has sent its last answers.
TEST(drain_stage, the_process_ends_before_the_grace_period_is_over)
{
    CHECK(drain_stage_at(millis(5000), grace) == drain_stage::refusing_work);
    CHECK(drain_stage_at(millis(5200), grace) == drain_stage::ending_work);
}

TEST(drain_stage, a_short_grace_period_ends_without_waiting_for_the_balancer)
{
    CHECK(drain_stage_at(millis(900), millis(1000)) ==
          drain_stage::ending_work);
}
