#include <plantainward/fleet/connection_plan.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace plantainward::fleet
{

namespace
{

/// Weighted rendezvous hashing: the chance to lead grows with the weight, and
/// a host that comes or goes moves only its own places.
double score(std::string_view left, std::string_view right, double weight)
{
    const auto hash = core::placement_hash(left, right);
    const double unit =
        (static_cast<double>(hash) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -weight / std::log(unit);
}

double weight_of(const members& all, const std::string& name)
{
    const auto found = all.find(name);
    return found == all.end() ? 1 : std::max(1U, found->second.millicores);
}

std::vector<std::string> by_score(std::string_view service,
                                  const std::vector<std::string>& names,
                                  const members& all)
{
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(names.size());
    for (const auto& name : names)
        scored.emplace_back(score(service, name, weight_of(all, name)), name);
    std::sort(scored.rbegin(), scored.rend());
    std::vector<std::string> ordered;
    ordered.reserve(scored.size());
    for (auto& [value, name] : scored)
        ordered.push_back(std::move(name));
    return ordered;
}

} // namespace

std::size_t service_holders::share_of(const std::string& host) const
{
    if (is_holder(host))
        return share;
    return watchers.contains(host) ? 1 : 0;
}

bool service_holders::is_holder(const std::string& host) const
{
    if (all)
        return true;
    return std::any_of(
        by_domain.begin(), by_domain.end(), [&](const auto& domain) {
            const auto& names = domain.second;
            const auto end =
                names.begin() +
                static_cast<std::ptrdiff_t>(std::min(per_domain, names.size()));
            return std::find(names.begin(), end, host) != end;
        });
}

std::vector<std::string>
service_holders::helpers_of(const std::string& host,
                            const std::string& domain) const
{
    if (is_holder(host))
        return {};
    std::vector<std::string> own;
    std::vector<std::string> others;
    for (const auto& [name, names] : by_domain)
        for (std::size_t i = 0; i < std::min(per_domain, names.size()); ++i)
            (name == domain ? own : others).push_back(names[i]);
    const auto by_own_order = [&](const auto& a, const auto& b) {
        return core::placement_hash(host, a) > core::placement_hash(host, b);
    };
    std::sort(own.begin(), own.end(), by_own_order);
    std::sort(others.begin(), others.end(), by_own_order);
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

std::vector<std::string>
service_holders::fallbacks_of(const std::string& host,
                              const members& hosts) const
{
    // Enough to meet both sides of a cut through the middle of the fleet.
    constexpr std::size_t most = 4;
    std::vector<std::string> names;
    for (const auto& [name, one] : hosts)
        if (name != host && is_holder(name))
            names.push_back(name);
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        return core::placement_hash(host, a) > core::placement_hash(host, b);
    });
    names.resize(std::min(names.size(), most));
    return names;
}

service_holders divide_connections(std::string_view service, std::size_t limit,
                                   const members& all,
                                   const std::set<std::string>& voters,
                                   const plan_options& options)
{
    service_holders made;
    const auto divided = static_cast<std::size_t>(static_cast<double>(limit) *
                                                  options.divided_part);
    const auto hosts = std::max<std::size_t>(1, all.size());
    made.share = std::max<std::size_t>(1, divided / hosts);
    const auto least = voters.size() < all.size() ? options.least_share_of_many
                                                  : options.least_share;
    if (divided / hosts >= least)
        return made;
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto& [name, one] : all)
        domains[one.failure_domain].push_back(name);
    std::size_t holders = 0;
    for (const auto& [domain, names] : domains)
    {
        made.by_domain[domain] = by_score(service, names, all);
        holders += std::min(options.holders_per_domain, names.size());
    }
    // More holders than connections would leave every host without a pool.
    if (holders == 0 || holders >= hosts)
        return made;
    made.all = false;
    made.per_domain = options.holders_per_domain;
    const auto most = static_cast<std::size_t>(static_cast<double>(divided) *
                                               options.watching_part);
    for (const auto& name :
         by_score(service, {voters.begin(), voters.end()}, all))
        if (made.watchers.size() < most && !made.is_holder(name))
            made.watchers.insert(name);
    made.share =
        std::max<std::size_t>(1, (divided - made.watchers.size()) / holders);
    return made;
}

} // namespace plantainward::fleet
