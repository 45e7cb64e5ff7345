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

/// Where a request stands on its way through a coordinator.
enum class stage : std::uint8_t
{
    /// In the line for the primary's connections.
    for_primary,
    /// In the line for a replica's connections.
    for_replica,
    /// Waits for a replica to reach what the request needs.
    for_catch_up,
    running,
    confirming,
    /// In no line and done with.
    answered
};

/// A request that a coordinator has not answered yet.
struct work
{
    caller_request request;
    std::string digest;
    core::instant submitted;
    core::instant deadline;
    stage at{stage::for_primary};
    /// Sent once with its outcome lost; to be settled by its id.
    bool maybe_ran{false};
    /// Finds the outcome of the id in place of running.
    bool settles{false};
    core::instant started;
    std::size_t database{0};
    upstream::connection_number connection{0};
    upstream::term_number term{0};
    upstream::run_answer answer;
    /// Time at which the answer came from the database.
    core::instant answered;
    bool closes_transaction{false};
};

/// Whether a request belongs to an interactive transaction that is open.
bool is_in_transaction(const caller_request& request);

/// The order that runs or settles a request at a database.
upstream::run_order make_order(const work& one);

} // namespace plantainward::coordinator
