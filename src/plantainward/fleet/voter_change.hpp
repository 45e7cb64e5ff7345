#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/fleet/voter_contact.hpp>
#include <plantainward/fleet/voter_set.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace plantainward::fleet
{

/// What a host knows when it decides on a change of the voter set.
struct voter_change_view
{
    /// The newest set that this host knows.
    const voter_set& voters;
    /// Version of the shared row as this host last read it; another one than
    /// the set's when the row was removed or damaged.
    std::uint64_t row_version{0};
    const members& registered;
    /// Hosts that this host has lately received heartbeats from, itself
    /// included; only these become voters of an existing set.
    std::set<std::string> heard;
    /// Voters that have been unregistered for longer than a restart takes.
    std::set<std::string> absent;
    /// A majority of the previous voters knows the newest set, so that they
    /// confirm nothing under the earlier one any more.
    bool previous_informed{false};
    /// Position of this host in the order in which hosts change the set; 0
    /// comes first.
    std::size_t rank{0};
    std::string self{};
    /// Voters that are live, as far as this host knows, itself included.
    std::set<std::string> live{};
    /// Since when too few of them, or all, have been live.
    voter_contact contact{};
    /// All unregistered voters, once one of them has been unregistered for
    /// longer than a live host takes to register again.
    std::set<std::string> urgently_absent{};
    /// This host does not vote, and all voters seem to be lost.
    bool is_without_voters{false};

    /// Whether a voter, or a host that may become one, lives as far as known.
    /// Hosts that don't vote send heartbeats to each voter more rarely.
    bool lives(const std::string& name) const
    {
        return voters.names.contains(name) ? live.contains(name)
                                           : heard.contains(name);
    }
};

/// Decides when this host creates, changes or repairs the shared voter set.
///
/// The set changes rarely: a voter is replaced only after it has been
/// unregistered for longer than a restart takes, and a change begins only some
/// time after the one before. While no majority of the voters is heard, no
/// primary can be replaced, so the lost ones are replaced sooner; they may live
/// without the table service, so the second step waits until they confirm
/// nothing without having read the change.
class voter_change
{
public:
    explicit voter_change(voter_options options) : m_options(options) {}

    /// The set to write, if one is due; its condition is the view's
    /// `row_version`.
    std::optional<voter_set> tick(const voter_change_view& view,
                                  core::boot_instant now);

private:
    std::optional<voter_set> next(const voter_change_view& view,
                                  core::boot_instant now);
    std::optional<voter_set> complete(const voter_change_view& view,
                                      core::boot_instant now);
    std::optional<voter_set> replace(const voter_change_view& view,
                                     const std::set<std::string>& absent) const;
    std::optional<voter_set>
    replace_lost_majority(const voter_change_view& view,
                          core::boot_instant now) const;
    std::optional<voter_set> replace_all(const voter_change_view& view) const;
    std::optional<voter_set> update_read_rule(const voter_change_view& view,
                                              core::boot_instant now) const;

    voter_options m_options;
    std::uint64_t m_version{0};
    /// When this host learned of the newest set.
    core::boot_instant m_known_since{};
    /// When a majority of the previous voters was first known to know it.
    std::optional<core::boot_instant> m_informed_since;
    /// Since when a change has been due that this host has not made.
    std::optional<core::boot_instant> m_due_since;
};

} // namespace plantainward::fleet
