#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/routes/routing.hpp>

#include <cstddef>

namespace plantainward::quota
{

/// The bound on the operations of a workspace: in each window, no more than
/// `(rate x window + burst) x (1 + tolerance) + slack` may start.
struct quota_bounds
{
    /// Length of the windows in seconds.
    double window_s{5};
    /// Tolerated excess over a quota, as a fraction of it.
    double tolerance{0.1};
    /// Operations that are tolerated beyond that.
    double slack{20};
    /// Time from a request for tokens until operations may no longer start with
    /// them. Unused tokens of this time count in each window, so a longer life
    /// leaves less of the limit to use.
    core::millis token_life{150};
};

/// Largest number of owners that grant the tokens of one workspace.
inline constexpr std::size_t max_owners = 3;

/// What one owner of a workspace's limit may grant.
struct owner_share
{
    /// Tokens a second.
    double rate_per_s{0};
    /// Tokens that it may hold.
    double capacity{0};

    bool operator==(const owner_share&) const = default; // NOLINT
};

/// Operations of a workspace that may start in one window.
double max_operations(const routes::quota_limit& limit,
                      const quota_bounds& bounds);

/// The share of one of `owner_count` owners, which must not be 0.
///
/// The owners together add up to `(rate x window + burst) x (1 + tolerance)`
/// tokens in each window, as far as the bound leaves room for a bucket beside
/// them: what is refused below the bound is lost to callers, also in a window
/// that follows a full one. The slack only fills the buckets.
owner_share share_of(const routes::quota_limit& limit,
                     const quota_bounds& bounds, std::size_t owner_count);

} // namespace plantainward::quota
