#include <plantainward/pooling/admission.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainward::pooling
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

// Part of the time until the objective that a statement may be expected to
// take on arrival. The rest absorbs a window that shrinks while the statement
// waits: with 0.6, 1 of 140 refused statements had waited for over 50 ms, with
// 0.4 1 of 1,700.
constexpr double objective_share = 0.4;

// Time constant of the utilization: several round trips under load, and shorter
// than the shortest limits (1,000 ms).
constexpr double utilization_time_ms = 300;

// Above this utilization by statements in time, late ones are rejected: the
// utilization of one holder varies by a fifth, and what is left is too little
// to promise it.
constexpr double max_utilization_for_late = 0.5;

double ms_until(core::boot_instant instant, core::boot_instant now)
{
    return milliseconds(instant - now).count();
}

/// Expected time until the answer of a statement behind `ahead` others.
double answer_ms(std::size_t ahead, const candidate& candidate,
                 double statements_per_ms)
{
    return static_cast<double>(ahead + 1) / statements_per_ms +
           candidate.service_ms;
}

bool displaces(const candidate& first, const candidate& second)
{
    return std::pair(first.priority, first.excess) <
           std::pair(second.priority, second.excess);
}

} // namespace

bool can_meet_objective(const candidate& candidate, core::boot_instant now)
{
    return ms_until(candidate.objective, now) >= candidate.service_ms;
}

service_rank rank_of(const candidate& candidate, core::boot_instant now)
{
    return {!can_meet_objective(candidate, now), candidate.priority,
            candidate.excess, candidate.objective};
}

verdict admission::decide(const std::vector<candidate>& waiting,
                          const candidate& arriving, double statements_per_ms,
                          core::boot_instant now) const
{
    if (statements_per_ms <= 0)
        return verdict::wait;
    const auto own_rank = rank_of(arriving, now);
    std::size_t ahead = 0;
    bool delays_others = false;
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        const auto& other = waiting[i];
        if (rank_of(other, now) <= own_rank)
        {
            ++ahead;
            continue;
        }
        // It would move back by one place.
        if (displaces(arriving, other) || !can_meet_objective(other, now))
            continue;
        delays_others =
            delays_others || answer_ms(i + 1, other, statements_per_ms) >
                                 ms_until(other.objective, now);
    }
    const auto time_left_ms = ms_until(arriving.objective, now);
    if (!delays_others && answer_ms(ahead, arriving, statements_per_ms) <=
                              time_left_ms * objective_share)
        return verdict::wait;
    // A late statement gets only what the others leave.
    const auto used = utilization(now);
    if (used > max_utilization_for_late)
        return verdict::reject;
    const auto spare = 1 - used;
    const auto late_ms =
        answer_ms(waiting.size(), arriving, statements_per_ms * spare);
    return late_ms <= ms_until(arriving.limit, now) ? verdict::wait_late
                                                    : verdict::reject;
}

void admission::record_admitted(double statements_per_ms,
                                core::boot_instant now)
{
    if (statements_per_ms <= 0)
        return;
    m_utilization =
        utilization(now) + 1 / (statements_per_ms * utilization_time_ms);
    m_updated_at = now;
}

double admission::utilization(core::boot_instant now) const
{
    return m_utilization *
           std::exp(-ms_until(now, m_updated_at) / utilization_time_ms);
}

std::vector<std::size_t>
admission::unservable(const std::vector<candidate>& waiting,
                      double statements_per_ms, core::boot_instant now)
{
    std::vector<std::size_t> result;
    if (statements_per_ms <= 0)
        return result;
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        if (answer_ms(ahead, waiting[i], statements_per_ms) >
            ms_until(waiting[i].limit, now))
            result.push_back(i);
        else
            ++ahead;
    }
    return result;
}

} // namespace plantainward::pooling
