// The shared voter set in a simulated fleet.

#include <support/fleet_world.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet under load with a settled primary.
struct voting_world : fleet_world
{
    explicit voting_world(std::size_t hosts) : fleet_world(hosts, 1)
    {
        run_for(millis(2000));
        start_load(millis(10));
        run_for(millis(500));
    }

    /// Cuts the first hosts, which keep the databases, from the others, which
    /// keep the table service and the platform.
    void cut_off_first(std::size_t count, bool is_cut)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            cut_store(host_name(i), is_cut);
            cut_platform(host_name(i), is_cut);
            for (std::size_t j = count; j < host_count(); ++j)
                cut(host_name(i), host_name(j), is_cut);
        }
        for (std::size_t j = count; j < host_count(); ++j)
            for (const auto& id : database_ids())
                cut(host_name(j), id, is_cut);
    }

    bool serves(std::size_t host)
    {
        const auto reply = call(host_name(host), "latest", "WRITE k1 1");
        return !reply.error && !reply.signature.empty();
    }

    void check_no_fault()
    {
        const auto& faults = history().faults;
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
    }
};

} // namespace

TEST_GROUP(voters){};

// Guards against an outage on both sides of a cut: the larger side could not
// prove leases, and the smaller one claimed the primary and could not fence it.
TEST(voters, the_larger_side_of_a_cut_goes_on_without_the_table_service)
{
    voting_world world(15);
    world.cut_off_first(10, true);
    world.run_for(millis(2500));
    for (std::size_t i = 0; i < 10; ++i)
        CHECK_TEXT(world.serves(i), world.host_name(i).c_str());
    world.run_for(millis(4000));
    for (std::size_t i = 0; i < 10; ++i)
        CHECK_TEXT(world.serves(i), world.host_name(i).c_str());
    STRCMP_EQUAL("", world.claiming_host().c_str());
    world.cut_off_first(10, false);
    world.run_for(millis(3000));
    LONGS_EQUAL(0, world.history().promotions);
    CHECK(world.history().longest_gap < millis(1000));
    world.check_no_fault();
}

TEST(voters, the_smaller_side_of_a_cut_does_not_go_on_without_it)
{
    voting_world world(15);
    world.cut_off_first(7, true);
    world.run_for(millis(2500));
    CHECK_FALSE(world.serves(0));
    world.run_for(millis(6000));
    world.cut_off_first(7, false);
    world.run_for(millis(5000));
    world.check_no_fault();
    CHECK(world.serves(0));
}

TEST(voters, a_roll_of_all_hosts_does_not_change_the_set)
{
    voting_world world(17);
    for (std::size_t i = 0; i < 17; ++i)
    {
        world.stop(world.host_name(i));
        world.run_for(millis(1000));
        if (i >= 3)
            world.restart(world.host_name(i - 3));
    }
    for (std::size_t i = 14; i < 17; ++i)
        world.restart(world.host_name(i));
    world.run_for(millis(3000));
    LONGS_EQUAL(1, world.history().voter_changes);
    world.check_no_fault();
    CHECK(world.serves(3));
}

TEST(voters, hosts_that_leave_for_good_are_replaced)
{
    voting_world world(15);
    const auto first = world.add_host();
    const auto second = world.add_host();
    world.stop("host-3");
    world.stop("host-7");
    world.run_for(millis(40'000));
    for (const auto& name : {first, second})
        CHECK(world.host(name).choose_table_source() ==
              entry::table_source::table_service);
    // Created, changed, and completed.
    LONGS_EQUAL(3, world.history().voter_changes);
    world.crash_database("db-a");
    world.run_for(millis(4000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.history().longest_gap < millis(2000));
    world.check_no_fault();
}

TEST(voters, a_fleet_that_shrinks_to_a_few_hosts_still_replaces_a_primary)
{
    voting_world world(15);
    for (std::size_t i = 0; i < 12; ++i)
    {
        world.stop(world.host_name(i));
        world.run_for(millis(200));
    }
    world.run_for(millis(40'000));
    world.crash_database(world.leader());
    world.run_for(millis(4000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.serves(13));
    world.check_no_fault();
}

TEST(voters, a_fleet_that_loses_power_uses_the_set_that_the_store_has)
{
    voting_world world(29);
    for (std::size_t i = 0; i < world.host_count(); ++i)
        world.restart(world.host_name(i));
    world.run_for(millis(2000));
    LONGS_EQUAL(1, world.history().voter_changes);
    for (std::size_t i = 0; i < world.host_count(); ++i)
        CHECK_TEXT(world.serves(i), world.host_name(i).c_str());
}

TEST(voters, a_fleet_of_three_hundred_hosts_replaces_a_primary)
{
    // Guards against control work that grows with the square of the fleet.
    fleet_world world(300, 1, 162, 5);
    world.run_for(millis(3000));
    world.start_load(millis(10));
    world.run_for(millis(500));
    world.crash_database("db-a");
    world.run_for(millis(3000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.history().longest_gap < millis(1500));
    STRCMP_EQUAL("", world.history().faults.empty()
                         ? ""
                         : world.history().faults.front().c_str());
}
