#include <plantainward/core/rendezvous.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace plantainward::core
{

namespace
{

std::vector<host> by_hash(std::string_view key, std::vector<host> hosts)
{
    std::vector<std::pair<std::uint64_t, host>> scored;
    scored.reserve(hosts.size());
    for (auto& candidate : hosts)
    {
        const auto score = placement_hash(key, candidate.name);
        scored.emplace_back(score, std::move(candidate));
    }
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first
                                  : a.second.name < b.second.name;
    });
    std::vector<host> ranked;
    ranked.reserve(scored.size());
    for (auto& [score, candidate] : scored)
        ranked.push_back(std::move(candidate));
    return ranked;
}

} // namespace

std::vector<host> rank_hosts(std::string_view key, std::vector<host> hosts,
                             std::size_t domain_count)
{
    auto ranked = by_hash(key, std::move(hosts));
    std::set<std::string> used_domains;
    std::stable_partition(
        ranked.begin(), ranked.end(), [&](const host& candidate) {
            if (used_domains.size() >= domain_count)
                return false;
            return used_domains.insert(candidate.failure_domain).second;
        });
    return ranked;
}

} // namespace plantainward::core
