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

/// Requests the status of a database.
struct probe_action
{
    std::size_t database;
    core::millis timeout;
};

/// Sends a control order to a database.
struct control_action
{
    std::size_t database;
    upstream::control_order order;
    /// Number of the claim, to be passed to `on_control()` with the result; 0
    /// for an order without a claim.
    std::uint64_t claim;
    core::millis timeout;
};

/// Sends this host's opinion to the other watchers of the service.
struct opinion_action
{
    opinion own_opinion;
};

/// Records an event.
struct event_action
{
    observe::event event;
};

/// One action that the host of a monitor carries out for it.
using action =
    std::variant<probe_action, control_action, opinion_action, event_action>;

/// Actions, in the order in which they are to be carried out.
using actions = std::vector<action>;

} // namespace plantainward::failover
