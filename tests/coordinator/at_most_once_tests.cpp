#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

const std::vector<fault_case> faults{
    {"the answer is lost after the commit",
     [](simulation& fleet, int primary) {
         fleet.lose_next_answer(primary);
     }},
    {"two answers are lost",
     [](simulation& fleet, int primary) {
         fleet.lose_next_answer(primary);
         fleet.lose_next_answer(primary);
     }},
    {"the primary is killed while the booking is in flight",
     [](simulation& fleet, int primary) {
         fleet.after(core::millis(3),
                     [&fleet, primary] { fleet.kill_database(primary); });
     }},
    {"the primary is frozen and resumes after the failover",
     [](simulation& fleet, int primary) {
         fleet.after(core::millis(3), [&fleet, primary] {
             fleet.freeze_database(primary, true);
         });
         fleet.after(core::millis(2500), [&fleet, primary] {
             fleet.freeze_database(primary, false);
         });
     }},
    {"the primary is cut off from its replicas",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
     }},
    {"the coordinator dies while the booking is in flight",
     [](simulation& fleet, int) {
         fleet.after(core::millis(6), [&fleet] { fleet.kill_host(0); });
     }},
    {"the coordinator pauses while the booking is in flight",
     [](simulation& fleet, int) {
         fleet.after(core::millis(6),
                     [&fleet] { fleet.pause_host(0, core::millis(1500)); });
     }},
    {"the primary is cut off from the coordinator",
     [](simulation& fleet, int primary) {
         fleet.cut(0, primary, true);
     }},
};

} // namespace

// Guards against a write that runs twice, because its answer was lost and the
// caller or the coordinator repeated it.
TEST_GROUP(at_most_once){};

TEST(at_most_once, a_booking_with_an_id_runs_once_under_any_fault)
{
    for (const auto& row : faults)
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            simulation_options options;
            options.seed = seed;
            auto fleet = ready_simulation(options);
            row.inject(fleet, *fleet.primary());
            // The caller repeats the request through the other gateway until it
            // is answered.
            auto request = add("count", "booking-1");
            request.time_left = core::millis(3000);
            coordinator::caller_reply reply;
            for (int attempt = 0; attempt < 4; ++attempt)
            {
                reply = fleet.send_and_wait(attempt % 2, request);
                if (!reply.error)
                    break;
            }
            CHECK_TEXT(!reply.error, row.name);
            fleet.heal();
            STRCMP_EQUAL_TEXT(
                "1", value_of(fleet.send_and_wait(1, get("count"))).c_str(),
                row.name);
        }
}

TEST(at_most_once, a_write_without_an_id_is_never_sent_again)
{
    for (const auto& row : faults)
    {
        auto fleet = ready_simulation();
        row.inject(fleet, *fleet.primary());
        const auto reply = fleet.send_and_wait(0, add("count", ""));
        fleet.heal();
        const auto value = value_of(fleet.send_and_wait(1, get("count")));
        if (!reply.error)
            STRCMP_EQUAL_TEXT("1", value.c_str(), row.name);
        else if (is_not_run(reply))
            STRCMP_EQUAL_TEXT("", value.c_str(), row.name);
        else
            CHECK_TEXT(value.empty() || value == "1", row.name);
    }
}

TEST(at_most_once, two_concurrent_copies_run_once_and_get_the_same_answer)
{
    auto fleet = ready_simulation();
    std::vector<std::string> values;
    for (int gateway = 0; gateway < 2; ++gateway)
        fleet.send(gateway, add("count", "booking-1"),
                   [&](const coordinator::caller_reply& reply) {
                       values.push_back(value_of(reply));
                   });
    fleet.run_for(core::millis(1000));
    CHECK(values == std::vector<std::string>({"1", "1"}));
}

TEST(at_most_once, an_id_with_other_content_is_refused)
{
    auto fleet = ready_simulation();
    fleet.send_and_wait(0, put("job/1", "grind", "booking-1"));
    const auto reply =
        fleet.send_and_wait(1, put("job/1", "smooth", "booking-1"));
    CHECK(reply.error == core::error_kind::id_reused);
    STRCMP_EQUAL("grind",
                 value_of(fleet.send_and_wait(0, get("job/1"))).c_str());
}

TEST(at_most_once, a_write_that_a_failover_discarded_runs_again_under_its_id)
{
    auto fleet = ready_simulation();
    const int old_primary = *fleet.primary();
    fleet.cut_replication(old_primary, true);
    auto request = add("count", "booking-1");
    request.time_left = core::millis(50);
    CHECK(fleet.send_and_wait(0, request).error ==
          core::error_kind::outcome_unknown);
    fleet.run_for(core::millis(3000));
    CHECK(*fleet.primary() != old_primary);
    request.time_left = core::millis(5000);
    const auto again = fleet.send_and_wait(1, request);
    CHECK(!again.error && !again.replayed);
    fleet.heal();
    STRCMP_EQUAL("1", value_of(fleet.send_and_wait(0, get("count"))).c_str());
}

TEST(at_most_once, a_repeat_after_a_failover_gets_the_first_answer)
{
    auto fleet = ready_simulation();
    const auto first = fleet.send_and_wait(0, add("count", "booking-1"));
    fleet.send_and_wait(0, add("count", "booking-2"));
    fleet.kill_database(*fleet.primary());
    const auto again = fleet.send_and_wait(1, add("count", "booking-1"));
    CHECK(again.replayed);
    STRCMP_EQUAL(value_of(first).c_str(), value_of(again).c_str());
}
