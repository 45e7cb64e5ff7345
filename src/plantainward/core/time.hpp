#pragma once

#include <chrono>
#include <cstdint>

namespace plantainward::core
{

/// Monotonic clock for all decisions, which is never set back.
using steady = std::chrono::steady_clock;

/// A point in time on the monotonic clock of this process.
using instant = steady::time_point;

/// A duration in whole milliseconds.
using millis = std::chrono::milliseconds;

/// Whole milliseconds of a duration, for reports.
template <class Duration>
std::int64_t to_ms(Duration duration)
{
    return std::chrono::duration_cast<millis>(duration).count();
}

/// Milliseconds with a fraction, for reports.
template <class Duration>
double to_ms_exact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace plantainward::core
