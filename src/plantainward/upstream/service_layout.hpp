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
    /// When any promotion must include it.
    replica,
    /// When the primary's term is checked; a failover can lose it.
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
    std::size_t connections{50};
    /// Gets no new work and hands its primary roles over.
    bool leaving{false};

    bool operator==(const database_layout&) const = default;
};

/// A service: its databases and the groups that they form, one a slot.
struct service_layout
{
    std::string name;
    int slots{1};
    acknowledgement acknowledge{acknowledgement::replica};
    std::vector<database_layout> databases;

    bool operator==(const service_layout&) const = default;
};

} // namespace plantainward::upstream
