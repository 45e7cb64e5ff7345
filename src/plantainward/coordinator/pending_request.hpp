#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/gate.hpp>
#include <plantainward/upstream/run_order.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainward::coordinator
{

/// Progress of a request in its coordinator.
enum class stage : std::uint8_t
{
    /// Waits for a connection to the primary.
    queued_for_primary,
    /// Waits for a connection to a replica.
    queued_for_replica,
    /// Waits until a replica has data that is fresh enough for it.
    awaiting_catch_up,
    /// Was sent to a database that has not answered yet.
    running,
    /// The answer of the database waits for its confirmation.
    confirming,
    /// Is in no queue any more, because its reply is being sent.
    answered
};

/// A request that a coordinator has not answered yet.
struct pending_request
{
    caller_request request;
    std::string digest;
    core::instant submitted;
    core::instant deadline;
    stage current_stage{stage::queued_for_primary};
    /// An earlier attempt was sent and its outcome is not known.
    bool may_have_run{false};
    /// The next attempt settles the id instead of running the statements: it
    /// returns the outcome of the earlier run, or voids the id.
    bool settles{false};
    core::instant started;
    std::size_t database{0};
    upstream::connection_number connection{0};
    upstream::term_number term{0};
    upstream::run_answer answer;
    /// When the answer of the database arrived.
    core::instant answered;
    bool closes_transaction{false};
};

/// Whether a request belongs to an interactive transaction that was begun
/// before: execute, commit or rollback.
bool is_in_transaction(const caller_request& request);

/// Makes the order that runs a request at a database, or that settles the
/// outcome of its id.
upstream::run_order make_order(const pending_request& pending);

} // namespace plantainward::coordinator
