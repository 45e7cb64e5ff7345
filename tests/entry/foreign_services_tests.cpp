// Entries among those of the databases that name a service which no routing
// has.

#include <plantainward/entry/entry_host.hpp>

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::boot_instant;
using core::millis;

namespace
{

routes::routing routing_with(const std::string& service, std::uint64_t version)
{
    routes::routing routing;
    routing.version = version;
    routing.services[service].max_connections = 60;
    return routing;
}

routes::upstream database(const std::string& id, const std::string& service)
{
    return {id, service, {"10.0.0.1", 1}, "a", false, false, 1};
}

} // namespace

TEST_GROUP(foreign_services)
{
    boot_instant now{std::chrono::seconds(100)};
    entry::entry_host host{{"host", "a", 1}};
    std::set<std::string> opened;

    void apply(const entry::entry_actions& actions)
    {
        for (const auto& action : actions.pooling)
            if (const auto* open = std::get_if<pooling::open_action>(&action))
                opened.insert(open->upstream.id);
    }

    void run_for(millis time)
    {
        for (const auto end = now + time; now < end; now += millis(50))
            apply(host.tick(now));
    }
};

// Guards against connections to what is no database: every registered address
// was probed, whatever its service.
TEST(foreign_services, a_database_of_an_unknown_service_is_not_probed)
{
    apply(host.on_routing(routing_with("ledger", 1), now));
    apply(host.on_upstreams(
        {database("known", "ledger"), database("foreign", "elsewhere")}, 1, now,
        now));
    run_for(millis(5000));
    CHECK(opened.contains("known"));
    CHECK_FALSE(opened.contains("foreign"));
}

TEST(foreign_services, a_database_is_used_once_the_routing_names_its_service)
{
    apply(host.on_routing(routing_with("ledger", 1), now));
    apply(host.on_upstreams({database("later", "archive")}, 1, now, now));
    run_for(millis(2000));
    LONGS_EQUAL(0, opened.size());
    apply(host.on_routing(routing_with("archive", 2), now));
    run_for(millis(2000));
    CHECK(opened.contains("later"));
}
