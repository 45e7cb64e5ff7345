#include <plantainward/quota/token_bucket.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainward::quota
{

namespace
{

constexpr core::millis max_wait{std::chrono::hours(1)};

} // namespace

void token_bucket::fill(core::boot_instant now)
{
    if (now <= m_filled_at)
        return;
    const std::chrono::duration<double> elapsed = now - m_filled_at;
    m_filled_at = now;
    m_level = std::min(m_share.capacity,
                       m_level + elapsed.count() * m_share.rate_per_s);
}

void token_bucket::set_share(const owner_share& share, core::boot_instant now)
{
    fill(now);
    m_share = share;
    m_level = std::min(m_level, m_share.capacity);
}

void token_bucket::clear(core::boot_instant now)
{
    m_level = 0;
    m_filled_at = std::max(m_filled_at, now);
}

std::uint32_t token_bucket::take(std::uint32_t count, core::boot_instant now)
{
    fill(now);
    const auto taken = static_cast<std::uint32_t>(
        std::min(std::floor(m_level), static_cast<double>(count)));
    m_level -= taken;
    return taken;
}

core::millis token_bucket::time_to_token(core::boot_instant now)
{
    fill(now);
    if (m_level >= 1)
        return core::millis(0);
    if (m_share.capacity < 1 || m_share.rate_per_s <= 0)
        return max_wait;
    const double wait_ms = (1 - m_level) / m_share.rate_per_s * 1000;
    return std::min(max_wait, core::millis(static_cast<std::int64_t>(
                                  std::ceil(std::min(wait_ms, 1e9)))));
}

} // namespace plantainward::quota
