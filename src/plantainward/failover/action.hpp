#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/failover/opinion.hpp>
#include <plantainward/observe/event.hpp>
#include <plantainward/upstream/control_order.hpp>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace plantainward::failover
{

/// Asks a database for its status.
struct probe_action
{
    std::size_t database;
    core::millis timeout;
};

/// Sends a control order that belongs to a claim.
struct control_action
{
    std::size_t database;
    upstream::control_order order;
    /// Number of the claim, given back with the result; 0 for none.
    std::uint64_t claim;
    core::millis timeout;
};

/// Tells the other watchers of the service.
struct opinion_action
{
    opinion own_opinion;
};

/// Records an event.
struct event_action
{
    observe::event event;
};

/// What a monitor wants done.
using action =
    std::variant<probe_action, control_action, opinion_action, event_action>;

/// Actions in the order in which to carry them out.
using actions = std::vector<action>;

} // namespace plantainward::failover
