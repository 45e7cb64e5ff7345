#pragma once

#include <plantainward/succession/claim.hpp>
#include <plantainward/succession/primary_lease.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace plantainward::succession
{

/// The state of one service, as this host sees it, that a claim decides on.
struct succession_view
{
    claim_view claim;
    /// This host gets no answer from the recorded primary.
    bool suspects_primary{false};
    /// Number of other live hosts that get no answer from it either.
    std::size_t suspecting_hosts{0};
    /// Number of other live hosts that watch the primary: they would notice
    /// that it no longer answers.
    std::size_t watchers{0};
    /// This host watches the primary too.
    bool watches_primary{true};
    /// Position of this host in the order in which hosts claim the record; 0
    /// comes first.
    std::size_t rank{0};
    /// The host that wrote the record is live and can write records.
    bool is_writer_active{true};
    /// Enough voters are live to acknowledge a claim. Without them a claim only
    /// stops the hosts that still use the primary under proofs of the others.
    bool can_reach_majority{true};
};

/// A finished claim, for logs.
struct ended_claim
{
    claim_trigger trigger{claim_trigger::unset};
    claim_outcome outcome{claim_outcome::settled};
    claim_stage last_stage{claim_stage::writing};
    /// Version of the record as the claim last wrote it.
    std::uint64_t version{0};
    core::boot_instant started;
};

/// The primary of one service as this host knows it, and this host's claims to
/// replace it.
class succession
{
public:
    succession(std::string self, std::string service);

    /// Replaces the record by one from the table service or from a peer, which
    /// ends a claim that it supersedes. True when the record has changed.
    bool update_record(const leadership& record, core::boot_instant now);

    /// Notes that the record of this version was current at `at` or later.
    void prove(std::uint64_t version, core::boot_instant at)
    {
        m_lease.prove(version, at);
    }

    /// Whether the last write, or the last claim's promotion calls, got no
    /// answer.
    bool has_unanswered_request() const { return m_has_unanswered_request; }

    /// Starts, advances or ends a claim.
    claim_actions tick(const succession_view& view, core::boot_instant now);

    /// Whether the running claim waits for the answer to this write, which is
    /// its latest.
    bool awaits_write(std::uint64_t id) const
    {
        return m_claim && id == m_last_write_id;
    }

    /// Handles the answer to a write; ignores the answer to an earlier one.
    claim_actions on_write(std::uint64_t id, write_outcome outcome,
                           std::uint64_t version, core::boot_instant now);
    void on_status(const std::string& upstream, core::boot_instant requested_at,
                   const sql::status_answer& status);
    /// Handles the outcome of the promotion call with this token; ignores that
    /// of an earlier call.
    void on_promote(std::uint64_t token, promotion_outcome outcome,
                    core::boot_instant now);

    const primary_lease& lease() const { return m_lease; }
    const std::string& service() const { return m_service; }
    const std::optional<claim>& running_claim() const { return m_claim; }

    /// The claim that has ended since the last call; empty without one.
    std::optional<ended_claim> collect_ended_claim()
    {
        return std::exchange(m_ended_claim, std::nullopt);
    }

private:
    std::optional<claim_trigger> find_trigger(const succession_view& view,
                                              core::boot_instant now) const;
    bool yields_to_writer(const succession_view& view,
                          core::boot_instant now) const;
    claim_actions assign_write_ids(claim_actions actions);
    void end_if_finished(core::boot_instant now);
    void end_claim(claim_outcome outcome, claim_stage last_stage);

    std::string m_self;
    std::string m_service;
    primary_lease m_lease;
    core::boot_instant m_record_received_at{};
    std::optional<claim_trigger> m_trigger;
    core::boot_instant m_trigger_since{};
    bool m_has_unanswered_request{false};
    core::boot_instant m_next_claim_at{};
    std::uint64_t m_last_write_id{0};
    std::optional<claim> m_claim;
    std::optional<ended_claim> m_ended_claim;
};

} // namespace plantainward::succession
