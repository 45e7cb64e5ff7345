#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/membership/message.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::membership
{

/// A host with what is believed of it.
struct member
{
    member_update known;
    core::instant since;
};

/// The hosts that a proxy knows, and the news that it still has to pass on.
class member_table
{
public:
    /// Takes news; true when it changed what is believed.
    ///
    /// News of a lower incarnation never changes anything; at the same one,
    /// only worse news does.
    bool apply(const member_update& news, core::instant now);

    const member* find(const std::string& name) const;

    /// Hosts in this state.
    std::vector<member_update> in_state(member_state state) const;

    /// Hosts that take part: alive or only suspected.
    std::vector<core::host> live() const;

    /// The next news to pass on; each is sent a bounded number of times.
    std::vector<member_update> take_news(std::size_t most);

    /// Suspected hosts whose time to refute has passed.
    std::vector<member_update> overdue(core::instant now,
                                       core::millis limit) const;

    /// Forgets hosts that left or died long ago.
    void forget(core::instant now, core::millis limit);

    std::size_t size() const { return m_members.size(); }

private:
    struct rumour
    {
        std::string name;
        int left{0};
    };

    std::map<std::string, member> m_members;
    std::deque<rumour> m_rumours;
};

} // namespace plantainward::membership
