#pragma once

#include <plantainward/quota/token_ledger.hpp>

#include <set>
#include <string>

namespace plantainward::quota
{

/// Names of workspaces in logs and metrics: those with the largest rates have
/// their own, so that the number of labels is limited.
class workspace_labels
{
public:
    /// Replaces the workspaces.
    void set_limits(const limits_by_workspace& limits);

    /// The name of one of the 16 workspaces with the largest rates, "other" for
    /// any other, and empty for an empty name.
    std::string of(const std::string& workspace) const;

private:
    std::set<std::string> m_named;
};

} // namespace plantainward::quota
