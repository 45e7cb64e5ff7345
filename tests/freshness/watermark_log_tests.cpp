#include <plantainward/freshness/watermark_log.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using freshness::watermark_log;

TEST_GROUP(watermark_log)
{
    core::boot_instant start{std::chrono::seconds(100)};

    core::boot_instant at(int ms) const
    {
        return start + millis(ms);
    }
};

TEST(watermark_log, the_oldest_watermark_that_is_recent_enough_is_chosen)
{
    watermark_log watermarks;
    watermarks.add({at(0), {1, 10}});
    watermarks.add({at(500), {1, 20}});
    watermarks.add({at(1000), {1, 30}});
    LONGS_EQUAL(20, watermarks.oldest_since(at(200))->point.position);
    LONGS_EQUAL(30, watermarks.newest()->point.position);
}

TEST(watermark_log, no_watermark_is_returned_when_none_is_recent_enough)
{
    watermark_log watermarks;
    watermarks.add({at(0), {1, 10}});
    CHECK_FALSE(watermarks.oldest_since(at(1)).has_value());
}

TEST(watermark_log, an_older_watermark_that_arrives_late_is_dropped)
{
    watermark_log watermarks;
    watermarks.add({at(500), {1, 20}});
    watermarks.add({at(100), {1, 40}});
    LONGS_EQUAL(20, watermarks.oldest_since(at(0))->point.position);
}

TEST(watermark_log, the_number_of_watermarks_is_limited_and_the_newest_are_kept)
{
    watermark_log watermarks;
    for (int i = 0; i < 100'000; ++i)
        watermarks.add({at(i), {1, static_cast<std::uint64_t>(i)}});
    LONGS_EQUAL(99'999, watermarks.newest()->point.position);
    CHECK(watermarks.oldest_since(at(97'000))->since >= at(97'000));
    CHECK(watermarks.oldest_since(at(97'000))->since <= at(97'300));
}
