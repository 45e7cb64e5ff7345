// Goodput of one primary that is asked for more than it can run.

#include <support/load_world.hpp>

#include <algorithm>
#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using support::load_world;

namespace
{

constexpr std::size_t holder_count = 6;
constexpr millis time_limit{1000};
constexpr millis load_time{10'000};
// 5 slots that run a statement in 20 ms.
constexpr double capacity_per_s = 250;
constexpr int max_retries = 2;

/// One call with its retries at other hosts.
struct call
{
    core::boot_instant began_at{};
    core::boot_instant tried_at{};
    std::string database;
    millis objective{0};
    int retries{0};
    std::size_t host{0};
};

struct overload_case
{
    explicit overload_case(bool is_shared)
    {
        auto& primary = world.databases["p"];
        primary.options.max_connections = 47;
        for (std::size_t i = 0; i < holder_count; ++i)
            add_host("h" + std::to_string(i), is_shared);
        world.on_reply = [this](const auto&, const auto& reply) {
            handle(reply);
        };
    }

    void add_host(const std::string& name, bool is_shared)
    {
        pooling::pooler_options options;
        options.failure_domain = "a";
        options.host = name;
        auto& pooler = world.poolers.try_emplace(name, options).first->second;
        routes::routing routing;
        routing.version = 1;
        for (const int objective_ms : {250, 500})
        {
            routes::route route;
            route.database = std::to_string(objective_ms);
            route.service = "ledger";
            route.target_latency = millis(objective_ms);
            route.timeout = time_limit;
            routing.routes[route.database] = route;
        }
        pooler.set_routing(routing, world.now);
        pooling::connection_plan plan;
        plan.share = 7;
        plan.is_shared = is_shared;
        pooler.set_plan("ledger", plan);
        world.apply(name, pooler.set_upstreams(
                              {{"p", "ledger", {"p", 1}, "a", false, true, 1}},
                              world.now));
        world.apply(name,
                    pooler.set_primary("ledger", "p",
                                       world.now + millis(60'000), world.now));
    }

    /// Sends calls at random intervals for some time.
    void load(double per_s, millis duration)
    {
        std::exponential_distribution<double> gap_s(per_s);
        auto when = world.now;
        const auto end = world.now + duration;
        while (when < end)
        {
            call next;
            next.objective = millis(random() % 2 == 0 ? 250 : 500);
            next.database = std::to_string(next.objective.count());
            next.host = random() % holder_count;
            world.at(when, [this, next] { begin(next); });
            when += std::chrono::microseconds(
                static_cast<int>(gap_s(random) * 1'000'000));
        }
    }

    void begin(call new_call)
    {
        new_call.began_at = world.now;
        ++calls_begun;
        start(std::move(new_call));
    }

    void start(call next)
    {
        next.tried_at = world.now;
        const auto id = ++last_session;
        const auto host = "h" + std::to_string(next.host);
        world.poolers.at(host).open_session(id, next.database, {}, world.now);
        calls[id] = std::move(next);
        world.submit(host, id, sql::statement_kind::read, "READ a");
    }

    void handle(const pooling::reply_action& reply)
    {
        auto ended = calls.at(reply.session);
        calls.erase(reply.session);
        const auto host = "h" + std::to_string(ended.host);
        world.after(millis(0), [this, host, id = reply.session] {
            world.apply(host,
                        world.poolers.at(host).close_session(id, world.now));
        });
        if (!reply.reply.error)
        {
            ++served;
            in_time += world.now - ended.began_at <= ended.objective ? 1 : 0;
            return;
        }
        ++refused;
        const auto waited = world.now - ended.tried_at;
        late_refusals += waited > millis(50) ? 1 : 0;
        longest_refusal = std::max(longest_refusal,
                                   std::chrono::duration_cast<millis>(waited));
        if (ended.retries++ == max_retries)
            return;
        ended.host = (ended.host + 1) % holder_count;
        world.after(millis(6), [this, ended] { start(ended); });
    }

    /// Loads the primary with this multiple of its capacity until all calls
    /// have ended.
    void play(double multiple, unsigned seed)
    {
        random.seed(seed);
        load(capacity_per_s * multiple, load_time);
        world.run_until(world.now + load_time + millis(2000));
        print((std::to_string(multiple) + " times the capacity").c_str());
    }

    void print(const char* name) const
    {
        std::printf("%s: calls %zu, served %zu, in time %zu, refusals %zu, "
                    "after 50 ms %zu, longest %lld ms\n",
                    name, calls_begun, served, in_time, refused, late_refusals,
                    static_cast<long long>(longest_refusal.count()));
    }

    load_world world;
    std::mt19937 random{1};
    std::map<pooling::session_id, call> calls;
    pooling::session_id last_session{0};
    std::size_t calls_begun{0};
    std::size_t served{0};
    std::size_t in_time{0};
    std::size_t refused{0};
    std::size_t late_refusals{0};
    millis longest_refusal{0};
};

} // namespace

TEST_GROUP(overload){};

TEST(overload, the_primary_serves_nine_tenths_of_its_capacity_in_time)
{
    // Failure: 455 of 490 calls of the worst two seconds missed their
    // objective, and 4,500 were refused after a wait of 500 ms.
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_case c(true);
        c.play(1.2, seed);
        CHECK(static_cast<double>(c.in_time) >= capacity_per_s * 10 * 0.9);
    }
}

TEST(overload, refusals_come_within_50_ms_of_the_arrival)
{
    // Failure: callers that can't be served waited 500 ms for their refusal,
    // and had no time left to try another host.
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_case c(true);
        c.play(1.2, seed);
        LONGS_EQUAL(0, c.late_refusals);
    }
}

TEST(overload, a_primary_with_spare_capacity_refuses_nothing)
{
    // Failure: an estimate that is too pessimistic refuses work that an
    // unloaded database could run.
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_case c(true);
        c.play(0.7, seed);
        LONGS_EQUAL(0, c.refused);
        LONGS_EQUAL(c.calls_begun, c.in_time);
    }
}

TEST(overload, a_database_of_a_small_fleet_is_used_as_before)
{
    overload_case c(false);
    c.load(capacity_per_s * 1.2, load_time);
    c.world.run_until(c.world.now + load_time + millis(2000));
    c.print("order of arrival");
    LONGS_EQUAL(2691, c.served);
    LONGS_EQUAL(1583, c.in_time);
}
