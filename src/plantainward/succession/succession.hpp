#pragma once

#include <plantainward/succession/claim.hpp>
#include <plantainward/succession/primary_lease.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace plantainward::succession
{

/// What this host sees of one service at one step.
struct succession_view
{
    claim_view claim;
    /// This host gets no answer from the recorded primary.
    bool doubts_primary{false};
    /// Other live hosts of which this is true.
    std::size_t doubters{0};
    /// Other live hosts that would notice its silence.
    std::size_t watchers{0};
    /// This host would notice it too.
    bool watches{true};
    /// Place of this host in the order in which hosts act on the service.
    std::size_t rank{0};
    /// The host that wrote the record is live and able to write.
    bool writer_goes_on{true};
};

/// A claim that is over, for logs.
struct ended_claim
{
    claim_cause cause{claim_cause::unset};
    claim_end end{claim_end::settled};
    claim_stage reached{claim_stage::writing};
    /// Version of the record as the claim last wrote it.
    std::uint64_t version{0};
    core::boot_instant started;
};

/// The primary of one service as this host knows it, and its replacement.
class succession
{
public:
    succession(std::string self, std::string service);

    /// Takes a record from the table service or from a peer.
    bool take(const leadership& record, core::boot_instant now);

    /// The record of this version was current at this instant or later.
    void prove(std::uint64_t version, core::boot_instant at)
    {
        m_lease.prove(version, at);
    }

    /// Whether this host gets no answers to what a claim asks for.
    bool is_unanswered() const { return m_is_unanswered; }

    /// Starts, goes on with or ends a claim.
    claim_actions tick(const succession_view& view, core::boot_instant now);

    /// Whether the answer to this write is waited for: the claim that asked
    /// for it still runs and has asked for no other since.
    bool awaits_write(std::uint64_t id) const
    {
        return m_claim && id == m_last_write;
    }

    /// Takes the answer to a write; a late one changes nothing.
    claim_actions on_write(std::uint64_t id, write_outcome end,
                           std::uint64_t version, core::boot_instant now);
    void on_status(const std::string& upstream, core::boot_instant asked,
                   const sql::status_answer& status);
    /// Takes the end of the promotion call with this token; that of an earlier
    /// call changes nothing.
    void on_promote(std::uint64_t token, promotion_outcome end,
                    core::boot_instant now);

    const primary_lease& lease() const { return m_lease; }
    const std::string& service() const { return m_service; }
    const std::optional<claim>& running() const { return m_claim; }

    /// The claim that has ended since the last call.
    std::optional<ended_claim> take_ended()
    {
        return std::exchange(m_ended, std::nullopt);
    }

private:
    std::optional<claim_cause> cause(const succession_view& view,
                                     core::boot_instant now) const;
    bool is_first_by_writer(const succession_view& view,
                            core::boot_instant now) const;
    claim_actions number_writes(claim_actions actions);
    void end_if_finished(core::boot_instant now);
    void end_claim(claim_end end, claim_stage reached);

    std::string m_self;
    std::string m_service;
    primary_lease m_lease;
    core::boot_instant m_record_since{};
    std::optional<claim_cause> m_cause;
    core::boot_instant m_cause_since{};
    bool m_is_unanswered{false};
    core::boot_instant m_not_before{};
    std::uint64_t m_last_write{0};
    std::optional<claim> m_claim;
    std::optional<ended_claim> m_ended;
};

} // namespace plantainward::succession
