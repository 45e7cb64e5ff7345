#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plantainward::pooling
{

/// The hosts that run the statements of this host's callers.
struct delegation
{
    /// Hosts that run them, in order of preference; empty when this host is
    /// the first choice.
    std::vector<std::string> preferred;
    /// This host runs them when no preferred host can.
    bool runs_here{true};
    /// Hosts that run statements for the primary while this host can't reach
    /// it, in order of preference.
    std::vector<std::string> fallback;
};

/// The parts of a delegation that are in force for one statement; valid until
/// the plan of its service is replaced.
struct delegation_view
{
    const std::vector<std::string>& preferred;
    bool runs_here;
    const std::vector<std::string>& fallback;
};

/// The delegation of each workspace, computed when it is first asked for: a
/// small host serves callers of few of the workspaces at a time.
class workspace_delegations
{
public:
    /// Computes the delegation of one workspace.
    using function = std::function<delegation(const std::string& workspace)>;

    /// Without workspaces.
    workspace_delegations() = default;
    explicit workspace_delegations(function compute)
        : m_compute(std::move(compute))
    {
    }

    /// The delegation of a workspace; null without workspaces. Valid as long as
    /// this object.
    const delegation* find(const std::string& workspace)
    {
        if (!m_compute || workspace.empty())
            return nullptr;
        const auto [found, is_new] = m_known.try_emplace(workspace);
        if (is_new)
            found->second = m_compute(workspace);
        return &found->second;
    }

private:
    function m_compute;
    std::map<std::string, delegation> m_known;
};

} // namespace plantainward::pooling
