#include <plantainward/entry/entry_host.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::boot_instant;
using core::millis;
using entry::followed_table;

TEST_GROUP(table_reachability)
{
    boot_instant now{std::chrono::seconds(100)};
    entry::entry_host source{{"host-0", "a", 1}};

    void setup() override
    {
        const fleet::members all{{"host-0", {{"10.0.0.1", 1}, "a", 100}},
                                 {"host-1", {{"10.0.0.1", 2}, "a", 100}}};
        const fleet::voter_set voters{40, {"host-0", "host-1"}, {}};
        source.on_members(all, 50, now, now);
        source.on_records({{}, {voters.version, voters}}, now, now);
        routes::routing routing;
        routing.version = 3;
        source.on_routing(routing, now);
    }

    bool is_current()
    {
        return source.table_update_for(source.versions(), true, now)
            ->is_current;
    }
};

TEST(table_reachability, another_table_regained_does_not_make_a_routing_current)
{
    // Guards against hosts that wait for changes at a source whose feed of the
    // list of hosts works and whose feed of the routing has failed.
    CHECK(is_current());
    source.set_table_reachable(followed_table::routing, false);
    source.set_table_reachable(followed_table::members, false);
    source.set_table_reachable(followed_table::members, true);
    CHECK_FALSE(is_current());
    source.set_table_reachable(followed_table::routing, true);
    CHECK(is_current());
}
