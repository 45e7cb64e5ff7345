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
    for (const auto& action : actions)
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    return nullptr;
}

/// A claim to replace the primary "p"; "r1" and "r2" are replicas.
struct claim_case
{
    explicit claim_case(claim_trigger trigger)
        : attempt("me", {5, leadership_phase::settled, "p", 7, "other"},
                  trigger, now)
    {
        view.upstreams = {database("p"), database("r1"), database("r2")};
        view.majority_acknowledged = [this](std::uint64_t) {
            return acknowledged * 2 > voter_count;
        };
        view.all_acknowledged = [this](std::uint64_t, boot_instant) {
            return acknowledged >= voter_count;
        };
    }

    /// Writes the claimed record as version 6.
    void write_claim()
    {
        attempt.start();
        attempt.on_write(write_outcome::written, 6, now);
    }

    claim_actions tick_after(millis time)
    {
        now += time;
        return attempt.tick(view, now);
    }

    void answer_all()
    {
        attempt.on_status("p", now, {std::nullopt, true});
        attempt.on_status("r1", now, status(false, 3, {3, 10}));
        attempt.on_status("r2", now, status(false, 3, {3, 12}));
    }

    boot_instant now{std::chrono::seconds(100)};
    std::size_t voter_count{3};
    std::size_t acknowledged{1};
    claim_view view;
    claim attempt;
};

} // namespace

TEST_GROUP(claim){};

TEST(claim, the_record_is_claimed_under_its_version)
{
    claim_case c(claim_trigger::lost);
    const auto actions = c.attempt.start();
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    LONGS_EQUAL(5, write->expected);
    CHECK(write->record.phase == leadership_phase::claimed);
}

TEST(claim, a_conflict_ends_the_claim)
{
    claim_case c(claim_trigger::lost);
    c.attempt.start();
    c.attempt.on_write(write_outcome::conflict, 0, c.now);
    CHECK(c.attempt.stage() == claim_stage::finished);
}

TEST(claim, nothing_is_promoted_while_a_member_may_hold_a_lease)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 2;
    for (millis passed{0}; passed < primary_lease::validity;
         passed += millis(50))
    {
        c.tick_after(millis(50));
        c.answer_all();
        CHECK(c.attempt.stage() == claim_stage::gathering);
    }
}

TEST(claim, a_registered_host_that_is_not_known_here_is_waited_for)
{
    claim_case c(claim_trigger::lost);
    c.view.all_acknowledged = [](std::uint64_t, boot_instant) {
        return false;
    };
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(300));
    c.answer_all();
    c.tick_after(millis(1));
    CHECK(c.attempt.stage() == claim_stage::gathering);
}

// Failure: hosts whose registrations had been removed lived without the table
// service, and proved the record before the claim to each other.
TEST(claim, registered_hosts_that_are_no_majority_of_the_voters_do_not_suffice)
{
    claim_case c(claim_trigger::lost);
    c.view.all_acknowledged = [](std::uint64_t, boot_instant) {
        return true;
    };
    c.write_claim();
    c.tick_after(millis(300));
    c.answer_all();
    c.tick_after(millis(1));
    CHECK(c.attempt.stage() == claim_stage::gathering);
}

TEST(claim, without_a_majority_nothing_is_ever_promoted)
{
    claim_case c(claim_trigger::lost);
    c.voter_count = 5;
    c.acknowledged = 2;
    c.write_claim();
    for (int i = 0; i < 100; ++i)
    {
        c.tick_after(millis(100));
        c.answer_all();
    }
    CHECK(c.attempt.stage() == claim_stage::gathering);
}

TEST(claim, the_longest_log_is_promoted_once_all_hosts_have_acknowledged)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
    const auto promoted = c.attempt.on_write(write_outcome::written, 9, c.now);
    const auto* promote = find<promote_action>(promoted);
    CHECK(promote != nullptr);
    STRCMP_EQUAL("r2", promote->upstream.c_str());
    LONGS_EQUAL(9, promote->token);
}

TEST(claim, a_host_that_froze_after_its_write_promotes_nothing)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.tick_after(millis(1));
    c.now += millis(4000);
    const auto actions = c.attempt.on_write(write_outcome::written, 9, c.now);
    LONGS_EQUAL(0, actions.size());
    CHECK(c.attempt.stage() == claim_stage::finished);
}

TEST(claim, a_recorded_primary_that_answers_again_is_kept)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 12}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

TEST(claim, a_former_primary_that_still_leads_is_not_kept_without_promotion)
{
    // "r1" led before "p" and was cut off when "p" replaced it.
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.attempt.on_status("p", c.now, {std::nullopt, true});
    c.attempt.on_status("r2", c.now, {std::nullopt, true});
    c.attempt.on_status("r1", c.now, status(true, 2, {2, 40}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
}

TEST(claim, an_abandoned_claim_always_promotes)
{
    claim_case c(claim_trigger::abandoned);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
    LONGS_EQUAL(0, find<demote_action>(actions) == nullptr ? 0 : 1);
}

TEST(claim, a_leaving_primary_is_replaced_by_a_replica_that_has_its_whole_log)
{
    claim_case c(claim_trigger::leaving);
    c.view.upstreams.front().leaving = true;
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto demoting = c.tick_after(millis(1));
    const auto* demote = find<demote_action>(demoting);
    CHECK(demote != nullptr);
    LONGS_EQUAL(4, demote->term);
    c.now += millis(60);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(false, 4, {3, 14}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    c.now += millis(60);
    c.attempt.on_status("r2", c.now, status(false, 3, {3, 14}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

// Guards against writes at a database that led before and whose new promotion
// has not taken effect: its status shows a primary all along.
TEST(claim, a_primary_that_led_before_its_promotion_is_not_settled)
{
    // "r2" led term 2, was replaced, and does not know it yet.
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("r2", c.now, status(true, 2, {3, 12}));
    c.tick_after(millis(1));
    CHECK(find<promote_action>(
              c.attempt.on_write(write_outcome::written, 9, c.now)) != nullptr);
    c.attempt.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(60);
    c.attempt.on_status("r2", c.now, status(true, 2, {3, 12}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    CHECK(c.attempt.stage() == claim_stage::promoting);
    c.now += millis(300);
    c.attempt.on_status("r2", c.now, status(true, 4, {3, 12}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

TEST(claim, a_promotion_of_the_present_primary_settles_after_the_maximal_time)
{
    claim_case c(claim_trigger::abandoned);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    c.tick_after(millis(1));
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.now += millis(900);
    c.attempt.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(1400);
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    c.now += millis(160);
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
}

// Guards against writes at a database whose promotion has not taken effect. Its
// call was accepted long ago, but the database did not answer meanwhile and
// still leads an old term.
TEST(claim, a_primary_with_an_older_term_than_another_database_is_not_settled)
{
    // "r2" led term 2 and was replaced by "p", which led term 3.
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.attempt.on_status("p", c.now, {std::nullopt, true});
    c.attempt.on_status("r1", c.now, status(false, 3, {2, 10}));
    c.attempt.on_status("r2", c.now, status(true, 2, {2, 12}));
    c.tick_after(millis(1));
    CHECK(find<promote_action>(
              c.attempt.on_write(write_outcome::written, 9, c.now)) != nullptr);
    c.attempt.on_promote(promotion_outcome::accepted, c.now);
    c.now += millis(1600);
    c.attempt.on_status("r1", c.now, status(false, 3, {2, 10}));
    c.attempt.on_status("r2", c.now, status(true, 2, {2, 12}));
    CHECK(find<write_action>(c.tick_after(millis(1))) == nullptr);
    CHECK(c.attempt.stage() == claim_stage::promoting);
}

// Guards against keeping a primary that a promotion without an answer may have
// replaced.
TEST(claim, after_a_promotion_of_unknown_outcome_the_old_primary_is_not_kept)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.tick_after(millis(1));
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.attempt.on_promote(promotion_outcome::unknown, c.now);
    c.tick_after(millis(2600));
    CHECK(c.attempt.stage() == claim_stage::gathering);
    c.now += millis(60);
    c.attempt.on_status("p", c.now, status(true, 3, {3, 14}));
    c.attempt.on_status("r1", c.now, status(false, 3, {3, 10}));
    const auto actions = c.tick_after(millis(400));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::claimed);
}

// Guards against two hosts that promote shortly after each other: the calls of
// the first had reached a platform that answered late, and the next host called
// it too.
TEST(claim, calls_that_may_have_reached_the_platform_are_repeated_more_often)
{
    const auto calls_until_end = [](promotion_outcome outcome) {
        claim_case c(claim_trigger::lost);
        c.write_claim();
        c.acknowledged = 3;
        int calls = 0;
        for (int i = 0; i < 2000; ++i)
        {
            const auto actions = c.tick_after(millis(10));
            c.answer_all();
            if (find<write_action>(actions) != nullptr)
                c.attempt.on_write(write_outcome::written, 10 + calls, c.now);
            if (c.attempt.stage() == claim_stage::finished)
                break;
            if (find<write_action>(actions) == nullptr)
                continue;
            ++calls;
            c.attempt.on_promote(outcome, c.now);
        }
        CHECK(c.attempt.outcome() == claim_outcome::unanswered);
        return calls;
    };
    LONGS_EQUAL(2, calls_until_end(promotion_outcome::not_sent));
    LONGS_EQUAL(4, calls_until_end(promotion_outcome::unknown));
}

TEST(claim, after_a_rejected_promotion_the_old_primary_may_be_kept)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.tick_after(millis(1));
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.attempt.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(60);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

TEST(claim, a_takeover_settles_on_the_database_that_the_earlier_claim_promoted)
{
    claim_case c(claim_trigger::abandoned);
    c.attempt =
        claim("me", {5, leadership_phase::claimed, "r2", 7, "other", 3, true},
              claim_trigger::abandoned, c.now);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    c.attempt.on_status("r2", c.now, status(true, 4, {4, 13}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
    LONGS_EQUAL(4, write->record.term);
}

TEST(claim, a_takeover_of_a_claim_that_promoted_nothing_may_keep_the_primary)
{
    claim_case c(claim_trigger::abandoned);
    c.attempt =
        claim("me", {5, leadership_phase::claimed, "p", 7, "other", 3, false},
              claim_trigger::abandoned, c.now);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 20}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
}

// Guards against a promotion that the host with the next claim does not know
// of, so that it keeps the old primary.
TEST(claim, a_record_shows_a_possible_promotion_until_it_is_settled)
{
    claim_case c(claim_trigger::abandoned);
    c.attempt =
        claim("me", {5, leadership_phase::claimed, "r2", 7, "other", 3, true},
              claim_trigger::abandoned, c.now);
    const auto claiming = c.attempt.start();
    CHECK(find<write_action>(claiming)->record.promoting);
    STRCMP_EQUAL("r2", find<write_action>(claiming)->record.primary.c_str());
    c.attempt.on_write(write_outcome::written, 6, c.now);
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    const auto promoting = c.tick_after(millis(1));
    CHECK(find<write_action>(promoting)->record.promoting);
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.now += millis(400);
    c.attempt.on_status("r2", c.now, status(true, 4, {3, 12}));
    const auto settling = c.tick_after(millis(1));
    CHECK_FALSE(find<write_action>(settling)->record.promoting);
    LONGS_EQUAL(4, find<write_action>(settling)->record.term);
}

// Guards against a service without a primary while all its databases are
// leaving.
TEST(claim, when_all_databases_leave_a_primary_is_still_kept_or_promoted)
{
    claim_case c(claim_trigger::lost);
    for (auto& upstream : c.view.upstreams)
        upstream.leaving = true;
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    const auto promoting = c.tick_after(millis(1));
    CHECK(find<demote_action>(promoting) == nullptr);
    STRCMP_EQUAL("r2", find<write_action>(promoting)->record.primary.c_str());
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.attempt.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(60);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 14}));
    const auto keeping = c.tick_after(millis(1));
    CHECK(find<demote_action>(keeping) == nullptr);
    STRCMP_EQUAL("p", find<write_action>(keeping)->record.primary.c_str());
}

// Guards against the loss of a whole term: a database whose log lacks it is
// promoted because the one that has it is busy and answers late.
TEST(claim, a_busy_database_is_waited_for_when_the_others_lack_a_term)
{
    claim_case c(claim_trigger::lost);
    c.attempt = claim("me", {5, leadership_phase::settled, "p", 7, "other", 4},
                      claim_trigger::lost, c.now);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.attempt.on_status("r1", c.now, status(true, 3, {3, 90}));
    CHECK(find<write_action>(c.tick_after(millis(400))) == nullptr);
    c.attempt.on_status("r2", c.now, status(false, 4, {4, 120}));
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r2", write->record.primary.c_str());
}

TEST(claim, a_log_that_lacks_a_term_is_promoted_when_no_other_answers)
{
    claim_case c(claim_trigger::lost);
    c.attempt = claim("me", {5, leadership_phase::settled, "p", 7, "other", 4},
                      claim_trigger::lost, c.now);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.attempt.on_status("r1", c.now, status(true, 3, {3, 90}));
    const auto actions = c.tick_after(millis(2100));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r1", write->record.primary.c_str());
}

TEST(claim, after_a_rejected_promotion_the_next_longest_log_is_promoted)
{
    claim_case c(claim_trigger::lost);
    c.write_claim();
    c.acknowledged = 3;
    c.tick_after(millis(1));
    c.now += millis(5);
    c.answer_all();
    c.tick_after(millis(1));
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.attempt.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(100);
    c.answer_all();
    const auto actions = c.tick_after(millis(1));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    STRCMP_EQUAL("r1", write->record.primary.c_str());
}

namespace
{

/// A claim in a service where a commit is acknowledged once one replica has
/// received it.
struct sync_claim_case : claim_case
{
    explicit sync_claim_case(claim_trigger trigger) : claim_case(trigger)
    {
        view.sync_replicas = 1;
        write_claim();
        acknowledged = 3;
        tick_after(millis(1));
        now += millis(5);
    }

    /// Database that the claim asks to promote; empty when it asks for none.
    std::string promoted_after(millis time)
    {
        const auto actions = tick_after(time);
        const auto* write = find<write_action>(actions);
        return write != nullptr && write->record.promoting
                   ? write->record.primary
                   : std::string();
    }
};

} // namespace

TEST_GROUP(sync_claim){};

// Guards against acknowledged writes that are lost at a promotion: only the
// leaving replica had received them, and the other one was promoted.
TEST(sync_claim, a_leaving_replica_is_promoted_when_only_it_has_all_commits)
{
    sync_claim_case c(claim_trigger::lost);
    c.view.upstreams[2].leaving = true;
    c.answer_all();
    STRCMP_EQUAL("r2", c.promoted_after(millis(1)).c_str());
}

TEST(sync_claim, a_database_that_stays_is_preferred_among_equal_logs)
{
    sync_claim_case c(claim_trigger::lost);
    c.view.upstreams[2].leaving = true;
    c.answer_all();
    c.attempt.on_status("r1", c.now, status(false, 3, {3, 12}));
    STRCMP_EQUAL("r1", c.promoted_after(millis(1)).c_str());
}

// Guards against the same loss when the database that has the commits is slow
// to tell its log.
TEST(sync_claim, nothing_is_promoted_while_a_registered_log_is_not_known)
{
    sync_claim_case c(claim_trigger::lost);
    c.attempt.on_status("p", c.now, {std::nullopt, true});
    c.attempt.on_status("r1", c.now, status(false, 3, {3, 10}));
    for (int i = 0; i < 50; ++i)
        STRCMP_EQUAL("", c.promoted_after(millis(100)).c_str());
    c.attempt.on_status("r2", c.now, status(false, 3, {3, 12}));
    STRCMP_EQUAL("r2", c.promoted_after(millis(1)).c_str());
}

TEST(sync_claim, a_registered_database_that_is_down_is_waited_for)
{
    sync_claim_case c(claim_trigger::lost);
    c.answer_all();
    c.attempt.on_status("r2", c.now, {std::nullopt, true});
    STRCMP_EQUAL("", c.promoted_after(millis(500)).c_str());
}

TEST(sync_claim, a_database_that_is_no_longer_registered_is_not_waited_for)
{
    sync_claim_case c(claim_trigger::lost);
    c.answer_all();
    c.attempt.on_status("r2", c.now, {std::nullopt, true});
    c.view.upstreams[2].leaving = true;
    c.view.gone = {"r2"};
    STRCMP_EQUAL("r1", c.promoted_after(millis(500)).c_str());
}

TEST(sync_claim, two_acknowledging_replicas_allow_one_unknown_log)
{
    sync_claim_case c(claim_trigger::lost);
    c.view.sync_replicas = 2;
    c.answer_all();
    c.attempt.on_status("r2", c.now, {std::nullopt, true});
    STRCMP_EQUAL("r1", c.promoted_after(millis(1)).c_str());
}

TEST(sync_claim, after_a_rejected_promotion_no_shorter_log_is_promoted)
{
    sync_claim_case c(claim_trigger::lost);
    c.answer_all();
    STRCMP_EQUAL("r2", c.promoted_after(millis(1)).c_str());
    c.attempt.on_write(write_outcome::written, 9, c.now);
    c.attempt.on_promote(promotion_outcome::rejected, c.now);
    c.now += millis(100);
    c.answer_all();
    STRCMP_EQUAL("", c.promoted_after(millis(1)).c_str());
}

// Guards against a leaving primary that is demoted before another database has
// its log: the platform would not make it lead again.
TEST(sync_claim, a_leaving_primary_is_kept_until_a_replica_has_its_log)
{
    sync_claim_case c(claim_trigger::leaving);
    c.view.upstreams[0].leaving = true;
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 14}));
    auto actions = c.tick_after(millis(1));
    CHECK(find<demote_action>(actions) == nullptr);
    CHECK(find<write_action>(actions) == nullptr);
    actions = c.tick_after(millis(1100));
    const auto* write = find<write_action>(actions);
    CHECK(write != nullptr);
    CHECK(write->record.phase == leadership_phase::settled);
    STRCMP_EQUAL("p", write->record.primary.c_str());
    c.attempt.on_write(write_outcome::written, 7, c.now);
    CHECK(c.attempt.outcome() == claim_outcome::not_caught_up);
}

TEST(sync_claim, a_leaving_primary_is_replaced_once_a_replica_has_its_log)
{
    sync_claim_case c(claim_trigger::leaving);
    c.view.upstreams[0].leaving = true;
    c.answer_all();
    c.attempt.on_status("p", c.now, status(true, 3, {3, 12}));
    CHECK(find<demote_action>(c.tick_after(millis(1))) != nullptr);
    c.now += millis(60);
    c.answer_all();
    c.attempt.on_status("p", c.now, status(false, 4, {3, 13}));
    // The last commit came after all hosts had stopped to use the primary.
    STRCMP_EQUAL("r2", c.promoted_after(millis(1100)).c_str());
}

// Guards against commits that a primary has acknowledged after it told its log
// and before all hosts had stopped to use it.
TEST(sync_claim, a_log_from_before_the_fence_demotes_no_primary)
{
    sync_claim_case c(claim_trigger::leaving);
    c.view.upstreams[0].leaving = true;
    c.answer_all();
    c.attempt.on_status("p", c.now - millis(100), status(true, 3, {3, 12}));
    CHECK(find<demote_action>(c.tick_after(millis(1))) == nullptr);
    c.attempt.on_status("p", c.now, status(true, 3, {3, 13}));
    CHECK(find<demote_action>(c.tick_after(millis(1))) == nullptr);
}

TEST(sync_claim, no_other_log_is_waited_for_when_the_recorded_primary_tells_its)
{
    sync_claim_case c(claim_trigger::leaving);
    c.view.upstreams[0].leaving = true;
    c.attempt.on_status("p", c.now, status(true, 3, {3, 12}));
    c.attempt.on_status("r2", c.now, status(false, 3, {3, 12}));
    CHECK(find<demote_action>(c.tick_after(millis(1))) != nullptr);
    c.now += millis(60);
    c.attempt.on_status("p", c.now, status(false, 4, {3, 12}));
    c.attempt.on_status("r2", c.now, status(false, 3, {3, 12}));
    STRCMP_EQUAL("r2", c.promoted_after(millis(400)).c_str());
}

TEST_GROUP(primary_lease)
{
    boot_instant now{std::chrono::seconds(100)};
};

TEST(primary_lease, a_record_without_proof_gives_no_lease)
{
    primary_lease lease;
    lease.update_record({3, leadership_phase::settled, "p", 1, "h"});
    CHECK_FALSE(lease.valid_until().has_value());
}

TEST(primary_lease, it_is_valid_from_the_latest_proof_on)
{
    primary_lease lease;
    lease.update_record({3, leadership_phase::settled, "p", 1, "h"});
    lease.prove(3, now);
    lease.prove(3, now - millis(500));
    CHECK(*lease.valid_until() == now + primary_lease::validity);
}

TEST(primary_lease, a_claim_ends_it_at_once)
{
    primary_lease lease;
    lease.update_record({3, leadership_phase::settled, "p", 1, "h"});
    lease.prove(3, now);
    lease.update_record({4, leadership_phase::claimed, "p", 1, "h"});
    lease.prove(4, now);
    CHECK_FALSE(lease.valid_until().has_value());
}

TEST(primary_lease, an_older_record_changes_nothing)
{
    primary_lease lease;
    lease.update_record({4, leadership_phase::claimed, "p", 1, "h"});
    CHECK_FALSE(
        lease.update_record({3, leadership_phase::settled, "p", 1, "h"}));
    LONGS_EQUAL(4, lease.record().version);
}
