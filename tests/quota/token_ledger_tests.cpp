#include <cmath>
#include <plantainward/quota/token_ledger.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::quota;
using core::boot_instant;
using core::millis;

namespace
{

const voter_domains three_voters{{"v1", "a"}, {"v2", "b"}, {"v3", "c"}};
const voter_domains six_voters{{"v1", "a"}, {"v2", "b"}, {"v3", "c"},
                               {"v4", "a"}, {"v5", "b"}, {"v6", "c"}};

/// The owner "v1" of one workspace with three tokens a second.
struct ledger_case
{
    ledger_case()
    {
        ledger.set_limits({{"shop", {7.5, 7.5}}}, now);
        ledger.set_voters(1, three_voters, now);
        ledger.set_majority_at(now, now);
    }

    /// Lets time pass with proofs of a majority.
    void pass(millis time)
    {
        for (const auto end = now + time; now < end;)
        {
            now += millis(50);
            ledger.set_majority_at(now, now);
            ledger.tick(now);
        }
    }

    std::uint32_t grant(std::uint32_t count = 1000)
    {
        return ledger.request("shop", count, now).count;
    }

    boot_instant now{std::chrono::seconds(100)};
    quota_bounds bounds;
    token_ledger ledger{"v1", bounds};
};

} // namespace

TEST_GROUP(quota_owners){};

TEST(quota_owners, are_in_distinct_failure_domains)
{
    for (const char* workspace : {"a", "b", "c", "d", "e"})
    {
        const auto owners = quota_owners(six_voters, workspace);
        CHECK_EQUAL(3, owners.size());
        CHECK(six_voters.at(owners[0]) != six_voters.at(owners[1]));
        CHECK(six_voters.at(owners[0]) != six_voters.at(owners[2]));
        CHECK(six_voters.at(owners[1]) != six_voters.at(owners[2]));
    }
}

TEST(quota_owners, are_three_voters_of_fewer_domains)
{
    CHECK_EQUAL(
        3, quota_owners({{"v1", "a"}, {"v2", "a"}, {"v3", "b"}, {"v4", "b"}},
                        "shop")
               .size());
    CHECK_EQUAL(2, quota_owners({{"v1", "a"}, {"v2", "a"}}, "shop").size());
}

TEST_GROUP(token_ledger){};

// Guards against a burst that a restarted owner grants a second time.
TEST(token_ledger, starts_empty_and_fills_at_a_third_of_what_a_window_allows)
{
    ledger_case test;
    CHECK(test.ledger.request("shop", 1, test.now).answer ==
          token_answer::retry_later);
    // A window of 5 s allows (7.5 x 5 + 7.5) x 1.1: 3.3 a second for an owner.
    test.pass(millis(2000));
    CHECK_EQUAL(6, test.grant());
}

// Guards against refusals below the limit: a workspace may use all that a
// window allows, in each window.
TEST(token_ledger, three_owners_grant_all_that_windows_allow_without_end)
{
    for (const double rate : {2.0, 9.0, 435.0})
    {
        const auto share = share_of({rate, rate}, {}, 3);
        CHECK(3 * share.rate_per_s >= 6 * rate / 5);
        CHECK(share.capacity >= 2);
    }
}

TEST(token_ledger, holds_no_more_than_its_capacity)
{
    ledger_case test;
    test.pass(millis(60'000));
    const auto share = share_of({7.5, 7.5}, test.bounds, 3);
    CHECK_EQUAL(static_cast<std::uint32_t>(share.capacity), test.grant());
}

TEST(token_ledger, all_owners_together_stay_within_the_bound)
{
    const quota_bounds bounds;
    for (const double rate : {0.1, 2.0, 435.0, 5000.0})
        for (const double burst : {0.0, 1.0, rate, 5 * rate})
        {
            const auto share = share_of({rate, burst}, bounds, 3);
            CHECK(3 * (share.capacity + share.rate_per_s * 5.15) <=
                  max_operations({rate, burst}, bounds) + 1e-6);
        }
}

// Guards against tokens that a suspended owner grants after it was replaced.
TEST(token_ledger, is_empty_after_a_gap_between_calls)
{
    ledger_case test;
    test.pass(millis(10'000));
    test.now += millis(1100);
    CHECK_EQUAL(0, test.grant());
}

TEST(token_ledger, grants_nothing_without_a_majority_for_ten_seconds)
{
    ledger_case test;
    test.pass(millis(2000));
    const auto grant_after = [&](millis time) {
        for (const auto end = test.now + time; test.now < end;)
            test.ledger.tick(test.now += millis(500));
        return test.ledger.request("shop", 1, test.now).answer;
    };
    CHECK(grant_after(millis(10'000)) == token_answer::granted);
    CHECK(grant_after(millis(500)) == token_answer::no_majority);
}

TEST(token_ledger, says_when_it_is_not_an_owner)
{
    ledger_case test;
    CHECK(test.ledger.request("other", 1, test.now).answer ==
          token_answer::not_owner);
    test.ledger.set_voters(2, {{"v2", "b"}, {"v3", "c"}, {"v4", "a"}},
                           test.now);
    CHECK(test.ledger.request("shop", 1, test.now).answer ==
          token_answer::not_owner);
}

// Guards against two owners of one third: the previous one may grant for 10 s
// without knowing of the new set.
TEST(token_ledger, a_new_owner_waits_until_its_predecessor_has_stopped)
{
    ledger_case test;
    test.ledger.set_voters(2, {{"v2", "b"}, {"v3", "c"}, {"v4", "a"}},
                           test.now);
    test.ledger.set_voters(3, three_voters, test.now);
    test.ledger.set_majority_at(test.now, test.now);
    test.pass(millis(9900));
    CHECK(test.ledger.request("shop", 1, test.now).answer ==
          token_answer::no_majority);
    test.pass(millis(200));
    CHECK(test.grant() > 0);
}

// Guards against a proof of an earlier voter set that counts for the new one.
TEST(token_ledger, needs_a_majority_for_the_present_voter_set)
{
    ledger_case test;
    test.pass(millis(2000));
    test.ledger.set_voters(2, three_voters, test.now);
    CHECK(test.ledger.request("shop", 1, test.now).answer ==
          token_answer::no_majority);
    test.ledger.set_majority_at(test.now, test.now);
    CHECK_EQUAL(6, test.grant());
}

TEST(token_ledger, keeps_the_bucket_while_ownership_continues)
{
    ledger_case test;
    test.pass(millis(2000));
    test.ledger.set_limits({{"shop", {7.5, 7.5}}, {"new", {3, 3}}}, test.now);
    CHECK_EQUAL(6, test.grant());
    CHECK_EQUAL(2, test.ledger.owned_count());
}

TEST(token_ledger, a_lowered_limit_cuts_the_bucket_at_once)
{
    ledger_case test;
    test.ledger.set_limits({{"shop", {900, 900}}}, test.now);
    test.pass(millis(10'000));
    test.ledger.set_limits({{"shop", {7.5, 7.5}}}, test.now);
    const auto share = share_of({7.5, 7.5}, test.bounds, 3);
    CHECK_EQUAL(static_cast<std::uint32_t>(share.capacity), test.grant());
}

TEST(token_ledger, a_raised_limit_fills_the_bucket_at_the_new_rate)
{
    ledger_case test;
    test.ledger.set_limits({{"shop", {75, 75}}}, test.now);
    CHECK_EQUAL(0, test.grant());
    test.pass(millis(100));
    CHECK_EQUAL(3, test.grant());
}

TEST(token_ledger, reports_the_time_until_it_has_a_token)
{
    ledger_case test;
    test.pass(millis(1000));
    const auto grant = test.ledger.request("shop", 5, test.now);
    CHECK_EQUAL(3, grant.count);
    // The fourth token of the first second.
    const auto rate = share_of({7.5, 7.5}, test.bounds, 3).rate_per_s;
    CHECK_EQUAL(static_cast<std::int64_t>(std::ceil((4 - rate) / rate * 1000)),
                grant.retry_after.count());
}
