#include <plantainward/membership/member_table.hpp>

#include <algorithm>
#include <bit>

namespace plantainward::membership
{

namespace
{

constexpr int sends_per_doubling = 3;

} // namespace

bool member_table::apply(const member_update& news, core::instant now)
{
    const auto found = m_members.find(news.host.name);
    if (found != m_members.end())
    {
        const auto& mine = found->second.known;
        const bool is_newer =
            news.incarnation > mine.incarnation ||
            (news.incarnation == mine.incarnation && news.state > mine.state);
        if (!is_newer)
            return false;
    }
    m_members[news.host.name] = {news, now};
    const auto doublings = std::bit_width(m_members.size());
    std::erase_if(m_rumours, [&](const rumour& one) {
        return one.name == news.host.name;
    });
    m_rumours.push_front(
        {news.host.name, sends_per_doubling * static_cast<int>(doublings)});
    return true;
}

const member* member_table::find(const std::string& name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<member_update> member_table::in_state(member_state state) const
{
    std::vector<member_update> found;
    for (const auto& [name, one] : m_members)
    {
        if (one.known.state != state)
            continue;
        found.push_back(one.known);
    }
    return found;
}

std::vector<core::host> member_table::live() const
{
    std::vector<core::host> found;
    for (const auto& [name, one] : m_members)
    {
        if (one.known.state > member_state::suspected)
            continue;
        found.push_back(one.known.host);
    }
    return found;
}

std::vector<member_update> member_table::take_news(std::size_t most)
{
    std::vector<member_update> taken;
    const auto count = std::min(most, m_rumours.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        auto one = m_rumours.front();
        m_rumours.pop_front();
        const auto* about = find(one.name);
        if (about == nullptr)
            continue;
        taken.push_back(about->known);
        if (--one.left > 0)
            m_rumours.push_back(one);
    }
    return taken;
}

std::vector<member_update> member_table::overdue(core::instant now,
                                                 core::millis limit) const
{
    std::vector<member_update> found;
    for (const auto& [name, one] : m_members)
    {
        if (one.known.state != member_state::suspected ||
            now - one.since < limit)
            continue;
        found.push_back(one.known);
    }
    return found;
}

void member_table::forget(core::instant now, core::millis limit)
{
    std::erase_if(m_members, [&](const auto& item) {
        return item.second.known.state > member_state::suspected &&
               now - item.second.since > limit;
    });
}

} // namespace plantainward::membership
