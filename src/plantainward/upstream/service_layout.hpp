#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/host.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainward::upstream
{

/// When a commit is acknowledged to the caller.
enum class acknowledgement : std::uint8_t
{
    /// When enough replicas have it that any promoted database includes it.
    replica,
    /// After a check that the primary's term is still current; a failover can
    /// lose the commit.
    primary
};

/// Names of the acknowledgement policies.
inline constexpr core::enum_names<acknowledgement, 2> acknowledgement_names{
    {"replica", "primary"}};

/// A database of a service.
struct database_layout
{
    std::string name;
    core::address address;
    std::string failure_domain;
    /// Limit on the connections to this database.
    std::size_t connections{50};
    /// The database is being removed: it gets no new work, and its primary
    /// roles move to other databases.
    bool leaving{false};

    bool operator==(const database_layout&) const = default;
};

/// A service: its databases, and in each slot the group that they form.
struct service_layout
{
    std::string name;
    int slots{1};
    acknowledgement acknowledge{acknowledgement::replica};
    std::vector<database_layout> databases;

    bool operator==(const service_layout&) const = default;
};

} // namespace plantainward::upstream
