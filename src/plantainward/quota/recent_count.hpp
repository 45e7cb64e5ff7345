#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace plantainward::quota
{

/// Counts events of the recent past, up to a period of four equal slots.
class recent_count
{
public:
    explicit recent_count(core::millis period) : m_slot_time(period / slots) {}

    void add(core::boot_instant now, std::uint32_t count = 1)
    {
        advance(now);
        m_counts[index(m_slot)] += count;
    }

    /// Events in the period; those in the oldest slot are all still counted.
    std::uint32_t total(core::boot_instant now)
    {
        advance(now);
        std::uint32_t sum = 0;
        for (const auto count : m_counts)
            sum += count;
        return sum;
    }

private:
    static constexpr std::size_t slots = 4;

    static std::size_t index(std::int64_t slot)
    {
        return static_cast<std::size_t>(slot) % slots;
    }

    void advance(core::boot_instant now)
    {
        const std::int64_t slot = now.time_since_epoch() / m_slot_time;
        if (slot - m_slot >= static_cast<std::int64_t>(slots))
            m_counts.fill(0);
        else
            for (auto next = m_slot + 1; next <= slot; ++next)
                m_counts[index(next)] = 0;
        m_slot = std::max(m_slot, slot);
    }

    core::millis m_slot_time;
    std::int64_t m_slot{0};
    std::array<std::uint32_t, slots> m_counts{};
};

} // namespace plantainward::quota
