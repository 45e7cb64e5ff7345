#pragma once

#include <plantainward/core/last_error.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/fleet/member.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>

namespace plantainward::fleet
{

/// The hosts whose agreement proves which record of a primary is current.
///
/// All hosts share one set, which is a row of the table service and is changed
/// only by conditional writes. A change is made in two steps, so that no two
/// quorums miss each other: the changed set first keeps the voters that it
/// replaces as `previous`, and drops them once no proof of theirs can be valid.
struct voter_set
{
    /// Version of the row; 0: no set is known.
    std::uint64_t version{0};
    std::set<std::string> names;
    /// Voters before the last change, while proofs of theirs may be valid: a
    /// claim needs a majority of these too. Empty after the second step.
    std::set<std::string> previous;
    /// Every voter must have read the records lately to confirm one. Otherwise
    /// all voters together may confirm one for `max_outage` without a read.
    bool needs_recent_reads{false};
    /// The same for the previous voters. Also set when one of them made the
    /// change, since it no longer confirms under the set before.
    bool previous_need_recent_reads{false};

    /// Longest time since its last read of the records for which a voter
    /// confirms one, while not all voters do: above the longest outage of the
    /// table service (9 s) together with the interval between reads.
    static constexpr core::millis max_read_age{15'000};

    /// The same while all voters confirm a record together.
    static constexpr core::millis max_outage{300'000};

    /// Whether the set is between the two steps of a change.
    bool is_joint() const { return !previous.empty(); }

    /// Whether a host votes, or voted before a change that is not complete.
    bool has_voted(const std::string& name) const
    {
        return names.contains(name) || previous.contains(name);
    }

    bool operator==(const voter_set&) const = default; // NOLINT

    /// The version is that of the row and no part of its value.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(names, previous, needs_recent_reads,
                previous_need_recent_reads);
    }
};

/// The shared row of the voter set as one read of the table service showed it.
struct voter_row
{
    /// 0: the row does not exist.
    std::uint64_t version{0};
    /// Empty when the row does not exist or is damaged.
    std::optional<voter_set> voters;
    /// The table service has returned from a copy, and this row with it: the
    /// set may have been changed since the copy was made.
    bool is_restored{false};
};

/// Limits of the voter set.
struct voter_options
{
    /// Size of the largest fleet in which every host votes when the set is
    /// created; in a larger one, heartbeats between all hosts would cost more
    /// than the requests.
    std::size_t max_voting_hosts{26};
    /// Number of voters of a larger fleet; it tolerates the loss of seven at
    /// once.
    std::size_t voter_count{15};
};

/// Whether more than half of the names satisfy the condition.
template <std::predicate<const std::string&> Condition>
bool has_majority(const std::set<std::string>& names, Condition condition)
{
    const auto count = std::count_if(names.begin(), names.end(), condition);
    return static_cast<std::size_t>(count) * 2 > names.size();
}

/// Chooses up to `count` hosts, spread evenly over the failure domains; in each
/// domain, hosts with more processor time are more likely to be chosen.
std::set<std::string> choose_voters(const members& hosts, std::size_t count);

} // namespace plantainward::fleet
