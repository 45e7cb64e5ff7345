#include <plantainward/coordinator/pending_request.hpp>

namespace plantainward::coordinator
{

using upstream::run_kind;

namespace
{

run_kind run_kind_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::begin:
        return run_kind::begin;
    case request_kind::execute:
        return run_kind::execute;
    case request_kind::commit:
        return run_kind::commit;
    case request_kind::rollback:
        return run_kind::rollback;
    case request_kind::one_shot:
        break;
    }
    return run_kind::one_shot;
}

} // namespace

bool is_in_transaction(const caller_request& request)
{
    return request.kind == request_kind::execute ||
           request.kind == request_kind::commit ||
           request.kind == request_kind::rollback;
}

upstream::run_order make_order(const pending_request& pending)
{
    upstream::run_order order;
    order.slot = pending.request.slot;
    order.term = pending.term;
    order.at_least = pending.request.session;
    order.id = pending.request.id;
    order.digest = pending.digest;
    order.statements = pending.request.statements;
    order.kind =
        pending.settles ? run_kind::settle : run_kind_of(pending.request.kind);
    return order;
}

} // namespace plantainward::coordinator
