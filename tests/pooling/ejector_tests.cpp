#include <plantainward/pooling/ejector.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::millis;

TEST_GROUP(ejector)
{
    boot_instant now{millis(100'000)};
    ejector databases;

    bool fail(const std::string& id, int times, std::size_t database_count = 3)
    {
        bool ejected = false;
        for (int i = 0; i < times; ++i)
            if (databases.record_failure(id, database_count, now))
                ejected = true;
        return ejected;
    }
};

TEST(ejector, a_database_that_keeps_failing_is_ejected_for_some_time)
{
    databases.record_success("b", now);
    CHECK_FALSE(fail("a", 4));
    CHECK(fail("a", 1));
    CHECK(databases.is_ejected("a", now + millis(999)));
    CHECK_FALSE(databases.is_ejected("a", now + millis(1000)));
}

TEST(ejector, single_failures_between_successes_eject_nothing)
{
    databases.record_success("b", now);
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(fail("a", 4));
        databases.record_success("a", now);
    }
}

TEST(ejector, a_returned_database_is_ejected_for_longer_after_few_failures)
{
    // Failure: each return cost as many failures as the first ejection.
    databases.record_success("b", now);
    CHECK(fail("a", 5));
    now += millis(1000);
    databases.record_success("b", now);
    CHECK_FALSE(fail("a", 1));
    CHECK(fail("a", 1));
    CHECK(databases.is_ejected("a", now + millis(1999)));
}

TEST(ejector, no_more_than_a_third_is_ejected)
{
    // Failure: with two of three databases in trouble, the last one got all
    // reads.
    databases.record_success("c", now);
    CHECK(fail("a", 5));
    CHECK_FALSE(fail("b", 20));
    LONGS_EQUAL(1, databases.count(now));
}

TEST(ejector, one_of_two_databases_is_never_ejected)
{
    databases.record_success("b", now);
    CHECK_FALSE(fail("a", 20, 2));
}

TEST(ejector, a_host_with_trouble_at_all_databases_ejects_none)
{
    // Failure: a host that was cut off ejected the databases one by one.
    for (const auto* id : {"a", "b", "c"})
        databases.record_success(id, now);
    now += millis(1);
    for (int i = 0; i < 20; ++i)
        for (const auto* id : {"a", "b", "c"})
            CHECK_FALSE(databases.record_failure(id, 3, now).has_value());
}

TEST(ejector, without_a_recent_answer_of_another_database_none_is_ejected)
{
    databases.record_success("b", now);
    now += millis(1001);
    CHECK_FALSE(fail("a", 20));
}
