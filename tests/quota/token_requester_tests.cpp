#include <plantainward/quota/token_requester.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <utility>

using namespace plantainward;
using namespace plantainward::quota;
using core::boot_instant;
using core::millis;

namespace
{

constexpr token_grant refused_for_now{token_answer::retry_later, 0,
                                      millis(300)};

/// A requester of one workspace with three owners, and what it returned.
struct requester_case
{
    requester_case() { requester.set_owners({{"shop", {"o1", "o2", "o3"}}}); }

    std::optional<token> take()
    {
        auto taken = requester.take("shop", ++waiter, now);
        collect();
        return taken;
    }

    void answer(const token_grant& grant)
    {
        requester.on_grant(asks.back().request, grant, now);
        collect();
    }

    void pass(millis time)
    {
        for (const auto end = now + time; now < end;)
        {
            requester.tick(now += millis(20));
            collect();
        }
    }

    void collect()
    {
        for (auto& ask : requester.collect_asks())
            asks.push_back(std::move(ask));
        for (const auto& wait : requester.collect_settled())
            settled.push_back(wait);
    }

    boot_instant now{std::chrono::seconds(100)};
    token_requester requester{quota_bounds{}};
    std::uint64_t waiter{0};
    std::vector<token_ask> asks;
    std::vector<settled_wait> settled;
};

token_grant granted(std::uint32_t count)
{
    return {token_answer::granted, count, millis(0)};
}

} // namespace

TEST_GROUP(token_requester){};

TEST(token_requester, asks_the_first_owner_and_settles_the_wait)
{
    requester_case test;
    CHECK(!test.take());
    STRCMP_EQUAL("o1", test.asks.back().owner.c_str());
    CHECK_EQUAL(1, test.asks.back().count);
    const auto sent = test.now;
    test.now += millis(3);
    test.answer(granted(1));
    CHECK(test.settled.back().granted->valid_until ==
          sent + quota_bounds{}.token_life);
}

TEST(token_requester, operations_share_one_request)
{
    requester_case test;
    test.take();
    test.take();
    test.take();
    CHECK_EQUAL(1, test.asks.size());
    test.answer(granted(1));
    CHECK_EQUAL(1, test.settled.size());
    CHECK_EQUAL(2, test.asks.size());
    CHECK(test.asks.back().count >= 2);
}

TEST(token_requester, asks_the_others_and_then_refuses_at_once)
{
    requester_case test;
    test.take();
    test.answer(refused_for_now);
    test.answer({token_answer::retry_later, 0, millis(200)});
    test.answer(refused_for_now);
    CHECK_EQUAL(3, test.asks.size());
    CHECK_EQUAL(1, test.settled.size());
    CHECK(!test.settled.back().granted);
    CHECK(test.settled.back().refusal == token_refusal::over_quota);
    CHECK_EQUAL(200, test.settled.back().retry_after.count());
    CHECK_EQUAL(3, test.settled.back().short_owners);
    CHECK_EQUAL(0, test.settled.back().answer_age.count());
    test.now += millis(150);
    test.take();
    CHECK_EQUAL(3, test.asks.size());
    CHECK_EQUAL(50, test.settled.back().retry_after.count());
    CHECK_EQUAL(150, test.settled.back().answer_age.count());
    test.now += millis(50);
    test.take();
    STRCMP_EQUAL("o2", test.asks.back().owner.c_str());
}

TEST(token_requester, an_owner_that_does_not_answer_is_paused)
{
    requester_case test;
    test.take();
    test.pass(millis(100));
    STRCMP_EQUAL("o2", test.asks.back().owner.c_str());
    test.answer(granted(1));
    test.take();
    STRCMP_EQUAL("o2", test.asks.back().owner.c_str());
    test.answer(granted(1));
    test.pass(millis(600));
    test.take();
    STRCMP_EQUAL("o1", test.asks.back().owner.c_str());
}

TEST(token_requester, refuses_at_once_while_no_owner_answers)
{
    requester_case test;
    test.take();
    test.pass(millis(300));
    CHECK_EQUAL(1, test.settled.size());
    CHECK(test.settled.back().refusal == token_refusal::no_owner);
    test.take();
    CHECK_EQUAL(2, test.settled.size());
    CHECK_EQUAL(3, test.asks.size());
}

TEST(token_requester, asks_another_owner_when_a_host_is_none)
{
    requester_case test;
    test.take();
    test.answer({token_answer::not_owner, 0, millis(0)});
    STRCMP_EQUAL("o2", test.asks.back().owner.c_str());
    test.answer({token_answer::no_majority, 0, millis(0)});
    STRCMP_EQUAL("o3", test.asks.back().owner.c_str());
}

// Guards against a token that is used later than the owner counts on.
TEST(token_requester, a_grant_that_arrives_too_late_is_not_used)
{
    requester_case test;
    test.take();
    test.now += millis(1000);
    test.answer(granted(5));
    CHECK(test.settled.empty());
    CHECK_EQUAL(2, test.asks.size());
}

TEST(token_requester, tokens_in_reserve_expire)
{
    requester_case test;
    test.take();
    test.answer(granted(3));
    CHECK(test.take().has_value());
    test.now += millis(501);
    CHECK(!test.take());
}

// Guards against a fleet whose tokens are lost with operations that databases
// refuse.
TEST(token_requester, a_returned_token_serves_the_next_operation)
{
    requester_case test;
    test.take();
    test.answer(granted(1));
    test.requester.give_back("shop", *test.settled.back().granted, test.now);
    CHECK(test.take().has_value());
    const auto counts = test.requester.counts().at("shop");
    CHECK_EQUAL(2, counts.granted);
    CHECK_EQUAL(1, counts.returned);
}

TEST(token_requester, an_answer_counts_once)
{
    requester_case test;
    test.take();
    const auto request = test.asks.back().request;
    test.answer(granted(1));
    test.requester.on_grant(request, granted(1), test.now);
    CHECK(!test.take());
}

TEST(token_requester, requests_as_many_more_as_were_used_lately)
{
    requester_case test;
    for (int i = 0; i < 4; ++i)
    {
        test.take();
        test.answer(granted(1));
    }
    test.take();
    CHECK_EQUAL(5, test.asks.back().count);
}

TEST(token_requester, a_cancelled_wait_gets_no_token)
{
    requester_case test;
    test.take();
    test.requester.cancel("shop", test.waiter);
    test.answer(granted(1));
    CHECK(test.settled.empty());
    CHECK(test.take().has_value());
}

// Guards against a workspace that stays refused after its limit was raised.
TEST(token_requester, asks_again_after_a_change_of_the_limits)
{
    requester_case test;
    test.take();
    for (int i = 0; i < 3; ++i)
        test.answer({token_answer::retry_later, 0, millis(3'600'000)});
    LONGS_EQUAL(1, test.settled.size());
    test.requester.set_owners({{"shop", {"o1", "o2", "o3"}}});
    test.take();
    LONGS_EQUAL(4, test.asks.size());
}
