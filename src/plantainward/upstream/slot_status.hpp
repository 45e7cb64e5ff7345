#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <string>
#include <vector>

namespace plantainward::upstream
{

/// The current role of a database in a group.
enum class role : std::uint8_t
{
    /// Serves neither writes nor replication.
    none,
    primary,
    replica
};

/// Names of the roles on the wire.
inline constexpr core::enum_names<role, 3> role_names{
    {"none", "primary", "replica"}};

/// State of one group member as its database reports it.
struct slot_status
{
    int slot{0};
    role acting{role::none};
    /// Highest term that this member has granted.
    term_number granted{0};
    /// End of the member's log.
    log_point last;
    /// Time since the last contact of the member with the primary it follows.
    core::millis since_primary_contact{0};
};

/// Status of all slots of a database.
using database_status = std::vector<slot_status>;

} // namespace plantainward::upstream
