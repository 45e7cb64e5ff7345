#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/fleet/heartbeat.hpp>
#include <plantainward/fleet/voter_contact.hpp>
#include <plantainward/fleet/voter_set.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainward::fleet
{

/// Timing of the heartbeats.
struct fleet_options
{
    /// Interval between heartbeats to each member. Five of them fit into the
    /// validity of a lease, so that lost datagrams don't end it.
    core::millis heartbeat_interval{300};
    /// Time without a heartbeat after which a member no longer counts as live.
    core::millis live_timeout{1000};
    /// Time without a heartbeat after which a member's registration may be
    /// removed.
    core::millis removal_timeout{8000};
    /// Time within which a member that needs proofs has sent a heartbeat to
    /// each voter, also when datagrams are lost.
    core::millis hearing_time{10'000};
    /// The same while no majority of the voters is heard, when hosts are being
    /// lost: a lost host must not be chosen as a voter.
    core::millis urgent_hearing_time{5000};
    /// Time for which a voter is unregistered before it counts as gone; longer
    /// than a restart takes.
    core::millis absence_timeout{20'000};
    /// The same while no majority of the voters is heard; longer than a live
    /// host takes to register again after its registration was removed.
    core::millis urgent_absence_timeout{5000};
    /// Time within which a live host registers again. Where no majority is
    /// heard, one voter's registration is removed first, and those of the
    /// other silent voters only if it does not come back.
    core::millis return_timeout{3000};
    /// Time after the return of a voter for which a host without heartbeats of
    /// a majority removes no further one, since it may itself be cut off.
    core::millis return_pause{10'000};
    /// Time between the first and the last read of one version of the voter
    /// set after which no write of an earlier process of this host can still
    /// be performed.
    core::millis late_write_time{30'000};
    /// Number of live voters to which a member that does not vote sends
    /// heartbeats; in addition each round tries another voter.
    std::size_t source_count{2};
};

/// What this host knows of a member from its heartbeats.
struct peer_state
{
    core::address address;
    std::string failure_domain;
    /// Last heartbeat received; its sequence is 0 if there is none.
    heartbeat last;
    core::boot_instant received_at{};
    /// When this host sent the latest heartbeat that the peer has echoed: what
    /// the peer's last heartbeat says was true at this instant or later.
    core::boot_instant confirmed_at{};
    /// When the member was first in this host's list.
    core::boot_instant listed_at{};
    /// Version of the newest record of each service that the member knows; a
    /// heartbeat may leave out services.
    std::map<service_key, std::uint64_t> known_versions;
};

/// The members of the fleet, their last heartbeats, and which records they
/// confirm as current.
///
/// Only members of the shared voter set vote and replace primaries. The others
/// send heartbeats to a few voters and rely on the proofs of these. A quorum is
/// a majority of one version of the set; members that know another version do
/// not count.
///
/// Clocks of other hosts are never compared with this host's: a heartbeat is
/// dated by the instant at which this host sent the heartbeat that it echoes.
class fleet_view
{
public:
    fleet_view(std::string self, std::uint64_t incarnation,
               fleet_options options);

    /// Replaces the list of registered members, in which this host may stand.
    void set_members(const members& listed, core::boot_instant now);

    /// Replaces the voter set; ignores one that is not newer.
    void set_voters(const voter_set& voters);

    /// Notes that this host has read all shared records, no earlier than `at`,
    /// together with the voter set of this version. Until it has done so for
    /// the newest set, it confirms nothing: a claim that was made before a
    /// change of the set must be known to every voter of the changed set.
    void note_records_read(std::uint64_t voters_version, core::boot_instant at);

    /// Notes that this host is about to change the set. From now on it confirms
    /// records under the present version only with a recent read, so that the
    /// voters can't confirm one all together without a read.
    void note_voters_write();

    /// Updates `contact`; called at least once per heartbeat.
    void update_contact(core::boot_instant now);

    /// Whether this host does not vote, and no voter has answered it for so
    /// long that all of them may be lost.
    bool is_without_voters(core::boot_instant now) const;

    /// Since when no voter, no majority, or all of them have been live.
    const voter_contact& contact() const { return m_contact; }

    /// Version of the voter set that was read together with the records.
    std::uint64_t read_voters_version() const { return m_read_voters_version; }

    /// Instant at or after which this host last read all shared records.
    core::boot_instant records_read_at() const { return m_records_read_at; }

    /// Sets whether this host needs proofs of records. A host that needs none
    /// and does not vote sends no heartbeats of its own accord.
    void set_needs_proofs(bool needs) { m_needs_proofs = needs; }

    /// Whether heartbeats to a member include a service: voters get all
    /// services, other members those that their own heartbeats include.
    bool is_interested_in(const std::string& member,
                          const std::string& service) const;

    /// Starts a round of heartbeats, which all carry the same sequence.
    void start_round(core::boot_instant now);

    /// The heartbeat for one member, without the state of services.
    heartbeat make_heartbeat(const std::string& member,
                             core::boot_instant now) const;

    /// Handles a heartbeat; false when it is older than the last one or its
    /// sender is not registered.
    bool on_heartbeat(const heartbeat& message, core::boot_instant now);

    /// Members to which this host sends heartbeats in this round.
    std::vector<std::string> targets(core::boot_instant now) const;

    /// Whether this host votes.
    bool is_voter() const { return m_voters.names.contains(m_self); }

    /// The latest instant at which the record of this version was proved
    /// current, by this host's quorum or by a voter that reports a proof. Empty
    /// without a proof.
    std::optional<core::boot_instant>
    proof_instant(const std::string& service, std::uint64_t version,
                  core::boot_instant now) const;

    /// The latest instant at which a majority of the voters, this host
    /// included, knew the same voter set and no newer record than `version`.
    /// Empty without such a quorum, and for a host that does not vote.
    std::optional<core::boot_instant>
    quorum_instant(const std::string& service, std::uint64_t version,
                   core::boot_instant now) const;

    /// The latest instant at or after which a majority of the voters, this host
    /// included, had the same voter set, which they had read lately, or all had
    /// it; while a change of the set is not complete, the previous voters too.
    /// Empty without such a majority, and for a host that does not vote.
    std::optional<core::boot_instant>
    majority_instant(core::boot_instant now) const;

    /// Version of the newest record of a service that a member is known to
    /// have; 0: none.
    std::uint64_t version_known_by(const std::string& member,
                                   const std::string& service) const;

    /// Whether no quorum can prove an older record than this version any more:
    /// a majority of the voters, and of the previous ones while a change of the
    /// set is not complete, knows it. A host that knows no record yet does not
    /// count, since its read may still return an older one; nor does one that
    /// is not registered, since it may live without the table service.
    bool majority_acknowledged(const std::string& service,
                               std::uint64_t version) const;

    /// Whether a majority of the previous voters knows the newest set.
    bool previous_voters_informed() const;

    /// Whether a majority of the voters is live.
    bool hears_majority(core::boot_instant now) const;

    /// Whether enough voters are live to acknowledge a claim.
    bool can_reach_majority(core::boot_instant now) const;

    /// Voters that have been unregistered for longer than a restart takes.
    std::set<std::string> absent_voters(core::boot_instant now) const;

    /// All unregistered voters, once one of them has been unregistered for
    /// longer than a live host takes to register again; empty until then.
    std::set<std::string> urgently_absent_voters(core::boot_instant now) const;

    /// Newest version of the voter set that a peer's heartbeat has shown.
    std::uint64_t newest_voters_version() const
    {
        return m_newest_voters_version;
    }

    /// When a heartbeat first showed this version.
    core::boot_instant newest_voters_shown_at() const
    {
        return m_newest_voters_shown_at;
    }

    /// Whether every registered host, and every host that left the list within
    /// the validity of a lease, knows this version or a newer one.
    bool all_acknowledged(const std::string& service, std::uint64_t version,
                          core::boot_instant now) const;

    /// Names of the hosts that keep `all_acknowledged` false: registered ones
    /// and ones that left the list lately.
    std::vector<std::string> unacknowledged(const std::string& service,
                                            std::uint64_t version,
                                            core::boot_instant now) const;

    /// Address of a host that is registered or left the list lately; empty for
    /// any other.
    std::optional<core::address> address_of(const std::string& member) const;

    /// Number of live voters, without this host, that know this version and
    /// suspect its primary.
    std::size_t suspecting_hosts(const std::string& service,
                                 std::uint64_t version,
                                 core::boot_instant now) const;

    /// Number of live voters, without this host, that watch the primary of a
    /// service.
    std::size_t watchers(const std::string& service,
                         core::boot_instant now) const;

    /// Whether a member's last heartbeat says that it cannot replace the
    /// primary of a service.
    bool cannot_write(const std::string& member,
                      const std::string& service) const;

    const voter_set& voters() const { return m_voters; }

    /// Names of this host and of the live voters, sorted.
    std::vector<std::string> live_voters(core::boot_instant now) const;

    /// Names of this host and of the members that have sent it a heartbeat
    /// within the hearing time.
    std::set<std::string> heard_members(core::boot_instant now) const;

    /// Names of the voters that have sent no heartbeat for so long that their
    /// registrations may be removed. A voter without heartbeats of a majority,
    /// and another host without heartbeats of any voter, may itself be cut off:
    /// it names one voter, and the others only if that one does not register
    /// again.
    std::vector<std::string> lost_voters(core::boot_instant now) const;

    /// Number of registered members, this host included.
    std::size_t member_count() const { return m_peers.size() + 1; }

    const std::map<std::string, peer_state>& peers() const { return m_peers; }

private:
    struct sent_round
    {
        std::uint32_t sequence{0};
        core::boot_instant at;
    };

    struct departed_member
    {
        peer_state peer;
        core::boot_instant departed_at;
    };

    void update_sources();
    void update_absences(core::boot_instant now);
    bool is_live(const peer_state& peer, core::boot_instant now) const;
    bool is_live(const std::string& name, core::boot_instant now) const;
    bool is_absent(const std::string& name, core::millis timeout,
                   core::boot_instant now) const;
    std::set<std::string> absent_voters(core::millis timeout,
                                        core::boot_instant now) const;
    std::vector<std::string> silent_voters(core::boot_instant now) const;
    bool has_read_lately(core::boot_instant now) const;
    bool confirms_with_all(core::boot_instant now) const;
    bool confirms(const std::string& name, const peer_state& peer,
                  const std::string& service, std::uint64_t version) const;
    std::optional<core::boot_instant> sent_at(std::uint32_t sequence) const;

    std::string m_self;
    std::string m_failure_domain;
    std::uint64_t m_incarnation;
    fleet_options m_options;
    std::map<std::string, peer_state> m_peers;
    /// Hosts that are no longer listed but may still hold a lease.
    std::map<std::string, departed_member> m_departed;
    voter_set m_voters;
    /// Version of the set that this host read together with the records.
    std::uint64_t m_read_voters_version{0};
    core::boot_instant m_records_read_at{};
    /// When this host first read that version.
    core::boot_instant m_voters_first_read_at{};
    /// Version of the set when this host last began to change it.
    std::uint64_t m_changed_voters_version{0};
    std::uint64_t m_newest_voters_version{0};
    core::boot_instant m_newest_voters_shown_at{};
    voter_contact m_contact;
    /// Since when voters have not been registered.
    std::map<std::string, core::boot_instant> m_absent_since;
    /// When a voter was last registered again.
    std::optional<core::boot_instant> m_last_return;
    /// Voters in the order in which this host sends them heartbeats: one of
    /// the own failure domain comes first.
    std::vector<std::string> m_sources;
    std::uint32_t m_sequence{0};
    bool m_needs_proofs{true};
    std::deque<sent_round> m_rounds;
};

} // namespace plantainward::fleet
