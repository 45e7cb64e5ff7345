#include <support/fleet_world.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// 30 hosts and databases that accept 20 connections each, so that only a few
/// hosts hold connections.
struct crowded_world : fleet_world
{
    crowded_world() : fleet_world(30, 1, 20, 3)
    {
        run_for(millis(2000));
        for (std::size_t i = 0; i < host_count(); ++i)
            (holds_connections(host_name(i)) ? holders : others)
                .push_back(host_name(i));
    }

    std::vector<std::string> holders;
    std::vector<std::string> others;
};

bool is_done(const sql::reply& reply)
{
    return !reply.error && !reply.signature.empty();
}

} // namespace

TEST_GROUP(few_connections){};

TEST(few_connections, every_host_serves_writes_and_reads)
{
    crowded_world world;
    LONGS_EQUAL(6, world.holders.size());
    for (std::size_t i = 0; i < world.host_count(); ++i)
    {
        const auto name = world.host_name(i);
        CHECK_TEXT(is_done(world.call(name, "latest", "WRITE k1 1")),
                   name.c_str());
        CHECK_TEXT(is_done(world.call(name, "bounded", "READ k1")),
                   name.c_str());
    }
    CHECK(world.history().forwarded >= world.others.size() * 2);
}

TEST(few_connections, hosts_without_connections_send_no_heartbeats)
{
    // Guards against heartbeats whose number grows with the fleet instead of
    // with the services that a host holds connections for.
    crowded_world world;
    // A host that has never sent one has no entry.
    auto before = world.heartbeats();
    world.run_for(millis(3000));
    auto after = world.heartbeats();
    for (const auto& name : world.others)
    {
        const bool is_voter = world.host(name).choose_table_source() ==
                              entry::table_source::table_service;
        const auto sent = after[name] - before[name];
        CHECK_TEXT(is_voter || sent == 0, name.c_str());
    }
}

TEST(few_connections, a_host_that_receives_no_heartbeats_removes_no_member)
{
    crowded_world world;
    world.run_for(millis(30'000));
    LONGS_EQUAL(0, world.history().removed_members);
}

TEST(few_connections, a_crashed_primary_is_replaced_within_two_seconds)
{
    crowded_world world;
    world.start_load(millis(10));
    world.run_for(millis(500));
    world.crash_database("db-a");
    world.run_for(millis(4000));
    LONGS_EQUAL(1, world.history().promotions);
    CHECK(world.history().longest_gap < millis(2000));
    LONGS_EQUAL(0, world.history().faults.size());
}

TEST(few_connections,
     callers_of_a_frozen_holder_are_served_again_within_a_second)
{
    crowded_world world;
    world.freeze(world.holders.front(), millis(20'000));
    world.run_for(millis(900));
    for (const auto& name : world.others)
        CHECK_TEXT(is_done(world.call(name, "latest", "READ k1")),
                   name.c_str());
}

TEST(few_connections,
     callers_are_served_while_all_holders_of_a_domain_are_frozen)
{
    crowded_world world;
    for (const auto& name : world.holders)
        if ((name.back() - '0') % 3 == 0)
            world.freeze(name, millis(20'000));
    for (const auto& name : world.others)
        CHECK_TEXT(is_done(world.call(name, "latest", "READ k1")),
                   name.c_str());
}

TEST(few_connections, lost_writes_through_a_frozen_holder_are_not_acknowledged)
{
    crowded_world world;
    world.start_load(millis(5));
    for (const auto& name : world.holders)
    {
        world.freeze(name, millis(1200));
        world.run_for(millis(600));
    }
    world.run_for(millis(4000));
    LONGS_EQUAL(0, world.history().faults.size());
    CHECK(world.history().served > 500);
}
