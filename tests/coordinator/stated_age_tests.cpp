#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

coordinator::caller_request aged(core::millis age)
{
    auto read = get("sling/1", coordinator::freshness::max_age);
    read.max_age = age;
    read.time_left = core::millis(300);
    return read;
}

const std::vector<fault_case> faults{
    {"a replica stops",
     [](simulation& fleet, int primary) {
         fleet.cut_replication((primary + 1) % 3, true);
     }},
    {"a replica lags by 3 s",
     [](simulation& fleet, int primary) {
         fleet.set_lag((primary + 1) % 3, core::millis(3000));
     }},
    {"the primary is cut off from its replicas",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
     }},
    {"the primary is frozen",
     [](simulation& fleet, int primary) {
         fleet.freeze_database(primary, true);
     }},
    {"the coordinator was paused",
     [](simulation& fleet, int) {
         fleet.pause_host(0, core::millis(1000));
     }},
};

} // namespace

// Guards against reads that are older than the caller allows, because a replica
// lags or the primary was replaced.
TEST_GROUP(stated_age){};

TEST(stated_age, no_read_is_older_than_the_caller_allowed)
{
    for (const auto& row : faults)
        for (const core::millis age :
             {core::millis(50), core::millis(300), core::millis(1000)})
        {
            auto fleet = ready_simulation();
            fleet.send_and_wait(1, put("sling/1", "0", "id-0"));
            row.inject(fleet, *fleet.primary());
            std::vector<std::pair<core::instant, int>> written;
            for (int i = 1; i < 25; ++i)
            {
                auto write = put("sling/1", std::to_string(i),
                                 "id-" + std::to_string(i));
                write.time_left = core::millis(3000);
                if (!fleet.send_and_wait(1, write).error)
                    written.emplace_back(fleet.now(), i);
                const auto seen = fleet.send_and_wait(0, aged(age));
                if (seen.error)
                    continue;
                int oldest_allowed = 0;
                // The answer takes up to 4 ms to reach the caller.
                for (const auto& [when, value] : written)
                    if (when <= fleet.now() - age - core::millis(5))
                        oldest_allowed = value;
                CHECK_TEXT(std::atoi(value_of(seen).c_str()) >= oldest_allowed,
                           row.name);
            }
        }
}

TEST(stated_age, replicas_serve_when_the_age_is_proved)
{
    auto fleet = ready_simulation();
    fleet.send_and_wait(0, put("sling/1", "1", "id-1"));
    fleet.run_for(core::millis(500));
    const auto seen = fleet.send_and_wait(0, aged(core::millis(1000)));
    CHECK(seen.from_replica);
    CHECK(seen.age_ms <= 1000);
}

TEST(stated_age, a_replica_ten_seconds_behind_is_not_used)
{
    auto fleet = ready_simulation();
    const int primary = *fleet.primary();
    fleet.set_lag((primary + 1) % 3, core::millis(10'000));
    for (int i = 0; i < 30; ++i)
        fleet.send_and_wait(
            0, put("sling/1", std::to_string(i), "id-" + std::to_string(i)));
    int by_replica = 0;
    for (int i = 0; i < 50; ++i)
    {
        const auto seen = fleet.send_and_wait(0, aged(core::millis(2000)));
        CHECK(!seen.error);
        by_replica += seen.from_replica ? 1 : 0;
        fleet.run_for(core::millis(20));
    }
    CHECK(by_replica >= 45);
}

TEST(stated_age, a_read_is_refused_when_no_age_can_be_proved)
{
    auto fleet = ready_simulation();
    fleet.send_and_wait(0, put("sling/1", "1", "id-1"));
    const int primary = *fleet.primary();
    fleet.kill_database(primary);
    fleet.kill_database((primary + 1) % 3);
    fleet.run_for(core::millis(2000));
    CHECK(is_not_run(fleet.send_and_wait(0, aged(core::millis(500)))));
}
