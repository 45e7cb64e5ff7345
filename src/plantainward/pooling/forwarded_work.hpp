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

/// Identifies forwarded work: one statement, or one transaction with all its
/// statements. Unique at the host that forwards it, which never reuses an id.
using operation_id = std::uint64_t;

/// Position of a forwarded statement in its transaction.
enum class transaction_part : std::uint8_t
{
    /// The statement is not in a transaction.
    none,
    /// It begins the transaction at the database.
    first,
    later
};

/// A statement that another host runs on its connections, with the state of
/// the session that it needs.
///
/// Instants are sent as ages, since hosts share no clock. The time that the
/// message takes is missing from each age, so the receiver requires fresher
/// data than needed, never older.
struct forwarded_work
{
    sql::statement statement;
    /// Route in force at the host that forwards the statement.
    routes::route route;
    /// Version of the routing at the host that forwards the statement.
    std::uint64_t routing_version{0};
    /// Workspace of the caller, which the forwarding host has checked; empty:
    /// none.
    std::string workspace{};
    session_values values;
    /// The prepared statement that `statement` executes; empty for other kinds.
    std::optional<prepared_statement> prepared;
    transaction_part part{transaction_part::none};
    /// The transaction only reads.
    bool read_only{false};
    /// Time since the transaction began.
    core::millis transaction_age{0};
    /// Time left until the statement's deadline.
    core::millis time_left{0};
    /// Time left to start the statement under its quota; empty: unlimited.
    std::optional<core::millis> start_within{};
    /// Log point of the session's last commit at the route's service, and the
    /// time since it was acknowledged.
    std::optional<upstream::log_point> own_commit;
    core::millis own_commit_age{0};
};

/// The answer to forwarded work.
struct forwarded_reply
{
    sql::reply reply;
    /// The statement ran at a replica.
    bool at_replica{false};
    /// The statement did not run, and another host may be able to run it.
    bool try_elsewhere{false};
    /// The statement was refused and certainly did not run at a database.
    bool was_not_run{false};
};

} // namespace plantainward::pooling
