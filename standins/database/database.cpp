#include <database/database.hpp>

#include <database/refusal.hpp>

#include <algorithm>

namespace standin
{

using plantainward::core::error_kind;
using upstream::run_kind;
using upstream::run_outcome;
using upstream::run_result;

database::database(int slots, std::size_t connection_limit)
    : m_connection_limit(connection_limit)
{
    for (int slot = 0; slot < slots; ++slot)
        m_members.emplace_back(slot);
}

bool database::open_session(std::uint64_t session)
{
    if (m_sessions.contains(session))
        return true;
    if (m_sessions.size() >= m_connection_limit)
        return false;
    m_sessions.emplace(session, session_state{});
    m_peak_sessions = std::max(m_peak_sessions, m_sessions.size());
    return true;
}

void database::close_session(std::uint64_t session)
{
    m_sessions.erase(session);
}

run_result database::run(std::uint64_t session,
                         const upstream::run_order& order)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return refuse(error_kind::connection_limit, "no session is open");
    if (order.slot < 0 || order.slot >= slots())
        return refuse(error_kind::bad_request, "no such slot");
    auto result = run_in(found->second, order);
    result.answer.in_transaction = found->second.in_transaction;
    return result;
}

run_result database::run_in(session_state& session,
                            const upstream::run_order& order)
{
    auto& slot = member(order.slot);
    if (order.kind == run_kind::settle)
        return slot.settle(order);
    if (order.kind == run_kind::one_shot || order.kind == run_kind::begin)
    {
        if (session.in_transaction)
            return refuse(error_kind::conflict, "a transaction is open");
        if (order.kind == run_kind::one_shot)
            return slot.one_shot(order);
        session.transaction = {};
        auto result = slot.begin(order, session.transaction);
        session.in_transaction = result.outcome == run_outcome::answered;
        return result;
    }
    if (!session.in_transaction || session.transaction.slot != order.slot)
        return refuse(error_kind::transaction_lost, "no transaction is open");
    if (order.kind == run_kind::execute &&
        slot.status().granted == session.transaction.term)
    {
        auto result = slot.execute(order, session.transaction);
        session.in_transaction = result.outcome == run_outcome::answered;
        return result;
    }
    session.in_transaction = false;
    if (order.kind == run_kind::commit)
        return slot.commit(order, session.transaction);
    if (order.kind == run_kind::execute)
        return refuse(error_kind::wrong_term, "the term has ended");
    run_result result;
    result.outcome = run_outcome::answered;
    return result;
}

upstream::control_result database::control(const upstream::control_order& order)
{
    using upstream::control_kind;
    upstream::control_result result;
    bool accepted = order.kind == control_kind::status;
    if (!accepted && order.slot >= 0 && order.slot < slots())
    {
        auto& slot = member(order.slot);
        if (order.kind == control_kind::grant)
            accepted = slot.grant(order.term, order.claimant);
        else if (order.kind == control_kind::promote)
            accepted = slot.promote(order.term, order.claimant);
        else
            accepted = slot.follow(order.term);
    }
    result.outcome = accepted ? upstream::control_outcome::accepted
                              : upstream::control_outcome::refused;
    for (const auto& slot : m_members)
        result.status.push_back(slot.status());
    return result;
}

} // namespace standin
