#include <plantainward/succession/claim.hpp>
#include <plantainward/succession/primary_lease.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::succession;
using core::boot_instant;
using core::millis;

namespace
{

routes::upstream database(const std::string& id)
{
    return {id, "ledger", {id, 1}, "a", false, false, 7};
}

sql::status_answer status(bool is_primary, upstream::term_number term,
                          upstream::log_point received)
{
    return {sql::database_status{is_primary, term, received}, false};
}

template <class Action>
const Action* find(const claim_actions& actions)
{
    for (const auto& one : actions)
        if (const auto* found = std::get_if<Action>(&one))
            return found;
    return nullptr;
}

/// A claim of a lost primary "p" with the replicas "r1" and "r2".
struct claim_case
{
    explicit claim_case(claim_cause cause)
        : one("me", {5, leadership_phase::settled, "p", 7, "other"}, cause, now)
    {
        view.upstreams = {database("p"), database("r1"), database("r2")};
        view.members = 3;
        view.aware = [this](std::uint64_t, boot_instant) {
            return aware;
        };
        view.all_aware = [this](std::uint64_t, boot_instant) {
            return aware >= view.members;
        };
    }

    /// Writes the claim's record as version 6.
    void write_claim()
    {
        one.start();
        one.on_write(write_outcome::written, 6, now);
    }

    claim_actions tick_after(millis time)
    {
        now += time;
        return one.tick(view, now);
    }

    void all_answer()
    {
        one.on_status("p", now, {std::nullopt, true});
        one.on_status("r1", now, status(false, 3, {3, 10}));
        one.on_status("r2", now, status(false, 3, {3, 12}));
    }

    boot_instant now{std::chrono::seconds(100)};
    std::size_t aware{1};
    claim_view view;
    claim one;
};

} // namespace

TEST_GROUP(claim){};

TEST(claim, the_record_is_claimed_under_its_version)
{
    claim_case c(claim_cause::lost);
    const auto actions = c.one.start();
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    LONGS_EQUAL(5, write->expected);
    CHECK(write->record.phase == leadership_phase::claimed);
}

TEST(claim, a_conflict_ends_the_claim)
{
    claim_case c(claim_cause::lost);
    c.one.start();
    c.one.on_write(write_outcome::conflict, 0, c.now);
    CHECK(c.one.stage() == claim_stage::finished);
}

TEST(claim, nothing_is_promoted_while_a_member_may_hold_a_lease)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 2;
    for (millis passed{0}; passed < primary_lease::validity;
         passed += millis(50))
    {
        c.tick_after(millis(50));
        c.all_answer();
        CHECK(c.one.stage() == claim_stage::gathering);
    }
}

TEST(claim, a_host_that_may_be_registered_and_unknown_is_waited_for)
{
    claim_case c(claim_cause::lost);
    c.view.all_aware = [](std::uint64_t, boot_instant) {
        return false;
    };
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(300));
    c.all_answer();
    c.tick_after(millis(1));
    CHECK(c.one.stage() == claim_stage::gathering);
}

TEST(claim, without_a_majority_no_time_is_long_enough)
{
    claim_case c(claim_cause::lost);
    c.view.members = 5;
    c.aware = 2;
    c.write_claim();
    for (int i = 0; i < 100; ++i)
    {
        c.tick_after(millis(100));
        c.all_answer();
    }
    CHECK(c.one.stage() == claim_stage::gathering);
}

TEST(claim, when_all_members_agree_the_longest_log_is_promoted_at_once)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
    const auto promoted = c.one.on_write(write_outcome::written, 9, c.now);
    const auto* promote = find<promote_action>(promoted);
    CHECK(promote != nullptr);
    STRCMP_EQUAL("r2", promote->upstream.c_str());
    LONGS_EQUAL(9, promote->token);
}

TEST(claim, a_host_that_froze_after_its_write_promotes_nothing)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.tick_after(millis(1));
    c.now += millis(4000);
    const auto actions = c.one.on_write(write_outcome::written, 9, c.now);
    LONGS_EQUAL(0, actions.size());
    CHECK(c.one.stage() == claim_stage::finished);
}

TEST(claim, a_recorded_primary_that_answers_again_goes_on)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 12}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

TEST(claim, a_database_that_only_believes_to_lead_is_not_taken_unpromoted)
{
    // "r1" was the primary before "p" and was cut off when it was replaced.
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.one.on_status("p", c.now, {std::nullopt, true});
    c.one.on_status("r2", c.now, {std::nullopt, true});
    c.one.on_status("r1", c.now, status(true, 2, {2, 40}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
}

TEST(claim, an_abandoned_claim_always_promotes)
{
    claim_case c(claim_cause::abandoned);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
    LONGS_EQUAL(0, find<demote_action>(actions) == nullptr ? 0 : 1);
}

TEST(claim, a_leaving_primary_is_demoted_and_a_replica_reaches_its_end)
{
    claim_case c(claim_cause::leaving);
    c.view.upstreams.front().leaving = true;
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto demoting = c.tick_after(millis(1));
    const auto* demote = find<demote_action>(demoting);
    CHECK(demote != nullptr);
    LONGS_EQUAL(4, demote->term);
    c.now += millis(60);
    c.all_answer();
    c.one.on_status("p", c.now, status(false, 4, {3, 14}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    c.now += millis(60);
    c.one.on_status("r2", c.now, status(false, 3, {3, 14}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

// Guards against writes at a database that leads from before its promotion.
TEST(claim, leading_since_before_the_promotion_does_not_settle_it)
{
    // "r2" led term 2, was replaced, and has not learned of it yet.
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("r2", c.now, status(true, 2, {3, 12}));
    c.tick_after(millis(1));
    CHECK(find<promote_action>(
              c.one.on_write(write_outcome::written, 9, c.now)) != nullptr);
    c.one.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(60);
    c.one.on_status("r2", c.now, status(true, 2, {3, 12}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    CHECK(c.one.stage() == claim_stage::promoting);
    c.now += millis(300);
    c.one.on_status("r2", c.now, status(true, 4, {3, 12}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

TEST(claim, a_call_for_the_present_primary_settles_after_the_longest_promotion)
{
    claim_case c(claim_cause::abandoned);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    c.tick_after(millis(1));
    c.one.on_write(write_outcome::written, 9, c.now);
    c.now += millis(900);
    c.one.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(1400);
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    c.now += millis(160);
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
}

// Guards against writes at a database that does not lead yet, although its
// call was accepted long ago: it was silent meanwhile.
TEST(claim, what_leads_an_older_term_than_another_database_is_not_settled)
{
    // "r2" led term 2 and was replaced by "p", which led term 3.
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.one.on_status("p", c.now, {std::nullopt, true});
    c.one.on_status("r1", c.now, status(false, 3, {2, 10}));
    c.one.on_status("r2", c.now, status(true, 2, {2, 12}));
    c.tick_after(millis(1));
    CHECK(find<promote_action>(
              c.one.on_write(write_outcome::written, 9, c.now)) != nullptr);
    c.one.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(1600);
    c.one.on_status("r1", c.now, status(false, 3, {2, 10}));
    c.one.on_status("r2", c.now, status(true, 2, {2, 12}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    CHECK(c.one.stage() == claim_stage::promoting);
}

// Guards against the return to a primary that a promotion may have replaced.
TEST(claim, after_a_promotion_of_unknown_end_the_old_primary_is_not_kept)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.tick_after(millis(1));
    c.one.on_write(write_outcome::written, 9, c.now);
    c.one.on_promote(promotion_outcome::unknown, c.now);
    c.tick_after(millis(2600));
    CHECK(c.one.stage() == claim_stage::gathering);
    c.now += millis(60);
    c.one.on_status("p", c.now, status(true, 3, {3, 14}));
    c.one.on_status("r1", c.now, status(false, 3, {3, 10}));
    const auto actions = c.tick_after(millis(400));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
}

TEST(claim, after_a_rejected_promotion_the_old_primary_may_go_on)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.tick_after(millis(1));
    c.one.on_write(write_outcome::written, 9, c.now);
    c.one.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(60);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

TEST(claim, a_takeover_settles_on_what_the_earlier_claim_promoted)
{
    claim_case c(claim_cause::abandoned);
    c.one =
        claim("me", {5, leadership_phase::claimed, "r2", 7, "other", 3, true},
              claim_cause::abandoned, c.now);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    c.one.on_status("r2", c.now, status(true, 4, {4, 13}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
    LONGS_EQUAL(4, write->record.term);
}

TEST(claim, a_takeover_of_a_claim_that_promoted_nothing_may_keep_the_primary)
{
    claim_case c(claim_cause::abandoned);
    c.one =
        claim("me", {5, leadership_phase::claimed, "p", 7, "other", 3, false},
              claim_cause::abandoned, c.now);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

// Guards against a promotion that the next host to claim does not hear of.
TEST(claim, a_record_tells_of_a_possible_promotion_until_it_is_settled)
{
    claim_case c(claim_cause::abandoned);
    c.one =
        claim("me", {5, leadership_phase::claimed, "r2", 7, "other", 3, true},
              claim_cause::abandoned, c.now);
    const auto claiming = c.one.start();
    CHECK(find<write_action>(claiming)->record.promoting);
    STRCMP_EQUAL("r2", find<write_action>(claiming)->record.primary.c_str());
    c.one.on_write(write_outcome::written, 6, c.now);
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    const auto promoting = c.tick_after(millis(1));
    CHECK(find<write_action>(promoting)->record.promoting);
    c.one.on_write(write_outcome::written, 9, c.now);
    c.now += millis(400);
    c.one.on_status("r2", c.now, status(true, 4, {3, 12}));
    const auto settling = c.tick_after(millis(1));
    CHECK_FALSE(find<write_action>(settling)->record.promoting);
    LONGS_EQUAL(4, find<write_action>(settling)->record.term);
}

// Guards against a service without a primary while all its databases leave.
TEST(claim, where_all_databases_leave_the_primary_is_kept_or_one_promoted)
{
    claim_case c(claim_cause::lost);
    for (auto& one : c.view.upstreams)
        one.leaving = true;
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    const auto promoting = c.tick_after(millis(1));
    CHECK(find<demote_action>(promoting) == nullptr);
    STRCMP_EQUAL("r2", find<write_action>(promoting)->record.primary.c_str());
    c.one.on_write(write_outcome::written, 9, c.now);
    c.one.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(60);
    c.all_answer();
    c.one.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto keeping = c.tick_after(millis(1));
    CHECK(find<demote_action>(keeping) == nullptr);
    STRCMP_EQUAL("p", find<write_action>(keeping)->record.primary.c_str());
}

// Guards against the promotion of a log that lacks a whole term while the
// database that has it is only busy.
TEST(claim, a_busy_database_is_waited_for_where_the_others_lack_a_term)
{
    claim_case c(claim_cause::lost);
    c.one = claim("me", {5, leadership_phase::settled, "p", 7, "other", 4},
                  claim_cause::lost, c.now);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.one.on_status("r1", c.now, status(true, 3, {3, 90}));
    CHECK(find<write_action>(c.tick_after(millis(400))) == nullptr);
    c.one.on_status("r2", c.now, status(false, 4, {4, 120}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

TEST(claim, a_log_that_lacks_a_term_is_promoted_when_no_other_answers)
{
    claim_case c(claim_cause::lost);
    c.one = claim("me", {5, leadership_phase::settled, "p", 7, "other", 4},
                  claim_cause::lost, c.now);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.one.on_status("r1", c.now, status(true, 3, {3, 90}));
    const auto actions = c.tick_after(millis(2100));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r1", write->record.primary.c_str());
}

TEST(claim, a_rejected_database_is_passed_over_for_the_next)
{
    claim_case c(claim_cause::lost);
    c.write_claim();
    c.aware = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.all_answer();
    c.tick_after(millis(1));
    c.one.on_write(write_outcome::written, 9, c.now);
    c.one.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(100);
    c.all_answer();
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r1", write->record.primary.c_str());
}

TEST_GROUP(primary_lease)
{
    boot_instant now{std::chrono::seconds(100)};
};

TEST(primary_lease, a_record_without_proof_gives_no_right)
{
    primary_lease one;
    one.take({3, leadership_phase::settled, "p", 1, "h"});
    CHECK_FALSE(one.valid_until().has_value());
}

TEST(primary_lease, it_holds_for_its_validity_after_the_proof)
{
    primary_lease one;
    one.take({3, leadership_phase::settled, "p", 1, "h"});
    one.prove(3, now);
    one.prove(3, now - millis(500));
    CHECK(*one.valid_until() == now + primary_lease::validity);
}

TEST(primary_lease, a_claim_ends_it_at_once)
{
    primary_lease one;
    one.take({3, leadership_phase::settled, "p", 1, "h"});
    one.prove(3, now);
    one.take({4, leadership_phase::claimed, "p", 1, "h"});
    one.prove(4, now);
    CHECK_FALSE(one.valid_until().has_value());
}

TEST(primary_lease, an_older_record_changes_nothing)
{
    primary_lease one;
    one.take({4, leadership_phase::claimed, "p", 1, "h"});
    CHECK_FALSE(one.take({3, leadership_phase::settled, "p", 1, "h"}));
    LONGS_EQUAL(4, one.record().version);
}
