#include <plantainward/membership/member_table.hpp>

#include <algorithm>
#include <bit>

namespace plantainward::membership
{

namespace
{

// An update is sent this many times for each doubling of the number of
// members: the sends that it takes to reach all grow with the logarithm.
constexpr int sends_per_doubling = 3;

} // namespace

bool member_table::apply(const member_update& update, core::instant now)
{
    const auto found = m_members.find(update.host.name);
    if (found != m_members.end())
    {
        const auto& current = found->second.last_update;
        const bool is_newer = update.incarnation > current.incarnation ||
                              (update.incarnation == current.incarnation &&
                               update.state > current.state);
        if (!is_newer)
            return false;
    }
    m_members[update.host.name] = {update, now};
    const auto doublings = std::bit_width(m_members.size());
    std::erase_if(m_broadcasts, [&](const broadcast& pending) {
        return pending.name == update.host.name;
    });
    m_broadcasts.push_front(
        {update.host.name, sends_per_doubling * static_cast<int>(doublings)});
    return true;
}

const member* member_table::find(const std::string& name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<member_update> member_table::in_state(member_state state) const
{
    std::vector<member_update> members;
    for (const auto& [name, entry] : m_members)
    {
        if (entry.last_update.state != state)
            continue;
        members.push_back(entry.last_update);
    }
    return members;
}

std::vector<core::host> member_table::live() const
{
    std::vector<core::host> hosts;
    for (const auto& [name, entry] : m_members)
    {
        if (entry.last_update.state > member_state::suspected)
            continue;
        hosts.push_back(entry.last_update.host);
    }
    return hosts;
}

std::vector<member_update> member_table::next_updates(std::size_t max_count)
{
    std::vector<member_update> updates;
    const auto count = std::min(max_count, m_broadcasts.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        auto pending = m_broadcasts.front();
        m_broadcasts.pop_front();
        const auto* entry = find(pending.name);
        if (entry == nullptr)
            continue;
        updates.push_back(entry->last_update);
        if (--pending.remaining_sends > 0)
            m_broadcasts.push_back(pending);
    }
    return updates;
}

std::vector<member_update>
member_table::expired_suspects(core::instant now, core::millis timeout) const
{
    std::vector<member_update> suspects;
    for (const auto& [name, entry] : m_members)
    {
        if (entry.last_update.state != member_state::suspected ||
            now - entry.changed_at < timeout)
            continue;
        suspects.push_back(entry.last_update);
    }
    return suspects;
}

void member_table::remove_departed(core::instant now, core::millis retention)
{
    std::erase_if(m_members, [&](const auto& item) {
        return item.second.last_update.state > member_state::suspected &&
               now - item.second.changed_at > retention;
    });
}

} // namespace plantainward::membership
