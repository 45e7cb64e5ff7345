#include <support/fleet_world.hpp>

#include <cstdlib>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Injects one random fault, which ends after a while.
void inject_fault(fleet_world& world)
{
    auto& random = world.random();
    const auto host = world.host_name(random() % world.host_count());
    const auto ids = world.database_ids();
    const auto database =
        random() % 2 == 0 ? world.leader() : ids[random() % ids.size()];
    const auto duration = millis(200 + random() % 3000);
    switch (random() % 8)
    {
    case 0:
        world.crash_database(database);
        world.run_for(duration);
        return world.recover_database(database);
    case 1:
        world.cut(host, database);
        world.run_for(duration);
        return world.cut(host, database, false);
    case 2:
        world.freeze(host, duration);
        return world.run_for(duration / 2);
    case 3:
        world.set_store_up(false);
        world.run_for(duration);
        return world.set_store_up(true);
    case 4:
        world.cut_store(host);
        world.crash_database(database);
        world.run_for(duration);
        world.recover_database(database);
        return world.cut_store(host, false);
    case 5:
        return world.restart(host);
    case 6:
        // A partition: one host with the primary on one side, all other hosts
        // on the other.
        for (std::size_t i = 0; i < world.host_count(); ++i)
            if (world.host_name(i) != host)
            {
                world.cut(world.host_name(i), database);
                world.cut(world.host_name(i), host);
            }
        world.cut_store(host);
        for (const auto& id : ids)
            if (id != database)
                world.cut(id, database);
        world.run_for(duration);
        for (std::size_t i = 0; i < world.host_count(); ++i)
        {
            world.cut(world.host_name(i), database, false);
            world.cut(world.host_name(i), host, false);
        }
        for (const auto& id : ids)
            world.cut(id, database, false);
        return world.cut_store(host, false);
    default:
        world.lose_promotion_answers(true);
        world.crash_database(database);
        world.run_for(duration);
        world.recover_database(database);
        return world.lose_promotion_answers(false);
    }
}

/// Number of hosts, connections per database and failure domains.
struct fleet_size
{
    std::size_t hosts;
    std::size_t max_connections{60};
    std::size_t domains{1};
};

/// Runs one seed; returns the first violated guarantee, or an empty string.
std::string run_seed(std::uint64_t seed, const fleet_size& size)
{
    fleet_world world(size.hosts, seed, size.max_connections, size.domains);
    world.run_for(millis(2000));
    world.start_load(millis(10));
    for (int i = 0; i < 10; ++i)
    {
        world.run_for(millis(world.random()() % 1500));
        inject_fault(world);
    }
    world.run_for(millis(6000));
    if (!world.history().faults.empty())
        return world.history().faults.front();
    const auto before = world.history().served;
    world.run_for(millis(2000));
    return world.history().served > before + 50
               ? std::string()
               : "little is served after the last fault";
}

void run_seeds(const fleet_size& size, std::uint64_t runs)
{
    const auto first = number_from("EXPLORER_SEED", 1);
    for (auto seed = first; seed < first + runs; ++seed)
    {
        const auto fault = run_seed(seed, size);
        if (!fault.empty())
            std::cerr << "seed " << seed << ": " << fault << '\n';
        STRCMP_EQUAL("", fault.c_str());
    }
}

} // namespace

TEST_GROUP(fleet_explorer){};

TEST(fleet_explorer, guarantees_hold_when_every_host_votes)
{
    run_seeds({5}, number_from("EXPLORER_RUNS", 40));
}

TEST(fleet_explorer, guarantees_hold_when_only_some_hosts_vote)
{
    run_seeds({29}, number_from("EXPLORER_RUNS", 40) / 8);
}

TEST(fleet_explorer, guarantees_hold_when_few_hosts_hold_connections)
{
    run_seeds({29, 20, 3}, number_from("EXPLORER_RUNS", 40) / 8);
}
