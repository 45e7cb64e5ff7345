#pragma once

#include <plantainward/fleet/member.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::fleet
{

/// Limits on how connections are divided.
struct plan_options
{
    /// If the limit allows fewer connections for each host, only a few hosts
    /// hold them. A transaction occupies a connection, so a host with a single
    /// one would run one transaction at a time.
    std::size_t min_share{2};
    /// Size of the largest fleet to which `min_share` applies.
    std::size_t max_small_fleet{26};
    /// The same for a larger fleet, where each holder needs proofs of the
    /// primaries from others, and requests wait longer for small pools.
    std::size_t min_share_of_large_fleet{5};
    /// Hosts of each failure domain that hold the connections of one service,
    /// so that the domain keeps a holder when one fails.
    std::size_t holders_per_domain{2};
    /// Largest fraction of the divided connections that watchers hold, which
    /// use them only to see whether databases answer.
    double watcher_fraction{0.25};
    /// Fraction of a database's connection limit that is divided. The rest is
    /// for status requests and for connections of failed hosts that the
    /// database still counts.
    double divided_fraction{0.93};
};

/// Who holds the connections to the databases of one service.
struct service_holders
{
    /// Every host is a holder.
    bool all_hosts_hold{true};
    /// Connections of one holder to each database.
    std::size_t share{1};
    /// Hosts of each failure domain in order of preference: the holders come
    /// first, then the hosts that replace failed ones.
    std::map<std::string, std::vector<std::string>> by_domain;
    /// Number of names at the front of each domain's list that are holders.
    std::size_t holders_in_domain{0};
    /// Hosts without a pool that hold one connection to each database to see
    /// whether it answers.
    std::set<std::string> watchers;

    /// Number of connections that a host may hold to each database; 0 for a
    /// host that is neither a holder nor a watcher.
    std::size_t share_of(const std::string& host) const;
    bool is_holder(const std::string& host) const;
    /// The holders of each failure domain; empty when every host has enough
    /// connections for its own work.
    std::map<std::string, std::vector<std::string>> names_by_domain() const;
    /// Hosts that run the work of a host without a pool, in order of
    /// preference: those of its own failure domain come first. Empty for a
    /// holder.
    std::vector<std::string> delegates_of(const std::string& host,
                                          const std::string& domain) const;
    /// A few other holders of any failure domain, to which a holder delegates
    /// work for a database that it does not reach.
    std::vector<std::string> fallback_delegates_of(const std::string& host,
                                                   const members& hosts) const;
};

/// Divides the connections to each database of one service among the hosts;
/// `limit` is the number of connections that a database accepts. Every host
/// that knows the same members gets the same result. Hosts with more CPU time
/// are chosen more often. As many voters as the limit allows watch the
/// databases.
service_holders divide_connections(std::string_view service, std::size_t limit,
                                   const members& hosts,
                                   const std::set<std::string>& voters,
                                   const plan_options& options);

} // namespace plantainward::fleet
