#include <plantainward/pooling/database_load.hpp>

#include <algorithm>
#include <cmath>

namespace plantainward::pooling
{

namespace
{

// Weight of the latest statement in the moving average of the time.
constexpr double weight = 0.1;

// Weight of the latest outcome in the share of successes; larger, so that a
// database that begins to fail loses its work after a few statements.
constexpr double outcome_weight = 0.25;

// Time after which an observation counts half.
constexpr double half_life_ms = 2000;

// Lower bound of an old time, about that of the fastest ordinary statements. A
// time near 0 would send every read there until the first answer.
constexpr double min_old_ms = 3;

// Time in which a database that has joined reaches its full share, and the
// share with which it begins.
constexpr double start_ms = 3000;
constexpr double first_share = 0.05;

double ms_between(core::boot_instant from, core::boot_instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void database_load::record_success(core::millis time, core::boot_instant now)
{
    m_ms += weight * (static_cast<double>(time.count()) - m_ms);
    m_success_share += outcome_weight * (1 - m_success_share);
    m_observed_at = now;
}

void database_load::record_failure(core::boot_instant now)
{
    m_success_share -= outcome_weight * m_success_share;
    m_observed_at = now;
}

void database_load::start(core::boot_instant now)
{
    m_started_at = now;
    m_observed_at = now;
}

double database_load::observed_ms(core::boot_instant now) const
{
    const auto old_ms =
        m_ms * std::exp2(-ms_between(m_observed_at, now) / half_life_ms);
    return std::max(old_ms, std::min(m_ms, min_old_ms));
}

double database_load::start_share(core::boot_instant now) const
{
    return std::clamp(ms_between(m_started_at, now) / start_ms, first_share,
                      1.0);
}

} // namespace plantainward::pooling
