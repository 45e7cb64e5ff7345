// Connections after all hosts of a fleet lost power, and while a database
// accepts no more of them.

#include <support/load_world.hpp>

#include <algorithm>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using support::load_world;

namespace
{

constexpr std::size_t host_count = 27;
constexpr std::size_t service_count = 8;
constexpr std::size_t databases_of_service = 3;
constexpr std::size_t holder_count = 6;
constexpr std::size_t watcher_count = 10;
constexpr std::size_t share_of_holder = 5;
constexpr std::size_t waiting_statements = 40;
// Connections of lost hosts are dropped 3 s after the loss of power; the hosts
// are back after 1.5 s.
constexpr millis time_to_drop{1500};

std::string service_name(std::size_t number)
{
    return "s" + std::to_string(number);
}

/// The fleet of the points ledger after a loss of power.
struct power_loss_case
{
    explicit power_loss_case(bool resets_excess_connections)
    {
        world.on_reply = [](const auto&, const auto&) {
        };
        for (std::size_t service = 0; service < service_count; ++service)
            for (std::size_t i = 0; i < databases_of_service; ++i)
                add_database(service, i, resets_excess_connections);
        for (std::size_t host = 0; host < host_count; ++host)
            add_host(host);
        for (std::size_t service = 0; service < service_count; ++service)
            add_plans(service);
    }

    void add_database(std::size_t service, std::size_t number,
                      bool resets_excess_connections)
    {
        const auto id = service_name(service) + "-" + std::to_string(number);
        auto& database = world.databases[id];
        database.options.resets_excess_connections = resets_excess_connections;
        database.lost_connections = 43;
        upstreams.push_back(
            {id, service_name(service), {id, 1}, "a", false, number == 0, 1});
        world.after(time_to_drop,
                    [&database] { database.lost_connections = 0; });
    }

    void add_host(std::size_t number)
    {
        pooling::pooler_options options;
        options.failure_domain = "a";
        options.host = "h" + std::to_string(number);
        auto& pooler =
            world.poolers.try_emplace(options.host, options).first->second;
        routes::routing routing;
        routing.version = 1;
        for (std::size_t service = 0; service < service_count; ++service)
            for (const auto kind : {routes::read_consistency::latest,
                                    routes::read_consistency::bounded_age})
                add_route(routing, service, kind);
        pooler.set_routing(routing, world.now);
    }

    static void add_route(routes::routing& routing, std::size_t service,
                          routes::read_consistency kind)
    {
        const bool is_latest = kind == routes::read_consistency::latest;
        routes::route route;
        route.service = service_name(service);
        route.database = route.service + (is_latest ? "-latest" : "-bounded");
        route.consistency = kind;
        route.timeout = millis(6000);
        route.max_age = millis(1500);
        routing.routes[route.database] = route;
    }

    void add_plans(std::size_t service)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            const auto host =
                "h" + std::to_string((i + service * 3) % host_count);
            pooling::connection_plan plan;
            plan.is_shared = true;
            plan.share = i < holder_count                   ? share_of_holder
                         : i < holder_count + watcher_count ? 1
                                                            : 0;
            if (i >= holder_count)
                plan.delegates = {"h" + std::to_string(service * 3)};
            world.poolers.at(host).set_plan(service_name(service), plan);
            if (i < holder_count)
                holders.emplace_back(host, service_name(service));
        }
    }

    /// Starts all hosts; each holder gets a full queue of statements.
    void start()
    {
        for (auto& [host, pooler] : world.poolers)
            world.apply(host, pooler.set_upstreams(upstreams, world.now));
        for (std::size_t service = 0; service < service_count; ++service)
            for (auto& [host, pooler] : world.poolers)
                world.apply(host, pooler.set_primary(
                                      service_name(service),
                                      service_name(service) + "-0",
                                      world.now + millis(60'000), world.now));
        pooling::session_id last = 0;
        for (const auto& [host, service] : holders)
            for (std::size_t i = 0; i < waiting_statements * 3; ++i)
                start_caller(host, service, ++last, i % 3 == 0);
    }

    // Each caller sends its next statement soon after an answer, and later
    // after a refusal.
    void start_caller(const std::string& host, const std::string& service,
                      pooling::session_id id, bool is_latest)
    {
        auto& pooler = world.poolers.at(host);
        pooler.open_session(id, service + (is_latest ? "-latest" : "-bounded"),
                            {}, world.now);
        pooler.add_watermark(service, {world.now - millis(100), {1, 5}});
        world.on_reply = [this](const auto& name, const auto& reply) {
            const auto pause = reply.reply.error ? millis(100) : millis(2);
            world.after(pause,
                        [this, name, id = reply.session] { submit(name, id); });
        };
        submit(host, id);
    }

    void submit(const std::string& host, pooling::session_id id)
    {
        world.submit(host, id, sql::statement_kind::read, "READ a");
    }

    std::size_t refused() const
    {
        std::size_t sum = 0;
        for (const auto& [id, database] : world.databases)
            sum += database.refused_connections;
        return sum;
    }

    std::size_t open() const
    {
        std::size_t sum = 0;
        for (const auto& [id, database] : world.databases)
            sum += database.connections.size();
        return sum;
    }

    /// Runs until a second after the old connections were dropped.
    void run()
    {
        const auto began = world.now;
        start();
        world.run_until(began + time_to_drop);
        const auto before_drop = open();
        world.run_until(began + time_to_drop + millis(1000));
        std::printf("refused %zu, open %zu at the drop, %zu a second later\n",
                    refused(), before_drop, open());
    }

    load_world world;
    std::vector<routes::upstream> upstreams;
    std::vector<std::pair<std::string, std::string>> holders;
};

constexpr std::size_t wanted_connections =
    service_count * databases_of_service *
    (holder_count * share_of_holder + watcher_count);

} // namespace

TEST_GROUP(power_loss){};

TEST(power_loss, hosts_that_come_back_do_not_flood_full_databases)
{
    // Failure: 10,638 connections were refused in 4 s, since any answer on
    // another connection ended the pause after a refused one.
    power_loss_case c(false);
    c.run();
    CHECK(c.refused() < 300);
    CHECK(c.open() * 10 >= wanted_connections * 9);
}

TEST(power_loss, a_reset_while_opening_counts_as_a_refused_connection)
{
    // Failure: databases that reset excess connections without a reason were
    // tried again after 50 ms.
    power_loss_case c(true);
    c.run();
    CHECK(c.refused() < 300);
    CHECK(c.open() * 10 >= wanted_connections * 9);
}
