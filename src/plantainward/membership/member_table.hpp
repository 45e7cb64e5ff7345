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

/// A host with its newest update and the time of the last change.
struct member
{
    member_update last_update;
    core::instant changed_at;
};

/// The hosts that a proxy knows, and the updates that it still has to pass on
/// to its peers.
class member_table
{
public:
    /// Applies an update; true when it changed the table.
    ///
    /// An update of a lower incarnation is ignored; one of the same
    /// incarnation is applied only if its state takes precedence.
    bool apply(const member_update& update, core::instant now);

    /// The member of this name, or null.
    const member* find(const std::string& name) const;

    /// The newest updates of the hosts in this state.
    std::vector<member_update> in_state(member_state state) const;

    /// The hosts that are alive or suspected.
    std::vector<core::host> live() const;

    /// The next updates to send; each is returned a bounded number of times.
    std::vector<member_update> next_updates(std::size_t max_count);

    /// The hosts that have been suspected for at least `timeout`.
    std::vector<member_update> expired_suspects(core::instant now,
                                                core::millis timeout) const;

    /// Removes the hosts that died or left more than `retention` ago.
    void remove_departed(core::instant now, core::millis retention);

    std::size_t size() const { return m_members.size(); }

private:
    struct broadcast
    {
        std::string name;
        int remaining_sends{0};
    };

    std::map<std::string, member> m_members;
    std::deque<broadcast> m_broadcasts;
};

} // namespace plantainward::membership
