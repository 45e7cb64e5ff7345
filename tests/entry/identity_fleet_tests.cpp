#include <support/fleet_world.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

entry::entry_options strict_options()
{
    entry::entry_options options;
    options.revocation_limit = fleet_world::revocation_limit;
    return options;
}

std::set<std::string> keys(int first, int last)
{
    std::set<std::string> names;
    for (int i = first; i <= last; ++i)
        names.insert("k" + std::to_string(i));
    return names;
}

void end_faults(fleet_world& world)
{
    world.set_store_up(true);
    for (std::size_t i = 0; i < world.host_count(); ++i)
    {
        world.cut_store(world.host_name(i), false);
        for (std::size_t j = 0; j < i; ++j)
            world.cut(world.host_name(i), world.host_name(j), false);
    }
}

void start_fault(fleet_world& world)
{
    const auto pick = [&](std::size_t count) {
        return world.random()() % count;
    };
    const auto host = world.host_name(pick(world.host_count()));
    switch (pick(7))
    {
    case 0:
        return world.cut_store(host);
    case 1:
        for (std::size_t i = 0; i < world.host_count(); ++i)
            if (world.host_name(i) != host)
                world.cut(host, world.host_name(i));
        return world.cut_store(host, pick(2) == 0);
    case 2:
        return world.freeze(host, millis(1000 + pick(11'000)));
    case 3:
        return world.restart(host);
    case 4:
        return world.set_store_up(false);
    case 5:
        return world.restore_store(millis(pick(5000)));
    default:
        return end_faults(world);
    }
}

/// Withdraws a key every 4 s under random faults.
void run_faults(fleet_world& world, int withdrawals)
{
    world.set_keys(keys(0, withdrawals));
    world.run_for(millis(5000));
    world.start_keyed_load(millis(7));
    for (int i = 1; i <= withdrawals; ++i)
    {
        start_fault(world);
        world.run_for(millis(500 + world.random()() % 1500));
        start_fault(world);
        world.set_keys(keys(i, withdrawals));
        world.run_for(millis(4000));
    }
    world.run_for(millis(10'000));
    end_faults(world);
}

void check_no_late_runs(const fleet_history& history, const std::string& seed)
{
    CHECK_TEXT(history.served_with_key > 100, seed.c_str());
    CHECK_TEXT(history.late_runs.empty(),
               history.late_runs.empty()
                   ? ""
                   : (seed + ": " + history.late_runs.front()).c_str());
}

} // namespace

TEST_GROUP(identity_fleet){};

TEST(identity_fleet, no_host_runs_a_statement_under_a_key_withdrawn_long_ago)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
    {
        fleet_world world(7, seed, 60, 3, strict_options());
        run_faults(world, 10);
        check_no_late_runs(world.history(), "seed " + std::to_string(seed));
    }
}

TEST(identity_fleet, neither_does_a_host_that_gets_its_routing_from_voters)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        fleet_world world(30, seed, 60, 3, strict_options());
        run_faults(world, 6);
        check_no_late_runs(world.history(), "seed " + std::to_string(seed));
    }
}

// Shows that the checks above can fail: the same faults without proofs.
TEST(identity_fleet, without_the_limit_withdrawn_keys_are_used_for_longer)
{
    fleet_world world(7, 1, 60, 3, entry::entry_options{});
    run_faults(world, 10);
    CHECK_FALSE(world.history().late_runs.empty());
    LONGS_EQUAL(0, world.history().routing_probes);
}

// Guards against a host that used an old routing for as long as the table
// service did not answer it, although its peers had the new one.
TEST(identity_fleet,
     a_host_without_the_table_service_gets_the_routing_of_a_peer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fleet_world world(15, seed, 60, 3, entry::entry_options{});
        world.set_keys(keys(0, 1));
        world.run_for(millis(5000));
        world.cut_store("host-0");
        world.cut_store("host-3");
        world.set_keys(keys(1, 1));
        world.run_for(millis(2500));
        for (const char* host : {"host-0", "host-3"})
            LONGS_EQUAL(world.host("host-1").pooler().routing().version,
                        world.host(host).pooler().routing().version);
    }
}

// A host that is cut off keeps its old routing.
TEST(identity_fleet, without_the_limit_a_host_that_is_cut_off_uses_old_keys)
{
    fleet_world world(5, 1, 60, 3, entry::entry_options{});
    world.set_keys(keys(0, 1));
    world.run_for(millis(5000));
    world.cut_store("host-0");
    for (const char* peer : {"host-1", "host-2", "host-3", "host-4"})
        world.cut("host-0", peer);
    world.set_keys(keys(1, 1));
    world.run_for(millis(1000));
    LONGS_EQUAL(0, world.history().routing_probes);
    CHECK(world.host("host-0").pooler().open_session(
              1, "latest", "k0", world.now()) == pooling::open_result::opened);
    CHECK(world.host("host-1").pooler().open_session(1, "latest", "k0",
                                                     world.now()) ==
          pooling::open_result::unknown_key);
}

TEST(identity_fleet, a_calm_fleet_refuses_nothing_and_reads_rarely)
{
    fleet_world world(30, 1, 60, 3, strict_options());
    world.set_keys(keys(0, 9));
    world.run_for(millis(10'000));
    world.history() = {};
    world.start_keyed_load(millis(5));
    world.run_for(millis(60'000));
    const auto& history = world.history();
    LONGS_EQUAL(0, history.unproved);
    LONGS_EQUAL(0, history.unknown_keys);
    CHECK(history.served_with_key > 10'000);
    CHECK(history.routing_probes > 0);
    CHECK_TEXT(history.routing_probes < 120,
               std::to_string(history.routing_probes).c_str());
}

TEST(identity_fleet, an_outage_of_the_table_service_of_3_s_refuses_nothing)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        fleet_world world(30, seed, 60, 3, strict_options());
        world.set_keys(keys(0, 9));
        world.run_for(millis(10'000 + seed * 130));
        world.history() = {};
        world.start_keyed_load(millis(5));
        world.set_store_up(false);
        world.run_for(millis(3000));
        world.set_store_up(true);
        world.run_for(millis(5000));
        LONGS_EQUAL(0, world.history().unproved);
    }
}

TEST(identity_fleet, after_a_longer_outage_keys_are_served_again)
{
    fleet_world world(30, 1, 60, 3, strict_options());
    world.set_keys(keys(0, 9));
    world.run_for(millis(10'000));
    world.start_keyed_load(millis(5));
    world.set_store_up(false);
    world.run_for(millis(7000));
    CHECK(world.history().unproved > 0);
    world.set_store_up(true);
    world.run_for(millis(2000));
    world.history() = {};
    world.run_for(millis(3000));
    LONGS_EQUAL(0, world.history().unproved);
    CHECK(world.history().served_with_key > 0);
}

TEST(identity_fleet, a_voter_that_the_table_service_rejects_relies_on_its_peers)
{
    fleet_world world(7, 1, 60, 3, strict_options());
    world.set_keys(keys(0, 9));
    world.run_for(millis(8000));
    world.cut_store("host-2");
    world.history() = {};
    world.start_keyed_load(millis(5));
    world.run_for(millis(20'000));
    LONGS_EQUAL(0, world.history().unproved);
}

// The host's timers have not fired yet when the first statement arrives.
TEST(identity_fleet, a_host_refuses_right_after_a_freeze)
{
    fleet_world world(7, 1, 60, 3, strict_options());
    world.set_keys(keys(0, 9));
    world.run_for(millis(8000));
    auto& pooler = world.host("host-1").pooler();
    CHECK(pooler.open_session(1, "latest", "k0", world.now()) ==
          pooling::open_result::opened);
    sql::statement statement;
    statement.kind = sql::statement_kind::read;
    statement.text = "READ k1";
    const auto actions =
        pooler.on_statement(1, statement, world.now() + millis(6000));
    const auto* answer = std::get_if<pooling::reply_action>(&actions.at(0));
    CHECK(answer != nullptr);
    CHECK(answer->reply.error == core::error_kind::overloaded);
}
