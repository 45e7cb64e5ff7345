#include <plantainward/pooling/retry_budget.hpp>

#include <algorithm>
#include <chrono>

namespace plantainward::pooling
{

namespace
{

// Retries that each success allows.
constexpr double retries_of_success = 0.1;

// Retries that a service without success gets in a second.
constexpr double retries_per_s = 2;

} // namespace

void retry_budget::record_success()
{
    m_retries = std::min(max_retries, m_retries + retries_of_success);
}

void retry_budget::refill(core::boot_instant now)
{
    const auto seconds =
        std::chrono::duration<double>(now - m_refilled_at).count();
    m_refilled_at = now;
    m_retries = std::min(max_retries, m_retries + seconds * retries_per_s);
}

bool retry_budget::try_take(core::boot_instant now)
{
    refill(now);
    if (m_retries < 1)
        return false;
    --m_retries;
    return true;
}

} // namespace plantainward::pooling
