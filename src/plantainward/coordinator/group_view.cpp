#include <plantainward/coordinator/group_view.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

namespace
{

constexpr core::millis mark_spacing{10};
constexpr std::size_t max_marks = 512;

} // namespace

group_view::group_view(std::size_t members) : m_members(members) {}

bool group_view::observe(std::size_t member,
                         const upstream::slot_status& status,
                         core::instant sent_at)
{
    auto& mine = m_members.at(member);
    if (mine.known && sent_at < mine.sent_at)
        return false;
    mine = {status, sent_at, true, true};
    if (status.acting != upstream::role::primary || status.granted < m_term)
        return false;
    if (m_doubted_at && (sent_at > *m_doubted_at || status.granted > m_term))
        m_doubted_at.reset();
    const bool changed = status.granted > m_term || m_primary != member;
    if (changed)
        m_marks.clear();
    m_term = status.granted;
    m_primary = member;
    add_mark({sent_at, status.last});
    return changed;
}

void group_view::observe_primary_point(const upstream::log_point& point,
                                       core::instant sent_at)
{
    if (point.term == m_term)
        add_mark({sent_at, point});
}

void group_view::add_mark(const age_mark& mark)
{
    if (!m_marks.empty() && mark.when < m_marks.back().when + mark_spacing)
        return;
    m_marks.push_back(mark);
    if (m_marks.size() > max_marks)
        m_marks.pop_front();
}

void group_view::set_unreachable(std::size_t member)
{
    m_members.at(member).reachable = false;
}

void group_view::doubt(core::instant now)
{
    m_doubted_at = now;
}

std::optional<std::size_t> group_view::primary() const
{
    return m_doubted_at ? std::nullopt : m_primary;
}

const upstream::slot_status& group_view::status(std::size_t member) const
{
    return m_members.at(member).status;
}

bool group_view::is_confirmed(const upstream::log_point& point,
                              std::optional<std::size_t> vouching) const
{
    std::size_t holding = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        if (i == m_primary)
            continue;
        const auto& status = m_members[i].status;
        // Position alone does not confirm: a longer tail of an older term
        // lacks the entry.
        const bool holds = status.granted == point.term &&
                           status.last.term == point.term &&
                           status.last.position >= point.position;
        if (holds || vouching == i)
            ++holding;
    }
    return holding >= confirmations_needed();
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
        m_marks.rbegin(), m_marks.rend(), [&](const age_mark& mark) {
            return mark.point.term == m_term &&
                   mark.point.position <= point.position &&
                   is_primary_proved_at(mark.when);
        });
    if (newest == m_marks.rend())
        return std::nullopt;
    return newest->when;
}

} // namespace plantainward::coordinator
