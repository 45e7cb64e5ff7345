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

TEST(watermark_log, the_weakest_young_enough_mark_is_chosen)
{
    watermark_log watermarks;
    watermarks.add({at(0), {1, 10}});
    watermarks.add({at(500), {1, 20}});
    watermarks.add({at(1000), {1, 30}});
    LONGS_EQUAL(20, watermarks.oldest_since(at(200))->point.position);
    LONGS_EQUAL(30, watermarks.newest()->point.position);
}

TEST(watermark_log, without_a_young_mark_nothing_is_proved)
{
    watermark_log watermarks;
    watermarks.add({at(0), {1, 10}});
    CHECK_FALSE(watermarks.oldest_since(at(1)).has_value());
}

TEST(watermark_log, an_older_mark_that_comes_late_is_dropped)
{
    watermark_log watermarks;
    watermarks.add({at(500), {1, 20}});
    watermarks.add({at(100), {1, 40}});
    LONGS_EQUAL(20, watermarks.oldest_since(at(0))->point.position);
}

TEST(watermark_log, many_marks_stay_bounded_and_keep_the_newest)
{
    watermark_log watermarks;
    for (int i = 0; i < 100'000; ++i)
        watermarks.add({at(i), {1, static_cast<std::uint64_t>(i)}});
    LONGS_EQUAL(99'999, watermarks.newest()->point.position);
    CHECK(watermarks.oldest_since(at(97'000))->since >= at(97'000));
    CHECK(watermarks.oldest_since(at(97'000))->since <= at(97'300));
}
