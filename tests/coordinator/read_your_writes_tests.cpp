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
     [](simulation& w, int primary) {
         w.set_lag((primary + 1) % 3, core::millis(300));
         w.set_lag((primary + 2) % 3, core::millis(2000));
     }},
    {"one replica stops",
     [](simulation& w, int primary) {
         w.cut_replication((primary + 1) % 3, true);
     }},
    {"the primary is killed",
     [](simulation& w, int primary) {
         w.kill_database(primary);
     }},
    {"the primary is frozen",
     [](simulation& w, int primary) {
         w.freeze_database(primary, true);
     }},
    {"the primary is cut off from its replicas",
     [](simulation& w, int primary) {
         w.cut_replication(primary, true);
     }},
    {"the coordinator dies",
     [](simulation& w, int) {
         w.kill_host(0);
     }},
    {"the coordinator pauses",
     [](simulation& w, int) {
         w.pause_host(0, core::millis(1500));
     }},
    {"the coordinator dies and the primary with it",
     [](simulation& w, int primary) {
         w.kill_host(0);
         w.kill_database(primary);
     }},
    {"a replica is killed and the other lags",
     [](simulation& w, int primary) {
         w.kill_database((primary + 1) % 3);
         w.set_lag((primary + 2) % 3, core::millis(500));
     }},
};

} // namespace

TEST_GROUP(read_your_writes){};

TEST(read_your_writes, a_roaming_session_sees_what_it_saved_under_any_fault)
{
    for (const auto& row : faults)
        for (int reader = 0; reader < 2; ++reader)
        {
            auto fleet = ready_simulation();
            const auto saved = fleet.ask(0, put("job/1", "grind", "id-1"));
            CHECK_TEXT(!saved.error, row.name);
            row.strike(fleet, *fleet.primary());
            auto read = get("job/1", coordinator::freshness::session);
            read.session = saved.seen;
            const auto seen = fleet.ask(reader, read);
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
        const auto saved = fleet.ask(0, put("job/1", value, "id-" + value));
        auto read = get("job/1", coordinator::freshness::session);
        read.session = saved.seen;
        STRCMP_EQUAL(value.c_str(), value_of(fleet.ask(1, read)).c_str());
    }
}

TEST(read_your_writes, a_token_of_a_term_to_come_is_never_taken_as_reached)
{
    auto fleet = ready_simulation();
    auto read = get("job/1", coordinator::freshness::session);
    read.session = {99, 1};
    read.time_left = core::millis(300);
    const auto reply = fleet.ask(0, read);
    CHECK(is_not_run(reply));
}

TEST(read_your_writes, session_reads_are_served_by_replicas_when_they_can_be)
{
    auto fleet = ready_simulation();
    const auto saved = fleet.ask(0, put("job/1", "grind", "id-1"));
    fleet.run_for(core::millis(200));
    auto read = get("job/1", coordinator::freshness::session);
    read.session = saved.seen;
    CHECK(fleet.ask(0, read).from_replica);
}
