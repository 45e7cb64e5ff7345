#include <plantainward/entry/feed_schedule.hpp>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using entry::feed_wait;

namespace
{

// Between the end of a feed and the next one.
constexpr millis batch_pause{300};

/// The ends of a host's feeds within a time after a change.
std::vector<millis> feed_ends(std::size_t rank, std::size_t hosts, millis time)
{
    std::vector<millis> ends;
    for (millis now{0}; now < time; now += batch_pause)
    {
        now += feed_wait(rank, hosts, now);
        ends.push_back(now);
    }
    return ends;
}

} // namespace

TEST_GROUP(feed_schedule){};

TEST(feed_schedule, some_feed_ends_within_the_spacing_in_a_fleet_of_any_size)
{
    // Guards against feeds that begin together after a change, go silent
    // together and are noticed only when all of them are overdue.
    constexpr millis time{60'000};
    for (std::size_t hosts = 1; hosts <= 100; ++hosts)
    {
        std::vector<millis> ends{millis(0)};
        for (std::size_t rank = 0; rank < hosts; ++rank)
        {
            const auto own_ends = feed_ends(rank, hosts, time);
            ends.insert(ends.end(), own_ends.begin(), own_ends.end());
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t i = 1; i < ends.size(); ++i)
            CHECK(ends[i] - ends[i - 1] <=
                  entry::feed_spacing + (hosts == 1 ? batch_pause : millis(0)));
    }
}

TEST(feed_schedule, a_feed_of_a_large_fleet_is_held_for_the_longest_time)
{
    // Each end costs a call of each host.
    const millis period = entry::max_feed_wait;
    // One end more for the host whose first feed is the shortest.
    LONGS_EQUAL(6, feed_ends(0, 15, period * 5).size());
    LONGS_EQUAL(5, feed_ends(14, 15, period * 5).size());
    for (millis since{0}; since < period * 3; since += millis(7))
    {
        const auto wait = feed_wait(3, 15, since);
        CHECK(wait > millis(0));
        CHECK(wait <= period);
    }
}
