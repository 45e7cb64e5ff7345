#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

constexpr core::millis leaving_bound{3000};

void load(simulation& fleet, core::millis duration)
{
    const auto end = fleet.now() + duration;
    for (int i = 0; fleet.now() < end; ++i)
    {
        fleet.send_and_wait(i % 2, put("key", std::to_string(i), ""));
        auto read = get("key", coordinator::freshness::session);
        fleet.send_and_wait(i % 2, read);
    }
}

} // namespace

// Guards against requests that fail because an upstream stops after it was
// announced as leaving.
TEST_GROUP(leaving_upstream){};

TEST(leaving_upstream, a_leaving_upstream_gets_no_new_work_after_three_seconds)
{
    for (int which = 0; which < 3; ++which)
    {
        auto fleet = ready_simulation();
        fleet.set_leaving(which, true);
        load(fleet, leaving_bound);
        const auto before = fleet.orders_run(which);
        load(fleet, core::millis(2000));
        LONGS_EQUAL(before, fleet.orders_run(which));
    }
}

TEST(leaving_upstream, a_leaving_primary_is_handed_over_and_loses_no_write)
{
    auto fleet = ready_simulation();
    const int leaving = *fleet.primary();
    std::vector<std::string> acknowledged;
    fleet.set_leaving(leaving, true);
    for (int i = 0; i < 200; ++i)
    {
        const auto key = "key/" + std::to_string(i);
        const auto reply = fleet.send_and_wait(i % 2, put(key, "saved", key));
        CHECK_FALSE(reply.error.has_value());
        fleet.run_for(core::millis(10));
        acknowledged.push_back(key);
    }
    CHECK(*fleet.primary() != leaving);
    for (const auto& key : acknowledged)
        STRCMP_EQUAL("saved",
                     value_of(fleet.send_and_wait(0, get(key))).c_str());
}

TEST(leaving_upstream, the_handover_waits_for_a_lagging_replica)
{
    auto fleet = ready_simulation();
    const int leaving = *fleet.primary();
    for (int i = 1; i < 3; ++i)
        fleet.set_lag((leaving + i) % 3, core::millis(100));
    fleet.set_leaving(leaving, true);
    fleet.run_for(core::millis(4000));
    CHECK(*fleet.primary() != leaving);
    CHECK(!fleet.send_and_wait(0, put("key", "saved", "id-1")).error);
}

TEST(leaving_upstream, an_upstream_that_no_longer_leaves_gets_work_again)
{
    auto fleet = ready_simulation();
    const int which = (*fleet.primary() + 1) % 3;
    fleet.set_leaving(which, true);
    load(fleet, core::millis(1000));
    fleet.set_leaving(which, false);
    const auto before = fleet.orders_run(which);
    load(fleet, core::millis(1000));
    CHECK(fleet.orders_run(which) > before);
}
