#pragma once

#include <plantainward/coordinator/fair_queue.hpp>
#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/observe/event.hpp>
#include <plantainward/upstream/gate.hpp>
#include <plantainward/upstream/run_order.hpp>

#include <cstddef>
#include <variant>
#include <vector>

namespace plantainward::coordinator
{

/// Opens a connection to a database.
struct open_action
{
    std::size_t database;
    upstream::connection_number connection;
};

/// Closes a connection.
struct close_action
{
    upstream::connection_number connection;
};

/// Runs an order on a connection.
struct run_action
{
    upstream::connection_number connection;
    upstream::run_order order;
    core::millis timeout;
};

/// Identifies the kind of poll: any slot at once, or a wait on one slot.
inline constexpr int no_wait_slot = -1;

/// Asks a database for its status.
struct poll_action
{
    std::size_t database;
    /// Slot to wait on, or `no_wait_slot`.
    int slot;
    upstream::log_point wait_for;
    core::millis wait;
    core::millis timeout;
};

/// Answers a request.
struct answer_action
{
    request_number number;
    caller_reply reply;
};

/// Tells the failover monitor that a primary may be gone.
struct suspect_action
{
    std::size_t database;
};

/// Records an event.
struct event_action
{
    observe::event event;
};

/// What a coordinator wants done.
using action = std::variant<open_action, close_action, run_action, poll_action,
                            answer_action, suspect_action, event_action>;

/// Actions in the order in which to carry them out.
using actions = std::vector<action>;

} // namespace plantainward::coordinator
