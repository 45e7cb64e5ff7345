#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fault under which a request is refused, with the expected error.
struct refusal_case
{
    const char* name;
    core::error_kind expected;
    std::function<void(simulation&, int primary)> inject;
};

const std::vector<refusal_case> refusals{
    {"no majority is left", core::error_kind::deadline_passed,
     [](simulation& fleet, int primary) {
         fleet.kill_database(primary);
         fleet.kill_database((primary + 1) % 3);
         fleet.run_for(core::millis(1500));
     }},
    {"the statement fails", core::error_kind::statement_failed,
     [](simulation& fleet, int) {
         fleet.send_and_wait(0, put("job/1", "taken", "other"));
     }},
    {"the coordinators are draining", core::error_kind::unavailable,
     [](simulation& fleet, int) {
         fleet.coordinator_at(0).start_drain();
         fleet.coordinator_at(1).start_drain();
     }},
};

} // namespace

// Guards against a reply that says that nothing ran, although the request ran
// or may still run: the caller would repeat it, and it would run twice.
TEST_GROUP(not_run){};

TEST(not_run, a_request_reported_as_not_run_never_runs)
{
    for (const auto& row : refusals)
    {
        auto fleet = ready_simulation();
        row.inject(fleet, *fleet.primary());
        auto request =
            make_request({{upstream::verb::put_if_absent, "job/1", "grind", 0},
                          {upstream::verb::put, "ran", "yes", 0}});
        request.time_left = core::millis(400);
        const auto reply = fleet.send_and_wait(0, request);
        CHECK_TEXT(reply.error == row.expected, row.name);
        fleet.heal();
        for (int i = 0; i < 3; ++i)
            for (const auto& entry : fleet.database(i).member(0).log())
                for (const auto& [key, value] : entry.writes)
                    CHECK_TEXT(key != "ran", row.name);
    }
}

TEST(not_run, a_lost_answer_is_reported_as_unknown)
{
    auto fleet = ready_simulation();
    fleet.lose_next_answer(*fleet.primary());
    auto request = put("job/1", "grind", "");
    request.time_left = core::millis(300);
    CHECK(fleet.send_and_wait(0, request).error ==
          core::error_kind::outcome_unknown);
}

TEST(not_run, an_unconfirmed_commit_is_reported_as_unknown_at_its_deadline)
{
    for (const char* id : {"", "booking-1"})
    {
        auto fleet = ready_simulation();
        fleet.cut_replication(*fleet.primary(), true);
        auto request = put("job/1", "grind", id);
        request.time_left = core::millis(100);
        CHECK(fleet.send_and_wait(0, request).error ==
              core::error_kind::outcome_unknown);
    }
}

TEST(not_run, a_request_past_its_deadline_is_dropped_before_it_runs)
{
    auto fleet = ready_simulation();
    const int primary = *fleet.primary();
    fleet.kill_database(primary);
    fleet.kill_database((primary + 1) % 3);
    fleet.run_for(core::millis(1000));
    auto request = put("job/1", "grind", "booking-1");
    request.time_left = core::millis(100);
    CHECK(is_not_run(fleet.send_and_wait(0, request)));
    fleet.heal();
    STRCMP_EQUAL("", value_of(fleet.send_and_wait(0, get("job/1"))).c_str());
}

TEST(not_run, a_request_that_gets_no_connection_in_time_is_shed)
{
    simulation_options options;
    options.connections = 2;
    auto fleet = ready_simulation(options);
    // Interactive transactions use up all connections of both hosts.
    for (int i = 0; i < 2; ++i)
    {
        auto begin = make_request({});
        begin.kind = coordinator::request_kind::begin;
        CHECK(!fleet.send_and_wait(i, begin).error);
    }
    const auto reply =
        fleet.send_and_wait(0, put("job/1", "grind", "booking-1"));
    CHECK(reply.error == core::error_kind::overloaded);
}
