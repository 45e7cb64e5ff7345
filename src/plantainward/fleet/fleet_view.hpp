#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/fleet/heartbeat.hpp>

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
    /// Between the heartbeats to each member. Five fit into the validity of a
    /// lease, so that lost datagrams don't end it.
    core::millis interval{300};
    /// Silence after which a member doesn't count as live.
    core::millis live_window{1000};
    /// Silence after which a live member's record may be removed.
    core::millis forget_after{8000};
    /// Largest fleet in which every member votes; above it the heartbeats
    /// between all would cost more than the requests.
    std::size_t most_all_voting{26};
    /// Voters of a larger fleet: bears the loss of four at once.
    std::size_t voters{15};
    /// Voters from which another member hears; one is tried anew each round.
    std::size_t sources{2};
};

/// A member as its heartbeats show it.
struct peer_state
{
    core::address address;
    /// Last heartbeat; its sequence is 0 when none has come.
    heartbeat last;
    core::boot_instant heard_at{};
    /// This host sent the heartbeat that the peer echoed then, so all that
    /// the peer's last heartbeat says was true at this instant or later.
    core::boot_instant confirmed_at{};
    /// First time that the member was listed here.
    core::boot_instant listed_at{};
    /// Newest record that the member knows of each service; a heartbeat may
    /// leave out services.
    std::map<service_key, std::uint64_t> known_versions;
};

/// The members of the fleet, what they say, and what they confirm.
///
/// In a large fleet some members vote and replace primaries; the others send
/// heartbeats to a few voters and rest on what these have proved.
///
/// Instants of other hosts are never used: what a peer says is dated by the
/// heartbeat of this host that the peer echoes.
class fleet_view
{
public:
    fleet_view(std::string self, std::uint64_t incarnation,
               fleet_options options);

    /// Takes the registered members; this host is left out.
    void set_members(const members& all, core::boot_instant now);

    /// Whether this host needs proofs of records. One that does not, and does
    /// not vote, sends heartbeats only when it is asked.
    void set_needs_proofs(bool needs) { m_needs_proofs = needs; }

    /// Whether a member is told of a service: voters of all, others of those
    /// that they name.
    bool is_told_of(const std::string& member,
                    const std::string& service) const;

    /// Starts a round of heartbeats; the same sequence goes to all members.
    void start_round(core::boot_instant now);

    /// The heartbeat for one member, without the sender's news.
    heartbeat make_for(const std::string& member) const;

    /// Takes a heartbeat; false when it is old or of an unknown member.
    bool on_heartbeat(const heartbeat& one, core::boot_instant now);

    /// Members to which this host sends heartbeats in this round.
    std::vector<std::string> targets(core::boot_instant now) const;

    /// Whether this host votes.
    bool is_voter() const { return m_voters.contains(m_self); }
    /// Whether every member votes.
    bool all_vote() const { return m_voters.size() == member_count(); }

    /// The latest instant at which the record of this version was proved
    /// current: to a voter by its quorum, to another member by a voter.
    std::optional<core::boot_instant>
    proof_instant(const std::string& service, std::uint64_t version,
                  core::boot_instant now) const;

    /// The latest instant at which more than two thirds of the voters, this
    /// host included, knew of no newer record than `version`.
    std::optional<core::boot_instant>
    quorum_instant(const std::string& service, std::uint64_t version,
                   core::boot_instant now) const;

    /// Version of the record of a service that a member is known to know.
    std::uint64_t version_known_by(const std::string& member,
                                   const std::string& service) const;

    /// Voters, this host included, that know this version or a newer one. A
    /// host that knows no record yet may still be answered with an older one.
    std::size_t voters_acknowledged(const std::string& service,
                                    std::uint64_t version) const;

    /// Whether every registered host, and every one that left the list within
    /// the validity of a lease, knows this version or a newer one.
    bool all_acknowledged(const std::string& service, std::uint64_t version,
                          core::boot_instant now) const;

    /// Hosts, with those that left lately, that are not known to know this
    /// version of a record.
    std::vector<std::string> unacknowledged(const std::string& service,
                                            std::uint64_t version,
                                            core::boot_instant now) const;

    /// Where a host is reached that is registered or left lately.
    std::optional<core::address> address_of(const std::string& member) const;

    /// Live voters that doubt the primary of this record; without this host.
    std::size_t suspecting_hosts(const std::string& service,
                                 std::uint64_t version,
                                 core::boot_instant now) const;

    /// Live voters that watch the primary of a service; without this host.
    std::size_t watchers(const std::string& service,
                         core::boot_instant now) const;

    /// Whether a member has told that it can't write a service's record.
    bool cannot_write(const std::string& member,
                      const std::string& service) const;

    /// Names of all voters.
    const std::set<std::string>& voters() const { return m_voters; }

    /// Names of the live voters, this host included, in order.
    std::vector<std::string> live(core::boot_instant now) const;

    /// Voters that have been silent for so long that they may be removed.
    std::vector<std::string> lost(core::boot_instant now) const;

    /// Registered members, this host included.
    std::size_t member_count() const { return m_peers.size() + 1; }

    /// Voters, this host included if it is one.
    std::size_t voter_count() const { return m_voters.size(); }

    const std::map<std::string, peer_state>& peers() const { return m_peers; }

private:
    struct sent_round
    {
        std::uint32_t sequence{0};
        core::boot_instant at;
    };

    struct left_member
    {
        peer_state peer;
        core::boot_instant left_at;
    };

    void choose_voters();
    bool is_live(const peer_state& peer, core::boot_instant now) const;
    std::optional<core::boot_instant> sent_at(std::uint32_t sequence) const;

    std::string m_self;
    std::uint64_t m_incarnation;
    fleet_options m_options;
    std::map<std::string, peer_state> m_peers;
    /// Hosts that are no longer listed and may still hold a lease.
    std::map<std::string, left_member> m_left;
    std::set<std::string> m_voters;
    /// Voters in the order in which this host asks them.
    std::vector<std::string> m_sources;
    std::uint32_t m_sequence{0};
    bool m_needs_proofs{true};
    std::deque<sent_round> m_rounds;
};

} // namespace plantainward::fleet
