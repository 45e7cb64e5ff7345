#include <plantainward/pooling/own_commits.hpp>

#include <algorithm>

namespace plantainward::pooling
{

void own_commits::record(const std::string& service,
                         const freshness::watermark& commit)
{
    m_commits[service] = commit;
    if (m_commits.size() <= max_services)
        return;
    const auto oldest = std::min_element(
        m_commits.begin(), m_commits.end(), [](const auto& a, const auto& b) {
            return a.second.since < b.second.since;
        });
    m_dropped_at = std::max(m_dropped_at.value_or(oldest->second.since),
                            oldest->second.since);
    m_commits.erase(oldest);
}

std::optional<freshness::watermark>
own_commits::last_at(const std::string& service) const
{
    const auto found = m_commits.find(service);
    return found == m_commits.end() ? std::nullopt
                                    : std::optional(found->second);
}

bool own_commits::may_lack(const std::string& service,
                           core::boot_instant since) const
{
    return m_dropped_at && *m_dropped_at >= since &&
           !m_commits.contains(service);
}

} // namespace plantainward::pooling
