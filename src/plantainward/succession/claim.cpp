#include <plantainward/succession/claim.hpp>

#include <plantainward/succession/primary_lease.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantainward::succession
{

namespace
{

// Interval between status requests to each database; a few round trips.
constexpr core::millis status_interval{60};

// Added to the validity of leases, since timers fire some milliseconds late.
constexpr core::millis fence_slack{100};

// Wait for the status of databases that don't answer, once the old primary is
// fenced.
constexpr core::millis status_timeout{350};

// The same wait if the best known log ends before the term of the replaced
// primary, so that its promotion would lose what was committed in that term. A
// busy database answers only one in a few status requests.
constexpr core::millis newer_log_timeout{2000};

// Wait for a replica to reach the end of a demoted primary's log; even a
// lagging replica receives the log within a network delay.
constexpr core::millis catch_up_timeout{1000};

// A promotion call must start within this time of its conditional write.
constexpr core::millis promotion_start_timeout{1000};

// A promotion call has ended by this time after its conditional write; other
// hosts take over the claim no earlier than `silent_takeover_timeout` after it.
constexpr core::millis promotion_call_timeout{1300};

// A promotion takes from some hundred ms to a second; a call that shows no
// effect within this time is repeated.
constexpr core::millis promotion_effect_timeout{2500};

// The claim ends after this many calls that did not reach the platform, since
// another host may reach it.
constexpr int max_unsent_calls = 2;

// The claim ends after this many calls without an answer. They may have reached
// a slow platform, so the next host should not call shortly after them.
constexpr int max_unanswered_calls = 4;

// A promotion takes from some hundred ms to a second, with slack. A database
// that still leads its old term after this time was the platform's primary
// before the call, which then changed nothing.
constexpr core::millis max_promotion_time{1500};

// Time for which a database that was not running is no candidate.
constexpr core::millis rejected_pause{1000};

const routes::upstream* find_upstream(const claim_view& view,
                                      const std::string& id)
{
    for (const auto& upstream : view.upstreams)
        if (upstream.id == id)
            return &upstream;
    return nullptr;
}

// Whether a database may be the primary for long. One that is leaving may only
// if all databases are leaving.
bool may_lead(const claim_view& view, const routes::upstream& upstream)
{
    return !upstream.leaving ||
           std::all_of(view.upstreams.begin(), view.upstreams.end(),
                       [](const auto& other) { return other.leaving; });
}

} // namespace

claim::claim(std::string self, leadership initial_record, claim_trigger trigger,
             core::boot_instant now)
    : m_self(std::move(self)), m_initial_record(std::move(initial_record)),
      m_record(m_initial_record), m_trigger(trigger), m_started(now)
{
}

claim_actions claim::start()
{
    claim_actions out;
    auto new_record = m_initial_record;
    new_record.phase = leadership_phase::claimed;
    write(new_record, claim_stage::writing, m_started, out);
    return out;
}

void claim::write(leadership new_record, claim_stage stage,
                  core::boot_instant now, claim_actions& out)
{
    new_record.version = 0;
    new_record.writer = m_self;
    m_pending_record = std::move(new_record);
    m_stage = stage;
    m_write_sent_at = now;
    out.emplace_back(write_action{0, m_record.version, m_pending_record,
                                  stage == claim_stage::writing});
}

claim_actions claim::on_write(write_outcome outcome, std::uint64_t version,
                              core::boot_instant now)
{
    if (outcome != write_outcome::written)
        return finish(outcome == write_outcome::conflict
                          ? claim_outcome::conflict
                          : claim_outcome::write_unknown);
    m_record = m_pending_record;
    m_record.version = version;
    switch (m_stage)
    {
    case claim_stage::writing:
        m_claimed_at = now;
        m_stage = claim_stage::gathering;
        return {};
    case claim_stage::confirming:
        if (now - m_write_sent_at > promotion_start_timeout)
            return finish(claim_outcome::too_late);
        m_stage = claim_stage::promoting;
        m_promotion_sent_at = now;
        m_accepted_at.reset();
        return {promote_action{m_record.primary, version, m_write_sent_at,
                               m_write_sent_at + promotion_call_timeout}};
    default:
        return finish(m_keeps_leaving_primary ? claim_outcome::not_caught_up
                                              : claim_outcome::settled);
    }
}

claim_actions claim::finish(claim_outcome outcome)
{
    m_last_stage = m_stage;
    m_stage = claim_stage::finished;
    m_outcome = outcome;
    return {};
}

void claim::on_status(const std::string& upstream,
                      core::boot_instant requested_at,
                      const sql::status_answer& status)
{
    if (status.is_down)
        m_statuses.erase(upstream);
    if (status.is_down)
        m_down_at[upstream] = requested_at;
    if (!status.status)
        return;
    m_statuses[upstream] = {requested_at, *status.status};
    m_down_at.erase(upstream);
}

void claim::on_promote(promotion_outcome outcome, core::boot_instant now)
{
    if (m_stage != claim_stage::promoting)
        return;
    if (outcome == promotion_outcome::accepted)
        m_accepted_at = now;
    if (outcome == promotion_outcome::not_sent)
        ++m_unsent_calls;
    if (outcome == promotion_outcome::rejected)
    {
        m_rejected_at[m_record.primary] = now;
        m_record.promoting = m_may_have_promoted;
        m_stage = claim_stage::gathering;
    }
}

const claim::status_report* claim::status_of(const std::string& upstream) const
{
    const auto found = m_statuses.find(upstream);
    return found == m_statuses.end() ? nullptr : &found->second;
}

void claim::request_statuses(const claim_view& view, core::boot_instant now,
                             claim_actions& out)
{
    if (now - m_status_requested_at < status_interval)
        return;
    m_status_requested_at = now;
    for (const auto& upstream : view.upstreams)
        out.emplace_back(status_action{upstream.id});
}

// Whether no host can still use the primary that is being replaced.
bool claim::is_fenced(const claim_view& view, core::boot_instant now)
{
    if (m_fenced_at)
        return true;
    if (!m_majority_at && view.majority_acknowledged(m_record.version))
        m_majority_at = now;
    // Hosts that are not registered may live without the table service. They
    // prove nothing more to each other once a majority has acknowledged.
    const bool has_all_acknowledged =
        m_majority_at && view.all_acknowledged(m_record.version, m_claimed_at);
    const bool leases_over =
        m_majority_at && now - std::max(m_claimed_at, *m_majority_at) >
                             primary_lease::validity + fence_slack;
    if (m_trigger == claim_trigger::unset || has_all_acknowledged ||
        leases_over)
        m_fenced_at = now;
    return m_fenced_at.has_value();
}

void claim::settle(const claim_view& view, const std::string& upstream,
                   core::boot_instant now, claim_actions& out)
{
    const auto* registered = find_upstream(view, upstream);
    write({0,
           leadership_phase::settled,
           upstream,
           registered == nullptr ? m_record.started_at_ms
                                 : registered->started_at_ms,
           {},
           status_of(upstream)->status.term,
           false},
          claim_stage::settling, now, out);
}

// The primary that can be kept: it answers, is not leaving, and no database has
// a longer log.
std::optional<std::string>
claim::surviving_primary(const claim_view& view, core::boot_instant now) const
{
    // A promotion that was called for may have taken effect at a database that
    // does not answer now.
    const bool may_be_replaced =
        m_record.promoting ||
        (m_trigger == claim_trigger::abandoned &&
         m_initial_record.phase != leadership_phase::claimed);
    if (may_be_replaced || m_demoted_at || !has_all_statuses(view, now))
        return std::nullopt;
    const auto best = best_candidate(view);
    if (!best)
        return std::nullopt;
    const auto longest = status_of(*best)->status.received;
    std::optional<std::string> found;
    upstream::term_number highest = 0;
    for (const auto& upstream : view.upstreams)
    {
        const auto* report = status_of(upstream.id);
        if (report == nullptr || !may_lead(view, upstream) ||
            !report->status.is_primary || report->status.received < longest ||
            report->status.term < highest)
            continue;
        found = upstream.id;
        highest = report->status.term;
    }
    return found;
}

// The database that an abandoned claim has promoted, once its status shows that
// it leads a newer term; empty otherwise.
std::optional<std::string> claim::already_promoted(const claim_view& view) const
{
    const auto* registered = find_upstream(view, m_record.primary);
    const auto* report = status_of(m_record.primary);
    if (!m_record.promoting || registered == nullptr ||
        !may_be_promoted(view, *registered) ||
        registered->started_at_ms != m_record.started_at_ms ||
        report == nullptr || report->requested_at < m_claimed_at ||
        !report->status.is_primary || report->status.term <= m_record.term)
        return std::nullopt;
    return m_record.primary;
}

// Whether a database may be promoted. A leaving one may be the only one that
// has all acknowledged commits; it is replaced once another has caught up.
bool claim::may_be_promoted(const claim_view& view,
                            const routes::upstream& upstream) const
{
    const bool is_demoted =
        m_demoted_at && upstream.id == m_initial_record.primary;
    return may_lead(view, upstream) || (view.sync_replicas > 0 && !is_demoted &&
                                        !view.gone.contains(upstream.id));
}

// Whether a log is as long as all known ones, of which at least one has every
// acknowledged commit. What a demoted primary has received since another
// database caught up with it was not acknowledged to a caller.
bool claim::has_acknowledged_commits(const claim_view& view,
                                     const sql::database_status& status) const
{
    if (view.sync_replicas == 0)
        return true;
    if (m_caught_up_with && status.received < *m_caught_up_with)
        return false;
    return std::none_of(view.upstreams.begin(), view.upstreams.end(),
                        [&](const routes::upstream& upstream) {
                            const auto* report = status_of(upstream.id);
                            const bool is_demoted =
                                m_demoted_at &&
                                upstream.id == m_initial_record.primary;
                            return report != nullptr && !is_demoted &&
                                   !view.gone.contains(upstream.id) &&
                                   report->status.received > status.received;
                        });
}

std::optional<std::string> claim::best_candidate(const claim_view& view) const
{
    // Among equal logs, a database that stays is preferred, and the present
    // primary needs no promotion.
    const auto rank = [&](const std::string& id) {
        const auto& status = status_of(id)->status;
        return std::tuple(status.received,
                          may_lead(view, *find_upstream(view, id)),
                          status.is_primary ? status.term : 0);
    };
    std::optional<std::string> best;
    for (const auto& upstream : view.upstreams)
    {
        const auto* report = status_of(upstream.id);
        if (report == nullptr || !may_be_promoted(view, upstream) ||
            !has_acknowledged_commits(view, report->status) ||
            m_rejected_at.contains(upstream.id))
            continue;
        if (!best || rank(upstream.id) > rank(*best))
            best = upstream.id;
    }
    return best;
}

// After the last event that could change a log.
core::boot_instant claim::logs_fixed_at() const
{
    const auto since =
        std::max(m_claimed_at, m_fenced_at.value_or(m_claimed_at));
    return std::max(since, m_demoted_at.value_or(since));
}

// Whether the log of the recorded primary is known. It has every acknowledged
// commit, unless the database has restarted.
bool claim::knows_recorded_log(const claim_view& view) const
{
    const auto* registered = find_upstream(view, m_initial_record.primary);
    const auto* report = status_of(m_initial_record.primary);
    return registered != nullptr && report != nullptr &&
           registered->started_at_ms == m_initial_record.started_at_ms &&
           report->requested_at >= logs_fixed_at();
}

// Registered databases, without the recorded primary, whose log is not known.
std::size_t claim::count_unknown_logs(const claim_view& view) const
{
    return static_cast<std::size_t>(std::count_if(
        view.upstreams.begin(), view.upstreams.end(),
        [&](const routes::upstream& upstream) {
            const auto* report = status_of(upstream.id);
            const bool is_known =
                report != nullptr && report->requested_at >= logs_fixed_at();
            return !is_known && upstream.id != m_initial_record.primary &&
                   !view.gone.contains(upstream.id);
        }));
}

// Whether some acknowledged commits may be only in logs that are not known:
// each is in the log of the recorded primary and of `sync_replicas` other
// databases. These are waited for while they are registered.
bool claim::may_lack_acknowledged_commits(const claim_view& view) const
{
    return view.sync_replicas > 0 && !knows_recorded_log(view) &&
           count_unknown_logs(view) >= view.sync_replicas;
}

// Whether every registered database has answered a request that was sent after
// the last event that could change a log, or the wait for it has timed out.
bool claim::has_all_statuses(const claim_view& view,
                             core::boot_instant now) const
{
    const auto since = logs_fixed_at();
    if (now - since > status_timeout)
        return true;
    const bool has_timed_out = now - m_claimed_at > status_timeout;
    return std::all_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const routes::upstream& upstream) {
                           const auto* report = status_of(upstream.id);
                           if (report != nullptr)
                               return report->requested_at >= since;
                           const auto down = m_down_at.find(upstream.id);
                           return has_timed_out || (down != m_down_at.end() &&
                                                    down->second >= since);
                       });
}

// Whether a running database that has not answered may have entries of the
// replaced primary's term that the best known log lacks.
bool claim::awaits_newer_log(const claim_view& view, const std::string& best,
                             core::boot_instant now) const
{
    const bool is_old =
        status_of(best)->status.received.term < m_initial_record.term;
    if (!is_old || now - *m_fenced_at > newer_log_timeout)
        return false;
    return std::any_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const routes::upstream& upstream) {
                           return upstream.id != m_initial_record.primary &&
                                  may_lead(view, upstream) &&
                                  status_of(upstream.id) == nullptr &&
                                  !m_down_at.contains(upstream.id);
                       });
}

// Whether a database that stays has received the whole log of a primary.
bool claim::is_caught_up(const claim_view& view,
                         const sql::database_status& primary) const
{
    return std::any_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const routes::upstream& upstream) {
                           const auto* report = status_of(upstream.id);
                           return may_lead(view, upstream) &&
                                  report != nullptr &&
                                  report->requested_at >= logs_fixed_at() &&
                                  report->status.received >= primary.received;
                       });
}

// Demotes a leaving primary, once; true when it did so now, or when nothing is
// promoted while it leads. A primary that is not leaving is not demoted:
// promoting it again would not make it lead again. Where commits must be kept,
// a database that stays has to catch up before; otherwise the primary is kept.
bool claim::demote_old_primary(const claim_view& view, core::boot_instant now,
                               claim_actions& out)
{
    const auto* registered = find_upstream(view, m_initial_record.primary);
    const auto* old = status_of(m_initial_record.primary);
    if (m_demoted_at || registered == nullptr || may_lead(view, *registered) ||
        old == nullptr || !old->status.is_primary)
        return false;
    const bool keeps_commits = view.sync_replicas > 0;
    const bool has_successor =
        old->requested_at >= logs_fixed_at() && is_caught_up(view, old->status);
    if (keeps_commits && !has_successor)
    {
        m_keeps_leaving_primary = now - *m_fenced_at >= catch_up_timeout;
        if (m_keeps_leaving_primary)
            settle(view, m_initial_record.primary, now, out);
        return true;
    }
    if (keeps_commits)
        m_caught_up_with = old->status.received;
    m_demoted_at = m_status_requested_at;
    out.emplace_back(
        demote_action{m_initial_record.primary, old->status.term + 1});
    return true;
}

void claim::gather(const claim_view& view, core::boot_instant now,
                   claim_actions& out)
{
    request_statuses(view, now, out);
    const bool fenced = is_fenced(view, now);
    const auto survivor = surviving_primary(view, now);
    // Only the recorded primary is kept without a promotion: another database
    // that reports itself as primary has been replaced.
    if (survivor && (m_trigger == claim_trigger::unset ||
                     *survivor == m_initial_record.primary))
        return settle(view, *survivor, now, out);
    if (fenced)
        if (const auto promoted = already_promoted(view))
            return settle(view, *promoted, now, out);
    if (!fenced || demote_old_primary(view, now, out) ||
        !has_all_statuses(view, now) || may_lack_acknowledged_commits(view))
        return;
    const auto best = best_candidate(view);
    if (!best || awaits_newer_log(view, *best, now))
        return;
    // A demoted primary's log grows no more, so a replica may still reach its
    // end.
    const auto* old = status_of(m_initial_record.primary);
    if (old != nullptr && *best != m_initial_record.primary &&
        status_of(*best)->status.received < old->status.received &&
        now - *m_fenced_at < catch_up_timeout)
        return;
    m_may_have_promoted = m_record.promoting;
    write({0,
           leadership_phase::claimed,
           *best,
           find_upstream(view, *best)->started_at_ms,
           {},
           status_of(*best)->status.term,
           true},
          claim_stage::confirming, now, out);
}

// Whether the promotion has taken effect. A former primary that does not know
// that it was replaced keeps leading its old term until then.
bool claim::has_promoted(const status_report& candidate) const
{
    if (candidate.requested_at < m_promotion_sent_at ||
        !candidate.status.is_primary)
        return false;
    if (candidate.status.term > m_record.term)
        return true;
    // The present primary leads the newest known term, even when other
    // databases have not answered for long.
    const bool is_newest = std::none_of(
        m_statuses.begin(), m_statuses.end(), [&](const auto& entry) {
            return entry.second.status.term > candidate.status.term;
        });
    return is_newest && m_accepted_at &&
           candidate.requested_at - *m_accepted_at > max_promotion_time;
}

claim_actions claim::tick(const claim_view& view, core::boot_instant now)
{
    claim_actions out;
    std::erase_if(m_rejected_at, [&](const auto& entry) {
        return now - entry.second > rejected_pause;
    });
    if (m_stage == claim_stage::gathering)
    {
        gather(view, now, out);
        return out;
    }
    if (m_stage != claim_stage::promoting)
        return out;
    request_statuses(view, now, out);
    const auto* candidate = status_of(m_record.primary);
    if (candidate != nullptr && has_promoted(*candidate))
    {
        settle(view, m_record.primary, now, out);
        return out;
    }
    if (now - m_accepted_at.value_or(m_promotion_sent_at) <=
        promotion_effect_timeout)
        return out;
    if (!m_accepted_at && (++m_unanswered_calls >= max_unanswered_calls ||
                           m_unsent_calls >= max_unsent_calls))
        return finish(claim_outcome::unanswered);
    m_stage = claim_stage::gathering;
    return out;
}

} // namespace plantainward::succession
