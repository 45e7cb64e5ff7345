#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/quota/quota_bounds.hpp>

#include <cstdint>

namespace plantainward::quota
{

/// Tokens that are added at a rate up to a capacity. Starts empty.
class token_bucket
{
public:
    token_bucket(const owner_share& share, core::boot_instant now)
        : m_share(share), m_filled_at(now)
    {
    }

    /// Replaces the rate and the capacity; tokens above the new capacity are
    /// dropped at once.
    void set_share(const owner_share& share, core::boot_instant now);

    const owner_share& share() const { return m_share; }

    /// Drops all tokens.
    void clear(core::boot_instant now);

    /// Takes up to `count` whole tokens; returns how many.
    std::uint32_t take(std::uint32_t count, core::boot_instant now);

    /// Time until a whole token is there; an hour if none will be.
    core::millis time_to_token(core::boot_instant now);

private:
    void fill(core::boot_instant now);

    owner_share m_share;
    double m_level{0};
    core::boot_instant m_filled_at;
};

} // namespace plantainward::quota
