#include <plantainward/fleet/connection_plan.hpp>

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
    members made;
    for (std::size_t i = 0; i < count; ++i)
        made["host-" + std::to_string(i)] = {
            {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
            "domain-" + std::to_string(i % domains),
            100};
    return made;
}

std::set<std::string> first_names(const members& all, std::size_t count)
{
    std::set<std::string> names;
    for (const auto& [name, one] : all)
        if (names.size() < count)
            names.insert(name);
    return names;
}

/// Connections of all hosts to one database.
std::size_t connections(const service_holders& one, const members& all)
{
    std::size_t sum = 0;
    for (const auto& [name, host] : all)
        sum += one.share_of(name);
    return sum;
}

} // namespace

TEST_GROUP(connection_plan){};

TEST(connection_plan, hosts_that_fit_hold_their_own_connections)
{
    const auto all = hosts(15, 3);
    const auto made =
        divide_connections("ledger", 47, all, first_names(all, 15), {});
    CHECK(made.all);
    LONGS_EQUAL(2, made.share);
    CHECK(made.helpers_of("host-1", "domain-1").empty());
}

TEST(connection_plan, many_hosts_share_larger_pools)
{
    // Load: 138 hosts before databases with 366 connections, two for each;
    // transactions keep both, and other work of the host waits.
    const auto all = hosts(138, 5);
    const auto made =
        divide_connections("ledger", 366, all, first_names(all, 15), {});
    CHECK_FALSE(made.all);
    CHECK(made.share >= 30);
}

TEST(connection_plan, few_hosts_of_each_domain_hold_what_is_too_few_for_all)
{
    // Load: 121 hosts before databases with 70 connections each.
    const auto all = hosts(121, 3);
    const auto made =
        divide_connections("ledger", 70, all, first_names(all, 15), {});
    CHECK_FALSE(made.all);
    std::map<std::string, int> holders;
    for (const auto& [name, one] : all)
        if (made.is_holder(name))
            ++holders[one.failure_domain];
    LONGS_EQUAL(3, holders.size());
    for (const auto& [domain, count] : holders)
        LONGS_EQUAL(2, count);
    CHECK(made.share >= 8);
}

TEST(connection_plan, no_fleet_opens_more_than_a_database_accepts)
{
    for (const std::size_t limit : {4U, 9U, 15U, 40U, 70U, 366U, 2000U})
        for (const std::size_t count : {1U, 2U, 5U, 17U, 40U, 121U, 550U})
        {
            const auto all = hosts(count, 3);
            const auto made = divide_connections("ledger", limit, all,
                                                 first_names(all, 15), {});
            // One host of each place needs a connection at least.
            const auto least = std::min<std::size_t>(count, 6);
            if (limit >= least)
                CHECK(connections(made, all) <= std::max(limit, least));
        }
}

TEST(connection_plan, helpers_of_the_own_domain_come_first)
{
    const auto all = hosts(60, 3);
    const auto made = divide_connections("ledger", 30, all, {}, {});
    for (const auto& [name, one] : all)
    {
        const auto helpers = made.helpers_of(name, one.failure_domain);
        if (made.is_holder(name))
            continue;
        LONGS_EQUAL(6, helpers.size());
        STRCMP_EQUAL(one.failure_domain.c_str(),
                     all.at(helpers[0]).failure_domain.c_str());
        STRCMP_EQUAL(one.failure_domain.c_str(),
                     all.at(helpers[1]).failure_domain.c_str());
    }
}

TEST(connection_plan, work_is_spread_over_the_helpers_of_a_domain)
{
    const auto all = hosts(90, 3);
    const auto made = divide_connections("ledger", 30, all, {}, {});
    std::map<std::string, int> first;
    for (const auto& [name, one] : all)
        if (!made.is_holder(name))
            ++first[made.helpers_of(name, one.failure_domain).front()];
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
        const auto made = divide_connections(
            "ledger-" + std::to_string(service), 30, all, {}, {});
        for (const auto& [name, one] : all)
            if (made.is_holder(name))
                ++(one.millicores == 500 ? large : small);
    }
    // 12 hosts of five times the weight of the other 48.
    CHECK(large > small);
}

TEST(connection_plan, a_lost_host_moves_only_its_own_places)
{
    auto all = hosts(60, 3);
    const auto before = divide_connections("ledger", 30, all, {}, {});
    std::string lost;
    for (const auto& [name, one] : all)
        if (before.is_holder(name))
            lost = name;
    all.erase(lost);
    const auto after = divide_connections("ledger", 30, all, {}, {});
    for (const auto& [name, one] : all)
        if (before.is_holder(name))
            CHECK(after.is_holder(name));
}

TEST(connection_plan, watchers_are_few_where_connections_are)
{
    const auto all = hosts(121, 3);
    const auto made =
        divide_connections("ledger", 20, all, first_names(all, 15), {});
    CHECK(made.watchers.size() <= 5);
    CHECK_FALSE(made.watchers.empty());
}
