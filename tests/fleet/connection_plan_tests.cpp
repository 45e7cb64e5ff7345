#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/fleet/host_score.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::fleet;

namespace
{

members hosts(std::size_t count, std::size_t domains)
{
    members result;
    for (std::size_t i = 0; i < count; ++i)
        result["host-" + std::to_string(i)] = {
            {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
            "domain-" + std::to_string(i % domains),
            100};
    return result;
}

std::set<std::string> first_names(const members& all, std::size_t count)
{
    std::set<std::string> names;
    for (const auto& [name, host] : all)
        if (names.size() < count)
            names.insert(name);
    return names;
}

/// Number of connections of all hosts to one database.
std::size_t connections(const service_holders& holders, const members& all)
{
    std::size_t sum = 0;
    for (const auto& [name, host] : all)
        sum += holders.share_of(name);
    return sum;
}

} // namespace

TEST_GROUP(connection_plan){};

TEST(connection_plan, hosts_hold_their_own_connections_when_there_are_enough)
{
    const auto all = hosts(15, 3);
    const auto holders =
        divide_connections("ledger", 47, all, first_names(all, 15), {});
    CHECK(holders.all_hosts_hold);
    LONGS_EQUAL(2, holders.share);
    CHECK(holders.delegates_of("host-1", "domain-1").empty());
}

TEST(connection_plan, a_large_fleet_shares_few_large_pools)
{
    // 138 hosts and databases that accept 366 connections, two for each host:
    // transactions occupy both, and other requests of the host wait.
    const auto all = hosts(138, 5);
    const auto holders =
        divide_connections("ledger", 366, all, first_names(all, 15), {});
    CHECK_FALSE(holders.all_hosts_hold);
    CHECK(holders.share >= 30);
}

TEST(connection_plan,
     a_few_hosts_of_each_domain_hold_connections_too_few_for_all)
{
    // 121 hosts and databases that accept 70 connections.
    const auto all = hosts(121, 3);
    const auto holders =
        divide_connections("ledger", 70, all, first_names(all, 15), {});
    CHECK_FALSE(holders.all_hosts_hold);
    std::map<std::string, int> holders_of_domain;
    for (const auto& [name, host] : all)
        if (holders.is_holder(name))
            ++holders_of_domain[host.failure_domain];
    LONGS_EQUAL(3, holders_of_domain.size());
    for (const auto& [domain, count] : holders_of_domain)
        LONGS_EQUAL(2, count);
    CHECK(holders.share >= 8);
}

TEST(connection_plan, no_fleet_opens_more_than_a_database_accepts)
{
    for (const std::size_t limit : {4U, 9U, 15U, 40U, 70U, 366U, 2000U})
        for (const std::size_t count : {1U, 2U, 5U, 17U, 40U, 121U, 550U})
        {
            const auto all = hosts(count, 3);
            const auto holders = divide_connections("ledger", limit, all,
                                                    first_names(all, 15), {});
            // Each of the two holders of the three failure domains needs at
            // least one connection.
            const auto min_connections = std::min<std::size_t>(count, 6);
            if (limit >= min_connections)
                CHECK(connections(holders, all) <=
                      std::max(limit, min_connections));
        }
}

TEST(connection_plan, delegates_of_the_own_failure_domain_come_first)
{
    const auto all = hosts(60, 3);
    const auto holders = divide_connections("ledger", 30, all, {}, {});
    for (const auto& [name, host] : all)
    {
        const auto delegates = holders.delegates_of(name, host.failure_domain);
        if (holders.is_holder(name))
            continue;
        LONGS_EQUAL(6, delegates.size());
        STRCMP_EQUAL(host.failure_domain.c_str(),
                     all.at(delegates[0]).failure_domain.c_str());
        STRCMP_EQUAL(host.failure_domain.c_str(),
                     all.at(delegates[1]).failure_domain.c_str());
    }
}

TEST(connection_plan, work_is_spread_over_the_delegates_of_a_domain)
{
    const auto all = hosts(90, 3);
    const auto holders = divide_connections("ledger", 30, all, {}, {});
    std::map<std::string, int> first;
    for (const auto& [name, host] : all)
        if (!holders.is_holder(name))
            ++first[holders.delegates_of(name, host.failure_domain).front()];
    LONGS_EQUAL(6, first.size());
    for (const auto& [name, count] : first)
        CHECK(count >= 5);
}

TEST(connection_plan, larger_hosts_hold_the_connections_of_more_services)
{
    auto all = hosts(60, 3);
    for (std::size_t i = 0; i < 12; ++i)
        all["host-" + std::to_string(i)].millicores = 500;
    std::size_t large = 0;
    std::size_t small = 0;
    for (int service = 0; service < 50; ++service)
    {
        const auto holders = divide_connections(
            "ledger-" + std::to_string(service), 30, all, {}, {});
        for (const auto& [name, host] : all)
            if (holders.is_holder(name))
                ++(host.millicores == 500 ? large : small);
    }
    // 12 large hosts with five times the weight of the 48 small ones.
    CHECK(large > small);
}

TEST(connection_plan, the_loss_of_a_holder_changes_no_other_holder)
{
    auto all = hosts(60, 3);
    const auto before = divide_connections("ledger", 30, all, {}, {});
    std::string lost;
    for (const auto& [name, host] : all)
        if (before.is_holder(name))
            lost = name;
    all.erase(lost);
    const auto after = divide_connections("ledger", 30, all, {}, {});
    for (const auto& [name, host] : all)
        if (before.is_holder(name))
            CHECK(after.is_holder(name));
}

TEST(connection_plan, few_connections_allow_only_few_watchers)
{
    const auto all = hosts(121, 3);
    const auto holders =
        divide_connections("ledger", 20, all, first_names(all, 15), {});
    CHECK(holders.watchers.size() <= 5);
    CHECK_FALSE(holders.watchers.empty());
}

TEST(connection_plan, a_host_with_a_slow_link_holds_connections_less_often)
{
    // Failure: only processor time counted, so a host with 10 Mbit/s was a
    // holder as often as one with 200 Mbit/s.
    members listed;
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i)
    {
        const auto name = "host-" + std::to_string(i);
        listed[name].millicores = 500;
        listed[name].link_mbps = i % 2 == 0 ? 200 : 10;
        names.push_back(name);
    }
    int fast = 0;
    for (int i = 0; i < 200; ++i)
        if (listed
                .at(by_score("service-" + std::to_string(i), names, listed)[0])
                .link_mbps == 200)
            ++fast;
    CHECK(fast >= 180);
}
