#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

const std::vector<fault_case> faults{
    {"nothing",
     [](simulation&, int) {
     }},
    {"the replicas lag differently",
     [](simulation& fleet, int primary) {
         fleet.set_lag((primary + 1) % 3, core::millis(300));
         fleet.set_lag((primary + 2) % 3, core::millis(2000));
     }},
    {"one replica stops",
     [](simulation& fleet, int primary) {
         fleet.cut_replication((primary + 1) % 3, true);
     }},
    {"the primary is killed",
     [](simulation& fleet, int primary) {
         fleet.kill_database(primary);
     }},
    {"the primary is frozen",
     [](simulation& fleet, int primary) {
         fleet.freeze_database(primary, true);
     }},
    {"the primary is cut off from its replicas",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
     }},
    {"the coordinator dies",
     [](simulation& fleet, int) {
         fleet.kill_host(0);
     }},
    {"the coordinator pauses",
     [](simulation& fleet, int) {
         fleet.pause_host(0, core::millis(1500));
     }},
    {"the coordinator dies and the primary with it",
     [](simulation& fleet, int primary) {
         fleet.kill_host(0);
         fleet.kill_database(primary);
     }},
    {"a replica is killed and the other lags",
     [](simulation& fleet, int primary) {
         fleet.kill_database((primary + 1) % 3);
         fleet.set_lag((primary + 2) % 3, core::millis(500));
     }},
};

} // namespace

// Guards against a session that reads data older than its own writes, from a
// lagging replica or after a failover.
TEST_GROUP(read_your_writes){};

TEST(read_your_writes, a_roaming_session_sees_what_it_saved_under_any_fault)
{
    for (const auto& row : faults)
        for (int reader = 0; reader < 2; ++reader)
        {
            auto fleet = ready_simulation();
            const auto saved =
                fleet.send_and_wait(0, put("job/1", "grind", "id-1"));
            CHECK_TEXT(!saved.error, row.name);
            row.inject(fleet, *fleet.primary());
            auto read = get("job/1", coordinator::freshness::session);
            read.session = saved.seen;
            const auto seen = fleet.send_and_wait(reader, read);
            CHECK_TEXT(!seen.error, row.name);
            STRCMP_EQUAL_TEXT("grind", value_of(seen).c_str(), row.name);
        }
}

TEST(read_your_writes, a_replica_behind_the_session_is_not_read)
{
    auto fleet = ready_simulation();
    const int primary = *fleet.primary();
    fleet.cut_replication((primary + 1) % 3, true);
    for (int i = 0; i < 20; ++i)
    {
        const auto value = std::to_string(i);
        const auto saved =
            fleet.send_and_wait(0, put("job/1", value, "id-" + value));
        auto read = get("job/1", coordinator::freshness::session);
        read.session = saved.seen;
        STRCMP_EQUAL(value.c_str(),
                     value_of(fleet.send_and_wait(1, read)).c_str());
    }
}

TEST(read_your_writes, a_token_of_a_future_term_is_never_regarded_as_reached)
{
    auto fleet = ready_simulation();
    auto read = get("job/1", coordinator::freshness::session);
    read.session = {99, 1};
    read.time_left = core::millis(300);
    const auto reply = fleet.send_and_wait(0, read);
    CHECK(is_not_run(reply));
}

TEST(read_your_writes, session_reads_are_served_by_replicas_that_are_caught_up)
{
    auto fleet = ready_simulation();
    const auto saved = fleet.send_and_wait(0, put("job/1", "grind", "id-1"));
    fleet.run_for(core::millis(200));
    auto read = get("job/1", coordinator::freshness::session);
    read.session = saved.seen;
    CHECK(fleet.send_and_wait(0, read).from_replica);
}
