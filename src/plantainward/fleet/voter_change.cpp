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

// The same for the age of a read; hosts' clocks run at slightly different
// rates.
constexpr core::millis read_age_slack{500};

// Time between the end of one change and the start of the next.
constexpr core::millis min_change_interval{10'000};

// Time without a majority after which the voters need recent reads; longer than
// some lost heartbeats.
constexpr core::millis lost_majority_time{2000};

// Time without a majority after which the absent voters are replaced although
// others are not heard either.
constexpr core::millis partial_change_time{15'000};

// Time for which all voters are live before recent reads are no longer needed.
constexpr core::millis all_heard_time{10'000};

// Each further host in the order waits this much longer before it makes the
// same change; a conditional write and its announcement take about 20 ms.
constexpr core::millis rank_delay{200};

/// The first step of a change to these voters; empty when it changes nothing.
std::optional<voter_set> change_to(const voter_change_view& view,
                                   std::set<std::string> names)
{
    if (names == view.voters.names || names.empty())
        return std::nullopt;
    voter_set changed{0, std::move(names), view.voters.names};
    changed.needs_recent_reads =
        !std::all_of(changed.names.begin(), changed.names.end(),
                     [&](const std::string& name) { return view.lives(name); });
    changed.previous_need_recent_reads =
        view.voters.needs_recent_reads || view.voters.names.contains(view.self);
    return changed;
}

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
    const auto last_confirmation = view.voters.previous_need_recent_reads
                                       ? voter_set::max_read_age
                                       : voter_set::max_outage;
    const bool reads_too_old =
        now - m_known_since > last_confirmation + read_age_slack + lease_time;
    if (!leases_over && !reads_too_old)
        return std::nullopt;
    auto completed = view.voters;
    completed.previous.clear();
    completed.previous_need_recent_reads = false;
    return completed;
}

std::optional<voter_set>
voter_change::replace(const voter_change_view& view,
                      const std::set<std::string>& absent) const
{
    auto names = view.voters.names;
    for (const auto& name : absent)
        names.erase(name);
    members candidates;
    for (const auto& [name, host] : view.registered)
        if (!names.contains(name) && view.heard.contains(name))
            candidates.emplace(name, host);
    const auto wanted = std::min(m_options.voter_count, view.registered.size());
    if (names.size() < wanted)
        names.merge(choose_voters(candidates, wanted - names.size()));
    return change_to(view, std::move(names));
}

// Waits until all voters of the changed set are heard: while hosts are being
// lost one after the other, it may be without a majority again before it is in
// force, and the next change has to wait for this one.
std::optional<voter_set>
voter_change::replace_lost_majority(const voter_change_view& view,
                                    core::boot_instant now) const
{
    auto changed = replace(view, view.urgently_absent);
    if (!changed ||
        view.contact.is_without_majority(partial_change_time, now) ||
        std::all_of(changed->names.begin(), changed->names.end(),
                    [&](const std::string& name) { return view.lives(name); }))
        return changed;
    return std::nullopt;
}

// Hosts that do not vote send each other no heartbeats, so the new voters are
// chosen among all registered ones.
std::optional<voter_set>
voter_change::replace_all(const voter_change_view& view) const
{
    if (view.urgently_absent.empty())
        return std::nullopt;
    members candidates;
    for (const auto& [name, host] : view.registered)
        if (!view.voters.names.contains(name))
            candidates.emplace(name, host);
    return change_to(view, choose_voters(candidates, m_options.voter_count));
}

// Voters confirm records without recent reads only while all of them live: once
// a majority is lost, the hosts that are left must not wait for the longest
// outage.
std::optional<voter_set>
voter_change::update_read_rule(const voter_change_view& view,
                               core::boot_instant now) const
{
    const bool needs_recent_reads = view.voters.needs_recent_reads;
    const bool is_due =
        needs_recent_reads
            ? view.contact.is_with_all(all_heard_time, now)
            : view.contact.is_without_majority(lost_majority_time, now);
    if (!is_due)
        return std::nullopt;
    auto changed = view.voters;
    changed.needs_recent_reads = !needs_recent_reads;
    return changed;
}

std::optional<voter_set> voter_change::next(const voter_change_view& view,
                                            core::boot_instant now)
{
    const bool is_known = view.voters.version != 0;
    if (view.is_without_voters)
        return view.voters.is_joint() ? complete(view, now) : replace_all(view);
    if (is_known && view.row_version != view.voters.version)
        return view.voters;
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
    if (auto changed = update_read_rule(view, now))
        return changed;
    if (view.contact.is_without_majority(lost_majority_time, now))
        return replace_lost_majority(view, now);
    if (now - m_known_since < min_change_interval)
        return std::nullopt;
    return replace(view, view.absent);
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
