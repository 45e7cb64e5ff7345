#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace plantainward::pooling
{

/// The pause in statements to a database that refuses them, which grows while
/// it refuses all of them.
class refusal_pause
{
public:
    /// `seed` spreads the pauses of hosts.
    explicit refusal_pause(std::uint64_t seed) : m_seed(seed) {}

    /// A statement was refused. Refusals during the pause, of statements that
    /// were sent before it, do not lengthen it.
    void record_refusal(core::boot_instant now);

    /// A statement succeeded; the next pause is the shortest.
    void end();

    bool is_active(core::boot_instant now) const { return now < m_until; }

    /// Whether the latest statement was refused, so that one statement at a
    /// time is tried.
    bool is_trying() const { return m_refusals > 0; }

private:
    std::uint64_t m_seed;
    std::size_t m_refusals{0};
    core::boot_instant m_until{};
};

} // namespace plantainward::pooling
