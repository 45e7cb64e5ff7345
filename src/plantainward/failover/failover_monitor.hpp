#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/failover/action.hpp>
#include <plantainward/failover/claim.hpp>
#include <plantainward/failover/failover_options.hpp>
#include <plantainward/failover/liveness.hpp>
#include <plantainward/upstream/service_layout.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainward::failover
{

/// Watches the databases of one service and replaces lost primaries.
///
/// It has no sockets, threads or clock: each call passes the current time and
/// returns the actions that the host is to carry out. Any number of hosts may
/// watch the same service at the same time: only the majority that grants a
/// term decides which of them promotes a database.
class failover_monitor
{
public:
    failover_monitor(upstream::service_layout layout, failover_options options,
                     core::instant now);

    // Not copyable: running claims refer to the layout and the options.
    failover_monitor(const failover_monitor&) = delete;
    failover_monitor& operator=(const failover_monitor&) = delete;

    /// Sets the hosts that watch the service, in the order in which they claim.
    /// A host that isn't among them probes, but sends no opinions, starts no
    /// claims and repairs no replicas.
    void set_watchers(std::vector<std::string> ranked, const std::string& self);

    /// Replaces the layout by a changed one of the same databases.
    void set_layout(const upstream::service_layout& layout, core::instant now);

    /// Called when a probe has ended.
    actions on_probe(std::size_t database,
                     const upstream::control_result& result, core::instant now);

    /// Called when a control order has ended.
    actions on_control(std::size_t database, std::uint64_t claim_number,
                       const upstream::control_result& result,
                       core::instant now);

    /// Called when another watcher has sent its opinion.
    actions on_opinion(const std::string& watcher,
                       const opinion& watcher_opinion, core::instant now);

    /// Called when another part of this host couldn't reach a database, which
    /// is then probed at once.
    actions on_suspect_report(std::size_t database, core::instant now);

    /// Sends due probes and checks all time-outs; to be called about every 10
    /// ms.
    actions on_tick(core::instant now);

    /// Whether this host suspects the primary of a slot.
    bool suspects_primary(int slot) const
    {
        return m_slots.at(static_cast<std::size_t>(slot))
            .suspected_since.has_value();
    }

private:
    struct member
    {
        upstream::slot_status status;
        bool known{false};
        /// When it stopped following the primary; empty while it follows.
        std::optional<core::instant> not_following_since;
        core::instant repaired_at;
    };

    struct slot_state
    {
        std::vector<member> members;
        std::optional<core::instant> vacant_since;
        std::optional<core::instant> suspected_since;
        std::optional<core::instant> agreed_since;
        core::instant opinion_sent_at;
        /// For each other watcher the time of its last opinion that suspects
        /// the current primary.
        std::map<std::string, core::instant> suspecting_watchers;
        std::optional<claim> running_claim;
        core::instant no_claim_before;
    };

    slot_state& slot(std::size_t index) { return m_slots[index]; }
    void record_status(std::size_t database,
                       const upstream::control_result& result);
    upstream::term_number highest_granted(const slot_state& state) const;
    std::optional<std::size_t> primary_of(const slot_state& state) const;
    std::string suspicion_reason(std::size_t index, core::instant now) const;
    bool is_cut_off(const slot_state& state, std::size_t primary,
                    core::instant now) const;
    void update_suspicion(std::size_t index, core::instant now);
    void withdraw_suspicion(std::size_t index, core::instant now);
    void send_opinion(std::size_t index, bool suspects, core::instant now);
    std::size_t watchers_in_agreement(const slot_state& state,
                                      core::instant now) const;
    void consider_claim(std::size_t index, core::instant now);
    void consider_handover(std::size_t index, core::instant now);
    void start_claim(std::size_t index, claim_plan plan, core::instant now);
    void check_claim(std::size_t index, core::instant now);
    void repair_followers(std::size_t index, core::instant now);
    bool follows(const slot_state& state, std::size_t index,
                 upstream::term_number term) const;
    core::millis rank_wait() const
    {
        return m_options.rank_backoff *
               static_cast<core::millis::rep>(m_rank.value_or(0));
    }
    void probe(core::instant now);
    void reset_after_own_pause(core::instant now);
    void record_event(observe::event_kind kind, std::size_t index,
                      std::string reason);
    actions collect_actions() { return std::exchange(m_out, {}); }

    upstream::service_layout m_layout;
    failover_options m_options;
    std::vector<slot_state> m_slots;
    std::vector<liveness> m_liveness;
    std::vector<std::optional<core::instant>> m_leaving_since;
    std::size_t m_watchers{1};
    std::optional<std::size_t> m_rank;
    std::uint64_t m_last_claim_number{0};
    core::instant m_last_tick;
    actions m_out;
};

} // namespace plantainward::failover
