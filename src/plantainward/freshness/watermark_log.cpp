#include <plantainward/freshness/watermark_log.hpp>

#include <algorithm>

namespace plantainward::freshness
{

namespace
{

// A watermark less than this after the one before the newest replaces the
// newest; a fraction of the smallest age that routes state (1.5 s).
constexpr core::millis min_watermark_spacing{100};

// Covers 3.2 s at the spacing, more than the largest age that routes state.
constexpr std::size_t max_watermarks = 32;

} // namespace

void watermark_log::add(const watermark& watermark)
{
    if (m_watermarks.empty() || watermark.since > m_watermarks.back().since)
    {
        const bool replaces_newest =
            m_watermarks.size() > 1 &&
            watermark.since - m_watermarks[m_watermarks.size() - 2].since <
                min_watermark_spacing;
        if (replaces_newest)
            m_watermarks.back() = watermark;
        else
            m_watermarks.push_back(watermark);
    }
    if (m_watermarks.size() > max_watermarks)
        m_watermarks.pop_front();
}

std::optional<watermark>
watermark_log::oldest_since(core::boot_instant earliest) const
{
    const auto first = std::find_if(m_watermarks.begin(), m_watermarks.end(),
                                    [&](const watermark& watermark) {
                                        return watermark.since >= earliest;
                                    });
    return first == m_watermarks.end() ? std::nullopt : std::optional(*first);
}

std::optional<watermark> watermark_log::newest() const
{
    return m_watermarks.empty() ? std::nullopt
                                : std::optional(m_watermarks.back());
}

} // namespace plantainward::freshness
