#include <plantainward/fleet/workspace_holders.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/fleet/host_score.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainward::fleet
{

workspace_shares shares_of_rates(const std::map<std::string, double>& rates)
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto& [name, rate] : rates)
    {
        if (rate <= 0)
            continue;
        sum += rate;
        ++known;
    }
    const double average = known == 0 ? 1 : sum / static_cast<double>(known);
    sum += average * static_cast<double>(rates.size() - known);
    workspace_shares shares;
    for (const auto& [name, rate] : rates)
        shares[name] = (rate > 0 ? rate : average) / sum;
    return shares;
}

plan_options options_for(plan_options options, std::size_t workspace_count)
{
    options.min_share = std::max(options.min_share, workspace_count);
    options.min_share_of_large_fleet =
        std::max(options.min_share_of_large_fleet, workspace_count);
    return options;
}

workspace_holders::workspace_holders(
    std::string service, const service_holders& holders,
    std::shared_ptr<const workspace_shares> shares)
    : m_service(std::move(service)), m_by_domain(holders.names_by_domain()),
      m_shares(std::move(shares))
{
    for (const auto& [domain, names] : m_by_domain)
        m_count += names.size();
}

// Holders of each failure domain that share the work of a workspace; 0 for a
// small workspace.
std::size_t
workspace_holders::holders_in_each_domain(const std::string& workspace) const
{
    const auto found = m_shares->find(workspace);
    if (found == m_shares->end())
        return 0;
    const double even_shares = found->second * static_cast<double>(m_count);
    if (even_shares <= 1)
        return 0;
    return static_cast<std::size_t>(
        std::ceil(even_shares / static_cast<double>(m_by_domain.size())));
}

std::vector<std::string>
workspace_holders::order(const std::string& workspace, const std::string& host,
                         const std::string& domain) const
{
    std::vector<std::string> names;
    for (const auto& [name, in_domain] : m_by_domain)
        names.insert(names.end(), in_domain.begin(), in_domain.end());
    // The separator keeps pairs of names apart; names contain no line breaks.
    // Without the members, all holders have the same weight.
    auto ordered = by_score(m_service + "\n" + workspace, names, {});
    const auto in_domain = holders_in_each_domain(workspace);
    const auto own = m_by_domain.find(domain);
    if (in_domain == 0 || own == m_by_domain.end())
        return ordered;
    const auto others = std::stable_partition(
        ordered.begin(), ordered.end(), [&](const auto& name) {
            return std::find(own->second.begin(), own->second.end(), name) !=
                   own->second.end();
        });
    const auto own_count = std::distance(ordered.begin(), others);
    const auto end =
        ordered.begin() +
        std::min(own_count, static_cast<std::ptrdiff_t>(in_domain));
    // Spreads the hosts of the domain over its holders; a holder prefers
    // itself.
    std::sort(ordered.begin(), end, [&](const auto& a, const auto& b) {
        return std::pair(a == host, core::placement_hash(host, a)) >
               std::pair(b == host, core::placement_hash(host, b));
    });
    return ordered;
}

} // namespace plantainward::fleet
