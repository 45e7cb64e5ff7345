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
    /// Interval between heartbeats to each member. Five of them fit into the
    /// validity of a lease, so that lost datagrams don't end it.
    core::millis heartbeat_interval{300};
    /// Time without a heartbeat after which a member no longer counts as live.
    core::millis live_timeout{1000};
    /// Time without a heartbeat after which a member's registration may be
    /// removed.
    core::millis removal_timeout{8000};
    /// Size of the largest fleet in which every member votes; in a larger one,
    /// heartbeats between all members would cost more than the requests.
    std::size_t max_voting_members{26};
    /// Number of voters of a larger fleet; it tolerates the loss of four at
    /// once.
    std::size_t voter_count{15};
    /// Number of live voters to which a member that does not vote sends
    /// heartbeats; in addition each round tries another voter.
    std::size_t source_count{2};
};

/// What this host knows of a member from its heartbeats.
struct peer_state
{
    core::address address;
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
/// In a large fleet only some members vote and replace primaries. The others
/// send heartbeats to a few voters and rely on the proofs of these.
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
    heartbeat make_heartbeat(const std::string& member) const;

    /// Handles a heartbeat; false when it is older than the last one or its
    /// sender is not registered.
    bool on_heartbeat(const heartbeat& message, core::boot_instant now);

    /// Members to which this host sends heartbeats in this round.
    std::vector<std::string> targets(core::boot_instant now) const;

    /// Whether this host votes.
    bool is_voter() const { return m_voters.contains(m_self); }
    /// Whether every member votes.
    bool all_vote() const { return m_voters.size() == member_count(); }

    /// The latest instant at which the record of this version was proved
    /// current: to a voter by its quorum, to another member by a voter. Empty
    /// without a proof.
    std::optional<core::boot_instant>
    proof_instant(const std::string& service, std::uint64_t version,
                  core::boot_instant now) const;

    /// The latest instant at which more than two thirds of the voters, this
    /// host included, knew no newer record than `version`. Empty without such a
    /// quorum.
    std::optional<core::boot_instant>
    quorum_instant(const std::string& service, std::uint64_t version,
                   core::boot_instant now) const;

    /// Version of the newest record of a service that a member is known to
    /// have; 0: none.
    std::uint64_t version_known_by(const std::string& member,
                                   const std::string& service) const;

    /// Number of voters, this host included, that know this version or a newer
    /// one. A host that knows no record yet does not count, since its read may
    /// still return an older one.
    std::size_t voters_acknowledged(const std::string& service,
                                    std::uint64_t version) const;

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

    /// Names of all voters.
    const std::set<std::string>& voters() const { return m_voters; }

    /// Names of this host and of the live voters, sorted.
    std::vector<std::string> live_voters(core::boot_instant now) const;

    /// Names of the voters that have sent no heartbeat for so long that their
    /// registrations may be removed.
    std::vector<std::string> lost_voters(core::boot_instant now) const;

    /// Number of registered members, this host included.
    std::size_t member_count() const { return m_peers.size() + 1; }

    /// Number of voters, this host included if it is one.
    std::size_t voter_count() const { return m_voters.size(); }

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

    void choose_voters();
    bool is_live(const peer_state& peer, core::boot_instant now) const;
    std::optional<core::boot_instant> sent_at(std::uint32_t sequence) const;

    std::string m_self;
    std::uint64_t m_incarnation;
    fleet_options m_options;
    std::map<std::string, peer_state> m_peers;
    /// Hosts that are no longer listed but may still hold a lease.
    std::map<std::string, departed_member> m_departed;
    std::set<std::string> m_voters;
    /// Voters in the order in which this host sends them heartbeats.
    std::vector<std::string> m_sources;
    std::uint32_t m_sequence{0};
    bool m_needs_proofs{true};
    std::deque<sent_round> m_rounds;
};

} // namespace plantainward::fleet
