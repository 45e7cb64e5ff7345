#include <plantainward/fleet/voter_change.hpp>

#include <plantainward/succession/primary_lease.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::fleet
{

namespace
{

// Added to limits that another host measures with its own timers, which fire
// some milliseconds late.
constexpr core::millis timer_slack{100};

// The same for the age of a read, which is checked at the rate of heartbeats.
constexpr core::millis read_age_slack{5000};

// Time between the end of one change and the start of the next.
constexpr core::millis min_change_interval{10'000};

// Each further host in the order waits this much longer before it makes the
// same change; a conditional write and its announcement take about 20 ms.
constexpr core::millis rank_delay{200};

} // namespace

// The second step of a change: the previous voters are dropped once every lease
// that they may have proved is over.
std::optional<voter_set> voter_change::complete(const voter_change_view& view,
                                                core::boot_instant now)
{
    if (view.previous_informed && !m_informed_since)
        m_informed_since = now;
    constexpr auto lease_time =
        succession::primary_lease::validity + timer_slack;
    const bool leases_over =
        m_informed_since && now - *m_informed_since > lease_time;
    // Previous voters that are lost for good can't be informed; one that lives
    // confirms nothing after this time.
    const bool reads_too_old =
        now - m_known_since > max_read_age + read_age_slack + lease_time;
    if (!leases_over && !reads_too_old)
        return std::nullopt;
    return voter_set{0, view.voters.names, {}};
}

std::optional<voter_set>
voter_change::replace_absent(const voter_change_view& view) const
{
    voter_set changed{0, view.voters.names, view.voters.names};
    for (const auto& name : view.absent)
        changed.names.erase(name);
    members candidates;
    for (const auto& [name, host] : view.registered)
        if (!changed.names.contains(name) && view.heard.contains(name))
            candidates.emplace(name, host);
    const auto wanted = std::min(m_options.voter_count, view.registered.size());
    if (changed.names.size() < wanted)
        changed.names.merge(
            choose_voters(candidates, wanted - changed.names.size()));
    if (changed.names == view.voters.names || changed.names.empty())
        return std::nullopt;
    return changed;
}

std::optional<voter_set> voter_change::next(const voter_change_view& view,
                                            core::boot_instant now)
{
    const bool is_known = view.voters.version != 0;
    if (is_known && view.row_version != view.voters.version)
        return voter_set{0, view.voters.names, view.voters.previous};
    if (!is_known)
        return voter_set{
            0,
            choose_voters(view.registered,
                          view.registered.size() > m_options.max_voting_hosts
                              ? m_options.voter_count
                              : view.registered.size()),
            {}};
    if (view.voters.is_joint())
        return complete(view, now);
    if (now - m_known_since < min_change_interval)
        return std::nullopt;
    return replace_absent(view);
}

std::optional<voter_set> voter_change::tick(const voter_change_view& view,
                                            core::boot_instant now)
{
    if (view.voters.version != m_version)
    {
        m_version = view.voters.version;
        m_known_since = now;
        m_informed_since.reset();
        m_due_since.reset();
    }
    auto due = next(view, now);
    if (!due)
    {
        m_due_since.reset();
        return std::nullopt;
    }
    if (!m_due_since)
        m_due_since = now;
    if (now - *m_due_since < rank_delay * static_cast<int>(view.rank))
        return std::nullopt;
    return due;
}

} // namespace plantainward::fleet
