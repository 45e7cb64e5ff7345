#include <plantainward/failover/claim.hpp>

#include <algorithm>
#include <tuple>

namespace plantainward::failover
{

using upstream::control_kind;
using upstream::control_outcome;

claim::claim(std::uint64_t number, int slot, const claim_plan& plan,
             const upstream::service_layout& layout,
             const failover_options& options, core::instant now, actions& out)
    : m_number(number), m_slot(slot), m_plan(plan), m_layout(layout),
      m_options(options), m_started(now),
      m_grants(layout.databases.size(), grant::requested),
      m_log_ends(layout.databases.size())
{
    if (m_plan.excluded)
        m_grants[*m_plan.excluded] = grant::refused;
    if (!m_plan.handover)
    {
        request_all_grants(out);
        return;
    }
    m_state = claim_state::fencing;
    request_grant(*m_plan.handover, out);
}

std::size_t claim::count(grant answer) const
{
    return static_cast<std::size_t>(
        std::count(m_grants.begin(), m_grants.end(), answer));
}

void claim::send(std::size_t database, upstream::control_order order,
                 actions& out) const
{
    order.slot = m_slot;
    order.term = m_plan.term;
    order.claimant = m_options.claimant;
    out.emplace_back(control_action{database, std::move(order), m_number,
                                    m_options.claim_timeout});
}

void claim::request_grant(std::size_t database, actions& out) const
{
    upstream::control_order order;
    order.kind = control_kind::grant;
    send(database, std::move(order), out);
}

void claim::request_all_grants(actions& out)
{
    m_state = claim_state::granting;
    for (std::size_t i = 0; i < m_grants.size(); ++i)
        if (m_grants[i] == grant::requested)
            request_grant(i, out);
}

const upstream::slot_status*
claim::status_in(const upstream::control_result& result) const
{
    const auto found =
        std::find_if(result.status.begin(), result.status.end(),
                     [&](const auto& status) { return status.slot == m_slot; });
    return found == result.status.end() ? nullptr : &*found;
}

void claim::on_result(std::size_t database,
                      const upstream::control_result& result, core::instant now,
                      actions& out)
{
    if (m_state == claim_state::fencing)
        return on_fenced(database, result, out);
    if (m_state == claim_state::catching_up)
        return on_caught_up(result, out);
    if (m_state == claim_state::granting)
        return on_grant(database, result, now, out);
    if (m_state == claim_state::promoting && database == m_winner)
        return on_promoted(result, out);
}

void claim::on_fenced(std::size_t database,
                      const upstream::control_result& result, actions& out)
{
    const auto* status = status_in(result);
    if (result.outcome != control_outcome::accepted || status == nullptr)
    {
        m_state = claim_state::lost;
        return;
    }
    m_grants[database] = grant::granted;
    m_log_ends[database] = status->last;
    m_state = claim_state::catching_up;
    for (std::size_t i = 0; i < m_grants.size(); ++i)
    {
        if (i == database || m_layout.databases[i].leaving)
            continue;
        upstream::control_order order;
        order.kind = control_kind::status;
        order.wait_for = status->last;
        order.wait = m_options.claim_timeout / 2;
        send(i, std::move(order), out);
    }
}

void claim::on_caught_up(const upstream::control_result& result, actions& out)
{
    const auto* status = status_in(result);
    if (result.outcome == control_outcome::accepted && status != nullptr &&
        status->last >= m_log_ends[*m_plan.handover])
        request_all_grants(out);
}

void claim::on_grant(std::size_t database,
                     const upstream::control_result& result, core::instant now,
                     actions& out)
{
    const auto* status = status_in(result);
    if (m_grants[database] != grant::requested)
        return;
    const bool is_granted = result.outcome == control_outcome::accepted &&
                            status != nullptr && status->granted == m_plan.term;
    // A late answer to a status order of the handover isn't a grant.
    if (result.outcome == control_outcome::accepted && !is_granted)
        return;
    m_grants[database] = is_granted ? grant::granted : grant::refused;
    if (is_granted)
        m_log_ends[database] = status->last;
    if (count(grant::granted) >= majority() && !m_majority_at)
        m_majority_at = now;
    if (m_grants.size() - count(grant::refused) < majority())
        m_state = claim_state::lost;
    else if (count(grant::requested) == 0)
        promote_best(out);
}

void claim::promote_best(actions& out)
{
    const auto rank = [&](std::size_t i) {
        // Among equal logs, databases that stay are preferred, and the
        // primaries of different slots are spread over the databases.
        const auto size = m_grants.size();
        const auto turn =
            (i + size - static_cast<std::size_t>(m_slot) % size) % size;
        return std::tuple(m_grants[i] == grant::granted, m_log_ends[i],
                          !m_layout.databases[i].leaving, size - turn);
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_grants.size(); ++i)
        if (rank(i) > rank(best))
            best = i;
    m_winner = best;
    m_state = claim_state::promoting;
    upstream::control_order order;
    order.kind = control_kind::promote;
    send(best, std::move(order), out);
}

void claim::on_promoted(const upstream::control_result& result, actions& out)
{
    if (result.outcome != control_outcome::accepted)
    {
        m_state = claim_state::lost;
        return;
    }
    m_state = claim_state::won;
    for (std::size_t i = 0; i < m_grants.size(); ++i)
    {
        if (i == m_winner)
            continue;
        upstream::control_order order;
        order.kind = control_kind::follow;
        order.primary = m_layout.databases[*m_winner].address;
        send(i, std::move(order), out);
    }
}

void claim::on_tick(core::instant now, actions& out)
{
    if (m_state == claim_state::won || m_state == claim_state::lost)
        return;
    if (now - m_started >= m_options.claim_timeout)
    {
        m_state = claim_state::lost;
        return;
    }
    if (m_state == claim_state::granting && m_majority_at &&
        now - *m_majority_at >= m_options.late_grant_timeout)
        promote_best(out);
}

} // namespace plantainward::failover
