#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace plantainward::upstream
{

/// What a control order asks of a database.
enum class control_kind : std::uint8_t
{
    /// Reports the status, after an optional wait for a log point.
    status,
    /// Grants a term to a claimant and refuses lower terms from then on.
    grant,
    /// Makes the database the primary of a term that it granted.
    promote,
    /// Makes the database follow the primary of a term.
    follow
};

/// Names of the control kinds on the wire.
inline constexpr core::enum_names<control_kind, 4> control_kind_names{
    {"status", "grant", "promote", "follow"}};

/// A control order to a database; needs no pooled connection.
struct control_order
{
    control_kind kind{control_kind::status};
    int slot{0};
    term_number term{0};
    std::string claimant;
    /// Primary to follow.
    core::address primary;
    /// For `status`: the log point to wait for, and for how long.
    log_point wait_for;
    core::millis wait{0};
};

/// How a control order ended.
enum class control_outcome : std::uint8_t
{
    accepted,
    refused,
    /// The database could not be reached or reset the connection.
    unreachable,
    timed_out
};

/// The end of a control order with the status of all slots after it.
struct control_result
{
    control_outcome outcome{control_outcome::unreachable};
    database_status status;
};

} // namespace plantainward::upstream
