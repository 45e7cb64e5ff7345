#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/membership/member_table.hpp>
#include <plantainward/membership/message.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace plantainward::membership
{

/// Timing and fan-out of the membership protocol.
struct membership_options
{
    /// Time between the probes that a host starts.
    core::millis period{500};
    /// Time for the ack of a direct ping; other hosts are asked to ping the
    /// target when it passes.
    core::millis ack_timeout{150};
    /// Time from the direct ping for any ack; the target is suspected when it
    /// passes.
    core::millis probe_timeout{450};
    /// Time for a suspected host to refute before it is declared dead.
    core::millis refutation_timeout{2000};
    /// Time after which a host that is dead or has left is removed.
    core::millis departed_retention{60'000};
    /// Time between pings of dead hosts and of listed hosts that are dead or
    /// unknown; they let the sides of a partition find each other again.
    core::millis rejoin_interval{2000};
    /// Hosts that are asked to ping a target that does not answer.
    std::size_t indirect_probes{2};
    std::size_t updates_per_message{5};
    /// Hosts that are pinged at once about a new revision, and missing hosts
    /// that are pinged after each `rejoin_interval`.
    std::size_t push_fan_out{3};
};

/// Sends a datagram.
struct send_action
{
    core::address destination;
    message datagram;
};

/// Asks for a fetch of a newer revision of the configuration from a peer.
struct fetch_action
{
    core::host from;
    std::uint64_t revision;
};

/// Reports that a host has joined or left the live hosts, or is suspected.
struct change_action
{
    member_update update;
};

/// Delivers an application payload from a peer, identified by its name.
struct notice_action
{
    std::string from;
    std::string payload;
};

using action =
    std::variant<send_action, fetch_action, change_action, notice_action>;
using actions = std::vector<action>;

/// Membership by random probing, with suspicion and refutation.
///
/// A host sends a constant number of datagrams a second, whatever the size of
/// the fleet; each carries updates about other hosts. A wrong view does no
/// harm, since it only decides to which host work is sent first.
///
/// The caller carries out the actions that the functions return.
class membership
{
public:
    membership(core::host self, std::uint64_t incarnation,
               membership_options options, std::uint64_t seed);

    /// Replaces the hosts of the platform's list, which are pinged until known.
    void set_listed(std::vector<core::host> hosts);

    actions on_tick(core::instant now);
    actions on_message(const message& datagram, core::instant now);

    /// Sets the revision in force here and pings a few hosts to spread it.
    actions set_revision(std::uint64_t revision);

    /// Sends a payload once to each of these hosts, except this one.
    actions notify(const std::vector<core::host>& hosts,
                   const std::string& payload);

    /// Announces to some hosts that this host leaves.
    actions leave();

    /// The live hosts, including this one unless it has left.
    std::vector<core::host> live() const;

    std::uint64_t incarnation() const { return m_self.incarnation; }

private:
    struct probe
    {
        core::host target;
        std::uint64_t sequence{0};
        core::instant sent_at;
        bool is_indirect{false};
    };

    struct indirect_ping
    {
        std::uint64_t sequence{0};
        std::uint64_t requester_sequence{0};
        core::address requester;
        core::instant started_at;
    };

    void send(const core::address& destination, message_kind kind,
              std::uint64_t sequence, const core::host& target = {});
    void attach_suspicion(const std::string& name);
    void apply_update(const member_update& update, core::instant now);
    void check_probe(core::instant now);
    void start_probe(core::instant now);
    void ping_missing_hosts(core::instant now);
    std::optional<core::host> next_target();
    std::vector<core::host> random_hosts(std::size_t count,
                                         const std::string& except);
    actions collect_actions() { return std::exchange(m_actions, {}); }

    member_update m_self;
    membership_options m_options;
    std::mt19937_64 m_random;
    member_table m_table;
    std::vector<core::host> m_listed;
    std::vector<core::host> m_probe_order;
    std::optional<probe> m_probe;
    std::vector<indirect_ping> m_indirect_pings;
    std::uint64_t m_last_sequence{0};
    std::uint64_t m_revision{0};
    core::instant m_last_probe;
    core::instant m_last_rejoin;
    actions m_actions;
};

} // namespace plantainward::membership
