#include <plantainward/pooling/workspace_shares.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainward::pooling
{

namespace
{

// Time constants: the worst windows of the workloads last two seconds, and
// their waves some tens of seconds.
constexpr double recent_time_ms = 1000;
constexpr double usual_time_ms = 60'000;

// Part of an even share that each workspace has besides its usual one, so that
// a workspace without a history is not above its share with its first
// statement.
constexpr double min_even_share = 0.5;

// Up to this ratio a workspace is not above its share; ordinary demand varies
// by as much within a second.
constexpr double max_usual_ratio = 1.5;
constexpr double max_excess = 8;

} // namespace

workspace_shares::usage workspace_shares::decayed(const usage& since,
                                                  core::boot_instant now)
{
    const auto ms =
        std::chrono::duration<double, std::milli>(now - since.updated_at)
            .count();
    return {since.recent_ms * std::exp(-ms / recent_time_ms),
            since.usual_ms * std::exp(-ms / usual_time_ms), now};
}

void workspace_shares::record_use(const std::string& workspace, double ms,
                                  core::boot_instant now)
{
    if (workspace.empty())
        return;
    for (auto* counted : {&m_usages[workspace], &m_total})
    {
        *counted = decayed(*counted, now);
        counted->recent_ms += ms / recent_time_ms;
        counted->usual_ms += ms / usual_time_ms;
    }
}

std::size_t workspace_shares::excess(const std::string& workspace,
                                     core::boot_instant now) const
{
    const auto found = m_usages.find(workspace);
    if (found == m_usages.end())
        return 0;
    const auto own = decayed(found->second, now);
    const auto total = decayed(m_total, now);
    if (total.recent_ms <= 0 || total.usual_ms <= 0)
        return 0;
    const auto even = 1 / static_cast<double>(m_usages.size());
    const auto usual_share = own.usual_ms / total.usual_ms;
    const auto recent_share = own.recent_ms / total.recent_ms;
    const auto ratio =
        recent_share / std::max(usual_share, min_even_share * even);
    return ratio <= max_usual_ratio
               ? 0
               : static_cast<std::size_t>(std::min(ratio, max_excess));
}

} // namespace plantainward::pooling
