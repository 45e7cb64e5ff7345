#include <support/fleet_world.hpp>

#include <cstdlib>
#include <iostream>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// What happens to the promoting host at each succession.
enum class strikes
{
    none,
    /// The host, or its way to the table service or the platform.
    host,
    /// The table service or the promotion calls, for all hosts.
    platform,
    either
};

/// One way in which an explorer is run.
struct plan
{
    std::size_t hosts;
    strikes what;
};

millis some(fleet_world& world, std::uint64_t least, std::uint64_t most)
{
    return millis(least + world.random()() % (most - least + 1));
}

/// A cause for a new primary.
enum class cause_kind
{
    crash,
    leave,
    /// Only one host and no replica still reaches the primary.
    cut
};

struct succession_cause
{
    std::string old;
    cause_kind kind;
    std::string reaching{};
};

void cut_primary(fleet_world& world, const succession_cause& cause, bool is_cut)
{
    for (std::size_t i = 0; i < world.host_count(); ++i)
        if (world.host_name(i) != cause.reaching)
        {
            world.cut(world.host_name(i), cause.old, is_cut);
            world.cut(world.host_name(i), cause.reaching, is_cut);
        }
    for (const auto& id : world.database_ids())
        if (id != cause.old)
            world.cut(id, cause.old, is_cut);
    world.cut_store(cause.reaching, is_cut);
}

succession_cause start_succession(fleet_world& world, strikes what)
{
    // A cut disturbs hosts, which quick successions alone must not.
    const auto kinds = what == strikes::none ? 3 : 4;
    const auto choice = world.random()() % kinds;
    succession_cause made{world.leader(), cause_kind::crash};
    if (choice == 0)
    {
        made.kind = cause_kind::leave;
        world.set_leaving(made.old);
    }
    else if (choice < 3)
        world.crash_database(made.old);
    else
    {
        made.kind = cause_kind::cut;
        made.reaching = world.host_name(world.random()() % world.host_count());
        cut_primary(world, made, true);
    }
    return made;
}

void end_succession(fleet_world& world, const succession_cause& cause)
{
    if (cause.kind == cause_kind::cut)
        cut_primary(world, cause, false);
    else if (cause.kind == cause_kind::crash)
        world.recover_database(cause.old);
    else if (world.leader() != cause.old)
        world.replace_database(cause.old);
}

/// The host that is at work on the succession, found at a random step of it.
std::string host_at_work(fleet_world& world)
{
    const bool awaits_call = world.random()() % 2 == 0;
    for (int i = 0; i < 3000; ++i)
    {
        auto found =
            awaits_call ? world.promoting_host() : world.claiming_host();
        if (!found.empty())
        {
            world.run_for(some(world, 0, 150));
            return found;
        }
        world.run_for(millis(1));
    }
    return world.host_name(world.random()() % world.host_count());
}

void strike_host(fleet_world& world, const std::string& host, millis lasting)
{
    switch (world.random()() % 5)
    {
    case 0:
        world.freeze(host, lasting);
        return world.run_for(lasting);
    case 1:
        world.restart(host);
        return world.run_for(lasting);
    case 2:
        world.cut_store(host);
        world.run_for(lasting);
        return world.cut_store(host, false);
    case 3:
        world.cut_platform(host);
        world.run_for(lasting);
        return world.cut_platform(host, false);
    default:
        for (std::size_t i = 0; i < world.host_count(); ++i)
            if (world.host_name(i) != host)
                world.cut(host, world.host_name(i));
        world.run_for(lasting);
        for (std::size_t i = 0; i < world.host_count(); ++i)
            if (world.host_name(i) != host)
                world.cut(host, world.host_name(i), false);
    }
}

void strike_platform(fleet_world& world, millis lasting)
{
    switch (world.random()() % 6)
    {
    case 0:
        world.set_store_delay({millis(100), millis(1000)});
        world.run_for(lasting);
        return world.reset_store_delay();
    case 1:
        world.lose_write_answers(true);
        world.run_for(lasting);
        return world.lose_write_answers(false);
    case 2:
        world.delay_writes(true);
        world.run_for(lasting);
        return world.delay_writes(false);
    case 3:
        world.refuse_writes(true);
        world.run_for(lasting);
        return world.refuse_writes(false);
    case 4:
        world.lose_promotion_calls(true);
        world.run_for(lasting);
        return world.lose_promotion_calls(false);
    default:
        world.lose_promotion_answers(true);
        world.run_for(lasting);
        return world.lose_promotion_answers(false);
    }
}

void strike(fleet_world& world, strikes what)
{
    // Long ones outlast every patience of a claim.
    const auto lasting = some(world, 200, 6000);
    if (what == strikes::none)
        return world.run_for(lasting);
    const auto host = host_at_work(world);
    const bool hits_host = what == strikes::host || (what == strikes::either &&
                                                     world.random()() % 2 == 0);
    if (hits_host)
        strike_host(world, host, lasting);
    else
        strike_platform(world, lasting);
}

/// A seed's broken promises with all calls, empty when there are none.
std::string run_seed(std::uint64_t seed, const plan& plan)
{
    fleet_world world(plan.hosts, seed);
    world.run_for(millis(2000));
    world.set_feed_delay({millis(1), millis(500)});
    world.start_load(millis(10));
    for (int i = 0; i < 10; ++i)
    {
        world.run_for(some(world, 200, 3000));
        const bool is_slow =
            plan.what != strikes::none && world.random()() % 2 == 0;
        world.set_promotion_delay(is_slow ? time_range{millis(4), millis(2000)}
                                          : time_range{millis(2), millis(20)});
        const auto cause = start_succession(world, plan.what);
        // A primary that flaps is back before it is replaced.
        if (cause.kind == cause_kind::crash && world.random()() % 5 == 0)
        {
            world.run_for(some(world, 10, 600));
            world.recover_database(cause.old);
        }
        strike(world, plan.what);
        world.run_for(some(world, 500, 3000));
        end_succession(world, cause);
    }
    world.set_promotion_delay({});
    world.run_for(millis(15'000));
    const auto before = world.history().served;
    world.run_for(millis(2000));
    const auto& faults = world.history().faults;
    std::string broken;
    for (const auto& one : faults)
        broken += one + "\n";
    if (!broken.empty())
        return broken + world.promotions().trace();
    return world.history().served > before + 50
               ? std::string()
               : "little is served after the last strike\n" +
                     world.promotions().trace();
}

void run_seeds(const plan& plan, std::uint64_t runs)
{
    const auto first = number_from("EXPLORER_SEED", 1);
    std::string broken;
    for (auto seed = first; seed < first + runs; ++seed)
    {
        const auto fault = run_seed(seed, plan);
        if (fault.empty())
            continue;
        std::cerr << "seed " << seed << ": " << fault;
        broken += " " + std::to_string(seed);
    }
    STRCMP_EQUAL("", broken.c_str());
}

std::uint64_t runs()
{
    return number_from("EXPLORER_RUNS", 12);
}

} // namespace

TEST_GROUP(promotion_explorer){};

TEST(promotion_explorer, one_host_makes_quick_successions)
{
    run_seeds({5, strikes::none}, runs());
}

TEST(promotion_explorer, no_condition_breaks_when_the_promoting_host_is_struck)
{
    run_seeds({5, strikes::host}, runs());
}

TEST(promotion_explorer, no_condition_breaks_when_the_platform_is_struck)
{
    run_seeds({5, strikes::platform}, runs());
}

TEST(promotion_explorer, no_condition_breaks_when_host_or_platform_is_struck)
{
    run_seeds({5, strikes::either}, runs());
}

TEST(promotion_explorer, one_host_of_a_large_fleet_makes_quick_successions)
{
    run_seeds({29, strikes::none}, runs() / 6);
}

TEST(promotion_explorer, no_condition_breaks_in_a_large_fleet)
{
    run_seeds({29, strikes::either}, runs() / 6);
}
