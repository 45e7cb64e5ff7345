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

/// Timing of the membership protocol.
struct membership_options
{
    /// Between the pings that a host sends.
    core::millis period{500};
    /// Time for a direct answer before others are asked to ping.
    core::millis ack_timeout{150};
    /// Time for any answer before a host is suspected.
    core::millis suspect_after{450};
    /// Time in which a suspected host can refute.
    core::millis refute_time{2000};
    /// Time after which a dead host is forgotten.
    core::millis forget_after{60'000};
    /// Between pings of hosts that are listed or dead, which mend partitions.
    core::millis mend_interval{2000};
    std::size_t helpers{2};
    std::size_t news_per_message{5};
    /// Hosts told at once of a new revision.
    std::size_t push_fan_out{3};
};

/// Sends a datagram.
struct send_action
{
    core::address destination;
    message datagram;
};

/// A peer has a newer revision of the configuration.
struct fetch_action
{
    core::host from;
    std::uint64_t revision;
};

/// The set of live hosts has changed.
struct change_action
{
    member_update update;
};

/// A peer has sent an application payload.
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
/// the fleet; news travels on them. Wrong views are harmless: they decide only
/// where work is sent first.
class membership
{
public:
    membership(core::host self, std::uint64_t incarnation,
               membership_options options, std::uint64_t seed);

    /// Takes hosts of the platform's list as ones to try.
    void set_listed(std::vector<core::host> hosts);

    actions on_tick(core::instant now);
    actions on_message(const message& what, core::instant now);

    /// A new revision is in force here; tells a few hosts at once.
    actions set_revision(std::uint64_t revision);

    /// Sends a payload to some hosts.
    actions notify(const std::vector<core::host>& hosts,
                   const std::string& payload);

    /// Tells others that this host leaves.
    actions leave();

    /// The live hosts, this one included unless it leaves.
    std::vector<core::host> live() const;

    std::uint64_t incarnation() const { return m_self.incarnation; }

private:
    struct probe
    {
        core::host target;
        std::uint64_t sequence{0};
        core::instant sent;
        bool asked_others{false};
    };

    struct relay
    {
        std::uint64_t sequence{0};
        std::uint64_t asked_sequence{0};
        core::address asker;
        core::instant since;
    };

    void send(const core::address& where, message_kind kind,
              std::uint64_t sequence, const core::host& target = {});
    void tell_of_suspicion(const std::string& name);
    void take_news(const member_update& news, core::instant now);
    void check_probe(core::instant now);
    void start_probe(core::instant now);
    void mend(core::instant now);
    std::optional<core::host> next_target();
    std::vector<core::host> random_hosts(std::size_t count,
                                         const std::string& except);
    actions take() { return std::exchange(m_out, {}); }

    member_update m_self;
    membership_options m_options;
    std::mt19937_64 m_random;
    member_table m_table;
    std::vector<core::host> m_listed;
    std::vector<core::host> m_round;
    std::optional<probe> m_probe;
    std::vector<relay> m_relays;
    std::uint64_t m_last_sequence{0};
    std::uint64_t m_revision{0};
    core::instant m_last_probe;
    core::instant m_last_mend;
    actions m_out;
};

} // namespace plantainward::membership
