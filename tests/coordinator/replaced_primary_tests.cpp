#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// Faults that replace the primary while a coordinator still regards the old
/// one as primary.
const std::vector<fault_case> replacements{
    {"the old primary is cut off from its replicas",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
     }},
    {"the old primary is cut off from the other host and its replicas",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
         fleet.cut(1, primary, true);
     }},
    {"the coordinator is paused across the whole failover",
     [](simulation& fleet, int primary) {
         fleet.pause_host(0, core::millis(3000));
         fleet.freeze_database(primary, true);
         fleet.run_for(core::millis(2900));
         fleet.freeze_database(primary, false);
     }},
    {"the old primary and the coordinator see each other only",
     [](simulation& fleet, int primary) {
         fleet.cut(0, (primary + 1) % 3, true);
         fleet.cut(0, (primary + 2) % 3, true);
         fleet.cut(1, primary, true);
         fleet.cut(2, primary, true);
         fleet.cut_replication(primary, true);
     }},
    {"the coordinator sees the old primary only",
     [](simulation& fleet, int primary) {
         fleet.cut(0, (primary + 1) % 3, true);
         fleet.cut(0, (primary + 2) % 3, true);
         fleet.cut_replication(primary, true);
     }},
};

/// Three hosts, so that two watchers are a majority when one is cut off.
simulation three_hosts()
{
    simulation_options options;
    options.hosts = 3;
    return ready_simulation(options);
}

} // namespace

// Guards against a coordinator that keeps using a primary which was replaced:
// acknowledged writes would be lost and reads would be stale.
TEST_GROUP(replaced_primary){};

TEST(replaced_primary, no_write_is_acknowledged_that_the_new_primary_lacks)
{
    for (const auto& row : replacements)
    {
        auto fleet = three_hosts();
        row.inject(fleet, *fleet.primary());
        std::vector<std::string> acknowledged;
        for (int i = 0; i < 20; ++i)
        {
            const auto id = "id-" + std::to_string(i);
            auto request = put("key/" + id, "saved", i % 2 == 0 ? id : "");
            request.time_left = core::millis(200);
            if (!fleet.send_and_wait(i % 3 == 0 ? 1 : 0, request).error)
                acknowledged.push_back("key/" + id);
            fleet.run_for(core::millis(100));
        }
        fleet.heal();
        for (const auto& key : acknowledged)
            STRCMP_EQUAL_TEXT(
                "saved", value_of(fleet.send_and_wait(0, get(key))).c_str(),
                row.name);
    }
}

TEST(replaced_primary, a_latest_read_does_not_show_what_was_overwritten)
{
    for (const auto& row : replacements)
    {
        auto fleet = three_hosts();
        fleet.send_and_wait(0, put("sling/1", "on the shelf", "id-1"));
        row.inject(fleet, *fleet.primary());
        auto lend = put("sling/1", "lent", "id-2");
        lend.time_left = core::millis(5000);
        const auto lent = fleet.send_and_wait(1, lend);
        auto read = get("sling/1");
        read.time_left = core::millis(300);
        const auto seen = fleet.send_and_wait(0, read);
        if (!lent.error && !seen.error)
            STRCMP_EQUAL_TEXT("lent", value_of(seen).c_str(), row.name);
    }
}

TEST(replaced_primary, a_stated_age_is_kept_while_the_old_primary_still_answers)
{
    for (const auto& row : replacements)
    {
        auto fleet = three_hosts();
        fleet.send_and_wait(0, put("sling/1", "on the shelf", "id-1"));
        row.inject(fleet, *fleet.primary());
        const auto lent =
            fleet.send_and_wait(1, put("sling/1", "lent", "id-2"));
        CHECK_TEXT(!lent.error, row.name);
        fleet.run_for(core::millis(1200));
        auto read = get("sling/1", coordinator::freshness::max_age);
        read.max_age = core::millis(1000);
        read.time_left = core::millis(400);
        const auto seen = fleet.send_and_wait(0, read);
        if (!seen.error)
            STRCMP_EQUAL_TEXT("lent", value_of(seen).c_str(), row.name);
    }
}

TEST(replaced_primary, an_unconfirmed_commit_is_not_visible_to_reads)
{
    auto fleet = ready_simulation();
    const int primary = *fleet.primary();
    fleet.cut_replication(primary, true);
    auto write = put("job/1", "grind", "id-1");
    write.time_left = core::millis(50);
    CHECK(fleet.send_and_wait(0, write).error ==
          core::error_kind::outcome_unknown);
    auto read = get("job/1");
    read.time_left = core::millis(50);
    CHECK(is_not_run(fleet.send_and_wait(0, read)));
}

TEST(replaced_primary, a_write_waits_while_every_replica_lags)
{
    auto fleet = ready_simulation();
    const int primary = *fleet.primary();
    fleet.set_lag((primary + 1) % 3, core::millis(200));
    fleet.set_lag((primary + 2) % 3, core::millis(200));
    fleet.run_for(core::millis(500));
    const auto start = fleet.now();
    CHECK(!fleet.send_and_wait(0, put("job/1", "grind", "id-1")).error);
    CHECK(fleet.now() - start >= core::millis(150));
}

TEST(replaced_primary,
     writes_do_not_wait_for_a_replica_when_the_primary_acknowledges)
{
    simulation_options options;
    options.acknowledge = upstream::acknowledgement::primary;
    auto fleet = ready_simulation(options);
    const int primary = *fleet.primary();
    fleet.set_lag((primary + 1) % 3, core::millis(400));
    fleet.set_lag((primary + 2) % 3, core::millis(400));
    const auto start = fleet.now();
    CHECK(!fleet.send_and_wait(0, put("job/1", "grind", "id-1")).error);
    CHECK(fleet.now() - start < core::millis(100));
}
