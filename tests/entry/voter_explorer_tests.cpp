// Random cuts, losses, restarts, and hosts that join and leave, while the voter
// set changes. The real decisions of every host run; each acknowledged write,
// each read and each promotion is judged when it arrives.

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

/// One history of random faults.
class voter_history
{
public:
    voter_history(std::uint64_t seed, std::size_t hosts, std::size_t domains)
        : m_world(hosts, seed, hosts > 26 ? 162 : 60, domains)
    {
        if (std::getenv("EXPLORER_TRACE") != nullptr)
            m_world.trace_to(std::cerr);
        m_world.run_for(millis(2000));
        m_world.start_load(millis(10));
    }

    /// Returns the first violated guarantee, or an empty string.
    std::string run(int fault_count)
    {
        for (int i = 0; i < fault_count; ++i)
        {
            m_world.run_for(random_time(0, 2000));
            inject_fault();
        }
        for (std::size_t i = 0; i < m_world.host_count(); ++i)
            if (!m_world.is_running(m_world.host_name(i)))
                m_world.restart(m_world.host_name(i));
        m_world.run_for(millis(15'000));
        if (!m_world.history().faults.empty())
            return m_world.history().faults.front();
        const auto before = m_world.history().served;
        m_world.run_for(millis(2000));
        return m_world.history().served > before + 50
                   ? std::string()
                   : "little is served after the last fault";
    }

private:
    std::uint64_t random(std::uint64_t limit)
    {
        return m_world.random()() % limit;
    }

    millis random_time(std::uint64_t min_ms, std::uint64_t max_ms)
    {
        return millis(min_ms + random(max_ms - min_ms + 1));
    }

    std::string random_host()
    {
        return m_world.host_name(random(m_world.host_count()));
    }

    /// Each host is one with the given chance in percent.
    std::vector<std::string> random_hosts(std::uint64_t percent)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < m_world.host_count(); ++i)
            if (random(100) < percent)
                names.push_back(m_world.host_name(i));
        return names;
    }

    /// Cuts some hosts and databases from the others; the table service and
    /// the platform stay with one of the sides.
    void cut_fleet(const std::vector<std::string>& side,
                   const std::vector<std::string>& databases, bool keeps_store,
                   bool is_cut)
    {
        const std::set<std::string> inside(side.begin(), side.end());
        const std::set<std::string> kept(databases.begin(), databases.end());
        for (std::size_t i = 0; i < m_world.host_count(); ++i)
        {
            const auto name = m_world.host_name(i);
            const bool is_inside = inside.contains(name);
            if (is_inside != keeps_store)
            {
                m_world.cut_store(name, is_cut);
                m_world.cut_platform(name, is_cut);
            }
            for (const auto& id : m_world.database_ids())
                if (kept.contains(id) != is_inside)
                    m_world.cut(name, id, is_cut);
            if (is_inside)
                continue;
            for (const auto& other : inside)
                m_world.cut(name, other, is_cut);
        }
        for (const auto& id : m_world.database_ids())
            for (const auto& other : kept)
                if (!kept.contains(id))
                    m_world.cut(id, other, is_cut);
    }

    void split_fleet()
    {
        const auto side = random_hosts(20 + random(60));
        std::vector<std::string> databases;
        for (const auto& id : m_world.database_ids())
            if (random(2) == 0)
                databases.push_back(id);
        const bool keeps_store = random(2) == 0;
        cut_fleet(side, databases, keeps_store, true);
        m_world.run_for(random_time(500, 9000));
        if (random(3) == 0)
            crash_primary();
        cut_fleet(side, databases, keeps_store, false);
    }

    void crash_primary()
    {
        const auto primary = m_world.leader();
        m_world.crash_database(primary);
        m_world.run_for(random_time(500, 4000));
        m_world.recover_database(primary);
    }

    /// Some hosts leave for so long that voters among them are replaced.
    void lose_hosts()
    {
        const auto lost = random_hosts(10 + random(50));
        for (const auto& name : lost)
            if (m_world.is_running(name))
                m_world.stop(name);
        m_world.run_for(random_time(1000, 45'000));
        if (random(2) == 0)
            crash_primary();
        for (const auto& name : lost)
            if (random(3) != 0)
                m_world.restart(name);
    }

    void inject_fault()
    {
        switch (random(9))
        {
        case 0:
            return split_fleet();
        case 1:
            return crash_primary();
        case 2:
            return lose_hosts();
        case 3:
            for (const auto& name : random_hosts(60))
                m_world.restart(name);
            return m_world.run_for(random_time(0, 1000));
        case 4:
            for (std::size_t i = 0; i < 1 + random(3); ++i)
                m_world.add_host();
            return m_world.run_for(random_time(0, 15'000));
        case 5:
            for (const auto& name : random_hosts(30))
                m_world.freeze(name, random_time(300, 4000));
            return crash_primary();
        case 6:
            m_world.set_store_up(false);
            m_world.run_for(random_time(500, 6000));
            return m_world.set_store_up(true);
        case 7:
            m_world.delay_writes(true);
            crash_primary();
            return m_world.delay_writes(false);
        default:
            m_world.cut_store(random_host());
            return crash_primary();
        }
    }

    fleet_world m_world;
};

void run_seeds(std::size_t hosts, std::size_t domains, std::uint64_t runs,
               int fault_count)
{
    const auto first = number_from("EXPLORER_SEED", 1);
    std::string failed_seeds;
    for (auto seed = first; seed < first + runs; ++seed)
    {
        const auto fault = voter_history(seed, hosts, domains).run(fault_count);
        if (fault.empty())
            continue;
        std::cerr << "seed " << seed << ": " << fault << '\n';
        failed_seeds += " " + std::to_string(seed);
    }
    STRCMP_EQUAL("", failed_seeds.c_str());
}

std::uint64_t runs()
{
    return number_from("EXPLORER_RUNS", 16);
}

} // namespace

TEST_GROUP(voter_explorer){};

TEST(voter_explorer, no_guarantee_is_violated_with_fifteen_hosts)
{
    run_seeds(15, 3, runs(), 10);
}

TEST(voter_explorer, no_guarantee_is_violated_with_seventeen_hosts)
{
    run_seeds(17, 3, runs() / 2, 10);
}

TEST(voter_explorer, no_guarantee_is_violated_in_a_fleet_that_outgrows_its_set)
{
    run_seeds(25, 3, runs() / 4, 10);
}

TEST(voter_explorer, no_guarantee_is_violated_with_many_hosts)
{
    run_seeds(121, 5, runs() / 8, 6);
}
