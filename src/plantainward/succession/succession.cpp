#include <plantainward/succession/succession.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::succession
{

namespace
{

// Each further host waits this long before it acts on the same cause; a
// conditional write and its news take about 20 ms.
constexpr core::millis rank_delay{200};

// A claim whose writer is silent, or can't write, is taken over after this
// time. Longer than the time within which a promotion follows its conditional
// write.
constexpr core::millis takeover_silence{1500};

// A claim of a live writer that makes no progress; longer than a claim that
// waits for leases and for a slow promotion.
constexpr core::millis takeover_stuck{7000};

// After its record, the writer is the only one to replace the primary for this
// time while it goes on; two hosts don't replace one shortly after each other.
constexpr core::millis writer_first{10'000};

// A host's list of databases may be this much older than a record: changes are
// gathered for up to 1.5 s, and a lapsed registration is back after 2 s.
constexpr core::millis list_patience{2200};

// Pause of a host whose promotion calls are not answered: others take its claim
// over meanwhile.
constexpr core::millis unanswered_pause{5000};

// Pause after a claim that ended without a result.
constexpr core::millis retry_pause{300};

/// Whether most hosts that watch the primary doubt it. A host that watches it
/// must doubt it as well, unless the others wait for this one.
bool is_lost(const succession_view& view, bool others_wait)
{
    if (!view.watches)
        return view.doubters * 2 > view.watchers;
    const std::size_t own = view.doubts_primary ? 1 : 0;
    return (own == 1 || others_wait) &&
           (view.doubters + own) * 2 > view.watchers + 1;
}

} // namespace

succession::succession(std::string self, std::string service)
    : m_self(std::move(self)), m_service(std::move(service))
{
}

bool succession::take(const leadership& record, core::boot_instant now)
{
    if (!m_lease.take(record))
        return false;
    m_record_since = now;
    m_cause.reset();
    const bool superseded = m_claim &&
                            record.version > m_claim->record().version &&
                            record.writer != m_self;
    if (superseded)
        end_claim(claim_end::superseded, m_claim->stage());
    return true;
}

std::optional<claim_cause> succession::cause(const succession_view& view,
                                             core::boot_instant now) const
{
    const auto& record = m_lease.record();
    if (view.claim.upstreams.empty())
        return std::nullopt;
    if (record.version == 0)
        return claim_cause::unset;
    if (record.phase == leadership_phase::claimed)
    {
        // A record of this host without a claim: the answer to its write was
        // lost, or the process has restarted.
        const bool is_own = record.writer == m_self;
        if (is_own && !record.promoting)
            return claim_cause::abandoned;
        // Another process of this host may have a promotion call under way.
        const auto patience =
            view.writer_goes_on && !is_own ? takeover_stuck : takeover_silence;
        if (now - m_record_since < patience)
            return std::nullopt;
        return claim_cause::abandoned;
    }
    const auto& upstreams = view.claim.upstreams;
    const auto primary = std::find_if(
        upstreams.begin(), upstreams.end(),
        [&](const routes::upstream& one) { return one.id == record.primary; });
    const bool list_may_lag = now - m_record_since < list_patience;
    if (primary == upstreams.end())
        return list_may_lag ? std::nullopt : std::optional(claim_cause::gone);
    if (primary->started_at_ms != record.started_at_ms &&
        (!list_may_lag || primary->started_at_ms > record.started_at_ms))
        return claim_cause::restarted;
    const bool another_stays =
        std::any_of(upstreams.begin(), upstreams.end(),
                    [](const routes::upstream& one) { return !one.leaving; });
    if (primary->leaving && another_stays)
        return claim_cause::leaving;
    if (is_lost(view, record.writer == m_self))
        return claim_cause::lost;
    return std::nullopt;
}

// Whether another host has the first right to replace the primary.
bool succession::is_first_by_writer(const succession_view& view,
                                    core::boot_instant now) const
{
    const auto& record = m_lease.record();
    return record.phase == leadership_phase::settled &&
           record.writer != m_self && view.writer_goes_on &&
           now - m_record_since < writer_first;
}

// The answer to a write that is not the last one is late.
claim_actions succession::number_writes(claim_actions actions)
{
    for (auto& one : actions)
        if (auto* write = std::get_if<write_action>(&one))
            write->id = ++m_last_write;
    return actions;
}

claim_actions succession::tick(const succession_view& view,
                               core::boot_instant now)
{
    if (m_claim)
    {
        auto out = number_writes(m_claim->tick(view.claim, now));
        end_if_finished(now);
        return out;
    }
    const auto found = cause(view, now);
    if (found != m_cause)
    {
        m_cause = found;
        m_cause_since = now;
    }
    if (!found || now < m_not_before || is_first_by_writer(view, now) ||
        now - m_cause_since < rank_delay * static_cast<int>(view.rank))
        return {};
    m_claim.emplace(m_self, m_lease.record(), *found, now);
    return number_writes(m_claim->start());
}

claim_actions succession::on_write(std::uint64_t id, write_outcome end,
                                   std::uint64_t version,
                                   core::boot_instant now)
{
    if (id != m_last_write)
        return {};
    m_is_unanswered = end == write_outcome::unknown;
    if (!m_claim)
        return {};
    auto out = number_writes(m_claim->on_write(end, version, now));
    if (end == write_outcome::written)
    {
        const auto record = m_claim->record();
        if (m_lease.take(record))
            m_record_since = now;
    }
    end_if_finished(now);
    return out;
}

void succession::on_status(const std::string& upstream,
                           core::boot_instant asked,
                           const sql::status_answer& status)
{
    if (m_claim)
        m_claim->on_status(upstream, asked, status);
}

void succession::on_promote(std::uint64_t token, promotion_outcome end,
                            core::boot_instant now)
{
    if (m_claim && m_claim->record().version == token)
        m_claim->on_promote(end, now);
}

void succession::end_if_finished(core::boot_instant now)
{
    if (!m_claim || m_claim->stage() != claim_stage::finished)
        return;
    const bool is_unanswered = m_claim->end() == claim_end::unanswered;
    m_is_unanswered = m_is_unanswered || is_unanswered;
    m_not_before = now + (is_unanswered ? unanswered_pause : retry_pause);
    end_claim(m_claim->end(), m_claim->reached());
}

void succession::end_claim(claim_end end, claim_stage reached)
{
    m_ended = ended_claim{m_claim->cause(), end, reached,
                          m_claim->record().version, m_claim->started()};
    m_claim.reset();
}

} // namespace plantainward::succession
