#pragma once

#include <plantainward/core/enum_names.hpp>

#include <cstdint>
#include <string>

namespace plantainward::observe
{

/// Kinds of events that a proxy records, so that operators can ask later why
/// it acted as it did.
enum class event_kind : std::uint8_t
{
    term_seen,
    primary_doubted,
    request_refused,
    replica_skipped,
    write_retried,
    write_settled,
    suspicion,
    suspicion_withdrawn,
    claim_started,
    claim_lost,
    promotion,
    handover,
    revision_in_force,
    revision_rejected,
    member_joined,
    member_suspected,
    member_left,
    upstream_leaving,
    drain_step,
    transaction_ended
};

/// Names of the event kinds in logs and answers.
inline constexpr core::enum_names<event_kind, 20> event_names{
    {"term_seen",         "primary_doubted",     "request_refused",
     "replica_skipped",   "write_retried",       "write_settled",
     "suspicion",         "suspicion_withdrawn", "claim_started",
     "claim_lost",        "promotion",           "handover",
     "revision_in_force", "revision_rejected",   "member_joined",
     "member_suspected",  "member_left",         "upstream_leaving",
     "drain_step",        "transaction_ended"}};

/// One event with its subject and its reason.
struct event
{
    event_kind kind{event_kind::term_seen};
    /// Service or host that the event is about.
    std::string subject;
    /// Slot, or -1 when the event concerns none.
    int slot{-1};
    /// Trace id of the request, empty when the event concerns none.
    std::string trace;
    std::string reason;
};

} // namespace plantainward::observe
