#include <support/fleet_world.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;
using observe::log_event;

namespace
{

/// A fleet that records the events that its hosts report.
struct observed_world : fleet_world
{
    observed_world() : fleet_world(5, 1)
    {
        for (std::size_t i = 0; i < host_count(); ++i)
            host(host_name(i))
                .observe([this](const entry::host_event& reported) {
                    events.push_back(reported);
                });
        run_for(millis(2000));
    }

    const entry::host_event* find(log_event event) const
    {
        const auto found = std::find_if(
            events.begin(), events.end(),
            [&](const auto& reported) { return reported.event == event; });
        return found == events.end() ? nullptr : &*found;
    }

    std::vector<entry::host_event> events;
};

std::string input(const entry::host_event& event, std::string_view name)
{
    for (const auto& [input_name, value] : event.inputs)
        if (input_name == name)
            return value;
    return {};
}

} // namespace

TEST_GROUP(promotion_log){};

TEST(promotion_log, the_events_of_one_promotion_call_have_the_same_token)
{
    observed_world world;
    world.crash_database("db-a");
    world.run_for(millis(3000));
    const auto* sent = world.find(log_event::promotion_sent);
    const auto* ended = world.find(log_event::promotion);
    CHECK(sent != nullptr);
    CHECK(ended != nullptr);
    CHECK(!input(*sent, "token").empty());
    STRCMP_EQUAL(input(*sent, "token").c_str(), input(*ended, "token").c_str());
    STRCMP_EQUAL("accepted", ended->detail.c_str());
    CHECK(!input(*sent, "since_write_ms").empty());
}

TEST(promotion_log, the_event_of_an_ended_claim_has_its_outcome_and_last_stage)
{
    observed_world world;
    world.crash_database("db-a");
    world.run_for(millis(3000));
    const auto found = std::find_if(
        world.events.begin(), world.events.end(), [](const auto& reported) {
            return reported.event == log_event::claim_ended &&
                   input(reported, "cause") == "lost";
        });
    CHECK(found != world.events.end());
    STRCMP_EQUAL("settled", found->detail.c_str());
    STRCMP_EQUAL("settling", input(*found, "stage").c_str());
}
