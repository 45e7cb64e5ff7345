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

/// Sends an order to a database on an open connection.
struct run_action
{
    upstream::connection_number connection;
    upstream::run_order order;
    core::millis timeout;
};

/// Slot of a poll that returns at once instead of waiting for a log point.
inline constexpr int no_wait_slot = -1;

/// Requests the status of a database.
struct poll_action
{
    std::size_t database;
    /// Slot whose log point is awaited, or `no_wait_slot`.
    int slot;
    /// The database answers once its log has reached this point ...
    upstream::log_point wait_for;
    /// ... or this time has passed, whichever comes first.
    core::millis wait;
    core::millis timeout;
};

/// Sends the reply to the caller of a request.
struct answer_action
{
    request_number number;
    caller_reply reply;
};

/// Reports to the failover monitor that a database may be unreachable.
struct suspect_action
{
    std::size_t database;
};

/// Records an event.
struct event_action
{
    observe::event event;
};

/// One action that the host of a coordinator carries out for it.
using action = std::variant<open_action, close_action, run_action, poll_action,
                            answer_action, suspect_action, event_action>;

/// Actions, in the order in which they are to be carried out.
using actions = std::vector<action>;

} // namespace plantainward::coordinator
