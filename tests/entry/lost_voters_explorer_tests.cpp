// Random losses of most or all voters, long cuts, outages and freezes, in
// random order. Hosts that were taken for lost live on without the table
// service, or wake after the voters were changed. Each acknowledged write, each
// read and each promotion is judged when it arrives.

#include <support/fleet_world.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
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

/// Inclusive bounds of a random duration, in milliseconds.
struct bounds
{
    std::uint64_t min;
    std::uint64_t max;
};

/// One history of random faults.
class loss_history
{
public:
    /// Every host holds some, also while many lost hosts are registered.
    static constexpr std::size_t enough_connections = 1000;

    loss_history(std::uint64_t seed, std::size_t hosts, std::size_t domains)
        : m_world(hosts, seed, enough_connections, domains), m_size(hosts)
    {
        if (std::getenv("EXPLORER_TRACE") != nullptr)
            m_world.trace_to(std::cerr);
        m_world.run_for(millis(2000));
        m_world.start_load(millis(20));
        // All voters together confirm without reads from 30 s on.
        run({0, 40'000});
    }

    /// Returns the first violated guarantee, or an empty string.
    std::string run(int fault_count)
    {
        for (int i = 0; i < fault_count; ++i)
        {
            inject_fault();
            if (random(2) == 0)
                crash_primary();
            run({0, 5000});
        }
        fill_up();
        // Where all voters were lost at once, the others wait for the longest
        // outage.
        m_world.stop_load();
        m_world.run_for(fleet::voter_set::max_outage + millis(70'000));
        m_world.start_load(millis(20));
        m_world.run_for(millis(2000));
        if (!m_world.history().faults.empty())
            return m_world.history().faults.front();
        const auto before = m_world.history().promotions;
        m_world.crash_database(m_world.leader());
        m_world.run_for(millis(6000));
        if (m_world.history().promotions == before)
            return "the primary is not replaced after the last fault";
        const auto served = m_world.history().served;
        m_world.run_for(millis(2000));
        if (!m_world.history().faults.empty())
            return m_world.history().faults.front();
        // Callers of lost hosts send nothing.
        const auto sent = 100 * running_hosts().size() / m_world.host_count();
        return m_world.history().served > served + sent / 2
                   ? std::string()
                   : "little is served after the last fault";
    }

private:
    std::uint64_t random(std::uint64_t limit)
    {
        return m_world.random()() % limit;
    }

    void run(const bounds& time)
    {
        m_world.run_for(millis(time.min + random(time.max - time.min + 1)));
    }

    std::vector<std::string> running_hosts()
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < m_world.host_count(); ++i)
            if (m_world.is_running(m_world.host_name(i)))
                names.push_back(m_world.host_name(i));
        return names;
    }

    /// Each running host is one with the given chance in percent.
    std::vector<std::string> random_hosts(std::uint64_t percent)
    {
        auto names = running_hosts();
        std::erase_if(names,
                      [&](const auto&) { return random(100) >= percent; });
        return names;
    }

    /// Starts further hosts in place of the lost ones.
    void fill_up()
    {
        for (auto count = running_hosts().size(); count < m_size; ++count)
            m_world.add_host();
    }

    void crash_primary()
    {
        const auto primary = m_world.leader();
        m_world.crash_database(primary);
        run({500, 4000});
        m_world.recover_database(primary);
    }

    /// Loses hosts for good, one after the other or at once; others come later.
    void lose_hosts()
    {
        const auto interval = random(2) * random(1500);
        const auto replaces_each = random(2) == 0;
        for (const auto& name : random_hosts(40 + random(61)))
        {
            if (running_hosts().size() == 1)
                break;
            m_world.lose(name);
            if (replaces_each)
                m_world.add_host();
            m_world.run_for(millis(interval));
        }
        run({0, 45'000});
        fill_up();
    }

    void cut_store(const std::vector<std::string>& hosts, bool is_cut)
    {
        for (const auto& name : hosts)
        {
            m_world.cut_store(name, is_cut);
            m_world.cut_platform(name, is_cut);
        }
    }

    void cut_between(const std::vector<std::string>& side,
                     const std::vector<std::string>& others, bool is_cut)
    {
        for (const auto& name : side)
            for (const auto& other : others)
                m_world.cut(name, other, is_cut);
    }

    /// One side has the table service, the other one may have the primary. Some
    /// hosts sleep meanwhile. The sides meet, and reach the table service
    /// again, in either order.
    void split_fleet()
    {
        const auto all = running_hosts();
        const auto side = random_hosts(20 + random(75));
        const std::set<std::string> inside(side.begin(), side.end());
        std::vector<std::string> others;
        for (const auto& name : all)
            if (!inside.contains(name))
                others.push_back(name);
        std::vector<std::string> lost_databases;
        for (const auto& id : m_world.database_ids())
            if (random(2) == 0)
                lost_databases.push_back(id);
        cut_between(side, others, true);
        cut_store(side, true);
        cut_between(others, lost_databases, true);
        run({0, 25'000});
        if (random(2) == 0)
            for (const auto& name : random_hosts(30))
                m_world.freeze(name, millis(1000 + random(30'000)));
        if (random(3) == 0)
            m_world.add_host();
        run({0, 30'000});
        const bool meets_first = random(2) == 0;
        for (const bool meets : {meets_first, !meets_first})
        {
            if (meets)
            {
                cut_between(side, others, false);
                cut_between(others, lost_databases, false);
            }
            else
                cut_store(side, false);
            run({0, 8000});
        }
    }

    /// The table service is away for some hosts, or for all.
    void lose_store()
    {
        const auto hosts = random_hosts(30 + random(71));
        cut_store(hosts, true);
        if (random(2) == 0)
            for (const auto& name : random_hosts(20))
                m_world.lose(name);
        run({2000, 40'000});
        cut_store(hosts, false);
        fill_up();
    }

    void freeze_hosts()
    {
        for (const auto& name : random_hosts(30 + random(60)))
            m_world.freeze(name, millis(500 + random(35'000)));
        run({0, 40'000});
    }

    void inject_fault()
    {
        switch (random(6))
        {
        case 0:
        case 1:
            return lose_hosts();
        case 2:
        case 3:
            return split_fleet();
        case 4:
            return lose_store();
        default:
            return freeze_hosts();
        }
    }

    fleet_world m_world;
    std::size_t m_size;
};

void run_seeds(std::size_t hosts, std::size_t domains, std::uint64_t runs)
{
    const auto first = number_from("EXPLORER_SEED", 1);
    std::string failed_seeds;
    for (auto seed = first; seed < first + runs; ++seed)
    {
        const auto fault = loss_history(seed, hosts, domains).run(4);
        if (fault.empty())
            continue;
        std::cerr << "seed " << seed << ": " << fault << '\n';
        failed_seeds += " " + std::to_string(seed);
    }
    STRCMP_EQUAL("", failed_seeds.c_str());
}

std::uint64_t runs()
{
    return number_from("EXPLORER_RUNS", 4);
}

} // namespace

TEST_GROUP(lost_voters_explorer){};

TEST(lost_voters_explorer, no_guarantee_is_violated_with_three_hosts)
{
    run_seeds(3, 3, runs());
}

TEST(lost_voters_explorer, no_guarantee_is_violated_with_fifteen_hosts)
{
    run_seeds(15, 3, runs());
}

TEST(lost_voters_explorer, no_guarantee_is_violated_in_a_fleet_with_other_hosts)
{
    run_seeds(30, 5, runs() / 4);
}
