#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/fleet/voter_set.hpp>
#include <plantainward/routes/routing.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace plantainward::fleet
{

/// Versions of the tables that a host knows; 0: the table is not known.
struct table_versions
{
    std::uint64_t routing{0};
    std::uint64_t upstreams{0};
    std::uint64_t members{0};
    std::uint64_t voters{0};

    bool operator==(const table_versions&) const = default; // NOLINT

    /// Whether at least one of the tables is newer here than in `other`.
    bool is_newer_than(const table_versions& other) const
    {
        return routing > other.routing || upstreams > other.upstreams ||
               members > other.members || voters > other.voters;
    }

    /// These versions with all tables but the routing as new as any: a request
    /// with them is answered with the routing alone.
    table_versions for_routing_only() const
    {
        constexpr auto newest = std::numeric_limits<std::uint64_t>::max();
        return {routing, newest, newest, newest};
    }
};

/// A proof that the routing of an update is current, as sent to another host.
struct sent_routing_proof
{
    /// Era of the table service in which the proof was read.
    std::uint64_t era{0};
    /// The proof's instant minus the arrival of the request. The receiver adds
    /// it to the instant at which it sent the request, which is earlier than
    /// the arrival.
    core::millis after_request{0};

    bool operator==(const sent_routing_proof&) const = default; // NOLINT
};

/// Tables that one host passes on to another, so that not every host of a large
/// fleet has to read them from the table service.
struct table_update
{
    /// Versions that the sender knows.
    table_versions versions;
    /// The sender follows the table service, and no peer has newer tables.
    bool is_current{false};
    /// Empty when the sender has no proof or needs none.
    std::optional<sent_routing_proof> routing_proof;
    /// Tables that are newer than the versions in the request; the others are
    /// empty.
    std::optional<routes::routing> routing;
    std::optional<std::vector<routes::upstream>> upstreams;
    std::optional<members> hosts;
    std::optional<voter_set> voters;
};

} // namespace plantainward::fleet
