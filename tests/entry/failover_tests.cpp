#include <support/fleet_world.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet whose primary is settled.
struct settled_world : fleet_world
{
    settled_world() : fleet_world(5, 1) { run_for(millis(2000)); }
};

bool is_done(const sql::reply& one)
{
    return !one.error && !one.signature.empty();
}

} // namespace

TEST_GROUP(fleet_failover){};

TEST(fleet_failover, a_fresh_fleet_settles_on_the_primary_without_promoting)
{
    settled_world world;
    CHECK(is_done(world.call("host-0", "latest", "WRITE k1 1")));
    LONGS_EQUAL(0, world.history().promotions);
}

TEST(fleet_failover, a_crashed_primary_is_replaced_within_a_second)
{
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(500));
    world.crash_database("db-a");
    world.run_for(millis(3000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.history().longest_gap < millis(1000));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, a_silent_primary_is_replaced_within_two_seconds)
{
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(500));
    for (std::size_t i = 0; i < world.host_count(); ++i)
        world.cut(world.host_name(i), "db-a");
    world.run_for(millis(4000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.history().longest_gap < millis(2000));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, leases_are_waited_for_while_the_hosts_are_not_known_anew)
{
    // A host that has registered since the list was read may hold a lease.
    settled_world world;
    world.lose_member_reads(true);
    world.crash_database("db-a");
    world.run_for(millis(1200));
    LONGS_EQUAL(0, world.history().promotions);
    world.run_for(millis(3000));
    LONGS_EQUAL(1, world.history().promotions);
}

TEST(fleet_failover, a_claim_whose_host_loses_the_table_service_is_taken_over)
{
    // Load: a tick of the table service turns away just the host that claims.
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(500));
    world.crash_database("db-a");
    std::string claimer;
    for (int i = 0; i < 3000 && claimer.empty(); ++i)
    {
        world.run_for(millis(1));
        for (std::size_t host = 0; host < world.host_count(); ++host)
            if (world.host(world.host_name(host)).has_claimed("ledger"))
                claimer = world.host_name(host);
    }
    CHECK_FALSE(claimer.empty());
    world.cut_store(claimer);
    world.run_for(millis(8000));
    // The users expect a change of primary to be over within 6 s.
    CHECK(world.history().longest_gap < millis(6000));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, a_primary_that_most_hosts_reach_is_kept)
{
    settled_world world;
    world.start_load(millis(10));
    world.cut("host-0", "db-a");
    world.cut("host-1", "db-a");
    world.run_for(millis(4000));
    LONGS_EQUAL(0, world.history().promotions);
}

TEST(fleet_failover, a_primary_cut_off_from_its_replicas_only_is_kept)
{
    settled_world world;
    world.start_load(millis(10));
    world.cut("db-a", "db-b");
    world.cut("db-a", "db-c");
    world.run_for(millis(4000));
    LONGS_EQUAL(0, world.history().promotions);
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, a_store_outage_stops_no_write)
{
    settled_world world;
    world.set_store_up(false);
    world.run_for(millis(8000));
    CHECK(is_done(world.call("host-3", "latest", "WRITE k1 1")));
}

TEST(fleet_failover, a_host_alone_with_the_old_primary_refuses_at_once)
{
    settled_world world;
    for (const std::string other : {"host-1", "host-2", "host-3", "host-4"})
    {
        world.cut("host-0", other);
        world.cut("db-a", other);
    }
    world.cut_store("host-0");
    world.run_for(millis(6000));
    LONGS_EQUAL(1, world.history().promotions);
    const auto before = world.now();
    const auto got = world.call("host-0", "latest", "READ k1");
    CHECK(got.error == core::error_kind::overloaded);
    CHECK(world.now() - before < millis(50));
    CHECK_FALSE(world.host("host-0").is_ready(world.now()));
}

TEST(fleet_failover, a_leaving_primary_hands_over_without_losing_a_write)
{
    settled_world world;
    world.start_load(millis(5));
    world.run_for(millis(1000));
    world.set_leaving("db-a");
    world.run_for(millis(3000));
    LONGS_EQUAL(1, world.history().promotions);
    LONGS_EQUAL(0, world.history().faults.size());
    CHECK(world.history().longest_gap < millis(800));
}

TEST(fleet_failover, a_lost_answer_to_the_promotion_does_not_promote_twice)
{
    settled_world world;
    world.lose_promotion_answers(true);
    world.crash_database("db-a");
    world.run_for(millis(5000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(is_done(world.call("host-2", "latest", "WRITE k1 1")));
}

TEST(fleet_failover, another_host_goes_on_when_the_claimant_freezes)
{
    // Whichever host claims first is frozen in the middle of its claim.
    settled_world world;
    world.crash_database("db-a");
    std::string claimant;
    for (int i = 0; i < 2000 && claimant.empty(); ++i)
    {
        world.run_for(millis(1));
        for (std::size_t j = 0; j < world.host_count(); ++j)
            if (world.host(world.host_name(j)).is_claiming("ledger"))
                claimant = world.host_name(j);
    }
    CHECK_FALSE(claimant.empty());
    world.freeze(claimant, millis(6000));
    world.start_load(millis(10));
    world.run_for(millis(9000));
    CHECK(is_done(world.call("host-1", "latest", "WRITE k1 1")));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, a_bounded_read_is_served_by_a_replica)
{
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(3000));
    CHECK(world.history().reads_at_replicas > 100);
}

TEST(fleet_failover, replicas_that_lag_beyond_the_age_serve_nothing)
{
    settled_world world;
    world.database("db-b").lag = millis(3000);
    world.database("db-c").lag = millis(3000);
    world.start_load(millis(10));
    world.run_for(millis(6000));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, all_hosts_restarted_at_once_find_the_primary_again)
{
    settled_world world;
    world.crash_database("db-a");
    world.run_for(millis(3000));
    world.recover_database("db-a");
    for (std::size_t i = 0; i < world.host_count(); ++i)
        world.restart(world.host_name(i));
    world.run_for(millis(1500));
    CHECK(is_done(world.call("host-0", "latest", "WRITE k1 1")));
    LONGS_EQUAL(1, world.history().promotions);
}
