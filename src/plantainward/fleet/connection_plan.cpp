#include <plantainward/fleet/connection_plan.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/fleet/host_score.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::fleet
{

std::size_t service_holders::share_of(const std::string& host) const
{
    if (is_holder(host))
        return share;
    return watchers.contains(host) ? 1 : 0;
}

bool service_holders::is_holder(const std::string& host) const
{
    if (all_hosts_hold)
        return true;
    return std::any_of(
        by_domain.begin(), by_domain.end(), [&](const auto& domain) {
            const auto& names = domain.second;
            const auto end =
                names.begin() + static_cast<std::ptrdiff_t>(
                                    std::min(holders_in_domain, names.size()));
            return std::find(names.begin(), end, host) != end;
        });
}

std::map<std::string, std::vector<std::string>>
service_holders::names_by_domain() const
{
    auto result = by_domain;
    if (!all_hosts_hold)
        for (auto& [domain, names] : result)
            names.resize(std::min(holders_in_domain, names.size()));
    return result;
}

std::vector<std::string>
service_holders::delegates_of(const std::string& host,
                              const std::string& domain) const
{
    if (is_holder(host))
        return {};
    std::vector<std::string> own;
    std::vector<std::string> others;
    for (const auto& [name, names] : by_domain)
        for (std::size_t i = 0; i < std::min(holders_in_domain, names.size());
             ++i)
            (name == domain ? own : others).push_back(names[i]);
    const auto by_preference = [&](const auto& a, const auto& b) {
        return core::placement_hash(host, a) > core::placement_hash(host, b);
    };
    std::sort(own.begin(), own.end(), by_preference);
    std::sort(others.begin(), others.end(), by_preference);
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

std::vector<std::string>
service_holders::fallback_delegates_of(const std::string& host,
                                       const members& hosts) const
{
    // Enough to include hosts on both sides when the network splits the fleet
    // in halves.
    constexpr std::size_t max_delegates = 4;
    std::vector<std::string> names;
    for (const auto& [name, other] : hosts)
        if (name != host && is_holder(name))
            names.push_back(name);
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        return core::placement_hash(host, a) > core::placement_hash(host, b);
    });
    names.resize(std::min(names.size(), max_delegates));
    return names;
}

service_holders divide_connections(std::string_view service, std::size_t limit,
                                   const members& hosts,
                                   const std::set<std::string>& voters,
                                   const plan_options& options)
{
    service_holders holders;
    const auto divided = static_cast<std::size_t>(static_cast<double>(limit) *
                                                  options.divided_fraction);
    const auto host_count = std::max<std::size_t>(1, hosts.size());
    holders.share = std::max<std::size_t>(1, divided / host_count);
    const auto min_share = host_count > options.max_small_fleet
                               ? options.min_share_of_large_fleet
                               : options.min_share;
    if (divided / host_count >= min_share)
        return holders;
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto& [name, host] : hosts)
        domains[host.failure_domain].push_back(name);
    std::size_t holder_count = 0;
    for (const auto& [domain, names] : domains)
    {
        holders.by_domain[domain] = by_score(service, names, hosts);
        holder_count += std::min(options.holders_per_domain, names.size());
    }
    // More holders than connections would leave every host without a pool.
    if (holder_count == 0 || holder_count >= host_count)
        return holders;
    holders.all_hosts_hold = false;
    holders.holders_in_domain = options.holders_per_domain;
    const auto max_watchers = static_cast<std::size_t>(
        static_cast<double>(divided) * options.watcher_fraction);
    for (const auto& name :
         by_score(service, {voters.begin(), voters.end()}, hosts))
        if (holders.watchers.size() < max_watchers && !holders.is_holder(name))
            holders.watchers.insert(name);
    holders.share = std::max<std::size_t>(
        1, (divided - holders.watchers.size()) / holder_count);
    return holders;
}

} // namespace plantainward::fleet
