#pragma once

#include <plantainward/fleet/connection_plan.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainward::fleet
{

/// The expected fraction of all operations that each workspace causes, by name;
/// the sum is 1.
using workspace_shares = std::map<std::string, double>;

/// Computes the shares from the operations a second for which the workspaces
/// are configured; a rate of 0 stands for an unknown one and counts as the
/// average of the others.
workspace_shares shares_of_rates(const std::map<std::string, double>& rates);

/// The options for a fleet that serves this number of workspaces: a host runs
/// its own work only if it may hold a connection for each of them.
plan_options options_for(plan_options options, std::size_t workspace_count);

/// Chooses the holders that run the statements of one workspace on the
/// databases of one service.
///
/// A connection serves one workspace, so a holder serves few of them: a small
/// workspace has one holder in the whole fleet, a large one (above one holder's
/// even share) has holders in each failure domain. Hosts that know the same
/// members and the same workspaces choose the same ones. All holders have the
/// same number of connections, so they get the same number of workspaces,
/// whatever their processor time: weights caused ten times as many openings.
class workspace_holders
{
public:
    workspace_holders(std::string service, const service_holders& holders,
                      std::shared_ptr<const workspace_shares> shares);

    /// Whether the holders are the same for all workspaces, since every host
    /// has enough connections for its own work.
    bool is_empty() const { return m_by_domain.empty(); }

    /// All holders in the order in which a host in this failure domain prefers
    /// them for a workspace.
    std::vector<std::string> order(const std::string& workspace,
                                   const std::string& host,
                                   const std::string& domain) const;

private:
    std::size_t holders_in_each_domain(const std::string& workspace) const;

    std::string m_service;
    std::map<std::string, std::vector<std::string>> m_by_domain;
    std::size_t m_count{0};
    std::shared_ptr<const workspace_shares> m_shares;
};

} // namespace plantainward::fleet
