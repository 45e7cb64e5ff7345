#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace plantainward::pooling
{

/// How many statements one host may have in flight at one database.
///
/// The window grows by one statement a round trip while answers take at most
/// `max_delay_ratio` times as long as without load, and shrinks while they take
/// longer, so that work waits at the hosts, where it can be ordered. Times are
/// compared by route, since the routes' work differs.
class flight_window
{
public:
    /// A statement of a route was answered `ms` milliseconds after it was sent,
    /// while `in_flight` statements were in flight.
    void record_answer(std::string_view route, double ms, std::size_t in_flight,
                       core::boot_instant now);

    /// The database refused a statement because it had no room.
    void record_busy(std::size_t in_flight, core::boot_instant now);

    /// Statements that may be in flight; at least one.
    double limit() const { return m_limit; }

    /// Answers in a millisecond, as a moving average.
    double answers_per_ms(core::boot_instant now) const;

    /// Moving average of the time of a statement of a route, in milliseconds;
    /// `fallback_ms` before the first one.
    double expected_ms(std::string_view route, double fallback_ms) const;

private:
    /// Small, since all holders of a new primary start with it.
    static constexpr double initial_limit = 2;

    struct route_times
    {
        double recent_ms{0};
        /// Time without load.
        double base_ms{0};
    };

    void shrink(double factor, core::boot_instant now);

    std::map<std::string, route_times, std::less<>> m_times;
    double m_limit{initial_limit};
    double m_answers_per_ms{0};
    core::boot_instant m_answered_at{};
    double m_delay_ratio{1};
    core::boot_instant m_shrunk_at{};
};

} // namespace plantainward::pooling
