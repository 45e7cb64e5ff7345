#pragma once

#include <chrono>
#include <ctime>

namespace plantainward::core
{

/// Monotonic clock that also advances while the host is suspended.
///
/// Leases and the age of reads are measured with it, so that a host that
/// resumes does not take what it knew before for current.
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
