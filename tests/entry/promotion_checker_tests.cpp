#include <support/promotion_checker.hpp>

#include <CppUTest/TestHarness.h>

using plantainward::core::boot_instant;
using plantainward::core::millis;
using support::observed_promotion;
using support::promotion_checker;

namespace
{

boot_instant at(int ms)
{
    return boot_instant(std::chrono::seconds(1000)) + millis(ms);
}

observed_promotion call(const char* host, std::uint64_t token, int ms)
{
    return {"ledger", host, token, "db-b", at(ms), at(ms)};
}

} // namespace

TEST_GROUP(promotion_checker)
{
    promotion_checker checker;

    void setup() override
    {
        checker.set_store("store");
    }
};

TEST(promotion_checker, one_host_may_promote_again_with_a_higher_token)
{
    LONGS_EQUAL(0, checker.on_arrival(call("host-0", 5, 0)).size());
    LONGS_EQUAL(0, checker.on_arrival(call("host-0", 6, 100)).size());
}

TEST(promotion_checker, a_lower_or_equal_token_is_a_fault)
{
    checker.on_arrival(call("host-0", 5, 0));
    LONGS_EQUAL(1, checker.on_arrival(call("host-0", 5, 100)).size());
    LONGS_EQUAL(1, checker.on_arrival(call("host-0", 4, 20'000)).size());
    checker.disturb_until("host-1", at(39'000));
    LONGS_EQUAL(1, checker.on_arrival(call("host-1", 3, 40'000)).size());
}

TEST(promotion_checker, a_token_that_two_hosts_use_is_a_fault)
{
    checker.on_arrival(call("host-0", 5, 0));
    auto other = call("host-1", 5, 60'000);
    other.service = "another";
    LONGS_EQUAL(1, checker.on_arrival(other).size());
}

TEST(promotion_checker, undisturbed_hosts_that_take_turns_are_a_fault)
{
    checker.on_arrival(call("host-0", 5, 0));
    LONGS_EQUAL(1, checker.on_arrival(call("host-1", 6, 9'999)).size());
    LONGS_EQUAL(0, checker.on_arrival(call("host-0", 7, 19'999)).size());
}

TEST(promotion_checker,
     hosts_may_take_turns_after_a_disturbance_of_host_or_store)
{
    checker.on_arrival(call("host-0", 5, 0));
    checker.disturb_until("host-0", at(100));
    LONGS_EQUAL(0, checker.on_arrival(call("host-1", 6, 1'000)).size());
    checker.begin_disturbance("store", "slow");
    LONGS_EQUAL(0, checker.on_arrival(call("host-2", 7, 8'000)).size());
    checker.end_disturbance("store", "slow", at(9'000));
    LONGS_EQUAL(0, checker.on_arrival(call("host-1", 8, 13'000)).size());
    LONGS_EQUAL(0, checker.on_arrival(call("host-2", 9, 24'000)).size());
    LONGS_EQUAL(1, checker.on_arrival(call("host-1", 10, 25'000)).size());
}

TEST(promotion_checker, a_write_at_a_replaced_primary_must_not_be_acknowledged)
{
    checker.on_commit("1", "db-a", "db-a", at(0));
    checker.on_commit("2", "db-a", "db-b", at(10));
    CHECK_FALSE(checker.on_acknowledged("1", "host-0").has_value());
    CHECK(checker.on_acknowledged("2", "host-0").has_value());
}
