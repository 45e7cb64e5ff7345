#pragma once

#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/routes/routing.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainward::fleet
{

/// Versions of the tables that a host knows; 0: nothing is known.
struct table_versions
{
    std::uint64_t routing{0};
    std::uint64_t upstreams{0};
    std::uint64_t members{0};

    bool operator==(const table_versions&) const = default; // NOLINT

    /// Whether one of the tables is newer here than in `other`.
    bool is_newer_than(const table_versions& other) const
    {
        return routing > other.routing || upstreams > other.upstreams ||
               members > other.members;
    }
};

/// Tables that one host passes on to another, so that the table service need
/// not be asked by each host of a large fleet.
struct table_update
{
    /// Versions that the sender knows.
    table_versions versions;
    /// The sender hears of changes from the table service, and no peer knows
    /// more.
    bool is_current{false};
    /// Tables that are newer than what the receiver told; empty otherwise.
    std::optional<routes::routing> routing;
    std::optional<std::vector<routes::upstream>> upstreams;
    std::optional<members> hosts;
};

} // namespace plantainward::fleet
