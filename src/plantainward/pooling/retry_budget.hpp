#pragma once

#include <plantainward/core/boot_clock.hpp>

namespace plantainward::pooling
{

/// How many statements of a service may be sent again after a refusal: a share
/// of the statements that succeeded, and a few more over time so that a service
/// without any success is still tried.
class retry_budget
{
public:
    void record_success();

    /// Takes one retry from the budget; false when none is left.
    bool try_take(core::boot_instant now);

private:
    void refill(core::boot_instant now);

    /// About what all statements in flight at one database need when its
    /// primary is replaced.
    static constexpr double max_retries = 20;

    double m_retries{max_retries};
    core::boot_instant m_refilled_at{};
};

} // namespace plantainward::pooling
