#include <plantainward/fleet/host_score.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace plantainward::fleet
{

namespace
{

// Processor time that one Mbit/s of a link can keep busy, in thousandths of a
// core; the ratio of the hosts with 0.5 core and 200 Mbit/s, which both limit
// alike.
constexpr double millicores_per_mbps = 2.5;

double score(std::string_view key, std::string_view host, double weight)
{
    const auto hash = core::placement_hash(key, host);
    const double unit =
        (static_cast<double>(hash) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -weight / std::log(unit);
}

double weight_of(const members& hosts, const std::string& name)
{
    const auto found = hosts.find(name);
    if (found == hosts.end())
        return 1;
    const auto& host = found->second;
    const double processor = std::max(1U, host.millicores);
    if (host.link_mbps == 0)
        return processor;
    return std::min(processor, host.link_mbps * millicores_per_mbps);
}

} // namespace

std::vector<std::string> by_score(std::string_view key,
                                  const std::vector<std::string>& names,
                                  const members& hosts)
{
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(names.size());
    for (const auto& name : names)
        scored.emplace_back(score(key, name, weight_of(hosts, name)), name);
    std::sort(scored.rbegin(), scored.rend());
    std::vector<std::string> ordered;
    ordered.reserve(scored.size());
    for (auto& [value, name] : scored)
        ordered.push_back(std::move(name));
    return ordered;
}

} // namespace plantainward::fleet
