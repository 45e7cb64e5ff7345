#include <plantainward/failover/claim.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using failover::claim;
using failover::claim_state;

namespace
{

upstream::service_layout make_layout()
{
    upstream::service_layout layout;
    layout.name = "service";
    for (int i = 0; i < 3; ++i)
        layout.databases.push_back(
            {"db-" + std::to_string(i), {"127.0.0.1", 1}, "domain", 50, false});
    return layout;
}

upstream::control_result granted(upstream::term_number term,
                                 upstream::log_point last)
{
    upstream::slot_status status;
    status.granted = term;
    status.last = last;
    return {upstream::control_outcome::accepted, {status}};
}

const upstream::control_result refused{upstream::control_outcome::refused,
                                       {upstream::slot_status{}}};
const upstream::control_result unreachable{
    upstream::control_outcome::unreachable, {}};

} // namespace

// Guards against the promotion of a database that lacks acknowledged writes, or
// without a majority.
TEST_GROUP(claim)
{
    upstream::service_layout layout = make_layout();
    failover::failover_options options;
    failover::actions out;
    core::instant now{};
    claim attempt{7,   0,  {5, std::nullopt, std::nullopt}, layout, options,
                  now, out};
};

TEST(claim, it_requests_the_term_from_every_database)
{
    LONGS_EQUAL(3, out.size());
    for (const auto& item : out)
    {
        const auto& order = std::get<failover::control_action>(item).order;
        CHECK(order.kind == upstream::control_kind::grant);
        LONGS_EQUAL(5, order.term);
    }
}

TEST(claim, a_log_with_a_newer_last_term_beats_a_longer_one)
{
    attempt.on_result(0, granted(5, {2, 90}), now, out);
    attempt.on_result(1, granted(5, {3, 10}), now, out);
    attempt.on_result(2, unreachable, now, out);
    CHECK(attempt.state() == claim_state::promoting);
    CHECK(attempt.winner() == std::size_t{1});
}

TEST(claim, among_logs_of_one_term_the_longer_wins)
{
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, granted(5, {3, 8}), now, out);
    attempt.on_result(2, granted(5, {3, 10}), now, out);
    CHECK(attempt.winner() == std::size_t{2});
}

TEST(claim, a_leaving_database_wins_only_with_the_highest_log)
{
    layout.databases[2].leaving = true;
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, granted(5, {3, 10}), now, out);
    attempt.on_result(2, granted(5, {3, 10}), now, out);
    CHECK(attempt.winner() == std::size_t{1});
}

TEST(claim, a_minority_of_grants_promotes_nobody)
{
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, refused, now, out);
    attempt.on_tick(now + core::millis(100), out);
    CHECK(attempt.state() == claim_state::granting);
    attempt.on_result(2, refused, now, out);
    CHECK(attempt.state() == claim_state::lost);
}

TEST(claim, a_majority_is_enough_after_a_short_wait)
{
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, granted(5, {3, 9}), now, out);
    CHECK(attempt.state() == claim_state::granting);
    attempt.on_tick(now + options.late_grant_timeout, out);
    CHECK(attempt.state() == claim_state::promoting);
}

TEST(claim, a_refused_promotion_loses)
{
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, granted(5, {3, 9}), now, out);
    attempt.on_result(2, unreachable, now, out);
    attempt.on_result(*attempt.winner(), refused, now, out);
    CHECK(attempt.state() == claim_state::lost);
}

TEST(claim, the_other_databases_are_ordered_to_follow_the_winner)
{
    attempt.on_result(0, granted(5, {3, 9}), now, out);
    attempt.on_result(1, granted(5, {3, 9}), now, out);
    attempt.on_result(2, unreachable, now, out);
    out.clear();
    attempt.on_result(*attempt.winner(), granted(5, {5, 10}), now, out);
    CHECK(attempt.state() == claim_state::won);
    LONGS_EQUAL(2, out.size());
    for (const auto& item : out)
        CHECK(std::get<failover::control_action>(item).order.kind ==
              upstream::control_kind::follow);
}

TEST(claim, an_excluded_primary_is_neither_asked_nor_chosen)
{
    out.clear();
    claim second_attempt(8, 0, {5, std::nullopt, std::size_t{0}}, layout,
                         options, now, out);
    LONGS_EQUAL(2, out.size());
    second_attempt.on_result(0, granted(5, {3, 99}), now, out);
    second_attempt.on_result(1, granted(5, {3, 9}), now, out);
    second_attempt.on_result(2, granted(5, {3, 8}), now, out);
    CHECK(second_attempt.winner() == std::size_t{1});
}
