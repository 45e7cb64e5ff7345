#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace plantainward::upstream
{

/// The kinds of control orders to a database.
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

/// An order that reads or changes the role of a database in one group; it is
/// sent outside the pooled connections.
struct control_order
{
    control_kind kind{control_kind::status};
    int slot{0};
    term_number term{0};
    /// Instance id of the host that claims the term.
    std::string claimant;
    /// For `follow`: address of the primary.
    core::address primary;
    /// For `status`: the log point to wait for, and the longest wait.
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
    /// No answer came within the time limit.
    timed_out
};

/// The outcome of a control order with the status of all slots after it; the
/// status is empty when no answer came.
struct control_result
{
    control_outcome outcome{control_outcome::unreachable};
    database_status status;
};

} // namespace plantainward::upstream
