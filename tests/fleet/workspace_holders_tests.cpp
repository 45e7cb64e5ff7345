#include <plantainward/fleet/workspace_holders.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::fleet;

namespace
{

/// 90 hosts in three failure domains and databases with 112 connections, which
/// six hosts hold; one of 60 workspaces causes half of the load.
struct holders_case
{
    holders_case()
    {
        for (std::size_t i = 0; i < 90; ++i)
            hosts["host-" + std::to_string(i)] = {
                {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
                "domain-" + std::to_string(i % 3),
                100};
        std::map<std::string, double> rates{{"large", 590}};
        for (int i = 1; i < 60; ++i)
            rates["small-" + std::to_string(i)] = 10;
        shares =
            std::make_shared<const workspace_shares>(shares_of_rates(rates));
    }

    service_holders division() const
    {
        return divide_connections("ledger", 112, hosts, {},
                                  options_for({}, shares->size()));
    }

    workspace_holders choose() const { return {"ledger", division(), shares}; }

    std::vector<std::string> order(const workspace_holders& holders,
                                   const std::string& workspace,
                                   const std::string& host) const
    {
        return holders.order(workspace, host, hosts.at(host).failure_domain);
    }

    members hosts;
    std::shared_ptr<const workspace_shares> shares;
};

} // namespace

TEST_GROUP(workspace_holders)
{
    holders_case c;
};

TEST(workspace_holders, all_hosts_choose_the_same_holder_of_a_small_workspace)
{
    // Failure: a small workspace had connections at every holder.
    const auto holders = c.choose();
    for (int i = 1; i < 60; ++i)
    {
        const auto workspace = "small-" + std::to_string(i);
        const auto expected = c.order(holders, workspace, "host-0");
        LONGS_EQUAL(6, expected.size());
        for (const auto& [name, host] : c.hosts)
            CHECK(c.order(holders, workspace, name) == expected);
    }
}

TEST(workspace_holders, small_workspaces_are_spread_over_the_holders)
{
    // Failure: a holder with much processor time got most workspaces, and more
    // than it has connections.
    for (auto& [name, host] : c.hosts)
        if (name.size() == 6)
            host.millicores = 600;
    const auto holders = c.choose();
    std::map<std::string, int> counts;
    for (int i = 1; i < 60; ++i)
        ++counts[c.order(holders, "small-" + std::to_string(i), "host-0")
                     .front()];
    LONGS_EQUAL(6, counts.size());
    for (const auto& [name, count] : counts)
        CHECK(count >= 3 && count <= 20);
}

TEST(workspace_holders, a_large_workspace_has_holders_in_the_own_domain)
{
    // Failure: half of the load went to one host, mostly from other domains.
    const auto holders = c.choose();
    std::set<std::string> first;
    for (const auto& [name, host] : c.hosts)
    {
        const auto order = c.order(holders, "large", name);
        LONGS_EQUAL(6, order.size());
        STRCMP_EQUAL(host.failure_domain.c_str(),
                     c.hosts.at(order[0]).failure_domain.c_str());
        STRCMP_EQUAL(host.failure_domain.c_str(),
                     c.hosts.at(order[1]).failure_domain.c_str());
        first.insert(order[0]);
    }
    CHECK(first.size() >= 3);
}

TEST(workspace_holders, a_holder_of_a_large_workspace_prefers_itself)
{
    // Failure: a holder forwarded work that it could run itself.
    std::map<std::string, double> rates{{"all", 1}};
    c.shares = std::make_shared<const workspace_shares>(shares_of_rates(rates));
    const auto holders = c.choose();
    const auto division = c.division();
    int count = 0;
    for (const auto& [name, host] : c.hosts)
    {
        if (!division.is_holder(name))
            continue;
        ++count;
        STRCMP_EQUAL(name.c_str(), c.order(holders, "all", name)[0].c_str());
    }
    LONGS_EQUAL(6, count);
}

TEST(workspace_holders, the_loss_of_a_holder_moves_only_its_workspaces)
{
    // Failure: all workspaces changed their holder, and each opened new
    // connections.
    const auto before = c.choose();
    const auto lost = c.order(before, "small-1", "host-0").front();
    auto left = c;
    left.hosts.erase(lost);
    const auto after = left.choose();
    const auto& front = left.hosts.begin()->first;
    int moved = 0;
    for (int i = 1; i < 60; ++i)
    {
        const auto workspace = "small-" + std::to_string(i);
        const auto old_holder = c.order(before, workspace, front).front();
        const auto new_holder = c.order(after, workspace, front).front();
        if (old_holder == lost)
            CHECK(new_holder != lost);
        else if (new_holder != old_holder)
            ++moved;
    }
    // The holder that replaces the lost one takes about a sixth of the others.
    CHECK(moved < 20);
}

TEST(workspace_holders, workspaces_of_unknown_rate_count_as_average)
{
    // Failure: a workspace without a quota counted as nothing or as all load.
    const auto shares = shares_of_rates({{"a", 30}, {"b", 10}, {"c", 0}});
    DOUBLES_EQUAL(0.5, shares.at("a"), 0.001);
    DOUBLES_EQUAL(1.0 / 3, shares.at("c"), 0.001);
    const auto unknown = shares_of_rates({{"a", 0}, {"b", 0}});
    DOUBLES_EQUAL(0.5, unknown.at("a"), 0.001);
}

TEST(workspace_holders, hosts_that_hold_enough_connections_run_their_own_work)
{
    // Failure: a small fleet forwarded work although each host has a connection
    // for each workspace.
    while (c.hosts.size() > 9)
        c.hosts.erase(std::prev(c.hosts.end()));
    const auto shares = std::make_shared<const workspace_shares>(
        shares_of_rates({{"a", 1}, {"b", 1}}));
    const auto division =
        divide_connections("ledger", 112, c.hosts, {}, options_for({}, 2));
    CHECK(division.all_hosts_hold);
    CHECK(workspace_holders("ledger", division, shares).is_empty());
}

TEST(workspace_holders, without_workspaces_the_division_is_unchanged)
{
    // Failure: a deployment without workspaces divided its connections
    // otherwise than before.
    const plan_options before;
    const auto after = options_for(before, 0);
    LONGS_EQUAL(before.min_share, after.min_share);
    LONGS_EQUAL(before.min_share_of_large_fleet,
                after.min_share_of_large_fleet);
    CHECK(shares_of_rates({}).empty());
}

TEST(workspace_holders, the_limit_holds_with_workspaces)
{
    // Failure: holders and watchers together opened more connections than the
    // databases accept.
    for (const std::size_t limit : {15U, 47U, 93U, 112U, 366U})
        for (const std::size_t count : {7U, 27U, 115U, 131U, 550U})
        {
            members hosts;
            for (std::size_t i = 0; i < count; ++i)
                hosts["h" + std::to_string(i)] = {
                    {"h", 1}, "d" + std::to_string(i % 3), 100};
            std::set<std::string> voters;
            for (const auto& [name, host] : hosts)
                if (voters.size() < 15)
                    voters.insert(name);
            const auto division = divide_connections(
                "ledger", limit, hosts, voters, options_for({}, 83));
            std::size_t sum = 0;
            for (const auto& [name, host] : hosts)
                sum += division.share_of(name);
            CHECK(sum <= limit);
        }
}
