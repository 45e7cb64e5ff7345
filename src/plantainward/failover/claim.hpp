#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/failover/action.hpp>
#include <plantainward/failover/failover_options.hpp>
#include <plantainward/upstream/service_layout.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::failover
{

/// Progress of a claim.
enum class claim_state : std::uint8_t
{
    /// The leaving primary is asked to grant the new term; when it does, it
    /// accepts no more writes and the end of its log is fixed.
    fencing,
    /// Waits until a replica has reached the end of the old primary's log.
    catching_up,
    /// The databases are asked to grant the term.
    granting,
    /// The database with the highest log is asked to become primary.
    promoting,
    won,
    lost
};

/// Term and special cases of a claim.
struct claim_plan
{
    upstream::term_number term{0};
    /// Leaving primary that hands over its role; empty for a failover.
    std::optional<std::size_t> handover;
    /// Primary that is cut off from its replicas and must not be promoted
    /// again.
    std::optional<std::size_t> excluded;
};

/// One attempt to make a database the primary of a group at a new term.
///
/// A majority of the databases must grant the term; of those that did, the one
/// whose log ends highest, compared by (term, position), is promoted. If the
/// claim stops at any step, another claimant can start over at a higher term.
class claim
{
public:
    /// Starts a claim and appends its first control orders to `out`. The layout
    /// and the options must outlive the claim.
    claim(std::uint64_t number, int slot, const claim_plan& plan,
          const upstream::service_layout& layout,
          const failover_options& options, core::instant now, actions& out);

    /// Called when a control order of this claim has ended.
    void on_result(std::size_t database, const upstream::control_result& result,
                   core::instant now, actions& out);

    /// Checks the time-outs; to be called about every 10 ms.
    void on_tick(core::instant now, actions& out);

    std::uint64_t number() const { return m_number; }
    claim_state state() const { return m_state; }
    upstream::term_number term() const { return m_plan.term; }
    /// The database to promote; empty until it is chosen.
    std::optional<std::size_t> winner() const { return m_winner; }

private:
    enum class grant : std::uint8_t
    {
        requested,
        granted,
        refused
    };

    std::size_t majority() const { return m_grants.size() / 2 + 1; }
    std::size_t count(grant answer) const;
    void send(std::size_t database, upstream::control_order order,
              actions& out) const;
    void request_grant(std::size_t database, actions& out) const;
    void request_all_grants(actions& out);
    void on_fenced(std::size_t database, const upstream::control_result& result,
                   actions& out);
    void on_caught_up(const upstream::control_result& result, actions& out);
    void on_grant(std::size_t database, const upstream::control_result& result,
                  core::instant now, actions& out);
    void on_promoted(const upstream::control_result& result, actions& out);
    void promote_best(actions& out);
    const upstream::slot_status*
    status_in(const upstream::control_result& result) const;

    std::uint64_t m_number;
    int m_slot;
    claim_plan m_plan;
    const upstream::service_layout& m_layout;
    const failover_options& m_options;
    core::instant m_started;
    std::optional<core::instant> m_majority_at;
    claim_state m_state{claim_state::granting};
    std::vector<grant> m_grants;
    std::vector<upstream::log_point> m_log_ends;
    std::optional<std::size_t> m_winner;
};

} // namespace plantainward::failover
