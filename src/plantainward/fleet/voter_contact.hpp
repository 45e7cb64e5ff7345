#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <chrono>
#include <optional>

namespace plantainward::fleet
{

/// Which of the voters are live for a host, itself included.
struct live_voter_share
{
    bool any{false};
    bool majority{false};
    bool all{false};
};

/// Since when no voter, no majority of the voters, or all of them have been
/// live for a host.
class voter_contact
{
public:
    void update(const live_voter_share& live, core::boot_instant now)
    {
        update(m_without_any, !live.any, now);
        update(m_without_majority, !live.majority, now);
        update(m_with_all, live.all, now);
    }

    /// Starts anew after a change of the set of voters.
    void reset() { *this = {}; }

    bool is_without_any(core::millis time, core::boot_instant now) const
    {
        return has_lasted(m_without_any, time, now);
    }

    bool is_without_majority(core::millis time, core::boot_instant now) const
    {
        return has_lasted(m_without_majority, time, now);
    }

    bool is_with_all(core::millis time, core::boot_instant now) const
    {
        return has_lasted(m_with_all, time, now);
    }

private:
    using beginning = std::optional<core::boot_instant>;

    static void update(beginning& since, bool holds, core::boot_instant now)
    {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    }

    static bool has_lasted(const beginning& since, core::millis time,
                           core::boot_instant now)
    {
        return since && now - *since >= time;
    }

    beginning m_without_any;
    beginning m_without_majority;
    beginning m_with_all;
};

} // namespace plantainward::fleet
