#pragma once

#include <chrono>
#include <ctime>

namespace plantainward::core
{

/// Monotonic clock that also counts the time in which the host is suspended.
///
/// Leases and the age of reads rest on it: a suspended host must not take an
/// old belief for a fresh one.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

/// An instant of the boot clock.
using boot_instant = boot_clock::time_point;

} // namespace plantainward::core
