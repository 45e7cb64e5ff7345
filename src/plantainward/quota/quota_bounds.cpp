#include <plantainward/quota/quota_bounds.hpp>

#include <algorithm>
#include <chrono>

namespace plantainward::quota
{

namespace
{

// A smaller bucket would refuse operations that only come unevenly. The share
// is of the operations that one owner may grant in a window.
constexpr double min_capacity_share = 0.05;
constexpr double min_capacity = 2;

} // namespace

double max_operations(const routes::quota_limit& limit,
                      const quota_bounds& bounds)
{
    return (limit.rate_per_s * bounds.window_s + limit.burst) *
               (1 + bounds.tolerance) +
           bounds.slack;
}

// Why the bound holds in each window of length W.
//
// 1. A host starts an operation no later than the token life L after it sent
//    the request, and the owner granted the token after that request was sent
//    and before the operation started. So operations that start in [s, s + W]
//    have tokens that were granted in [s - L, s + W], whatever the network and
//    frozen hosts do in between, and no two operations have the same token.
// 2. An owner's level never exceeds its capacity C and rises only at its rate
//    r. In an interval of length T it grants at most C + r T tokens. Emptying
//    the bucket, as after a restart or a suspension, only lowers the level.
// 3. At most n owners grant at any time: a new owner starts with an empty
//    bucket, after the owner that it replaces has stopped (see token_ledger).
//    The two together therefore grant at most C + r T as well.
// 4. Together: n (C + r (W + L)), which the choice of C and r below makes at
//    most the bound M.
//
// A lowered limit cuts the level to the new C at once, so that 2 holds for the
// new share from that instant t: the new M bounds each window that starts at
// t + L or later, where t is the instant at the last owner. A window that
// starts before is bounded by the M of the largest limit in force since s - L.
owner_share share_of(const routes::quota_limit& limit,
                     const quota_bounds& bounds, std::size_t owner_count)
{
    const auto owners = static_cast<double>(owner_count);
    const double part = max_operations(limit, bounds) / owners;
    const double span_s =
        bounds.window_s +
        std::chrono::duration<double>(bounds.token_life).count();
    const double smallest =
        std::min(part, std::max(min_capacity, min_capacity_share * part));
    const double window_rate =
        (limit.rate_per_s * bounds.window_s + limit.burst) *
        (1 + bounds.tolerance) / bounds.window_s;
    owner_share share;
    share.rate_per_s =
        std::min(window_rate / owners, (part - smallest) / span_s);
    share.capacity = part - share.rate_per_s * span_s;
    return share;
}

} // namespace plantainward::quota
