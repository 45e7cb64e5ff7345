#include <plantainward/pooling/balancer.hpp>

#include <algorithm>
#include <limits>

namespace plantainward::pooling
{

namespace
{

// Weight of the reports against this host's own statements, which are never
// out of date. With 1, the 99th percentile beside a slow database was lower but
// more slots stayed idle.
constexpr double report_weight = 0.5;

// Lower bound of the success share, so that a database that fails every time
// keeps a finite cost.
constexpr double min_success_share = 0.02;

// A database of another failure domain is used when the best one of the own
// domain costs this many times as much. In balancer_load_tests, 66% of the
// reads cross with 1, 40% with 2 and 25% with 3; the 99th percentile of the
// delay is 3% to 6% higher with 3.
constexpr double domain_factor = 3;

/// A number in [0, 1) from the bits of another; the same for the same input.
double unit_of(std::uint64_t number)
{
    // Finalizer of splitmix64: neighbouring numbers give unrelated results.
    number += 0x9e3779b97f4a7c15;
    number = (number ^ (number >> 30)) * 0xbf58476d1ce4e5b9;
    number = (number ^ (number >> 27)) * 0x94d049bb133111eb;
    number ^= number >> 31;
    return static_cast<double>(number >> 11) * 0x1p-53;
}

} // namespace

double balancer::cost_ms(const read_candidate& candidate)
{
    const auto in_flight = static_cast<double>(candidate.own_in_flight) +
                           (1 - report_weight) +
                           report_weight * candidate.reported_in_flight;
    return candidate.observed_ms * in_flight /
               std::max(candidate.success_share, min_success_share) +
           candidate.extra_ms;
}

std::optional<std::size_t>
balancer::choose(std::span<const read_candidate> candidates,
                 std::uint64_t number)
{
    double largest_share = 0;
    for (const auto& candidate : candidates)
        largest_share = std::max(largest_share, candidate.start_share);
    const auto admitted_share = unit_of(number) * largest_share;
    std::optional<std::size_t> best;
    auto lowest_ms = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (candidates[i].start_share < admitted_share)
            continue;
        const auto cost = cost_ms(candidates[i]) *
                          (candidates[i].is_in_own_domain ? 1 : domain_factor);
        if (best && cost >= lowest_ms)
            continue;
        lowest_ms = cost;
        best = i;
    }
    return best;
}

} // namespace plantainward::pooling
