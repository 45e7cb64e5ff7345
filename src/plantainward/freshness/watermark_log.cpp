#include <plantainward/freshness/watermark_log.hpp>

#include <algorithm>

namespace plantainward::freshness
{

namespace
{

// Marks closer together than this are merged; a share of the smallest age that
// routes state (1.5 s).
constexpr core::millis mark_spacing{100};

// Covers 3.2 s at the spacing, more than the largest age that routes state.
constexpr std::size_t most_marks = 32;

} // namespace

void watermark_log::add(const watermark& one)
{
    if (m_marks.empty() || one.since > m_marks.back().since)
    {
        const bool merges =
            m_marks.size() > 1 &&
            one.since - m_marks[m_marks.size() - 2].since < mark_spacing;
        if (merges)
            m_marks.back() = one;
        else
            m_marks.push_back(one);
    }
    if (m_marks.size() > most_marks)
        m_marks.pop_front();
}

std::optional<watermark>
watermark_log::oldest_since(core::boot_instant oldest) const
{
    const auto found =
        std::find_if(m_marks.begin(), m_marks.end(),
                     [&](const watermark& one) { return one.since >= oldest; });
    return found == m_marks.end() ? std::nullopt : std::optional(*found);
}

std::optional<watermark> watermark_log::newest() const
{
    return m_marks.empty() ? std::nullopt : std::optional(m_marks.back());
}

} // namespace plantainward::freshness
