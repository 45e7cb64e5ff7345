#include <plantainward/fleet/voter_set.hpp>

#include <plantainward/fleet/host_score.hpp>

#include <map>
#include <vector>

namespace plantainward::fleet
{

std::set<std::string> choose_voters(const members& hosts, std::size_t count)
{
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto& [name, host] : hosts)
        domains[host.failure_domain].push_back(name);
    for (auto& [domain, names] : domains)
        names = by_score("voters", names, hosts);
    std::set<std::string> chosen;
    const auto wanted = std::min(count, hosts.size());
    for (std::size_t round = 0; chosen.size() < wanted; ++round)
    {
        for (const auto& [domain, names] : domains)
        {
            if (round >= names.size() || chosen.size() >= wanted)
                continue;
            chosen.insert(names[round]);
        }
    }
    return chosen;
}

} // namespace plantainward::fleet
