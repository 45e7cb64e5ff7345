#include <plantainward/core/rendezvous.hpp>

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

namespace
{

std::vector<core::host> make_hosts(int count, int domains)
{
    std::vector<core::host> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        hosts.push_back({"host-" + std::to_string(i),
                         "domain-" + std::to_string(i % domains),
                         {"127.0.0.1", 1},
                         {"127.0.0.1", 2}});
    return hosts;
}

} // namespace

TEST_GROUP(rendezvous){};

TEST(rendezvous, the_order_does_not_depend_on_the_order_of_the_hosts)
{
    auto hosts = make_hosts(16, 3);
    const auto ranked = core::rank_hosts("service", hosts, 3);
    std::reverse(hosts.begin(), hosts.end());
    CHECK(core::rank_hosts("service", hosts, 3) == ranked);
}

TEST(rendezvous, the_first_hosts_are_in_distinct_failure_domains)
{
    const auto hosts = make_hosts(16, 3);
    for (int service = 0; service < 100; ++service)
    {
        const auto ranked = core::rank_hosts(std::to_string(service), hosts, 3);
        std::set<std::string> domains;
        for (int i = 0; i < 3; ++i)
            domains.insert(ranked[i].failure_domain);
        LONGS_EQUAL(3, domains.size());
    }
}

TEST(rendezvous, removing_a_host_moves_only_its_own_services)
{
    auto hosts = make_hosts(16, 3);
    const auto removed = hosts.back().name;
    auto remaining = hosts;
    remaining.pop_back();
    for (int service = 0; service < 200; ++service)
    {
        const auto key = std::to_string(service);
        const auto before = core::rank_hosts(key, hosts, 3).front().name;
        const auto after = core::rank_hosts(key, remaining, 3).front().name;
        CHECK(before == after || before == removed);
    }
}
