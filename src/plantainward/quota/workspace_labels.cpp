#include <plantainward/quota/workspace_labels.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainward::quota
{

namespace
{

constexpr std::size_t max_named = 16;

} // namespace

void workspace_labels::set_limits(const limits_by_workspace& limits)
{
    std::vector<std::pair<double, std::string>> by_rate;
    for (const auto& [name, limit] : limits)
        by_rate.emplace_back(-limit.rate_per_s, name);
    std::sort(by_rate.begin(), by_rate.end());
    by_rate.resize(std::min(by_rate.size(), max_named));
    m_named.clear();
    for (const auto& [rate, name] : by_rate)
        m_named.insert(name);
}

std::string workspace_labels::of(const std::string& workspace) const
{
    return workspace.empty() || m_named.contains(workspace) ? workspace
                                                            : "other";
}

} // namespace plantainward::quota
