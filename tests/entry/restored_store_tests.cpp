// A table service that returns from an old copy, in a simulated fleet.

#include <support/fleet_world.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet under load with a settled primary.
struct restored_world : fleet_world
{
    restored_world() : fleet_world(5, 1)
    {
        run_for(millis(3000));
        start_load(millis(10));
        run_for(millis(500));
    }

    bool serves(const std::string& host)
    {
        const auto reply = call(host, "latest", "WRITE k1 1");
        return !reply.error && !reply.signature.empty();
    }

    void check_no_fault()
    {
        const auto& faults = history().faults;
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
    }
};

} // namespace

TEST_GROUP(restored_store){};

TEST(restored_store, a_primary_that_was_replaced_after_the_copy_stays_replaced)
{
    // Guards against a host that took a restored record for the present one and
    // used a replaced primary again, and against a falling fencing token.
    restored_world world;
    world.crash_database("db-a");
    world.run_for(millis(2000));
    LONGS_EQUAL(1, world.history().promotions);
    const auto leader = world.leader();
    world.recover_database("db-a");
    world.run_for(millis(500));
    world.restore_store(millis(9000));
    world.restart("host-3");
    world.run_for(millis(3000));
    world.restart("host-4");
    world.run_for(millis(3000));
    STRCMP_EQUAL(leader.c_str(), world.leader().c_str());
    for (std::size_t i = 0; i < world.host_count(); ++i)
        CHECK(world.serves(world.host_name(i)));
    world.crash_database(leader);
    world.run_for(millis(4000));
    LONGS_EQUAL(2, world.history().promotions);
    CHECK(world.serves("host-0"));
    world.check_no_fault();
}

TEST(restored_store, a_restore_interrupts_no_writes)
{
    restored_world world;
    world.restore_store(millis(2000));
    world.run_for(millis(6000));
    CHECK(world.history().longest_gap < millis(200));
    LONGS_EQUAL(0, world.history().promotions);
    world.check_no_fault();
}

TEST(restored_store, a_fleet_that_restarts_as_a_whole_finds_the_present_primary)
{
    // All knowledge that is newer than the copy is gone; only the databases
    // show which of them leads.
    restored_world world;
    world.crash_database("db-a");
    world.run_for(millis(2000));
    const auto leader = world.leader();
    world.recover_database("db-a");
    world.run_for(millis(500));
    world.restore_store(millis(4000));
    for (std::size_t i = 0; i < world.host_count(); ++i)
        world.restart(world.host_name(i));
    world.run_for(millis(12'000));
    for (std::size_t i = 0; i < world.host_count(); ++i)
        CHECK(world.serves(world.host_name(i)));
    STRCMP_EQUAL(leader.c_str(), world.leader().c_str());
    world.check_no_fault();
}

TEST(restored_store, random_restores_beside_other_faults_break_no_guarantee)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
    {
        fleet_world world(5, seed);
        world.run_for(millis(2000));
        world.start_load(millis(20));
        for (int round = 0; round < 12; ++round)
        {
            const auto host = world.host_name(world.random()() % 5);
            switch (world.random()() % 5)
            {
            case 0:
                world.restart(host);
                break;
            case 1:
                world.freeze(host, millis(1500));
                break;
            case 2:
                world.crash_database(world.leader());
                break;
            default:
                world.restore_store(millis(200 + world.random()() % 8000));
            }
            world.run_for(millis(world.random()() % 2500));
            for (const auto& id : world.database_ids())
                if (!world.database(id).up)
                    world.recover_database(id);
        }
        world.run_for(millis(15'000));
        const auto& faults = world.history().faults;
        if (!faults.empty())
            FAIL(("seed " + std::to_string(seed) + ": " + faults.front())
                     .c_str());
        const auto served = world.history().served;
        world.run_for(millis(2000));
        CHECK_TEXT(
            world.history().served > served,
            ("seed " + std::to_string(seed) + " serves nothing").c_str());
    }
}

TEST(restored_store, a_host_that_starts_confirms_nothing_by_restored_records)
{
    // Guards against a host that started after the restore and confirmed an old
    // record, or claimed a service as if it had never had one.
    const boot_instant start{std::chrono::seconds(100)};
    fleet::members members;
    for (const auto* name : {"host-1", "host-2", "host-3"})
        members[name] = {{name, 1}, "a", 100};
    entry::entry_host host({"host-1", "a", 90});
    host.on_members(members, 50, start, start);
    entry::record_table table;
    table.restored["ledger"] = {
        30, succession::leadership_phase::settled, "db-a", 1, "host-2", 1};
    table.voters = {
        40, fleet::voter_set{40, {"host-1", "host-2", "host-3"}, {}}, true};
    host.on_records(table, start, start);
    CHECK(host.choose_table_source() == entry::table_source::none);
    // Nobody knows newer ones.
    const auto later = start + millis(5000);
    host.on_records(table, later, later);
    CHECK(host.choose_table_source() == entry::table_source::table_service);
    CHECK_FALSE(host.is_ready(later));
}
