#include <plantainward/daemon/forwarding.hpp>

#include <utility>

namespace plantainward::daemon
{

using coordinator::caller_reply;
using coordinator::request_kind;
using core::error_kind;
using peer::call_outcome;

forwarding::forwarding(const coordinator::caller_request& request,
                       std::vector<core::host> ranked,
                       std::optional<core::host> owner, core::instant deadline)
    : m_kind(request.kind), m_has_id(!request.id.empty()),
      m_is_read(coordinator::is_read_only(request)),
      m_ranked(std::move(ranked)), m_owner(std::move(owner)),
      m_deadline(deadline)
{
}

forward_step forwarding::fail_request(error_kind kind, std::string reason) const
{
    if (m_maybe_ran)
        kind = error_kind::outcome_unknown;
    return {std::nullopt, coordinator::failure(kind, std::move(reason))};
}

forward_step forwarding::start(core::instant now)
{
    const bool has_transaction =
        m_kind != request_kind::one_shot && m_kind != request_kind::begin;
    if (!has_transaction)
        return try_next_host(now, "no live coordinator");
    if (!m_owner)
        return after_owner_failure(call_outcome::not_sent, now);
    m_sent_to_owner = true;
    return {m_owner, {}};
}

forward_step forwarding::after_owner_failure(call_outcome outcome,
                                             core::instant now)
{
    m_sent_to_owner = false;
    const bool was_sent = outcome == call_outcome::lost;
    if (m_kind == request_kind::commit && m_has_id)
    {
        // Any coordinator can find out the outcome of a commit by its id.
        m_maybe_ran = was_sent;
        return try_next_host(now,
                             "the transaction's coordinator is not reachable");
    }
    m_maybe_ran = was_sent && m_kind != request_kind::rollback;
    return fail_request(error_kind::transaction_lost,
                        "the transaction's coordinator is not reachable");
}

forward_step forwarding::try_next_host(core::instant now, std::string reason)
{
    if (now >= m_deadline)
        return fail_request(error_kind::deadline_passed, std::move(reason));
    if (m_ranked.empty() || m_attempts >= max_attempts)
        return fail_request(error_kind::unavailable, std::move(reason));
    const auto& host = m_ranked[m_attempts % m_ranked.size()];
    ++m_attempts;
    return {host, {}};
}

forward_step forwarding::next(call_outcome outcome, caller_reply reply,
                              core::instant now)
{
    if (outcome == call_outcome::answered &&
        reply.error == error_kind::draining)
        return try_next_host(now, reply.reason);
    if (outcome == call_outcome::answered)
    {
        const bool is_refusal =
            reply.error &&
            core::answer_for(*reply.error).ran == core::effect::not_run;
        const bool settles = reply.error == error_kind::id_voided ||
                             reply.error == error_kind::transaction_lost;
        // An earlier copy may have run although this one was refused.
        if (m_maybe_ran && is_refusal && !settles)
            return fail_request(error_kind::outcome_unknown, reply.reason);
        return {std::nullopt, std::move(reply)};
    }
    if (m_sent_to_owner)
        return after_owner_failure(outcome, now);
    if (outcome == call_outcome::not_sent)
        return try_next_host(now, "no coordinator could be reached");
    const bool may_repeat =
        m_is_read || m_has_id || m_kind == request_kind::begin;
    m_maybe_ran = m_maybe_ran || (!m_is_read && m_kind != request_kind::begin);
    if (!may_repeat)
        return fail_request(
            error_kind::outcome_unknown,
            "the connection to the coordinator was lost and the request has no "
            "id to repeat it safely");
    return try_next_host(now, "the connection to the coordinator was lost");
}

} // namespace plantainward::daemon
