#include <plantainward/pooling/flight_window.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainward::pooling
{

namespace
{

// Above this ratio of the recent time to the time without load, the window
// shrinks: statements wait in the database for as long as they run there.
constexpr double max_delay_ratio = 2;

// Factors of the window while answers take too long, and after a refusal.
constexpr double delay_decrease = .95;
constexpr double busy_decrease = 0.5;

// Weight of the latest statement in the averages.
constexpr double recent_weight = 0.2;

// Time constant of the number of answers.
constexpr double answer_time_ms = 500;

// Growth of the time without load with each answer, so that it follows a
// database that has become slower within some hundred statements.
constexpr double base_growth = 0.001;

// The window shrinks at most once in this time, about one round trip under
// load, since answers of the same round trip report the same queue.
constexpr core::millis shrink_interval{40};

} // namespace

void flight_window::record_answer(std::string_view route, double ms,
                                  std::size_t in_flight, core::boot_instant now)
{
    m_answers_per_ms = answers_per_ms(now) + 1 / answer_time_ms;
    m_answered_at = now;
    const auto found = m_times.find(route);
    if (found == m_times.end())
    {
        m_times.emplace(route, route_times{ms, std::max(ms, 1.0)});
        return;
    }
    auto& times = found->second;
    times.recent_ms += recent_weight * (ms - times.recent_ms);
    times.base_ms = std::max(
        1.0, std::min(times.base_ms * (1 + base_growth), times.recent_ms));
    m_delay_ratio +=
        recent_weight * (times.recent_ms / times.base_ms - m_delay_ratio);
    if (m_delay_ratio > max_delay_ratio)
        return shrink(delay_decrease, now);
    // A window that is not used says nothing about a larger one.
    if (static_cast<double>(in_flight + 1) >= m_limit)
        m_limit += 1 / m_limit;
}

double flight_window::answers_per_ms(core::boot_instant now) const
{
    const auto ms =
        std::chrono::duration<double, std::milli>(now - m_answered_at).count();
    return m_answers_per_ms * std::exp(-ms / answer_time_ms);
}

void flight_window::record_busy(std::size_t in_flight, core::boot_instant now)
{
    m_limit = std::min(m_limit, static_cast<double>(in_flight + 1));
    shrink(busy_decrease, now);
}

void flight_window::shrink(double factor, core::boot_instant now)
{
    if (now - m_shrunk_at < shrink_interval)
        return;
    m_shrunk_at = now;
    m_limit = std::max(1.0, m_limit * factor);
}

double flight_window::expected_ms(std::string_view route,
                                  double fallback_ms) const
{
    const auto found = m_times.find(route);
    return found == m_times.end() ? fallback_ms : found->second.recent_ms;
}

} // namespace plantainward::pooling
