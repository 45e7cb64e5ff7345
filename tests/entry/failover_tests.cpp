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

bool is_done(const sql::reply& reply)
{
    return !reply.error && !reply.signature.empty();
}

} // namespace

TEST_GROUP(fleet_failover){};

TEST(fleet_failover, a_new_fleet_settles_on_the_primary_without_a_promotion)
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

TEST(fleet_failover,
     leases_are_waited_for_while_the_list_of_hosts_cannot_be_read)
{
    // A host that registered after the list was read may hold a lease, so the
    // claim must not count on that list.
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
    // The host that claims loses its connection to the table service after its
    // first write of the record.
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(500));
    world.crash_database("db-a");
    std::string claimant;
    for (int i = 0; i < 3000 && claimant.empty(); ++i)
    {
        world.run_for(millis(1));
        for (std::size_t host = 0; host < world.host_count(); ++host)
            if (world.host(world.host_name(host)).has_claimed("ledger"))
                claimant = world.host_name(host);
    }
    CHECK_FALSE(claimant.empty());
    world.cut_store(claimant);
    world.run_for(millis(8000));
    // Users expect a change of the primary to take less than 6 s.
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

TEST(fleet_failover, a_primary_that_only_its_replicas_do_not_reach_is_kept)
{
    settled_world world;
    world.start_load(millis(10));
    world.cut("db-a", "db-b");
    world.cut("db-a", "db-c");
    world.run_for(millis(4000));
    LONGS_EQUAL(0, world.history().promotions);
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(fleet_failover, writes_go_on_during_an_outage_of_the_table_service)
{
    settled_world world;
    world.set_store_up(false);
    world.run_for(millis(8000));
    CHECK(is_done(world.call("host-3", "latest", "WRITE k1 1")));
}

TEST(fleet_failover, a_host_that_reaches_only_the_old_primary_refuses_at_once)
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
    const auto reply = world.call("host-0", "latest", "READ k1");
    CHECK(reply.error == core::error_kind::overloaded);
    CHECK(world.now() - before < millis(50));
    CHECK_FALSE(world.host("host-0").is_ready(world.now()));
}

TEST(fleet_failover, a_leaving_primary_is_replaced_without_losing_a_write)
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

TEST(fleet_failover, a_promotion_whose_answer_is_lost_is_not_repeated)
{
    settled_world world;
    world.lose_promotion_answers(true);
    world.crash_database("db-a");
    world.run_for(millis(5000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(is_done(world.call("host-2", "latest", "WRITE k1 1")));
}

TEST(fleet_failover, another_host_takes_over_the_claim_of_a_frozen_host)
{
    // The host that claims first is frozen in the middle of its claim.
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

TEST(fleet_failover, bounded_reads_are_served_by_replicas)
{
    settled_world world;
    world.start_load(millis(10));
    world.run_for(millis(3000));
    CHECK(world.history().reads_at_replicas > 100);
}

TEST(fleet_failover, replicas_that_lag_beyond_the_maximal_age_serve_no_reads)
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

TEST(fleet_failover,
     a_leaving_primary_gets_no_new_work_while_no_claim_can_begin)
{
    // Guards against a primary that was used until it exited, since most voters
    // were down and no claim could replace it.
    settled_world world;
    world.start_load(millis(10));
    for (const auto* host : {"host-2", "host-3", "host-4"})
        world.freeze(host, millis(30'000));
    world.run_for(millis(5000));
    world.set_leaving("db-a");
    world.run_for(millis(10'000));
    LONGS_EQUAL(0, world.history().promotions);
    LONGS_EQUAL(0, world.history().faults.size());
    const auto served = world.history().reads_at_replicas;
    world.run_for(millis(2000));
    CHECK(world.history().reads_at_replicas > served);
}
