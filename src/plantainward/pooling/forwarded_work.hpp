#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/pooling/session_state.hpp>
#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/caller_message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace plantainward::pooling
{

/// Identifies work at the host that passed it on: one statement, or one
/// transaction with all its statements. Never used again by that host.
using operation_id = std::uint64_t;

/// Part of a transaction that forwarded work is.
enum class transaction_part : std::uint8_t
{
    none,
    first,
    later
};

/// A statement that another host runs on its connections, with all that it
/// needs to know of the session.
///
/// Instants are told as ages: hosts share no clock. The way makes each age
/// seem younger there, which asks for fresher data and never for older.
struct forwarded_work
{
    sql::statement statement;
    /// As the session's own host decided it.
    routes::route route;
    session_values values;
    /// The prepared statement that `statement` executes.
    std::optional<prepared_statement> prepared;
    transaction_part part{transaction_part::none};
    /// The transaction only reads.
    bool read_only{false};
    /// Since the transaction began.
    core::millis transaction_age{0};
    /// Until the time limit of the statement.
    core::millis time_left{0};
    /// End of the session's last commit, and the time since it was
    /// acknowledged.
    std::optional<upstream::log_point> own_commit;
    core::millis own_commit_age{0};
};

/// The answer to forwarded work.
struct forwarded_reply
{
    sql::reply reply;
    /// It ran at a replica.
    bool at_replica{false};
    /// It did not run, and another host may be able to run it.
    bool try_elsewhere{false};
};

} // namespace plantainward::pooling
