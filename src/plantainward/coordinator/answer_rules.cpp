#include <plantainward/coordinator/answer_rules.hpp>

#include <optional>

namespace plantainward::coordinator
{

bool needs_proof_of_primary(const pending_request& pending,
                            upstream::acknowledgement policy)
{
    const auto& request = pending.request;
    if (request.kind != request_kind::one_shot)
        return true;
    if (is_read_only(request))
        return request.required_freshness == freshness::latest;
    return policy == upstream::acknowledgement::primary;
}

bool is_fresh_enough(const pending_request& pending, const group_view& view,
                     core::instant now)
{
    if (!is_read_only(pending.request) ||
        pending.request.required_freshness != freshness::max_age)
        return true;
    if (view.primary() == pending.database)
        return view.is_primary_proved_at(now - pending.request.max_age);
    const auto until = view.data_proved_until(pending.answer.seen);
    return until && now - *until <= pending.request.max_age;
}

bool may_answer_caller(const pending_request& pending, const group_view& view,
                       upstream::acknowledgement policy, core::instant now)
{
    const bool by_replica =
        is_read_only(pending.request) && view.primary() != pending.database;
    const auto answering_replica =
        by_replica ? std::optional(pending.database) : std::nullopt;
    const bool waits_for_replica = policy == upstream::acknowledgement::replica;
    if (waits_for_replica &&
        !view.is_confirmed(pending.answer.seen, answering_replica))
        return false;
    if (needs_proof_of_primary(pending, policy) &&
        !view.is_primary_proved_at(pending.started))
        return false;
    return by_replica || is_fresh_enough(pending, view, now);
}

} // namespace plantainward::coordinator
