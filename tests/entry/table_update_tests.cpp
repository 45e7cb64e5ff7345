#include <plantainward/entry/entry_host.hpp>

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::boot_instant;
using core::millis;

namespace
{

routes::routing routing(std::uint64_t version)
{
    routes::routing table;
    table.version = version;
    table.services["ledger"].max_connections = 70;
    return table;
}

fleet::members members(std::size_t count)
{
    fleet::members all;
    for (std::size_t i = 0; i < count; ++i)
        all["host-" + std::to_string(i)] = {
            {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
            std::string(1, static_cast<char>('a' + i % 3)),
            100};
    return all;
}

std::vector<routes::upstream> upstreams()
{
    return {{"i-1", "ledger", {"10.0.0.9", 5}, "a", false, true, 7}};
}

/// Two hosts of a fleet of forty: `source` follows the tables, `receiver` does
/// not.
struct update_world
{
    update_world()
    {
        const auto all = members(40);
        const fleet::voter_set voters{40, fleet::choose_voters(all, 15), {}};
        for (const auto& [name, registered] : all)
            (voters.names.contains(name) ? voter : other) = name;
        source.emplace(entry::entry_identity{voter, "a", 1});
        source->on_members(all, 50, now, now);
        source->on_records({{}, {voters.version, voters}}, now, now);
        source->on_upstreams(upstreams(), 60, now, now);
        source->on_routing(routing(3), now);
        receiver.emplace(entry::entry_identity{other, "b", 1});
        receiver->on_members(all, 50, now, now);
        receiver->on_records({{}, {voters.version, voters}}, now, now);
    }

    boot_instant now{std::chrono::seconds(100)};
    std::string voter;
    std::string other;
    std::optional<entry::entry_host> source;
    std::optional<entry::entry_host> receiver;
};

} // namespace

TEST_GROUP(table_update){};

TEST(table_update, a_host_gets_routing_and_databases_from_another_host)
{
    update_world world;
    CHECK(world.receiver->choose_table_source() == entry::table_source::voters);
    const auto update = world.source->table_update_for(
        world.receiver->versions(), false, world.now);
    CHECK(update.has_value());
    CHECK(update->is_current);
    CHECK_FALSE(update->hosts.has_value());
    world.receiver->on_table_update(*update, world.now);
    CHECK(world.receiver->versions() == world.source->versions());
    CHECK_FALSE(
        world.source
            ->table_update_for(world.receiver->versions(), false, world.now)
            .has_value());
}

TEST(table_update, a_host_that_knows_the_voters_still_reads_its_first_list)
{
    // Guards against a host that stopped reading the list of hosts when it
    // learned of the voters first, as after a restart, and never used any.
    const boot_instant now{std::chrono::seconds(100)};
    const auto all = members(20);
    const fleet::voter_set voters{40, fleet::choose_voters(all, 20), {}};
    entry::entry_host host({"host-1", "a", 1});
    host.on_records({{}, {voters.version, voters}}, now, now);
    CHECK(host.choose_table_source() == entry::table_source::first_list);
    host.on_members(all, 50, now, now);
    CHECK(host.choose_table_source() == entry::table_source::table_service);
    entry::entry_host early({"host-2", "a", 1});
    early.on_members(all, 50, now, now);
    CHECK(early.choose_table_source() == entry::table_source::none);
}

// Guards against a record that can't tell a host whose feed was late from one
// that got the change of a peer in time.
TEST(table_update, the_log_names_where_a_routing_came_from)
{
    update_world world;
    std::vector<std::string> sources;
    world.receiver->observe([&](const entry::host_event& event) {
        if (event.event != observe::log_event::routing_in_force)
            return;
        for (const auto& [name, value] : event.inputs)
            if (name == "source")
                sources.push_back(value);
    });
    fleet::table_update update;
    update.versions.routing = 3;
    update.routing = routing(3);
    world.receiver->on_table_update(update, world.now);
    world.receiver->on_routing(routing(4), world.now);
    LONGS_EQUAL(2, sources.size());
    STRCMP_EQUAL("another host", sources.front().c_str());
    STRCMP_EQUAL("table service", sources.back().c_str());
}

TEST(table_update, an_older_routing_is_ignored)
{
    update_world world;
    world.receiver->on_routing(routing(5), world.now);
    fleet::table_update old;
    old.versions = {3, 60, 50};
    old.routing = routing(3);
    world.receiver->on_table_update(old, world.now);
    LONGS_EQUAL(5, world.receiver->versions().routing);
}

TEST(table_update, updates_of_a_host_without_the_table_service_are_not_current)
{
    update_world world;
    world.source->set_table_reachable(entry::followed_table::routing, false);
    const auto update = world.source->table_update_for(world.source->versions(),
                                                       false, world.now);
    CHECK(update.has_value());
    CHECK_FALSE(update->is_current);
}

TEST(table_update,
     updates_of_a_host_that_does_not_follow_the_tables_are_not_current)
{
    update_world world;
    const auto update = world.receiver->table_update_for({}, true, world.now);
    CHECK(update.has_value());
    CHECK_FALSE(update->is_current);
}

TEST(table_update, sources_of_the_own_failure_domain_come_first)
{
    update_world world;
    const auto all = members(40);
    const auto domain_of = [&](const core::address& address) {
        for (const auto& [name, registered] : all)
            if (registered.address == address)
                return registered.failure_domain;
        return std::string();
    };
    const auto sources = world.receiver->table_sources();
    LONGS_EQUAL(15, sources.size());
    bool has_left_domain = false;
    for (const auto& source : sources)
    {
        const bool is_near = domain_of(source) == "b";
        CHECK_FALSE(is_near && has_left_domain);
        has_left_domain = has_left_domain || !is_near;
    }
}

TEST(table_update, an_older_list_of_databases_is_ignored)
{
    update_world world;
    auto newer = upstreams();
    newer.front().id = "i-2";
    world.receiver->on_upstreams(newer, 70, world.now, world.now);
    fleet::table_update old;
    old.versions = {3, 60, 50};
    old.upstreams = upstreams();
    world.receiver->on_table_update(old, world.now);
    const auto answer = world.receiver->table_update_for({}, true, world.now);
    LONGS_EQUAL(1, answer->upstreams->size());
    STRCMP_EQUAL("i-2", answer->upstreams->front().id.c_str());
}

TEST(table_update, updates_of_a_host_that_is_behind_its_peers_are_not_current)
{
    update_world world;
    fleet::heartbeat ahead;
    for (const auto& [name, registered] : members(40))
        if (name != world.voter)
            ahead.host = name;
    ahead.incarnation = 9;
    ahead.sequence = 1;
    ahead.routing_version = 8;
    world.source->on_heartbeat(fleet::encode(ahead), world.now);
    const auto versions = world.source->versions();
    CHECK_FALSE(
        world.source->table_update_for(versions, false, world.now).has_value());
    const auto later = world.now + millis(600);
    const auto update = world.source->table_update_for(versions, false, later);
    CHECK(update.has_value());
    CHECK_FALSE(update->is_current);
}

TEST(table_update, a_list_of_another_host_does_not_count_as_the_requested_one)
{
    // Guards against a host that took an older list for the one that it had
    // requested, and ignored the newer list, in which a database leaves.
    update_world world;
    fleet::heartbeat ahead;
    ahead.host = world.voter;
    ahead.incarnation = 9;
    ahead.sequence = 1;
    ahead.upstreams_version = 90;
    world.receiver->on_heartbeat(fleet::encode(ahead), world.now);
    ++ahead.sequence;
    const auto requested_at = world.now + millis(600);
    const auto actions =
        world.receiver->on_heartbeat(fleet::encode(ahead), requested_at);
    CHECK(std::any_of(
        actions.control.begin(), actions.control.end(), [](const auto& action) {
            return std::holds_alternative<entry::read_upstreams_action>(action);
        }));
    fleet::table_update update;
    update.versions.upstreams = 70;
    update.upstreams = upstreams();
    world.receiver->on_table_update(update, requested_at + millis(10));
    LONGS_EQUAL(70, world.receiver->versions().upstreams);
    // Nor does a list whose read began before the request.
    world.receiver->on_upstreams(upstreams(), 70, world.now,
                                 requested_at + millis(20));
    LONGS_EQUAL(70, world.receiver->versions().upstreams);
    world.receiver->on_upstreams(upstreams(), 70, requested_at + millis(5),
                                 requested_at + millis(30));
    LONGS_EQUAL(90, world.receiver->versions().upstreams);
}

TEST(table_update, a_leaving_database_stays_leaving_when_an_older_row_returns)
{
    // Guards against a database that was used again after its announcement,
    // since the table service had returned from a copy made before.
    update_world world;
    auto leaving = upstreams().front();
    leaving.leaving = true;
    world.source->on_upstream(leaving, 61, world.now);
    world.source->on_upstreams(upstreams(), 62, world.now, world.now);
    const auto update = world.source->table_update_for({}, true, world.now);
    CHECK(update->upstreams->front().leaving);
    auto restarted = upstreams();
    ++restarted.front().started_at_ms;
    world.source->on_upstreams(restarted, 63, world.now, world.now);
    CHECK_FALSE(world.source->table_update_for({}, true, world.now)
                    ->upstreams->front()
                    .leaving);
}
