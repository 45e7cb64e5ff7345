#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// Runs until a write succeeds and returns the time that it took.
core::millis gap_after(simulation& fleet)
{
    const auto start = fleet.now();
    for (int i = 0;; ++i)
    {
        auto request = put("key", "value", "probe-" + std::to_string(i));
        request.time_left = core::millis(3000);
        if (!fleet.send_and_wait(1, request).error)
            break;
    }
    return std::chrono::duration_cast<core::millis>(fleet.now() - start);
}

struct gap_case
{
    const char* name;
    core::millis max_gap;
    std::function<void(simulation&, int primary)> inject;
};

const std::vector<gap_case> losses{
    {"killed", core::millis(500),
     [](simulation& fleet, int primary) {
         fleet.kill_database(primary);
     }},
    {"frozen", core::millis(1000),
     [](simulation& fleet, int primary) {
         fleet.freeze_database(primary, true);
     }},
    {"cut off from its replicas", core::millis(1000),
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
     }},
    {"cut off from all hosts", core::millis(1000),
     [](simulation& fleet, int primary) {
         for (int host = 0; host < 3; ++host)
             fleet.cut(host, primary, true);
     }},
};

simulation three_hosts(std::uint64_t seed = 1)
{
    simulation_options options;
    options.hosts = 3;
    options.seed = seed;
    return ready_simulation(options);
}

} // namespace

// Guards against primaries that are replaced too late, without need, or by two
// databases at the same term.
TEST_GROUP(failover){};

TEST(failover, a_lost_primary_is_replaced_within_its_bound)
{
    for (const auto& row : losses)
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            auto fleet = three_hosts(seed);
            const int lost = *fleet.primary();
            row.inject(fleet, lost);
            CHECK_TEXT(gap_after(fleet) <= row.max_gap, row.name);
            CHECK_TEXT(*fleet.primary() != lost, row.name);
        }
}

TEST(failover, a_primary_that_stalls_for_200_ms_is_not_replaced)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        auto fleet = three_hosts(seed);
        const int before = fleet.promotions();
        const int primary = *fleet.primary();
        fleet.freeze_database(primary, true);
        fleet.run_for(core::millis(200));
        fleet.freeze_database(primary, false);
        fleet.run_for(core::millis(2000));
        LONGS_EQUAL(before, fleet.promotions());
    }
}

TEST(failover, a_watcher_that_was_paused_itself_starts_no_claim)
{
    auto fleet = three_hosts();
    const int before = fleet.promotions();
    for (int host = 0; host < 3; ++host)
        fleet.pause_host(host, core::millis(1500));
    fleet.run_for(core::millis(4000));
    LONGS_EQUAL(before, fleet.promotions());
}

TEST(failover, one_watcher_that_cannot_reach_the_primary_is_not_enough)
{
    auto fleet = three_hosts();
    const int before = fleet.promotions();
    fleet.cut(0, *fleet.primary(), true);
    fleet.run_for(core::millis(3000));
    LONGS_EQUAL(before, fleet.promotions());
}

TEST(failover, a_claimant_that_dies_at_any_step_is_replaced_by_another)
{
    for (int step = 0; step < 40; step += 2)
    {
        auto fleet = three_hosts(static_cast<std::uint64_t>(step) + 1);
        fleet.kill_database(*fleet.primary());
        const auto before = fleet.events.size();
        fleet.run_until(
            [&] {
                for (auto i = before; i < fleet.events.size(); ++i)
                    if (fleet.events[i].kind ==
                        observe::event_kind::claim_started)
                        return true;
                return false;
            },
            core::millis(2000));
        fleet.run_for(core::millis(step / 2));
        fleet.kill_host(0);
        fleet.pause_host(0, core::millis(3000));
        CHECK(gap_after(fleet) <= core::millis(1500));
    }
}

TEST(failover, racing_claimants_end_with_one_primary_of_each_term)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        auto fleet = three_hosts(seed);
        fleet.kill_database(*fleet.primary());
        // Each host believes that it is the only watcher.
        for (int host = 0; host < 3; ++host)
        {
            const auto name = fleet.host_named(host).name;
            fleet.monitor_at(host).set_watchers({name}, name);
        }
        CHECK(gap_after(fleet) <= core::millis(3000));
        std::map<upstream::term_number, int> primaries;
        for (int i = 0; i < 3; ++i)
        {
            const auto status = fleet.database(i).member(0).status();
            if (status.acting == upstream::role::primary)
                ++primaries[status.granted];
        }
        for (const auto& [term, count] : primaries)
            LONGS_EQUAL(1, count);
    }
}

TEST(failover, nothing_is_promoted_without_a_majority)
{
    auto fleet = three_hosts();
    const int primary = *fleet.primary();
    const int before = fleet.promotions();
    fleet.kill_database(primary);
    fleet.kill_database((primary + 1) % 3);
    fleet.run_for(core::millis(5000));
    LONGS_EQUAL(before, fleet.promotions());
    fleet.restart_database((primary + 1) % 3);
    CHECK(gap_after(fleet) <= core::millis(3000));
}

TEST(failover, a_returning_old_primary_follows_and_discards_its_tail)
{
    auto fleet = three_hosts();
    const int old_primary = *fleet.primary();
    fleet.cut_replication(old_primary, true);
    auto write = put("tail", "lost", "");
    write.time_left = core::millis(50);
    fleet.send_and_wait(0, write);
    CHECK(gap_after(fleet) <= core::millis(3000));
    fleet.heal();
    const auto status = fleet.database(old_primary).member(0).status();
    CHECK(status.acting == upstream::role::replica);
    CHECK(status.last ==
          fleet.database(*fleet.primary()).member(0).status().last);
    STRCMP_EQUAL("", value_of(fleet.send_and_wait(0, get("tail"))).c_str());
}

TEST(failover, a_database_that_came_back_is_used_at_once_when_it_is_promoted)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        auto fleet = three_hosts(seed);
        const int first = *fleet.primary();
        fleet.kill_database(first);
        CHECK(gap_after(fleet) <= core::millis(500));
        fleet.run_for(core::millis(2400));
        fleet.restart_database(first);
        // Long enough for the database to catch up, but shorter than the
        // longest backoff of the connection pools.
        fleet.run_until(
            [&] {
                return fleet.database(first).member(0).status().last ==
                       fleet.database(*fleet.primary()).member(0).status().last;
            },
            core::millis(2000));
        fleet.kill_database(*fleet.primary());
        CHECK(gap_after(fleet) <= core::millis(200));
    }
}
