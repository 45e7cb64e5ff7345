// Simulated fleets that lose most or all of their voters.

#include <support/fleet_world.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet under load with a settled primary.
struct lossy_world : fleet_world
{
    explicit lossy_world(std::size_t hosts)
        : fleet_world(hosts, 1, hosts > 26 ? 162 : 60, hosts > 26 ? 5 : 3)
    {
        if (std::getenv("EXPLORER_TRACE") != nullptr)
            trace_to(std::cerr);
        run_for(millis(3000));
        start_load(millis(20));
        run_for(millis(500));
    }

    std::vector<std::string> voters()
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < host_count(); ++i)
            if (is_voter(host_name(i)))
                names.push_back(host_name(i));
        return names;
    }

    bool is_voter(const std::string& name)
    {
        return is_running(name) && host(name).choose_table_source() ==
                                       entry::table_source::table_service;
    }

    std::string running_host()
    {
        for (std::size_t i = host_count(); i > 0; --i)
            if (is_running(host_name(i - 1)))
                return host_name(i - 1);
        return {};
    }

    /// Whether a lost primary is replaced, and writes are served again.
    bool replaces_a_primary()
    {
        const auto before = history().promotions;
        crash_database(leader());
        run_for(millis(4000));
        const auto reply = call(running_host(), "latest", "WRITE k1 1");
        return history().promotions == before + 1 && !reply.error &&
               !reply.signature.empty();
    }

    void check_no_fault()
    {
        const auto& faults = history().faults;
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
    }
};

constexpr millis max_outage = fleet::voter_set::max_outage;

} // namespace

TEST_GROUP(lost_voters){};

// Failure: once ten of 15 hosts had been replaced, one a second, no primary was
// replaced any more.
TEST(lost_voters, a_fleet_most_of_which_was_replaced_replaces_a_primary)
{
    lossy_world world(15);
    for (int i = 0; i < 10; ++i)
    {
        world.lose(world.host_name(static_cast<std::size_t>(i)));
        if (i >= 2)
            world.add_host();
        world.run_for(millis(1000));
    }
    world.add_host();
    world.add_host();
    world.run_for(millis(30'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

// Failure: the same with no host that comes in their place.
TEST(lost_voters, a_fleet_that_lost_most_hosts_at_once_replaces_a_primary)
{
    lossy_world world(15);
    for (std::size_t i = 0; i < 11; ++i)
        world.lose(world.host_name(i));
    world.run_for(millis(36'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

// Failure: no host was left that could change the voters.
TEST(lost_voters, a_fleet_all_of_which_was_replaced_replaces_a_primary)
{
    lossy_world world(15);
    for (std::size_t i = 0; i < 15; ++i)
    {
        world.lose(world.host_name(i));
        if (i >= 2)
            world.add_host();
        world.run_for(millis(1000));
    }
    world.add_host();
    world.add_host();
    world.run_for(millis(40'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

// Voters that are lost at the same moment may live without the table service,
// all of them together.
TEST(lost_voters, a_small_fleet_replaced_at_once_replaces_a_primary_at_last)
{
    lossy_world world(3);
    for (std::size_t i = 0; i < 3; ++i)
        world.lose(world.host_name(i));
    world.run_for(millis(1000));
    for (std::size_t i = 0; i < 3; ++i)
        world.add_host();
    world.run_for(max_outage + millis(20'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

TEST(lost_voters, a_large_fleet_that_loses_all_voters_at_once_recovers_at_last)
{
    lossy_world world(30);
    for (const auto& name : world.voters())
        world.lose(name);
    world.run_for(max_outage + millis(25'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

TEST(lost_voters, a_large_fleet_that_loses_its_voters_in_turn_recovers)
{
    lossy_world world(30);
    for (const auto& name : world.voters())
    {
        world.lose(name);
        world.run_for(millis(1000));
    }
    world.run_for(millis(40'000));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

// Failure: voters without a majority tried to write the set at each tick while
// the table service refused it.
TEST(lost_voters, a_refused_change_is_not_tried_again_at_once)
{
    lossy_world world(15);
    for (std::size_t i = 0; i < 8; ++i)
        world.lose(world.host_name(i));
    world.set_store_up(false);
    const auto before = world.history().voter_writes;
    world.run_for(millis(10'000));
    CHECK(world.history().voter_writes - before > 0);
    CHECK(world.history().voter_writes - before <= std::size_t{7 * 10});
}

// Failure: changes queued up behind each other, each with its waiting time.
TEST(lost_voters, a_majority_lost_again_is_replaced_again)
{
    lossy_world world(15);
    for (int round = 0; round < 2; ++round)
    {
        const auto voters = world.voters();
        for (std::size_t i = 0; i < 8; ++i)
        {
            world.lose(voters[i]);
            world.add_host();
        }
        world.run_for(millis(36'000));
    }
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}

// An outage of the table service stops nothing while all voters live.
TEST(lost_voters, all_voters_go_on_through_a_long_outage)
{
    lossy_world world(15);
    world.run_for(millis(40'000));
    world.history().longest_gap = millis(0);
    world.set_store_up(false);
    world.run_for(millis(120'000));
    world.set_store_up(true);
    world.run_for(millis(2000));
    CHECK(world.history().longest_gap < millis(1000));
    LONGS_EQUAL(0, world.history().promotions);
    world.check_no_fault();
}

// With a lost voter, an outage is outlasted only as long as reads are recent.
TEST(lost_voters, an_outage_beside_a_lost_voter_stops_service_after_a_while)
{
    lossy_world world(15);
    world.run_for(millis(40'000));
    world.lose("host-4");
    world.history().longest_gap = millis(0);
    world.set_store_up(false);
    world.run_for(millis(9000));
    CHECK(world.history().longest_gap < millis(1000));
    world.run_for(millis(10'000));
    const auto reply = world.call("host-0", "latest", "WRITE k1 1");
    CHECK(reply.error.has_value());
    world.set_store_up(true);
    world.run_for(millis(2000));
    CHECK_FALSE(world.call("host-0", "latest", "WRITE k1 1").error.has_value());
    world.check_no_fault();
}

namespace
{

/// A cut between the first hosts, with the present primary, and the others,
/// which keep the table service, the platform and the other databases.
struct split_world : lossy_world
{
    explicit split_world(std::size_t count) : lossy_world(15), m_count(count)
    {
        run_for(millis(40'000));
        cut_hosts(true);
        cut_store_from_first(true);
    }

    void cut_hosts(bool is_cut)
    {
        for (std::size_t i = 0; i < m_count; ++i)
            for (std::size_t j = m_count; j < 15; ++j)
                cut(host_name(i), host_name(j), is_cut);
        for (std::size_t j = m_count; j < 15; ++j)
            cut(host_name(j), "db-a", is_cut);
        for (std::size_t i = 0; i < m_count; ++i)
            for (const char* id : {"db-b", "db-c"})
                cut(host_name(i), id, is_cut);
    }

    void cut_store_from_first(bool is_cut)
    {
        for (std::size_t i = 0; i < m_count; ++i)
        {
            cut_store(host_name(i), is_cut);
            cut_platform(host_name(i), is_cut);
        }
    }

    /// The smaller side takes over, and no read or write of the larger one is
    /// served that it replaced.
    void check_take_over()
    {
        run_for(millis(60'000));
        LONGS_EQUAL(1, history().promotions);
        CHECK_FALSE(call("host-14", "latest", "WRITE k1 1").error.has_value());
        CHECK(call("host-0", "latest", "WRITE k1 1").error.has_value());
        check_no_fault();
    }

    void check_recovery()
    {
        run_for(millis(20'000));
        CHECK_FALSE(call("host-0", "latest", "WRITE k1 1").error.has_value());
        check_no_fault();
    }

private:
    std::size_t m_count;
};

} // namespace

// Guards against two sides that both use a primary: the smaller one has the
// table service, and takes the larger one for lost.
TEST(lost_voters, a_smaller_side_with_the_table_service_takes_over_once)
{
    split_world world(9);
    world.check_take_over();
    world.cut_store_from_first(false);
    world.run_for(millis(10'000));
    world.cut_hosts(false);
    world.check_recovery();
}

TEST(lost_voters, a_split_fleet_joins_again_when_the_hosts_meet_first)
{
    split_world world(9);
    world.check_take_over();
    world.cut_hosts(false);
    world.run_for(millis(10'000));
    world.cut_store_from_first(false);
    world.check_recovery();
}

TEST(lost_voters, the_larger_side_goes_on_through_a_short_split)
{
    split_world world(9);
    world.run_for(millis(9000));
    CHECK_FALSE(world.call("host-0", "latest", "WRITE k1 1").error.has_value());
    LONGS_EQUAL(0, world.history().promotions);
    world.cut_hosts(false);
    world.cut_store_from_first(false);
    world.check_recovery();
}

// Guards against a host that takes the voters' place because it alone is cut
// off from all of them.
TEST(lost_voters, a_host_that_is_cut_off_from_all_others_changes_nothing)
{
    lossy_world world(15);
    for (std::size_t j = 1; j < 15; ++j)
        world.cut("host-0", world.host_name(j));
    world.run_for(millis(60'000));
    CHECK_FALSE(world.call("host-7", "latest", "WRITE k1 1").error.has_value());
    CHECK(world.history().longest_gap < millis(1000));
    for (std::size_t j = 1; j < 15; ++j)
        CHECK(world.is_voter(world.host_name(j)));
    CHECK(world.replaces_a_primary());
    world.check_no_fault();
}
