#include <plantainward/failover/failover_monitor.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::failover
{

using observe::event_kind;
using upstream::control_outcome;
using upstream::role;

namespace
{

constexpr core::millis repair_interval{200};
constexpr core::millis stale_follower{1000};
constexpr core::millis claim_backoff{50};
constexpr core::millis handover_backoff{2000};

constexpr core::enum_names<verdict, 3> verdict_names{
    {"answers", "refuses connections", "is silent"}};

} // namespace

failover_monitor::failover_monitor(upstream::service_layout layout,
                                   failover_options options, core::instant now)
    : m_layout(std::move(layout)), m_options(std::move(options)),
      m_slots(static_cast<std::size_t>(m_layout.slots)),
      m_liveness(m_layout.databases.size(), liveness(now)),
      m_leaving_since(m_layout.databases.size()), m_last_tick(now)
{
    for (auto& one : m_slots)
    {
        one.members.resize(m_layout.databases.size());
        one.not_before = now;
    }
    set_layout(m_layout, now);
}

void failover_monitor::set_watchers(std::vector<std::string> ranked,
                                    const std::string& self)
{
    const auto found = std::find(ranked.begin(), ranked.end(), self);
    m_watchers = std::max<std::size_t>(1, ranked.size());
    m_rank.reset();
    if (found != ranked.end())
        m_rank = static_cast<std::size_t>(found - ranked.begin());
}

void failover_monitor::set_layout(const upstream::service_layout& layout,
                                  core::instant now)
{
    // Assigned member by member: claims under way refer to this layout.
    m_layout = layout;
    for (std::size_t i = 0; i < m_layout.databases.size(); ++i)
    {
        auto& since = m_leaving_since[i];
        if (!m_layout.databases[i].leaving)
            since.reset();
        else if (!since)
            since = now;
    }
}

void failover_monitor::take_status(std::size_t database,
                                   const upstream::control_result& result)
{
    for (const auto& one : result.status)
    {
        if (one.slot < 0 || one.slot >= m_layout.slots)
            continue;
        auto& mine = slot(static_cast<std::size_t>(one.slot)).members[database];
        // Terms only grow; a lower one is a late answer.
        if (mine.known && one.granted < mine.status.granted)
            continue;
        mine.status = one;
        mine.known = true;
    }
}

actions failover_monitor::on_probe(std::size_t database,
                                   const upstream::control_result& result,
                                   core::instant now)
{
    m_liveness[database].ended(result.outcome, now);
    take_status(database, result);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
        judge(i, now);
    probe(now);
    return take();
}

actions failover_monitor::on_control(std::size_t database,
                                     std::uint64_t claim_number,
                                     const upstream::control_result& result,
                                     core::instant now)
{
    take_status(database, result);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        auto& claiming = slot(i).claiming;
        if (!claiming || claiming->number() != claim_number)
            continue;
        claiming->on_result(database, result, now, m_out);
        follow_claim(i, now);
    }
    return take();
}

actions failover_monitor::on_opinion(const std::string& watcher,
                                     const opinion& what, core::instant now)
{
    if (what.slot < 0 || what.slot >= m_layout.slots)
        return {};
    const auto index = static_cast<std::size_t>(what.slot);
    auto& state = slot(index);
    if (what.term != highest_granted(state))
        return {};
    if (!what.suspects)
    {
        state.suspecting.erase(watcher);
        return {};
    }
    state.suspecting[watcher] = now;
    if (const auto primary = primary_of(state))
        m_liveness[*primary].hurry();
    probe(now);
    judge(index, now);
    return take();
}

actions failover_monitor::on_suspect_report(std::size_t database,
                                            core::instant now)
{
    m_liveness[database].hurry();
    probe(now);
    return take();
}

actions failover_monitor::on_tick(core::instant now)
{
    forgive_after_own_pause(now);
    probe(now);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        judge(i, now);
        if (slot(i).claiming)
        {
            slot(i).claiming->on_tick(now, m_out);
            follow_claim(i, now);
        }
        consider_claim(i, now);
        consider_handover(i, now);
        repair(i, now);
    }
    return take();
}

void failover_monitor::forgive_after_own_pause(core::instant now)
{
    const auto pause = now - std::exchange(m_last_tick, now);
    if (pause < m_options.own_lateness)
        return;
    for (auto& one : m_liveness)
        one.forgive(now);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        slot(i).vacant_since.reset();
        withdraw(i, now);
    }
}

void failover_monitor::probe(core::instant now)
{
    for (std::size_t i = 0; i < m_liveness.size(); ++i)
    {
        if (!m_liveness[i].is_probe_due(now, m_options))
            continue;
        m_liveness[i].sent(now);
        m_out.emplace_back(probe_action{i, m_options.probe_timeout});
    }
}

upstream::term_number
failover_monitor::highest_granted(const slot_state& state) const
{
    upstream::term_number highest = 0;
    for (const auto& one : state.members)
        highest = std::max(highest, one.status.granted);
    return highest;
}

std::optional<std::size_t>
failover_monitor::primary_of(const slot_state& state) const
{
    const auto term = highest_granted(state);
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        const auto& status = state.members[i].status;
        if (status.acting == role::primary && status.granted == term)
            return i;
    }
    return std::nullopt;
}

bool failover_monitor::is_cut_off(const slot_state& state, std::size_t primary,
                                  core::instant now) const
{
    // A primary that no replica reaches can confirm nothing.
    std::size_t apart = 0;
    std::size_t judged = 0;
    const auto term = state.members[primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        if (i == primary ||
            m_liveness[i].judge(now, m_options) != verdict::alive)
            continue;
        const auto& status = state.members[i].status;
        if (status.acting != role::replica || status.granted != term)
            continue;
        ++judged;
        if (status.since_primary_contact >= m_options.isolation)
            ++apart;
    }
    return judged > 0 && judged == apart && judged >= state.members.size() / 2;
}

std::string failover_monitor::trouble_with(std::size_t index,
                                           core::instant now) const
{
    const auto& state = m_slots[index];
    const auto primary = primary_of(state);
    if (!primary)
        return state.vacant_since &&
                       now - *state.vacant_since >= m_options.vacancy
                   ? "there is no primary"
                   : "";
    const auto& name = m_layout.databases[*primary].name;
    const auto found = m_liveness[*primary].judge(now, m_options);
    if (found != verdict::alive)
        return "primary " + name + " " + std::string(verdict_names[found]);
    if (is_cut_off(state, *primary, now))
        return "primary " + name + " is cut off from its replicas";
    return {};
}

void failover_monitor::judge(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (primary_of(state))
        state.vacant_since.reset();
    else if (!state.vacant_since)
        state.vacant_since = now;
    const auto trouble = trouble_with(index, now);
    if (trouble.empty())
        return withdraw(index, now);
    if (!state.suspected_since)
    {
        state.suspected_since = now;
        note(event_kind::suspicion, index, trouble);
        tell(index, true, now);
    }
    else if (now - state.told >= m_options.probe_interval)
        tell(index, true, now);
    consider_claim(index, now);
}

void failover_monitor::withdraw(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    state.agreed_since.reset();
    if (!state.suspected_since)
        return;
    state.suspected_since.reset();
    note(event_kind::suspicion_withdrawn, index, "the group has a primary");
    tell(index, false, now);
}

void failover_monitor::tell(std::size_t index, bool suspects, core::instant now)
{
    slot(index).told = now;
    if (!m_rank)
        return;
    m_out.emplace_back(
        opinion_action{{m_layout.name, static_cast<int>(index),
                        highest_granted(slot(index)), suspects}});
}

std::size_t failover_monitor::watchers_in_agreement(const slot_state& state,
                                                    core::instant now) const
{
    std::size_t count = 1;
    for (const auto& [watcher, when] : state.suspecting)
        if (now - when < m_options.opinion_age)
            ++count;
    return count;
}

void failover_monitor::consider_claim(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (!m_rank || !state.suspected_since || state.claiming ||
        now < state.not_before)
        return;
    if (watchers_in_agreement(state, now) < m_watchers / 2 + 1)
        return;
    if (!state.agreed_since)
        state.agreed_since = now;
    if (now - *state.agreed_since < rank_wait())
        return;
    claim_plan plan;
    const auto primary = primary_of(state);
    if (primary && is_cut_off(state, *primary, now))
        plan.excluded = primary;
    start_claim(index, plan, now);
}

void failover_monitor::consider_handover(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    const auto primary = primary_of(state);
    if (m_rank != std::size_t{0} || state.claiming || !primary ||
        now < state.not_before)
        return;
    const auto& since = m_leaving_since[*primary];
    if (!since || now - *since < m_options.handover_after)
        return;
    const auto term = state.members[*primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        const auto& status = state.members[i].status;
        const bool can_take_over =
            i != *primary && !m_layout.databases[i].leaving &&
            status.acting == role::replica && status.last.term == term &&
            m_liveness[i].judge(now, m_options) == verdict::alive;
        if (!can_take_over)
            continue;
        note(event_kind::handover, index,
             m_layout.databases[*primary].name + " is leaving");
        return start_claim(index, {0, primary, std::nullopt}, now);
    }
}

void failover_monitor::start_claim(std::size_t index, claim_plan plan,
                                   core::instant now)
{
    auto& state = slot(index);
    plan.term = highest_granted(state) + 1;
    note(event_kind::claim_started, index, "term " + std::to_string(plan.term));
    state.claiming.emplace(++m_last_claim, static_cast<int>(index), plan,
                           m_layout, m_options, now, m_out);
}

void failover_monitor::follow_claim(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (!state.claiming)
        return;
    const auto ended = state.claiming->state();
    const auto term = "term " + std::to_string(state.claiming->term());
    if (ended == claim_state::won)
    {
        note(event_kind::promotion, index,
             m_layout.databases[*state.claiming->winner()].name + " at " +
                 term);
        state.not_before = now + handover_backoff / 4;
    }
    else if (ended == claim_state::lost)
    {
        note(event_kind::claim_lost, index, term);
        const auto rank = static_cast<core::millis::rep>(m_rank.value_or(0));
        state.not_before = now + claim_backoff * (1 + 2 * rank);
        state.agreed_since.reset();
    }
    else
        return;
    state.claiming.reset();
    state.suspecting.clear();
}

bool failover_monitor::follows(const slot_state& state, std::size_t index,
                               upstream::term_number term) const
{
    const auto& status = state.members[index].status;
    return status.acting == role::replica && status.granted == term &&
           status.since_primary_contact < stale_follower;
}

void failover_monitor::repair(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    const auto primary = primary_of(state);
    if (!m_rank || state.claiming || !primary)
        return;
    const auto term = state.members[*primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        auto& one = state.members[i];
        if (i == *primary || !one.known || follows(state, i, term))
        {
            one.astray_since.reset();
            continue;
        }
        if (!one.astray_since)
            one.astray_since = now;
        if (now - *one.astray_since < rank_wait() ||
            now - one.repaired < repair_interval ||
            m_liveness[i].judge(now, m_options) != verdict::alive)
            continue;
        one.repaired = now;
        upstream::control_order order;
        order.kind = upstream::control_kind::follow;
        order.slot = static_cast<int>(index);
        order.term = term;
        order.primary = m_layout.databases[*primary].address;
        m_out.emplace_back(
            control_action{i, std::move(order), 0, m_options.probe_timeout});
    }
}

void failover_monitor::note(event_kind kind, std::size_t index,
                            std::string reason)
{
    m_out.emplace_back(event_action{
        {kind, m_layout.name, static_cast<int>(index), {}, std::move(reason)}});
}

} // namespace plantainward::failover
