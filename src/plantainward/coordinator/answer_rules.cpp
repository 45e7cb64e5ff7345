#include <plantainward/coordinator/answer_rules.hpp>

#include <optional>

namespace plantainward::coordinator
{

bool needs_proof_of_primary(const work& one, upstream::acknowledgement policy)
{
    const auto& request = one.request;
    if (request.kind != request_kind::one_shot)
        return true;
    if (is_read_only(request))
        return request.required_freshness == freshness::latest;
    return policy == upstream::acknowledgement::primary;
}

bool is_fresh_enough(const work& one, const group_view& view, core::instant now)
{
    if (!is_read_only(one.request) ||
        one.request.required_freshness != freshness::max_age)
        return true;
    if (view.primary() == one.database)
        return view.is_primary_proved_at(now - one.request.max_age);
    const auto until = view.data_proved_until(one.answer.seen);
    return until && now - *until <= one.request.max_age;
}

bool may_be_told(const work& one, const group_view& view,
                 upstream::acknowledgement policy, core::instant now)
{
    const bool by_replica =
        is_read_only(one.request) && view.primary() != one.database;
    const auto vouching =
        by_replica ? std::optional(one.database) : std::nullopt;
    const bool waits_for_replica = policy == upstream::acknowledgement::replica;
    if (waits_for_replica && !view.is_confirmed(one.answer.seen, vouching))
        return false;
    if (needs_proof_of_primary(one, policy) &&
        !view.is_primary_proved_at(one.started))
        return false;
    return by_replica || is_fresh_enough(one, view, now);
}

} // namespace plantainward::coordinator
