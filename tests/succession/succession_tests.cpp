#include <plantainward/succession/succession.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::succession;
using core::boot_instant;
using core::millis;

TEST_GROUP(succession)
{
    boot_instant now{std::chrono::seconds(100)};
    plantainward::succession::succession ledger{"me", "ledger"};
    succession_view view;

    void setup() override
    {
        ledger.update_record({5, leadership_phase::settled, "p", 1, "other"},
                             now);
        view.claim.upstreams = {{"p", "ledger", {"p", 1}, "a", false, true, 1}};
        view.watchers = 4;
        view.is_writer_active = false;
    }

    /// Answers the claim's last write.
    claim_actions answer_write(write_outcome outcome, std::uint64_t version)
    {
        return ledger.on_write(last_write, outcome, version, now);
    }

    void remember_write(const claim_actions& actions)
    {
        for (const auto& action : actions)
            if (const auto* write = std::get_if<write_action>(&action))
                last_write = write->id;
    }

    std::uint64_t last_write{0};

    bool is_claiming()
    {
        now += millis(10);
        remember_write(ledger.tick(view, now));
        return ledger.running_claim().has_value();
    }
};

TEST(succession, a_watcher_claims_when_it_and_a_majority_suspect_the_primary)
{
    view.suspecting_hosts = 4;
    CHECK_FALSE(is_claiming());
    view.suspects_primary = true;
    view.suspecting_hosts = 1;
    CHECK_FALSE(is_claiming());
    view.suspecting_hosts = 2;
    CHECK(is_claiming());
}

TEST(succession, a_host_that_does_not_watch_needs_a_majority_of_the_watchers)
{
    view.watches_primary = false;
    view.suspecting_hosts = 2;
    CHECK_FALSE(is_claiming());
    view.suspecting_hosts = 3;
    CHECK(is_claiming());
}

TEST(succession, without_watchers_no_primary_counts_as_lost)
{
    view.watches_primary = false;
    view.watchers = 0;
    CHECK_FALSE(is_claiming());
}

// Guards against two hosts that replace a primary shortly after each other.
TEST(succession,
     while_the_writer_of_a_record_is_active_other_hosts_do_not_claim)
{
    view.is_writer_active = true;
    view.suspects_primary = true;
    view.suspecting_hosts = 4;
    now += millis(9900);
    CHECK_FALSE(is_claiming());
    now += millis(100);
    CHECK(is_claiming());
}

TEST(succession, the_writer_of_a_record_replaces_the_primary_again_at_once)
{
    ledger.update_record({6, leadership_phase::settled, "p", 1, "me"}, now);
    view.is_writer_active = true;
    view.suspects_primary = true;
    view.suspecting_hosts = 4;
    CHECK(is_claiming());
}

TEST(succession,
     the_writer_of_a_record_follows_the_majority_against_its_own_view)
{
    ledger.update_record({6, leadership_phase::settled, "p", 1, "me"}, now);
    view.suspecting_hosts = 2;
    CHECK_FALSE(is_claiming());
    view.suspecting_hosts = 3;
    CHECK(is_claiming());
}

// Guards against a promotion with the token of an earlier claim: the answer to
// that claim's write arrives while the next claim waits for its own.
TEST(succession,
     a_late_answer_to_the_write_of_an_earlier_claim_promotes_nothing)
{
    view.claim.all_acknowledged = [](std::uint64_t, boot_instant) {
        return true;
    };
    view.claim.majority_acknowledged = [](std::uint64_t) {
        return true;
    };
    view.claim.upstreams.push_back(
        {"r", "ledger", {"r", 1}, "a", false, false, 1});
    view.suspects_primary = true;
    view.suspecting_hosts = 4;
    CHECK(is_claiming());
    const auto first = last_write;
    // Another host's record ends that claim; then its primary is lost too.
    ledger.update_record({8, leadership_phase::settled, "p", 1, "other"}, now);
    CHECK_FALSE(ledger.running_claim().has_value());
    CHECK(is_claiming());
    answer_write(write_outcome::written, 9);
    remember_write(ledger.tick(view, now));
    now += millis(5);
    ledger.on_status("p", now, {std::nullopt, true});
    ledger.on_status("r", now, {sql::database_status{false, 3, {3, 4}}, false});
    remember_write(ledger.tick(view, now));
    CHECK(ledger.running_claim()->stage() == claim_stage::confirming);
    CHECK(ledger.on_write(first, write_outcome::written, 6, now).empty());
    CHECK(ledger.running_claim()->stage() == claim_stage::confirming);
    const auto actions = answer_write(write_outcome::written, 10);
    LONGS_EQUAL(10, std::get<promote_action>(actions.front()).token);
}

TEST(succession, a_late_rejection_of_an_earlier_promotion_changes_nothing)
{
    view.claim.all_acknowledged = [](std::uint64_t, boot_instant) {
        return true;
    };
    view.claim.majority_acknowledged = [](std::uint64_t) {
        return true;
    };
    view.suspects_primary = true;
    view.suspecting_hosts = 4;
    CHECK(is_claiming());
    answer_write(write_outcome::written, 9);
    remember_write(ledger.tick(view, now));
    now += millis(5);
    ledger.on_status("p", now, {sql::database_status{false, 3, {3, 4}}, false});
    remember_write(ledger.tick(view, now));
    answer_write(write_outcome::written, 10);
    CHECK(ledger.running_claim()->stage() == claim_stage::promoting);
    ledger.on_promote(7, promotion_outcome::rejected, now);
    CHECK(ledger.running_claim()->stage() == claim_stage::promoting);
    ledger.on_promote(10, promotion_outcome::rejected, now);
    CHECK(ledger.running_claim()->stage() == claim_stage::gathering);
}

// Guards against the replacement of a new primary by a host whose list of
// databases is older than the record.
TEST(succession, a_primary_that_is_not_in_the_list_of_this_host_yet_is_kept)
{
    ledger.update_record({9, leadership_phase::settled, "new", 1, "other"},
                         now);
    CHECK_FALSE(is_claiming());
    now += millis(2000);
    CHECK_FALSE(is_claiming());
    now += millis(300);
    CHECK(is_claiming());
}

// Guards against a service without a primary while all its databases are
// leaving.
TEST(succession, a_leaving_primary_is_kept_until_another_database_stays)
{
    view.claim.upstreams.front().leaving = true;
    view.claim.upstreams.push_back(
        {"r", "ledger", {"r", 1}, "a", true, false, 1});
    CHECK_FALSE(is_claiming());
    view.claim.upstreams.back().leaving = false;
    CHECK(is_claiming());
}

TEST(succession, a_list_that_is_older_than_the_record_triggers_no_claim)
{
    ledger.update_record({9, leadership_phase::settled, "p", 2, "other"}, now);
    CHECK_FALSE(is_claiming());
    view.claim.upstreams.front().started_at_ms = 3;
    CHECK(is_claiming());
}
