#include <plantainward/entry/entry_host.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::boot_instant;
using core::millis;

namespace
{

routes::routing routing(std::uint64_t version)
{
    routes::routing made;
    made.version = version;
    made.services["ledger"].max_connections = 70;
    return made;
}

fleet::members members(std::size_t count)
{
    fleet::members made;
    for (std::size_t i = 0; i < count; ++i)
        made["host-" + std::to_string(i)] = {
            {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
            std::string(1, static_cast<char>('a' + i % 3)),
            100};
    return made;
}

std::vector<routes::upstream> upstreams()
{
    return {{"i-1", "ledger", {"10.0.0.9", 5}, "a", false, true, 7}};
}

/// Two hosts of a fleet of forty, of which one follows the tables.
struct news_world
{
    news_world()
    {
        const auto all = members(40);
        for (const auto& [name, one] : all)
        {
            entry::entry_host host({name, one.failure_domain, 1});
            host.on_members(all, 50, now, now);
            (host.follows_tables() ? voter : other) = name;
        }
        source.emplace(entry::entry_identity{voter, "a", 1});
        source->on_members(all, 50, now, now);
        source->on_upstreams(upstreams(), 60, now);
        source->on_routing(routing(3), now);
        listener.emplace(entry::entry_identity{other, "b", 1});
        listener->on_members(all, 50, now, now);
    }

    boot_instant now{std::chrono::seconds(100)};
    std::string voter;
    std::string other;
    std::optional<entry::entry_host> source;
    std::optional<entry::entry_host> listener;
};

} // namespace

TEST_GROUP(table_update){};

TEST(table_update, a_host_hears_of_routing_and_databases_from_another)
{
    news_world world;
    CHECK_FALSE(world.listener->follows_tables());
    const auto news = world.source->table_update_for(world.listener->versions(),
                                                     false, world.now);
    CHECK(news.has_value());
    CHECK(news->is_current);
    CHECK_FALSE(news->hosts.has_value());
    world.listener->on_table_update(*news, world.now);
    CHECK(world.listener->versions() == world.source->versions());
    CHECK_FALSE(
        world.source
            ->table_update_for(world.listener->versions(), false, world.now)
            .has_value());
}

TEST(table_update, an_older_routing_is_never_taken)
{
    news_world world;
    world.listener->on_routing(routing(5), world.now);
    fleet::table_update old;
    old.versions = {3, 60, 50};
    old.routing = routing(3);
    world.listener->on_table_update(old, world.now);
    LONGS_EQUAL(5, world.listener->versions().routing);
}

TEST(table_update, a_host_that_lost_the_table_service_is_not_current)
{
    news_world world;
    world.source->set_tables_reachable(false);
    const auto news = world.source->table_update_for(world.source->versions(),
                                                     false, world.now);
    CHECK(news.has_value());
    CHECK_FALSE(news->is_current);
}

TEST(table_update, a_host_that_does_not_follow_the_tables_is_not_current)
{
    news_world world;
    const auto news = world.listener->table_update_for({}, true, world.now);
    CHECK(news.has_value());
    CHECK_FALSE(news->is_current);
}

TEST(table_update, sources_of_the_own_failure_domain_come_first)
{
    news_world world;
    const auto all = members(40);
    const auto domain_of = [&](const core::address& where) {
        for (const auto& [name, one] : all)
            if (one.address == where)
                return one.failure_domain;
        return std::string();
    };
    const auto sources = world.listener->table_sources();
    LONGS_EQUAL(15, sources.size());
    bool left = false;
    for (const auto& one : sources)
    {
        const bool is_near = domain_of(one) == "b";
        CHECK_FALSE(is_near && left);
        left = left || !is_near;
    }
}

TEST(table_update, an_older_list_of_databases_is_never_taken)
{
    news_world world;
    auto newer = upstreams();
    newer.front().id = "i-2";
    world.listener->on_upstreams(newer, 70, world.now);
    fleet::table_update old;
    old.versions = {3, 60, 50};
    old.upstreams = upstreams();
    world.listener->on_table_update(old, world.now);
    const auto told = world.listener->table_update_for({}, true, world.now);
    LONGS_EQUAL(1, told->upstreams->size());
    STRCMP_EQUAL("i-2", told->upstreams->front().id.c_str());
}

TEST(table_update, a_host_that_peers_have_long_been_ahead_of_is_not_current)
{
    news_world world;
    fleet::heartbeat ahead;
    for (const auto& [name, one] : members(40))
        if (name != world.voter)
            ahead.host = name;
    ahead.incarnation = 9;
    ahead.sequence = 1;
    ahead.routing_version = 8;
    world.source->on_heartbeat(fleet::encode(ahead), world.now);
    const auto known = world.source->versions();
    CHECK_FALSE(
        world.source->table_update_for(known, false, world.now).has_value());
    const auto later = world.now + millis(600);
    const auto news = world.source->table_update_for(known, false, later);
    CHECK(news.has_value());
    CHECK_FALSE(news->is_current);
}
