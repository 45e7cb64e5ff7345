#pragma once

#include <plantainward/core/host.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::fleet
{

/// A registered host.
struct member
{
    core::address address;
    std::string failure_domain;
    /// Processor time that it may use, in thousandths of a core.
    std::uint32_t millicores{100};

    bool operator==(const member&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, failure_domain, millicores);
    }
};

/// All registered hosts by name.
using members = std::map<std::string, member>;

/// Limits on how connections are divided.
struct plan_options
{
    /// Below this number of connections for each host, few hosts hold all. A
    /// transaction keeps one, so a host with a single one serves one at a time.
    std::size_t least_share{2};
    /// The same in a fleet where not all hosts vote: each holder needs proofs
    /// of the primaries, and small pools wait where large ones don't.
    std::size_t least_share_of_many{5};
    /// Hosts of each failure domain that hold the connections of one service:
    /// when one is lost the other serves on.
    std::size_t holders_per_domain{2};
    /// Part of the connections that hosts keep only to see whether databases
    /// answer.
    double watching_part{0.25};
    /// Part of the limit of a database that is divided. The rest is for status
    /// questions and for connections of lost hosts that it still counts.
    double divided_part{0.93};
};

/// Who holds the connections to the databases of one service.
struct service_holders
{
    /// Every host has its own connections.
    bool all{true};
    /// Connections of one holder to each database.
    std::size_t share{1};
    /// Holders of each failure domain; others of the domain follow in the
    /// order in which they replace a lost one.
    std::map<std::string, std::vector<std::string>> by_domain;
    /// Leading names of each domain that are holders.
    std::size_t per_domain{0};
    /// Hosts that keep one connection to each database to see whether it
    /// answers; others don't notice its silence.
    std::set<std::string> watchers;

    /// Connections that a host may hold to each database.
    std::size_t share_of(const std::string& host) const;
    bool is_holder(const std::string& host) const;
    /// Hosts that run the work of a host that holds none, in its order of
    /// preference: of its own failure domain, then of others.
    std::vector<std::string> helpers_of(const std::string& host,
                                        const std::string& domain) const;
    /// A few other holders, of any failure domain, that may reach a database
    /// that a holder does not.
    std::vector<std::string> fallbacks_of(const std::string& host,
                                          const members& hosts) const;
};

/// Divides the connections of one service; every host that knows the same
/// members comes to the same result. Larger hosts are chosen more often.
/// As many of the voters as there is room for watch the databases.
service_holders divide_connections(std::string_view service, std::size_t limit,
                                   const members& all,
                                   const std::set<std::string>& voters,
                                   const plan_options& options);

} // namespace plantainward::fleet
