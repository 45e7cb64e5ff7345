// Which registrations a host removes without heartbeats of a majority, and how
// the voters are replaced then.

#include <plantainward/fleet/fleet_view.hpp>
#include <plantainward/fleet/voter_change.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::fleet;
using core::boot_instant;
using core::millis;

namespace
{

using names = std::vector<std::string>;

members hosts_named(const names& all)
{
    members listed;
    for (const auto& name : all)
        listed[name] = {{name, 1}, "z", 100};
    return listed;
}

/// The view of the host "me" on the voters "a" to "e", and itself if it votes.
struct observer
{
    explicit observer(bool votes)
    {
        list({"a", "b", "c", "d", "e"});
        voter_set voters{1, {"a", "b", "c", "d", "e"}, {}};
        if (votes)
            voters.names.insert("me");
        view.set_voters(voters);
        view.note_records_read(1, now);
        view.update_contact(now);
    }

    void list(names registered)
    {
        registered.push_back("me");
        view.set_members(hosts_named(registered), now);
    }

    void pass(millis time)
    {
        now += time;
        view.update_contact(now);
    }

    void hear(const std::string& host)
    {
        heartbeat message;
        message.host = host;
        message.incarnation = 100;
        message.sequence = ++sequence;
        view.on_heartbeat(message, now);
        view.update_contact(now);
    }

    names lost() { return view.lost_voters(now); }

    boot_instant now{std::chrono::seconds(100)};
    fleet_view view{"me", 1, {}};
    std::uint32_t sequence{0};
};

} // namespace

TEST_GROUP(lost_voters){};

// Guards against a host that is cut off together with the table service: it
// must not remove the others and then take itself for a majority.
TEST(lost_voters, a_voter_that_hears_no_majority_removes_a_single_one_at_first)
{
    observer me(true);
    me.pass(millis(7900));
    CHECK(me.lost().empty());
    for (const int seconds : {1, 25, 300})
    {
        me.pass(std::chrono::seconds(seconds));
        CHECK(me.lost() == names{"a"});
    }
}

TEST(lost_voters, a_voter_that_comes_back_keeps_the_others_registered)
{
    observer me(true);
    me.pass(millis(9000));
    me.list({"b", "c", "d", "e"});
    me.pass(millis(2000));
    CHECK(me.lost().empty());
    me.list({"a", "b", "c", "d", "e"});
    me.pass(millis(9000));
    CHECK(me.lost().empty());
    me.pass(millis(1100));
    CHECK(me.lost() == names{"a"});
}

// Failure: once most voters were lost for good, none was removed any more, and
// no primary was replaced.
TEST(lost_voters, the_others_are_removed_if_the_first_one_does_not_come_back)
{
    observer me(true);
    me.pass(millis(9000));
    me.list({"b", "c", "d", "e"});
    me.pass(millis(2900));
    me.hear("e");
    CHECK(me.lost().empty());
    me.pass(millis(200));
    CHECK((me.lost() == names{"b", "c", "d"}));
}

// Failure: the same where all voters were lost.
TEST(lost_voters, a_host_that_does_not_vote_removes_them_if_it_hears_none)
{
    observer me(false);
    me.pass(millis(7900));
    CHECK(me.lost().empty());
    me.pass(millis(200));
    CHECK(me.lost() == names{"a"});
    me.list({"b", "c", "d", "e"});
    me.pass(millis(3100));
    CHECK((me.lost() == names{"b", "c", "d", "e"}));
}

TEST(lost_voters, a_host_that_does_not_vote_removes_none_while_it_hears_one)
{
    observer me(false);
    for (int i = 0; i < 30; ++i)
    {
        me.pass(millis(900));
        me.hear("c");
        CHECK(me.lost().empty());
    }
}

// Guards against a host without connections, which no voter answers since it
// sends no heartbeats.
TEST(lost_voters, a_host_that_needs_no_proofs_takes_no_voter_for_lost)
{
    observer me(false);
    me.view.set_needs_proofs(false);
    me.pass(millis(60'000));
    CHECK(me.lost().empty());
    CHECK_FALSE(me.view.is_without_voters(me.now));
}

// Failure: voters that were removed later stayed in the changed set, which had
// no majority for that reason.
TEST(lost_voters, all_removed_voters_are_absent_once_one_has_not_come_back)
{
    observer me(true);
    me.list({"a", "c", "d", "e"});
    me.pass(millis(3000));
    me.list({"a", "d", "e"});
    me.pass(millis(1900));
    CHECK(me.view.urgently_absent_voters(me.now).empty());
    me.pass(millis(200));
    CHECK((me.view.urgently_absent_voters(me.now) ==
           std::set<std::string>{"b", "c"}));
}

// Failure: hosts that were lost some seconds before were chosen as voters.
TEST(lost_voters, a_host_counts_as_heard_for_less_time_without_a_majority)
{
    observer me(true);
    me.hear("e");
    for (int i = 0; i < 7; ++i)
    {
        me.pass(millis(900));
        for (const char* host : {"a", "b", "c"})
            me.hear(host);
    }
    CHECK(me.view.heard_members(me.now).contains("e"));
    me.pass(millis(1100));
    CHECK_FALSE(me.view.heard_members(me.now).contains("e"));
    CHECK(me.view.heard_members(me.now).contains("a"));
    me.pass(millis(4000));
    CHECK_FALSE(me.view.heard_members(me.now).contains("a"));
}

TEST_GROUP(lost_majority)
{
    boot_instant now{std::chrono::seconds(1000)};
    voter_change change{voter_options{}};
    members registered;
    voter_set voters{1, {"a", "b", "c", "d", "e"}, {}};
    std::set<std::string> heard{"a", "b"};
    std::set<std::string> live{"a", "b"};
    std::set<std::string> absent;
    voter_contact contact;
    bool is_without_voters{false};

    void setup() override
    {
        registered = hosts_named({"a", "b", "c", "d", "e"});
        tick_after(millis(0));
    }

    std::optional<voter_set> tick_after(millis time)
    {
        now += time;
        contact.update({!is_without_voters, live.size() > 2, false}, now);
        return change.tick({voters,
                            voters.version,
                            registered,
                            heard,
                            {},
                            false,
                            0,
                            "a",
                            live,
                            contact,
                            absent,
                            is_without_voters},
                           now);
    }

    void put_in_force(voter_set set)
    {
        set.version = voters.version + 1;
        voters = std::move(set);
        contact.reset();
        tick_after(millis(0));
    }

    /// The set after the step that requires recent reads.
    void require_recent_reads()
    {
        put_in_force(*tick_after(millis(2000)));
        CHECK(voters.needs_recent_reads);
    }

    void lose(const names& lost)
    {
        for (const auto& name : lost)
        {
            registered.erase(name);
            absent.insert(name);
        }
    }
};

// Failure: all hosts were lost one after the other, and those that took their
// place had to wait for the longest outage.
TEST(lost_majority, the_voters_that_are_left_require_recent_reads_at_once)
{
    CHECK_FALSE(tick_after(millis(1900)).has_value());
    const auto changed = tick_after(millis(200));
    CHECK(changed->needs_recent_reads);
    CHECK(changed->names == voters.names);
    CHECK_FALSE(changed->is_joint());
}

TEST(lost_majority, all_voters_may_go_on_without_reads_once_all_are_heard)
{
    require_recent_reads();
    live = {"a", "b", "c"};
    CHECK_FALSE(tick_after(millis(1000)).has_value());
    const auto tick_with_all = [&](millis time) {
        now += time;
        contact.update({true, true, true}, now);
        return change.tick({voters,
                            voters.version,
                            registered,
                            heard,
                            {},
                            false,
                            0,
                            "a",
                            live,
                            contact},
                           now);
    };
    CHECK_FALSE(tick_with_all(millis(0)).has_value());
    CHECK_FALSE(tick_with_all(millis(9900)).has_value());
    CHECK_FALSE(tick_with_all(millis(200))->needs_recent_reads);
}

// Failure: the changed set had no majority either, or lost it while it was
// being completed, and the next change had to wait for the end of this one.
TEST(lost_majority, lost_voters_are_replaced_once_all_others_are_heard)
{
    require_recent_reads();
    lose({"c"});
    for (const char* name : {"x", "y"})
        registered[name] = {{name, 1}, "z", 100};
    CHECK_FALSE(tick_after(millis(2000)).has_value());
    heard = {"a", "b", "x", "y"};
    CHECK_FALSE(tick_after(millis(0)).has_value());
    // Voters that were lost lately have been heard lately.
    heard = {"a", "b", "d", "e", "x", "y"};
    CHECK_FALSE(tick_after(millis(0)).has_value());
    lose({"d", "e"});
    const auto changed = tick_after(millis(0));
    CHECK((changed->names == std::set<std::string>{"a", "b", "x", "y"}));
    CHECK(changed->previous == voters.names);
    CHECK(changed->previous_need_recent_reads);
    CHECK_FALSE(changed->needs_recent_reads);
}

TEST(lost_majority, lost_voters_are_replaced_in_part_after_some_time)
{
    require_recent_reads();
    lose({"c"});
    CHECK_FALSE(tick_after(millis(14'900)).has_value());
    const auto changed = tick_after(millis(200));
    CHECK((changed->names == std::set<std::string>{"a", "b", "d", "e"}));
}

// Failure: only voters changed the set, so a fleet whose voters were all lost
// never replaced a primary again.
TEST(lost_majority, hosts_that_do_not_vote_replace_all_voters)
{
    is_without_voters = true;
    heard = {"me"};
    registered = hosts_named({"b", "c", "d", "e", "me", "x"});
    CHECK_FALSE(tick_after(millis(20'000)).has_value());
    absent = {"a"};
    const auto changed = tick_after(millis(10));
    CHECK((changed->names == std::set<std::string>{"me", "x"}));
    CHECK(changed->previous == voters.names);
}
