#include <plantainward/freshness/mark_log.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using freshness::mark_log;

TEST_GROUP(mark_log)
{
    core::boot_instant start{std::chrono::seconds(100)};

    core::boot_instant at(int ms) const
    {
        return start + millis(ms);
    }
};

TEST(mark_log, the_weakest_young_enough_mark_is_chosen)
{
    mark_log marks;
    marks.add({at(0), {1, 10}});
    marks.add({at(500), {1, 20}});
    marks.add({at(1000), {1, 30}});
    LONGS_EQUAL(20, marks.weakest_since(at(200))->point.position);
    LONGS_EQUAL(30, marks.newest()->point.position);
}

TEST(mark_log, without_a_young_mark_nothing_is_proved)
{
    mark_log marks;
    marks.add({at(0), {1, 10}});
    CHECK_FALSE(marks.weakest_since(at(1)).has_value());
}

TEST(mark_log, an_older_mark_that_comes_late_is_dropped)
{
    mark_log marks;
    marks.add({at(500), {1, 20}});
    marks.add({at(100), {1, 40}});
    LONGS_EQUAL(20, marks.weakest_since(at(0))->point.position);
}

TEST(mark_log, many_marks_stay_bounded_and_keep_the_newest)
{
    mark_log marks;
    for (int i = 0; i < 100'000; ++i)
        marks.add({at(i), {1, static_cast<std::uint64_t>(i)}});
    LONGS_EQUAL(99'999, marks.newest()->point.position);
    CHECK(marks.weakest_since(at(97'000))->since >= at(97'000));
    CHECK(marks.weakest_since(at(97'000))->since <= at(97'300));
}
