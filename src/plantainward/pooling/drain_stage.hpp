#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/time.hpp>

#include <cstdint>

namespace plantainward::pooling
{

/// Stages of a planned stop of this host, in their order.
enum class drain_stage : std::uint8_t
{
    /// No stop was requested.
    none,
    /// The host is not ready any more, and starts no operations of other hosts.
    announced,
    /// A caller's session is closed as soon as none of its requests is
    /// outstanding, so that the caller continues at another host.
    closing_sessions,
    /// No operation starts any more, and open transactions are rolled back.
    refusing_work,
    /// What still runs is answered, and the process ends.
    ending_work
};

/// Names of the stages in logs.
inline constexpr core::enum_names<drain_stage, 5> drain_stage_names{
    {"none", "announced", "closing sessions", "refusing work", "ending work"}};

/// The balancer sends no more callers this long after a host became not ready:
/// after two failed probes, which are one second apart.
inline constexpr core::millis balancer_removal_time{2200};

/// Stage of a stop that was requested `elapsed` ago, for a process that is
/// killed `grace` after the request.
drain_stage drain_stage_at(core::millis elapsed, core::millis grace);

} // namespace plantainward::pooling
