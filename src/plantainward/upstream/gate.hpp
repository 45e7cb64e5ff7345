#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/control_order.hpp>
#include <plantainward/upstream/run_order.hpp>

#include <concepts>
#include <cstdint>
#include <functional>

namespace plantainward::upstream
{

/// Identifies a connection that the proxy has opened or is opening.
using connection_number = std::uint64_t;

/// How opening a connection ended.
enum class open_outcome : std::uint8_t
{
    opened,
    /// The database has reached its limit of connections.
    refused_by_limit,
    failed
};

using open_handler = std::function<void(open_outcome)>;
using run_handler = std::function<void(run_result)>;
using control_handler = std::function<void(control_result)>;

/// Access of the proxy to the databases: opens connections, runs orders on them
/// and sends control orders.
///
/// Every handler is called exactly once. The gate closes a connection whose
/// order ended as lost.
template <class T>
concept gate = requires(T& g, const core::address& database,
                        connection_number number, run_order run,
                        control_order control, core::millis timeout,
                        open_handler on_open, run_handler on_run,
                        control_handler on_control)
{
    g.open(database, number, timeout, on_open);
    g.run(number, run, timeout, on_run);
    g.close(number);
    g.control(database, control, timeout, on_control);
};

} // namespace plantainward::upstream
