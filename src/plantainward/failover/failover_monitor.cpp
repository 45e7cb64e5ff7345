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
constexpr core::millis stale_follower_timeout{1000};
constexpr core::millis lost_claim_backoff{50};
constexpr core::millis won_claim_backoff{2000};

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
    for (auto& state : m_slots)
    {
        state.members.resize(m_layout.databases.size());
        state.no_claim_before = now;
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
    // Assigned in place, because running claims refer to this object.
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

void failover_monitor::record_status(std::size_t database,
                                     const upstream::control_result& result)
{
    for (const auto& slot_status : result.status)
    {
        if (slot_status.slot < 0 || slot_status.slot >= m_layout.slots)
            continue;
        auto& database_state =
            slot(static_cast<std::size_t>(slot_status.slot)).members[database];
        // Granted terms only grow, so a lower one comes from a late answer.
        if (database_state.known &&
            slot_status.granted < database_state.status.granted)
            continue;
        database_state.status = slot_status;
        database_state.known = true;
    }
}

actions failover_monitor::on_probe(std::size_t database,
                                   const upstream::control_result& result,
                                   core::instant now)
{
    m_liveness[database].on_probe_ended(result.outcome, now);
    record_status(database, result);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
        update_suspicion(i, now);
    probe(now);
    return collect_actions();
}

actions failover_monitor::on_control(std::size_t database,
                                     std::uint64_t claim_number,
                                     const upstream::control_result& result,
                                     core::instant now)
{
    record_status(database, result);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        auto& running_claim = slot(i).running_claim;
        if (!running_claim || running_claim->number() != claim_number)
            continue;
        running_claim->on_result(database, result, now, m_out);
        check_claim(i, now);
    }
    return collect_actions();
}

actions failover_monitor::on_opinion(const std::string& watcher,
                                     const opinion& watcher_opinion,
                                     core::instant now)
{
    if (watcher_opinion.slot < 0 || watcher_opinion.slot >= m_layout.slots)
        return {};
    const auto index = static_cast<std::size_t>(watcher_opinion.slot);
    auto& state = slot(index);
    if (watcher_opinion.term != highest_granted(state))
        return {};
    if (!watcher_opinion.suspects)
    {
        state.suspecting_watchers.erase(watcher);
        return {};
    }
    state.suspecting_watchers[watcher] = now;
    if (const auto primary = primary_of(state))
        m_liveness[*primary].request_probe();
    probe(now);
    update_suspicion(index, now);
    return collect_actions();
}

actions failover_monitor::on_suspect_report(std::size_t database,
                                            core::instant now)
{
    m_liveness[database].request_probe();
    probe(now);
    return collect_actions();
}

actions failover_monitor::on_tick(core::instant now)
{
    reset_after_own_pause(now);
    probe(now);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        update_suspicion(i, now);
        if (slot(i).running_claim)
        {
            slot(i).running_claim->on_tick(now, m_out);
            check_claim(i, now);
        }
        consider_claim(i, now);
        consider_handover(i, now);
        repair_followers(i, now);
    }
    return collect_actions();
}

void failover_monitor::reset_after_own_pause(core::instant now)
{
    const auto own_pause = now - std::exchange(m_last_tick, now);
    if (own_pause < m_options.max_own_pause)
        return;
    for (auto& database : m_liveness)
        database.reset_evidence(now);
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        slot(i).vacant_since.reset();
        withdraw_suspicion(i, now);
    }
}

void failover_monitor::probe(core::instant now)
{
    for (std::size_t i = 0; i < m_liveness.size(); ++i)
    {
        if (!m_liveness[i].is_probe_due(now, m_options))
            continue;
        m_liveness[i].on_probe_sent(now);
        m_out.emplace_back(probe_action{i, m_options.probe_timeout});
    }
}

upstream::term_number
failover_monitor::highest_granted(const slot_state& state) const
{
    upstream::term_number highest = 0;
    for (const auto& database_state : state.members)
        highest = std::max(highest, database_state.status.granted);
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
    // The writes of a primary that no replica reaches can't be confirmed.
    std::size_t isolated = 0;
    std::size_t live_replicas = 0;
    const auto term = state.members[primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        if (i == primary ||
            m_liveness[i].evaluate(now, m_options) != verdict::alive)
            continue;
        const auto& status = state.members[i].status;
        if (status.acting != role::replica || status.granted != term)
            continue;
        ++live_replicas;
        if (status.since_primary_contact >= m_options.isolation_timeout)
            ++isolated;
    }
    return live_replicas > 0 && live_replicas == isolated &&
           live_replicas >= state.members.size() / 2;
}

std::string failover_monitor::suspicion_reason(std::size_t index,
                                               core::instant now) const
{
    const auto& state = m_slots[index];
    const auto primary = primary_of(state);
    if (!primary)
        return state.vacant_since &&
                       now - *state.vacant_since >= m_options.vacancy_timeout
                   ? "there is no primary"
                   : "";
    const auto& name = m_layout.databases[*primary].name;
    const auto primary_verdict = m_liveness[*primary].evaluate(now, m_options);
    if (primary_verdict != verdict::alive)
        return "primary " + name + " " +
               std::string(verdict_names[primary_verdict]);
    if (is_cut_off(state, *primary, now))
        return "primary " + name + " is cut off from its replicas";
    return {};
}

void failover_monitor::update_suspicion(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (primary_of(state))
        state.vacant_since.reset();
    else if (!state.vacant_since)
        state.vacant_since = now;
    const auto reason = suspicion_reason(index, now);
    if (reason.empty())
        return withdraw_suspicion(index, now);
    if (!state.suspected_since)
    {
        state.suspected_since = now;
        record_event(event_kind::suspicion, index, reason);
        send_opinion(index, true, now);
    }
    else if (now - state.opinion_sent_at >= m_options.probe_interval)
        send_opinion(index, true, now);
    consider_claim(index, now);
}

void failover_monitor::withdraw_suspicion(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    state.agreed_since.reset();
    if (!state.suspected_since)
        return;
    state.suspected_since.reset();
    record_event(event_kind::suspicion_withdrawn, index,
                 "the primary is no longer suspected");
    send_opinion(index, false, now);
}

void failover_monitor::send_opinion(std::size_t index, bool suspects,
                                    core::instant now)
{
    slot(index).opinion_sent_at = now;
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
    for (const auto& [watcher, suspected_at] : state.suspecting_watchers)
        if (now - suspected_at < m_options.max_opinion_age)
            ++count;
    return count;
}

void failover_monitor::consider_claim(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (!m_rank || !state.suspected_since || state.running_claim ||
        now < state.no_claim_before)
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
    if (m_rank != std::size_t{0} || state.running_claim || !primary ||
        now < state.no_claim_before)
        return;
    const auto& since = m_leaving_since[*primary];
    if (!since || now - *since < m_options.handover_delay)
        return;
    const auto term = state.members[*primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        const auto& status = state.members[i].status;
        const bool can_take_over =
            i != *primary && !m_layout.databases[i].leaving &&
            status.acting == role::replica && status.last.term == term &&
            m_liveness[i].evaluate(now, m_options) == verdict::alive;
        if (!can_take_over)
            continue;
        record_event(event_kind::handover, index,
                     m_layout.databases[*primary].name + " is leaving");
        return start_claim(index, {0, primary, std::nullopt}, now);
    }
}

void failover_monitor::start_claim(std::size_t index, claim_plan plan,
                                   core::instant now)
{
    auto& state = slot(index);
    plan.term = highest_granted(state) + 1;
    record_event(event_kind::claim_started, index,
                 "term " + std::to_string(plan.term));
    state.running_claim.emplace(++m_last_claim_number, static_cast<int>(index),
                                plan, m_layout, m_options, now, m_out);
}

void failover_monitor::check_claim(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    if (!state.running_claim)
        return;
    const auto outcome = state.running_claim->state();
    const auto term = "term " + std::to_string(state.running_claim->term());
    if (outcome == claim_state::won)
    {
        record_event(event_kind::promotion, index,
                     m_layout.databases[*state.running_claim->winner()].name +
                         " at " + term);
        state.no_claim_before = now + won_claim_backoff / 4;
    }
    else if (outcome == claim_state::lost)
    {
        record_event(event_kind::claim_lost, index, term);
        const auto rank = static_cast<core::millis::rep>(m_rank.value_or(0));
        state.no_claim_before = now + lost_claim_backoff * (1 + 2 * rank);
        state.agreed_since.reset();
    }
    else
        return;
    state.running_claim.reset();
    state.suspecting_watchers.clear();
}

bool failover_monitor::follows(const slot_state& state, std::size_t index,
                               upstream::term_number term) const
{
    const auto& status = state.members[index].status;
    return status.acting == role::replica && status.granted == term &&
           status.since_primary_contact < stale_follower_timeout;
}

void failover_monitor::repair_followers(std::size_t index, core::instant now)
{
    auto& state = slot(index);
    const auto primary = primary_of(state);
    if (!m_rank || state.running_claim || !primary)
        return;
    const auto term = state.members[*primary].status.granted;
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        auto& follower = state.members[i];
        if (i == *primary || !follower.known || follows(state, i, term))
        {
            follower.not_following_since.reset();
            continue;
        }
        if (!follower.not_following_since)
            follower.not_following_since = now;
        if (now - *follower.not_following_since < rank_wait() ||
            now - follower.repaired_at < repair_interval ||
            m_liveness[i].evaluate(now, m_options) != verdict::alive)
            continue;
        follower.repaired_at = now;
        upstream::control_order order;
        order.kind = upstream::control_kind::follow;
        order.slot = static_cast<int>(index);
        order.term = term;
        order.primary = m_layout.databases[*primary].address;
        m_out.emplace_back(
            control_action{i, std::move(order), 0, m_options.probe_timeout});
    }
}

void failover_monitor::record_event(event_kind kind, std::size_t index,
                                    std::string reason)
{
    m_out.emplace_back(event_action{
        {kind, m_layout.name, static_cast<int>(index), {}, std::move(reason)}});
}

} // namespace plantainward::failover
