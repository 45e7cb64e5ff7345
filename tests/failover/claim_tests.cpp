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

TEST_GROUP(claim)
{
    upstream::service_layout layout = make_layout();
    failover::failover_options options;
    failover::actions out;
    core::instant now{};
    claim one{7, 0, {5, std::nullopt, std::nullopt}, layout, options, now, out};
};

TEST(claim, it_asks_every_database_for_the_term)
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
    one.on_result(0, granted(5, {2, 90}), now, out);
    one.on_result(1, granted(5, {3, 10}), now, out);
    one.on_result(2, unreachable, now, out);
    CHECK(one.state() == claim_state::promoting);
    CHECK(one.winner() == std::size_t{1});
}

TEST(claim, among_logs_of_one_term_the_longer_wins)
{
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, granted(5, {3, 8}), now, out);
    one.on_result(2, granted(5, {3, 10}), now, out);
    CHECK(one.winner() == std::size_t{2});
}

TEST(claim, a_leaving_database_wins_only_with_the_highest_log)
{
    layout.databases[2].leaving = true;
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, granted(5, {3, 10}), now, out);
    one.on_result(2, granted(5, {3, 10}), now, out);
    CHECK(one.winner() == std::size_t{1});
}

TEST(claim, a_minority_of_grants_promotes_nobody)
{
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, refused, now, out);
    one.on_tick(now + core::millis(100), out);
    CHECK(one.state() == claim_state::granting);
    one.on_result(2, refused, now, out);
    CHECK(one.state() == claim_state::lost);
}

TEST(claim, a_majority_is_enough_after_a_short_wait)
{
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, granted(5, {3, 9}), now, out);
    CHECK(one.state() == claim_state::granting);
    one.on_tick(now + options.grant_linger, out);
    CHECK(one.state() == claim_state::promoting);
}

TEST(claim, a_refused_promotion_loses)
{
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, granted(5, {3, 9}), now, out);
    one.on_result(2, unreachable, now, out);
    one.on_result(*one.winner(), refused, now, out);
    CHECK(one.state() == claim_state::lost);
}

TEST(claim, the_others_are_told_to_follow_the_winner)
{
    one.on_result(0, granted(5, {3, 9}), now, out);
    one.on_result(1, granted(5, {3, 9}), now, out);
    one.on_result(2, unreachable, now, out);
    out.clear();
    one.on_result(*one.winner(), granted(5, {5, 10}), now, out);
    CHECK(one.state() == claim_state::won);
    LONGS_EQUAL(2, out.size());
    for (const auto& item : out)
        CHECK(std::get<failover::control_action>(item).order.kind ==
              upstream::control_kind::follow);
}

TEST(claim, an_excluded_primary_is_neither_asked_nor_chosen)
{
    out.clear();
    claim other(8, 0, {5, std::nullopt, std::size_t{0}}, layout, options, now,
                out);
    LONGS_EQUAL(2, out.size());
    other.on_result(0, granted(5, {3, 99}), now, out);
    other.on_result(1, granted(5, {3, 9}), now, out);
    other.on_result(2, granted(5, {3, 8}), now, out);
    CHECK(other.winner() == std::size_t{1});
}
