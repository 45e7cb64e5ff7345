// The hosts that run the statements of each workspace.

#include <plantainward/entry/entry_host.hpp>

#include <algorithm>

namespace plantainward::entry
{

std::shared_ptr<const fleet::workspace_shares>
entry_host::workspace_shares() const
{
    std::map<std::string, double> rates;
    for (const auto& [name, workspace] : m_pooler.routing().workspaces)
        rates[name] = workspace.quota ? workspace.quota->rate_per_s : 0;
    return std::make_shared<const fleet::workspace_shares>(
        fleet::shares_of_rates(rates));
}

pooling::workspace_delegations entry_host::delegations_of(
    const std::string& service,
    std::shared_ptr<const fleet::workspace_shares> shares) const
{
    if (shares->empty())
        return {};
    fleet::workspace_holders holders(service, m_holders.at(service),
                                     std::move(shares));
    if (holders.is_empty())
        return {};
    return pooling::workspace_delegations(
        [holders = std::move(holders), host = m_identity.name,
         domain = m_identity.failure_domain](const std::string& workspace) {
            const auto order = holders.order(workspace, host, domain);
            const auto self = std::find(order.begin(), order.end(), host);
            pooling::delegation result;
            result.preferred.assign(order.begin(), self);
            result.runs_here = self != order.end();
            if (result.runs_here)
                result.fallback.assign(std::next(self), order.end());
            return result;
        });
}

} // namespace plantainward::entry
