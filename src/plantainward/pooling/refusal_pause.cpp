#include <plantainward/pooling/refusal_pause.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <string>

namespace plantainward::pooling
{

namespace
{

// The first pause is about the time of one statement. The longest one, with
// jitter and a timer tick, lets service resume within 200 ms.
constexpr core::millis first_pause{15};
constexpr core::millis longest_pause{120};
constexpr std::uint64_t max_jitter_percent = 25;
constexpr std::size_t max_refusals = 4;

} // namespace

void refusal_pause::record_refusal(core::boot_instant now)
{
    if (is_active(now))
        return;
    m_refusals = std::min(m_refusals + 1, max_refusals);
    const auto length =
        std::min(first_pause * (1 << (m_refusals - 1)), longest_pause);
    const auto jitter_percent =
        core::placement_hash(std::to_string(m_seed),
                             std::to_string(m_refusals)) %
        (max_jitter_percent + 1);
    m_until = now + length + length * static_cast<int>(jitter_percent) / 100;
}

void refusal_pause::end()
{
    m_refusals = 0;
    m_until = {};
}

} // namespace plantainward::pooling
