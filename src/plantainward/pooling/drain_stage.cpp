#include <plantainward/pooling/drain_stage.hpp>

namespace plantainward::pooling
{

namespace
{

// Share of the grace period after which no operation starts. Open transactions
// may use this share, and a statement that starts before it has as much time
// again before the process is killed.
constexpr double operation_grace_share = 0.5;

// Share of the grace period after which the process ends in any case. The rest
// is for the last answers and for the end of the registration.
constexpr double max_grace_share = 0.85;

} // namespace

drain_stage drain_stage_at(core::millis elapsed, core::millis grace)
{
    if (elapsed > grace * max_grace_share)
        return drain_stage::ending_work;
    if (elapsed < balancer_removal_time)
        return drain_stage::announced;
    if (elapsed > grace * operation_grace_share)
        return drain_stage::refusing_work;
    return drain_stage::closing_sessions;
}

} // namespace plantainward::pooling
