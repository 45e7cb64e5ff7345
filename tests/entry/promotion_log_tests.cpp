#include <support/fleet_world.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;
using observe::log_event;

namespace
{

/// A fleet that keeps what its hosts tell.
struct told_world : fleet_world
{
    told_world() : fleet_world(5, 1)
    {
        for (std::size_t i = 0; i < host_count(); ++i)
            host(host_name(i)).observe([this](const entry::belief& one) {
                told.push_back(one);
            });
        run_for(millis(2000));
    }

    const entry::belief* find(log_event event) const
    {
        const auto found =
            std::find_if(told.begin(), told.end(),
                         [&](const auto& one) { return one.event == event; });
        return found == told.end() ? nullptr : &*found;
    }

    std::vector<entry::belief> told;
};

std::string input(const entry::belief& one, std::string_view name)
{
    for (const auto& [known, value] : one.inputs)
        if (known == name)
            return value;
    return {};
}

} // namespace

TEST_GROUP(promotion_log){};

TEST(promotion_log, the_start_and_the_end_of_a_call_carry_the_same_token)
{
    told_world world;
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

TEST(promotion_log, the_end_of_a_claim_tells_its_reason_and_last_stage)
{
    told_world world;
    world.crash_database("db-a");
    world.run_for(millis(3000));
    const auto found =
        std::find_if(world.told.begin(), world.told.end(), [](const auto& one) {
            return one.event == log_event::claim_ended &&
                   input(one, "cause") == "lost";
        });
    CHECK(found != world.told.end());
    STRCMP_EQUAL("settled", found->detail.c_str());
    STRCMP_EQUAL("settling", input(*found, "stage").c_str());
}
