// Quorums of a voter set, also while it changes.

#include <plantainward/fleet/fleet_view.hpp>
#include <plantainward/fleet/voter_change.hpp>

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::fleet;
using core::boot_instant;
using core::millis;

namespace
{

constexpr const char* service = "ledger";

members hosts(std::size_t count, std::size_t domains)
{
    members all;
    for (std::size_t i = 0; i < count; ++i)
        all["host-" + std::to_string(i)] = {
            {std::to_string(i), 1},
            std::string(1, static_cast<char>('a' + i % domains)),
            100};
    return all;
}

/// A heartbeat that echoes round 1 of "host-0", which has incarnation 1.
heartbeat heartbeat_of(const std::string& host, std::uint64_t voters_version,
                       std::uint64_t record_version)
{
    static std::uint32_t sequence = 0;
    heartbeat message;
    message.host = host;
    message.incarnation = 100;
    message.sequence = ++sequence;
    message.echo_incarnation = 1;
    message.echo_sequence = 1;
    message.knows_records = true;
    message.has_read_lately = true;
    message.voters_version = voters_version;
    message.services[key_of(service)].record_version = record_version;
    return message;
}

std::set<std::string> names(std::initializer_list<int> numbers)
{
    std::set<std::string> all;
    for (const int number : numbers)
        all.insert("host-" + std::to_string(number));
    return all;
}

} // namespace

TEST_GROUP(voter_set)
{
    boot_instant now{std::chrono::seconds(1000)};
    fleet_view view{"host-0", 1, {}};

    void setup() override
    {
        view.set_members(hosts(8, 2), now);
        view.start_round(now);
    }

    void read_voters(const voter_set& voters)
    {
        view.set_voters(voters);
        view.note_records_read(voters.version, now);
    }

    void hear(int host, std::uint64_t voters_version,
              std::uint64_t record_version)
    {
        view.on_heartbeat(heartbeat_of("host-" + std::to_string(host),
                                       voters_version, record_version),
                          now);
    }

    bool proves(std::uint64_t version)
    {
        return view.quorum_instant(service, version, now).has_value();
    }
};

TEST(voter_set, voters_are_spread_over_the_failure_domains)
{
    std::map<std::string, int> voters_of_domain;
    const auto all = hosts(295, 5);
    for (const auto& name : choose_voters(all, 15))
        ++voters_of_domain[all.at(name).failure_domain];
    LONGS_EQUAL(5, voters_of_domain.size());
    for (const auto& [domain, count] : voters_of_domain)
        LONGS_EQUAL(3, count);
    LONGS_EQUAL(4, choose_voters(hosts(4, 3), 15).size());
}

TEST(voter_set, a_majority_proves_a_record)
{
    read_voters({5, names({0, 1, 2, 3, 4}), {}});
    hear(1, 5, 9);
    CHECK_FALSE(proves(9));
    hear(2, 5, 9);
    CHECK(proves(9));
}

TEST(voter_set, a_host_outside_the_set_proves_nothing_itself)
{
    read_voters({5, names({1, 2, 3}), {}});
    for (const int host : {1, 2, 3})
        hear(host, 5, 9);
    CHECK_FALSE(proves(9));
}

TEST(voter_set, voters_that_know_another_version_of_the_set_do_not_count)
{
    // Guards against a quorum of an old set and a claim's majority of a new one
    // that have no voter in common.
    read_voters({5, names({0, 1, 2, 3, 4}), {}});
    hear(1, 5, 9);
    hear(2, 4, 9);
    hear(3, 6, 9);
    CHECK_FALSE(proves(9));
}

TEST(voter_set, a_host_that_has_not_read_the_newest_set_proves_nothing)
{
    // A claim that was made before the change may be unknown to it.
    read_voters({5, names({0, 1, 2}), {}});
    hear(1, 5, 9);
    CHECK(proves(9));
    view.set_voters({6, names({0, 1, 2}), names({0, 1, 2})});
    hear(1, 6, 9);
    hear(2, 6, 9);
    CHECK_FALSE(proves(9));
}

TEST(voter_set, a_claim_during_a_change_needs_a_majority_of_both_sets)
{
    read_voters({6, names({0, 5, 6, 7}), names({0, 1, 2, 3, 4})});
    for (const int host : {5, 6, 7})
        hear(host, 6, 10);
    CHECK_FALSE(view.majority_acknowledged(service, 10));
    hear(1, 5, 10);
    CHECK_FALSE(view.majority_acknowledged(service, 10));
    hear(2, 5, 10);
    CHECK(view.majority_acknowledged(service, 10));
}

// Failure: a host that is cut off may remove registrations. Voters that live
// without the table service were then taken to have acknowledged a claim,
// and went on to prove the record before it to each other.
TEST(voter_set, a_voter_that_is_not_registered_has_not_acknowledged_a_claim)
{
    read_voters({5, names({0, 1, 2, 3, 9}), {}});
    view.set_members(hosts(8, 2), now);
    hear(1, 5, 10);
    CHECK_FALSE(view.majority_acknowledged(service, 10));
    CHECK(view.absent_voters(now + millis(19'000)).empty());
    CHECK(view.absent_voters(now + millis(21'000)) == names({9}));
    CHECK_FALSE(view.majority_acknowledged(service, 10));
    hear(2, 5, 10);
    CHECK(view.majority_acknowledged(service, 10));
}

// Failure: the same, for the claim that it may be made at all.
TEST(voter_set, a_majority_is_reached_only_with_voters_that_are_live)
{
    read_voters({5, names({0, 1, 2, 8, 9}), {}});
    view.set_members(hosts(8, 2), now);
    const auto later = now + millis(21'000);
    CHECK_FALSE(view.can_reach_majority(later));
    for (const char* host : {"host-1", "host-2"})
        view.on_heartbeat(heartbeat_of(host, 5, 9), later);
    CHECK(view.can_reach_majority(later));
}

// Failure: the same, for the end of a change of the voters.
TEST(voter_set, a_voter_that_is_not_registered_is_not_informed_of_a_change)
{
    read_voters({6, names({0, 1, 5}), names({0, 1, 8, 9})});
    view.set_members(hosts(8, 2), now);
    view.set_members(hosts(8, 2), now + millis(21'000));
    hear(1, 6, 10);
    CHECK_FALSE(view.previous_voters_informed());
}

TEST_GROUP(unread_quorum)
{
    const boot_instant began{std::chrono::seconds(1000)};
    boot_instant now{began + millis(31'000)};
    fleet_view view{"host-0", 1, {}};
    voter_set voters{5, names({0, 1, 2, 3}), {}};

    /// This host reads the set twice, long enough apart, and then no more.
    void read_twice()
    {
        view.set_members(hosts(8, 2), began);
        view.set_voters(voters);
        view.note_records_read(5, began);
        view.note_records_read(5, now);
    }

    /// Hears voters that have not read the records lately.
    bool proves_with(std::initializer_list<int> hosts, bool together = true)
    {
        view.start_round(now);
        for (const int host : hosts)
        {
            auto message = heartbeat_of("host-" + std::to_string(host), 5, 9);
            message.echo_sequence = ++round;
            message.has_read_lately = false;
            message.confirms_with_all = together;
            --round;
            view.on_heartbeat(message, now);
        }
        ++round;
        return view.quorum_instant(service, 9, now) == now;
    }

    std::uint32_t round{0};
};

TEST(unread_quorum, a_quorum_without_the_table_service_ends_unless_all_confirm)
{
    // Guards against voters that confirm records without the table service when
    // it has a set that replaced them, because the others took them for lost.
    read_twice();
    now += voter_set::max_read_age + millis(1000);
    CHECK_FALSE(proves_with({1, 2}));
    CHECK(proves_with({1, 2, 3}));
}

// Failure: voters that were all lost, but for each other, went on for as long
// as they lived, so no other host could ever take their place.
TEST(unread_quorum, all_voters_together_confirm_for_the_longest_outage_only)
{
    read_twice();
    now += voter_set::max_outage - millis(1000);
    CHECK(proves_with({1, 2, 3}));
    now += millis(2000);
    CHECK_FALSE(proves_with({1, 2, 3}));
}

// Failure: the host that changed the set confirmed under the set before as if
// it did not know of the change.
TEST(unread_quorum, a_voter_that_changes_the_set_no_longer_confirms_with_all)
{
    read_twice();
    CHECK(view.make_heartbeat("host-1", now).confirms_with_all);
    view.note_voters_write();
    CHECK_FALSE(view.make_heartbeat("host-1", now).confirms_with_all);
    now += voter_set::max_read_age + millis(1000);
    CHECK_FALSE(proves_with({1, 2, 3}));
}

// Failure: the same for an earlier process of the host, whose write was
// performed after the host had read the set.
TEST(unread_quorum, a_voter_that_has_just_started_does_not_confirm_with_all)
{
    view.set_members(hosts(8, 2), began);
    view.set_voters(voters);
    view.note_records_read(5, began);
    CHECK_FALSE(view.make_heartbeat("host-1", began).confirms_with_all);
    view.note_records_read(5, began + millis(29'000));
    CHECK_FALSE(view.make_heartbeat("host-1", began + millis(29'000))
                    .confirms_with_all);
}

// Failure: voters of a set that had lost its majority went on without reads.
TEST(unread_quorum, a_set_can_require_recent_reads_of_all_voters)
{
    voters.needs_recent_reads = true;
    read_twice();
    now += voter_set::max_read_age + millis(1000);
    CHECK_FALSE(proves_with({1, 2, 3}));
}

// Failure: a read of a removed row counted as a proof that the set was the
// same.
TEST(unread_quorum, a_read_that_does_not_show_the_set_does_not_count)
{
    read_twice();
    now += voter_set::max_read_age + millis(1000);
    view.note_records_read(0, now);
    CHECK_FALSE(view.make_heartbeat("host-1", now).has_read_lately);
}

TEST(unread_quorum, a_voter_that_does_not_confirm_with_all_ends_the_quorum)
{
    read_twice();
    now += voter_set::max_read_age + millis(1000);
    CHECK_FALSE(proves_with({1, 2, 3}, false));
}

TEST_GROUP(voter_change)
{
    boot_instant now{std::chrono::seconds(1000)};
    fleet::voter_change change{fleet::voter_options{}};
    members registered{hosts(30, 3)};
    voter_set voters;
    std::uint64_t row_version{0};
    std::set<std::string> absent;
    bool informed{false};
    std::size_t rank{0};
    std::string self;

    std::optional<voter_set> tick_after(millis time)
    {
        now += time;
        std::set<std::string> heard;
        for (const auto& [name, host] : registered)
            heard.insert(name);
        return change.tick({voters, row_version, registered, heard, absent,
                            informed, rank, self, heard},
                           now);
    }

    void put_in_force(voter_set set)
    {
        set.version = ++row_version;
        voters = std::move(set);
        tick_after(millis(0));
    }

    /// Removes a voter's registration for longer than a restart takes.
    std::string lose_voter()
    {
        auto lost = *voters.names.begin();
        registered.erase(lost);
        absent.insert(lost);
        return lost;
    }
};

TEST(voter_change, a_new_fleet_gets_a_set)
{
    LONGS_EQUAL(15, tick_after(millis(0))->names.size());
    registered = hosts(20, 3);
    const auto small = tick_after(millis(0));
    LONGS_EQUAL(20, small->names.size());
    CHECK_FALSE(small->is_joint());
}

TEST(voter_change, hosts_of_later_rank_act_only_when_the_first_does_not)
{
    rank = 2;
    CHECK_FALSE(tick_after(millis(0)).has_value());
    CHECK_FALSE(tick_after(millis(390)).has_value());
    CHECK(tick_after(millis(20)).has_value());
}

TEST(voter_change, a_lost_voter_is_replaced_in_two_steps)
{
    put_in_force(*tick_after(millis(0)));
    const auto before = voters.names;
    const auto lost = lose_voter();
    CHECK_FALSE(tick_after(millis(100)).has_value());
    const auto first = tick_after(millis(10'000));
    CHECK(first->previous == before);
    CHECK_FALSE(first->names.contains(lost));
    LONGS_EQUAL(15, first->names.size());
    put_in_force(*first);
    CHECK_FALSE(tick_after(millis(5000)).has_value());
    informed = true;
    CHECK_FALSE(tick_after(millis(10)).has_value());
    CHECK_FALSE(tick_after(millis(1500)).has_value());
    const auto second = tick_after(millis(200));
    CHECK(second->names == first->names);
    CHECK_FALSE(second->is_joint());
}

// A host that does not vote can't know that the previous voters don't confirm
// records together.
TEST(voter_change, previous_voters_are_waited_for_during_the_longest_outage)
{
    put_in_force(*tick_after(millis(0)));
    lose_voter();
    put_in_force(*tick_after(millis(10'001)));
    CHECK_FALSE(tick_after(voter_set::max_outage + millis(1900)).has_value());
    CHECK(tick_after(millis(400)).has_value());
}

// Failure: a fleet that had lost most voters waited for the longest outage,
// although one of them had made the change.
TEST(voter_change, previous_voters_are_waited_for_less_if_one_made_the_change)
{
    put_in_force(*tick_after(millis(0)));
    lose_voter();
    self = *voters.names.begin();
    put_in_force(*tick_after(millis(10'001)));
    CHECK_FALSE(tick_after(voter_set::max_read_age + millis(1900)).has_value());
    CHECK(tick_after(millis(400)).has_value());
}

TEST(voter_change, hosts_that_join_do_not_change_a_complete_set)
{
    put_in_force(*tick_after(millis(0)));
    registered = hosts(352, 5);
    CHECK_FALSE(tick_after(millis(60'000)).has_value());
}

TEST(voter_change, a_fleet_smaller_than_the_set_is_complete_when_all_vote)
{
    registered = hosts(4, 2);
    put_in_force(*tick_after(millis(0)));
    lose_voter();
    const auto smaller = tick_after(millis(11'000));
    LONGS_EQUAL(3, smaller->names.size());
}

TEST(voter_change, a_removed_or_damaged_row_is_written_again)
{
    put_in_force(*tick_after(millis(0)));
    const auto known = voters.names;
    for (const std::uint64_t damaged : {std::uint64_t{0}, row_version + 3})
    {
        row_version = damaged;
        const auto repaired = tick_after(millis(10));
        CHECK(repaired->names == known);
        CHECK_FALSE(repaired->is_joint());
    }
}
