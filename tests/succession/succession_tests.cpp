#include <plantainward/succession/succession.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::succession;
using core::boot_instant;
using core::millis;

TEST_GROUP(succession)
{
    boot_instant now{std::chrono::seconds(100)};
    plantainward::succession::succession one{"me", "ledger"};
    succession_view view;

    void setup() override
    {
        one.take({5, leadership_phase::settled, "p", 1, "other"}, now);
        view.claim.upstreams = {{"p", "ledger", {"p", 1}, "a", false, true, 1}};
        view.watchers = 4;
        view.writer_goes_on = false;
    }

    /// Asks until the claim's last write is told, as the given one.
    claim_actions write(write_outcome end, std::uint64_t version)
    {
        return one.on_write(last_write, end, version, now);
    }

    void note(const claim_actions& actions)
    {
        for (const auto& action : actions)
            if (const auto* asked = std::get_if<write_action>(&action))
                last_write = asked->id;
    }

    std::uint64_t last_write{0};

    bool claims()
    {
        now += millis(10);
        note(one.tick(view, now));
        return one.running().has_value();
    }
};

TEST(succession, a_host_that_watches_needs_its_own_doubt_and_a_majority)
{
    view.doubters = 4;
    CHECK_FALSE(claims());
    view.doubts_primary = true;
    view.doubters = 1;
    CHECK_FALSE(claims());
    view.doubters = 2;
    CHECK(claims());
}

TEST(succession, a_host_that_does_not_watch_needs_a_majority_of_those_that_do)
{
    view.watches = false;
    view.doubters = 2;
    CHECK_FALSE(claims());
    view.doubters = 3;
    CHECK(claims());
}

TEST(succession, without_watchers_nobody_is_taken_for_lost)
{
    view.watches = false;
    view.watchers = 0;
    CHECK_FALSE(claims());
}

// Guards against two hosts that replace one primary shortly after each other.
TEST(succession, while_the_writer_of_a_record_goes_on_others_claim_nothing)
{
    view.writer_goes_on = true;
    view.doubts_primary = true;
    view.doubters = 4;
    now += millis(9900);
    CHECK_FALSE(claims());
    now += millis(100);
    CHECK(claims());
}

TEST(succession, the_writer_of_a_record_replaces_the_primary_again_at_once)
{
    one.take({6, leadership_phase::settled, "p", 1, "me"}, now);
    view.writer_goes_on = true;
    view.doubts_primary = true;
    view.doubters = 4;
    CHECK(claims());
}

TEST(succession, the_writer_follows_the_majority_against_its_own_view)
{
    one.take({6, leadership_phase::settled, "p", 1, "me"}, now);
    view.doubters = 2;
    CHECK_FALSE(claims());
    view.doubters = 3;
    CHECK(claims());
}

// Guards against a promotion with the token of an earlier claim.
TEST(succession, the_late_answer_to_an_earlier_claims_write_promotes_nothing)
{
    view.claim.all_aware = [](std::uint64_t, boot_instant) {
        return true;
    };
    view.claim.aware = [](std::uint64_t, boot_instant) {
        return 1;
    };
    view.claim.upstreams.push_back(
        {"r", "ledger", {"r", 1}, "a", false, false, 1});
    view.doubts_primary = true;
    view.doubters = 4;
    CHECK(claims());
    const auto first = last_write;
    // Another host's record ends that claim, and its primary is lost, too.
    one.take({8, leadership_phase::settled, "p", 1, "other"}, now);
    CHECK_FALSE(one.running().has_value());
    CHECK(claims());
    write(write_outcome::written, 9);
    note(one.tick(view, now));
    now += millis(5);
    one.on_status("p", now, {std::nullopt, true});
    one.on_status("r", now, {sql::database_status{false, 3, {3, 4}}, false});
    note(one.tick(view, now));
    CHECK(one.running()->stage() == claim_stage::confirming);
    CHECK(one.on_write(first, write_outcome::written, 6, now).empty());
    CHECK(one.running()->stage() == claim_stage::confirming);
    const auto actions = write(write_outcome::written, 10);
    LONGS_EQUAL(10, std::get<promote_action>(actions.front()).token);
}

TEST(succession, the_late_end_of_an_earlier_promotion_rejects_nothing)
{
    view.claim.all_aware = [](std::uint64_t, boot_instant) {
        return true;
    };
    view.claim.aware = [](std::uint64_t, boot_instant) {
        return 1;
    };
    view.doubts_primary = true;
    view.doubters = 4;
    CHECK(claims());
    write(write_outcome::written, 9);
    note(one.tick(view, now));
    now += millis(5);
    one.on_status("p", now, {sql::database_status{false, 3, {3, 4}}, false});
    note(one.tick(view, now));
    write(write_outcome::written, 10);
    CHECK(one.running()->stage() == claim_stage::promoting);
    one.on_promote(7, promotion_outcome::rejected, now);
    CHECK(one.running()->stage() == claim_stage::promoting);
    one.on_promote(10, promotion_outcome::rejected, now);
    CHECK(one.running()->stage() == claim_stage::gathering);
}

// Guards against the replacement of a new primary by a host whose list lags.
TEST(succession, a_primary_that_this_hosts_list_does_not_show_yet_is_no_cause)
{
    one.take({9, leadership_phase::settled, "new", 1, "other"}, now);
    CHECK_FALSE(claims());
    now += millis(2000);
    CHECK_FALSE(claims());
    now += millis(300);
    CHECK(claims());
}

// Guards against a service without a primary while all its databases leave.
TEST(succession, a_leaving_primary_is_kept_until_another_database_stays)
{
    view.claim.upstreams.front().leaving = true;
    view.claim.upstreams.push_back(
        {"r", "ledger", {"r", 1}, "a", true, false, 1});
    CHECK_FALSE(claims());
    view.claim.upstreams.back().leaving = false;
    CHECK(claims());
}

TEST(succession, a_list_that_is_older_than_the_record_shows_no_restart)
{
    one.take({9, leadership_phase::settled, "p", 2, "other"}, now);
    CHECK_FALSE(claims());
    view.claim.upstreams.front().started_at_ms = 3;
    CHECK(claims());
}
