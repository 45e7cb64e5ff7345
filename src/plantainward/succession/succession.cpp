#include <plantainward/succession/succession.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::succession
{

namespace
{

// Each further host in the order waits this much longer before it claims for
// the same trigger; a conditional write and its announcement take about 20 ms.
constexpr core::millis rank_delay{200};

// Age at which a claim is taken over whose writer is silent or can't write.
// Longer than the time within which a promotion follows its conditional write.
constexpr core::millis silent_takeover_timeout{1500};

// Age at which a claim of a live writer is taken over because it makes no
// progress. Longer than a claim that waits for leases and a slow promotion.
constexpr core::millis stuck_takeover_timeout{7000};

// Time after a record for which only its writer, while active, may replace the
// primary, so that two hosts do not replace it shortly after each other.
constexpr core::millis writer_priority_time{10'000};

// A host's list of databases may be this much older than a record: changes are
// batched for up to 1.5 s, and a lapsed registration is back after 2 s.
constexpr core::millis max_list_lag{2200};

// Pause of a host whose promotion calls are not answered, so that another host
// takes over its claim.
constexpr core::millis unanswered_pause{5000};

// Pause after a claim that ended without a result.
constexpr core::millis retry_pause{300};

// Pause before a leaving primary is to be replaced again that was kept because
// no other database had its log. The service is used meanwhile.
constexpr core::millis catch_up_pause{1000};

core::millis pause_after(claim_outcome outcome)
{
    switch (outcome)
    {
    case claim_outcome::unanswered:
        return unanswered_pause;
    case claim_outcome::not_caught_up:
        return catch_up_pause;
    default:
        return retry_pause;
    }
}

/// Whether most hosts that watch the primary suspect it. If this host watches
/// it, it must suspect it too, unless it is the record's writer, for which the
/// other hosts wait.
bool is_suspected_by_majority(const succession_view& view, bool is_writer)
{
    if (!view.watches_primary)
        return view.suspecting_hosts * 2 > view.watchers;
    const std::size_t own = view.suspects_primary ? 1 : 0;
    return (own == 1 || is_writer) &&
           (view.suspecting_hosts + own) * 2 > view.watchers + 1;
}

} // namespace

succession::succession(std::string self, std::string service)
    : m_self(std::move(self)), m_service(std::move(service))
{
}

bool succession::update_record(const leadership& record, core::boot_instant now)
{
    if (!m_lease.update_record(record))
        return false;
    m_record_received_at = now;
    m_trigger.reset();
    const bool superseded = m_claim &&
                            record.version > m_claim->record().version &&
                            record.writer != m_self;
    if (superseded)
        end_claim(claim_outcome::superseded, m_claim->stage());
    return true;
}

std::optional<claim_trigger>
succession::find_trigger(const succession_view& view,
                         core::boot_instant now) const
{
    const auto& record = m_lease.record();
    if (view.claim.upstreams.empty())
        return std::nullopt;
    if (!view.can_reach_majority)
        return std::nullopt;
    if (record.version == 0)
        return claim_trigger::unset;
    if (record.phase == leadership_phase::claimed)
    {
        // This host's record without a running claim: the answer to its write
        // was lost, or the process has restarted.
        const bool is_own = record.writer == m_self;
        if (is_own && !record.promoting)
            return claim_trigger::abandoned;
        // An earlier process of this host may have a promotion call in flight.
        const auto timeout = view.is_writer_active && !is_own
                                 ? stuck_takeover_timeout
                                 : silent_takeover_timeout;
        if (now - m_record_received_at < timeout)
            return std::nullopt;
        return claim_trigger::abandoned;
    }
    const auto& upstreams = view.claim.upstreams;
    const auto primary = std::find_if(upstreams.begin(), upstreams.end(),
                                      [&](const routes::upstream& upstream) {
                                          return upstream.id == record.primary;
                                      });
    const bool list_may_lag = now - m_record_received_at < max_list_lag;
    if (primary == upstreams.end())
        return list_may_lag ? std::nullopt : std::optional(claim_trigger::gone);
    if (primary->started_at_ms != record.started_at_ms &&
        (!list_may_lag || primary->started_at_ms > record.started_at_ms))
        return claim_trigger::restarted;
    const bool another_stays = std::any_of(
        upstreams.begin(), upstreams.end(),
        [](const routes::upstream& upstream) { return !upstream.leaving; });
    if (primary->leaving && another_stays)
        return claim_trigger::leaving;
    if (is_suspected_by_majority(view, record.writer == m_self))
        return claim_trigger::lost;
    return std::nullopt;
}

// Whether the record's writer is still the only host that may replace the
// primary, and is another host.
bool succession::yields_to_writer(const succession_view& view,
                                  core::boot_instant now) const
{
    const auto& record = m_lease.record();
    return record.phase == leadership_phase::settled &&
           record.writer != m_self && view.is_writer_active &&
           now - m_record_received_at < writer_priority_time;
}

// Gives each write a new id, so that the answer to an earlier one is known to
// be late.
claim_actions succession::assign_write_ids(claim_actions actions)
{
    for (auto& action : actions)
        if (auto* write = std::get_if<write_action>(&action))
            write->id = ++m_last_write_id;
    return actions;
}

claim_actions succession::tick(const succession_view& view,
                               core::boot_instant now)
{
    if (m_claim)
    {
        auto out = assign_write_ids(m_claim->tick(view.claim, now));
        end_if_finished(now);
        return out;
    }
    const auto trigger = find_trigger(view, now);
    if (trigger != m_trigger)
    {
        m_trigger = trigger;
        m_trigger_since = now;
    }
    if (!trigger || now < m_next_claim_at || yields_to_writer(view, now) ||
        now - m_trigger_since < rank_delay * static_cast<int>(view.rank))
        return {};
    m_claim.emplace(m_self, m_lease.record(), *trigger, now);
    return assign_write_ids(m_claim->start());
}

claim_actions succession::on_write(std::uint64_t id, write_outcome outcome,
                                   std::uint64_t version,
                                   core::boot_instant now)
{
    if (id != m_last_write_id)
        return {};
    m_has_unanswered_request = outcome == write_outcome::unknown;
    if (!m_claim)
        return {};
    auto out = assign_write_ids(m_claim->on_write(outcome, version, now));
    if (outcome == write_outcome::written)
    {
        const auto record = m_claim->record();
        if (m_lease.update_record(record))
            m_record_received_at = now;
    }
    end_if_finished(now);
    return out;
}

void succession::on_status(const std::string& upstream,
                           core::boot_instant requested_at,
                           const sql::status_answer& status)
{
    if (m_claim)
        m_claim->on_status(upstream, requested_at, status);
}

void succession::on_promote(std::uint64_t token, promotion_outcome outcome,
                            core::boot_instant now)
{
    if (m_claim && m_claim->record().version == token)
        m_claim->on_promote(outcome, now);
}

void succession::end_if_finished(core::boot_instant now)
{
    if (!m_claim || m_claim->stage() != claim_stage::finished)
        return;
    const bool is_unanswered = m_claim->outcome() == claim_outcome::unanswered;
    m_has_unanswered_request = m_has_unanswered_request || is_unanswered;
    m_next_claim_at = now + pause_after(m_claim->outcome());
    end_claim(m_claim->outcome(), m_claim->last_stage());
}

void succession::end_claim(claim_outcome outcome, claim_stage last_stage)
{
    m_ended_claim = ended_claim{m_claim->trigger(), outcome, last_stage,
                                m_claim->record().version, m_claim->started()};
    m_claim.reset();
}

} // namespace plantainward::succession
