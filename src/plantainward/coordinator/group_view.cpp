#include <plantainward/coordinator/group_view.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

namespace
{

// Together they cover the last 5 s at least.
constexpr core::millis watermark_interval{10};
constexpr std::size_t max_watermarks = 512;

} // namespace

group_view::group_view(std::size_t members) : m_members(members) {}

bool group_view::record_status(std::size_t member,
                               const upstream::slot_status& status,
                               core::instant sent_at)
{
    auto& state = m_members.at(member);
    if (state.known && sent_at < state.sent_at)
        return false;
    state = {status, sent_at, true, true};
    if (status.acting != upstream::role::primary || status.granted < m_term)
        return false;
    if (m_invalidated_at &&
        (sent_at > *m_invalidated_at || status.granted > m_term))
        m_invalidated_at.reset();
    const bool changed = status.granted > m_term || m_primary != member;
    if (changed)
        m_watermarks.clear();
    m_term = status.granted;
    m_primary = member;
    add_watermark({sent_at, status.last});
    return changed;
}

void group_view::record_primary_point(const upstream::log_point& point,
                                      core::instant sent_at)
{
    if (point.term == m_term)
        add_watermark({sent_at, point});
}

void group_view::add_watermark(const watermark& mark)
{
    if (!m_watermarks.empty() &&
        mark.when < m_watermarks.back().when + watermark_interval)
        return;
    m_watermarks.push_back(mark);
    if (m_watermarks.size() > max_watermarks)
        m_watermarks.pop_front();
}

void group_view::set_unreachable(std::size_t member)
{
    m_members.at(member).reachable = false;
}

void group_view::invalidate_primary(core::instant now)
{
    m_invalidated_at = now;
}

std::optional<std::size_t> group_view::primary() const
{
    return m_invalidated_at ? std::nullopt : m_primary;
}

const upstream::slot_status& group_view::status(std::size_t member) const
{
    return m_members.at(member).status;
}

bool group_view::is_confirmed(
    const upstream::log_point& point,
    std::optional<std::size_t> answering_replica) const
{
    std::size_t confirming = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        if (i == m_primary)
            continue;
        const auto& status = m_members[i].status;
        // The position alone doesn't confirm: a log with a longer tail of an
        // older term lacks the entry.
        const bool holds = status.granted == point.term &&
                           status.last.term == point.term &&
                           status.last.position >= point.position;
        if (holds || answering_replica == i)
            ++confirming;
    }
    return confirming >= confirmations_needed();
}

bool group_view::is_primary_proved_at(core::instant when) const
{
    std::size_t supporting = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        const auto& member = m_members[i];
        if (i == m_primary || !member.known || member.sent_at < when)
            continue;
        if (member.status.granted == m_term)
            ++supporting;
    }
    return supporting >= confirmations_needed();
}

bool group_view::replica_serves(std::size_t member,
                                const upstream::log_point& at_least) const
{
    if (member == m_primary || m_term == 0 || !m_members.at(member).reachable)
        return false;
    const auto& status = m_members.at(member).status;
    return status.acting == upstream::role::replica &&
           status.granted == m_term && status.last.term == m_term &&
           status.last >= at_least;
}

std::optional<core::instant>
group_view::data_proved_until(const upstream::log_point& point) const
{
    if (point.term != m_term)
        return std::nullopt;
    const auto newest = std::find_if(
        m_watermarks.rbegin(), m_watermarks.rend(), [&](const watermark& mark) {
            return mark.point.term == m_term &&
                   mark.point.position <= point.position &&
                   is_primary_proved_at(mark.when);
        });
    if (newest == m_watermarks.rend())
        return std::nullopt;
    return newest->when;
}

} // namespace plantainward::coordinator
