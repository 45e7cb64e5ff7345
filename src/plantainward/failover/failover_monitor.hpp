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
/// It holds no socket, thread or clock: each event comes with the time, and
/// what is to be done is returned. Any number of hosts may run one at once;
/// the grant of a term by a majority alone decides who promotes.
class failover_monitor
{
public:
    failover_monitor(upstream::service_layout layout, failover_options options,
                     core::instant now);

    // Claims under way refer to the layout and the options.
    failover_monitor(const failover_monitor&) = delete;
    failover_monitor& operator=(const failover_monitor&) = delete;

    /// Sets who watches the service, in the order of their claims. A host
    /// that is not among them only probes.
    void set_watchers(std::vector<std::string> ranked, const std::string& self);

    /// Takes a changed layout of the same databases.
    void set_layout(const upstream::service_layout& layout, core::instant now);

    /// A probe has ended.
    actions on_probe(std::size_t database,
                     const upstream::control_result& result, core::instant now);

    /// A control order has ended.
    actions on_control(std::size_t database, std::uint64_t claim_number,
                       const upstream::control_result& result,
                       core::instant now);

    /// Another watcher has sent its opinion.
    actions on_opinion(const std::string& watcher, const opinion& what,
                       core::instant now);

    /// Somebody on this host had trouble with a database.
    actions on_suspect_report(std::size_t database, core::instant now);

    /// Time has passed; to be called about every 10 ms.
    actions on_tick(core::instant now);

    /// Whether this host suspects the primary of a slot.
    bool is_suspect(int slot) const
    {
        return m_slots.at(static_cast<std::size_t>(slot))
            .suspected_since.has_value();
    }

private:
    struct member
    {
        upstream::slot_status status;
        bool known{false};
        /// Since when it does not follow the primary.
        std::optional<core::instant> astray_since;
        core::instant repaired;
    };

    struct slot_state
    {
        std::vector<member> members;
        std::optional<core::instant> vacant_since;
        std::optional<core::instant> suspected_since;
        std::optional<core::instant> agreed_since;
        core::instant told;
        /// When each other watcher last suspected the current primary.
        std::map<std::string, core::instant> suspecting;
        std::optional<claim> claiming;
        core::instant not_before;
    };

    slot_state& slot(std::size_t index) { return m_slots[index]; }
    void take_status(std::size_t database,
                     const upstream::control_result& result);
    upstream::term_number highest_granted(const slot_state& state) const;
    std::optional<std::size_t> primary_of(const slot_state& state) const;
    std::string trouble_with(std::size_t index, core::instant now) const;
    bool is_cut_off(const slot_state& state, std::size_t primary,
                    core::instant now) const;
    void judge(std::size_t index, core::instant now);
    void withdraw(std::size_t index, core::instant now);
    void tell(std::size_t index, bool suspects, core::instant now);
    std::size_t watchers_in_agreement(const slot_state& state,
                                      core::instant now) const;
    void consider_claim(std::size_t index, core::instant now);
    void consider_handover(std::size_t index, core::instant now);
    void start_claim(std::size_t index, claim_plan plan, core::instant now);
    void follow_claim(std::size_t index, core::instant now);
    void repair(std::size_t index, core::instant now);
    bool follows(const slot_state& state, std::size_t index,
                 upstream::term_number term) const;
    core::millis rank_wait() const
    {
        return m_options.rank_backoff *
               static_cast<core::millis::rep>(m_rank.value_or(0));
    }
    void probe(core::instant now);
    void forgive_after_own_pause(core::instant now);
    void note(observe::event_kind kind, std::size_t index, std::string reason);
    actions take() { return std::exchange(m_out, {}); }

    upstream::service_layout m_layout;
    failover_options m_options;
    std::vector<slot_state> m_slots;
    std::vector<liveness> m_liveness;
    std::vector<std::optional<core::instant>> m_leaving_since;
    std::size_t m_watchers{1};
    std::optional<std::size_t> m_rank;
    std::uint64_t m_last_claim{0};
    core::instant m_last_tick;
    actions m_out;
};

} // namespace plantainward::failover
