// Exchange of the numbers of statements in flight between hosts.

#include <plantainward/pooling/pooler.hpp>

#include <algorithm>
#include <limits>

namespace plantainward::pooling
{

std::vector<std::uint8_t>
pooler::in_flight_by_database(const std::string& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.plan.is_shared)
        return {};
    std::vector<std::uint8_t> counts;
    for (const auto& [id, pool] : found->second.upstreams)
        counts.push_back(static_cast<std::uint8_t>(std::min<std::size_t>(
            pool.busy_count(), std::numeric_limits<std::uint8_t>::max())));
    return counts;
}

void pooler::add_load_report(const std::string& service,
                             const std::string& host,
                             const std::vector<std::uint8_t>& in_flight,
                             core::boot_instant at)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() ||
        found->second.upstreams.size() != in_flight.size())
        return;
    std::size_t index = 0;
    for (auto& [id, pool] : found->second.upstreams)
        pool.reports().add(host, in_flight[index++], at);
}

} // namespace plantainward::pooling
