#include <plantainward/quota/quota_owners.hpp>

#include <plantainward/core/rendezvous.hpp>
#include <plantainward/quota/quota_bounds.hpp>

namespace plantainward::quota
{

std::vector<std::string> quota_owners(const voter_domains& voters,
                                      std::string_view workspace)
{
    std::vector<core::host> candidates;
    candidates.reserve(voters.size());
    for (const auto& [name, domain] : voters)
    {
        core::host candidate;
        candidate.name = name;
        candidate.failure_domain = domain;
        candidates.push_back(std::move(candidate));
    }
    std::vector<std::string> owners;
    for (const auto& host :
         core::rank_hosts(workspace, std::move(candidates), max_owners))
    {
        if (owners.size() == max_owners)
            break;
        owners.push_back(host.name);
    }
    return owners;
}

} // namespace plantainward::quota
