#include <plantainward/succession/succession.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::succession;
using core::boot_instant;
using core::millis;

TEST_GROUP(succession)
{
    boot_instant now{std::chrono::seconds(100)};
    plantainward::succession::succession one{"me", "ledger"};
    succession_view view;

    void setup() override
    {
        one.take({5, leadership_phase::settled, "p", 1, "other"}, now);
        view.claim.upstreams = {{"p", "ledger", {"p", 1}, "a", false, true, 1}};
        view.watchers = 4;
    }

    bool claims()
    {
        now += millis(10);
        one.tick(view, now);
        return one.running().has_value();
    }
};

TEST(succession, a_host_that_watches_needs_its_own_doubt_and_a_majority)
{
    view.doubters = 4;
    CHECK_FALSE(claims());
    view.doubts_primary = true;
    view.doubters = 1;
    CHECK_FALSE(claims());
    view.doubters = 2;
    CHECK(claims());
}

TEST(succession, a_host_that_does_not_watch_needs_a_majority_of_those_that_do)
{
    view.watches = false;
    view.doubters = 2;
    CHECK_FALSE(claims());
    view.doubters = 3;
    CHECK(claims());
}

TEST(succession, without_watchers_nobody_is_taken_for_lost)
{
    view.watches = false;
    view.watchers = 0;
    CHECK_FALSE(claims());
}
