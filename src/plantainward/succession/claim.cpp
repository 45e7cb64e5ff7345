#include <plantainward/succession/claim.hpp>

#include <plantainward/succession/primary_lease.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::succession
{

namespace
{

// Between questions to each database; a few of their round trips.
constexpr core::millis status_interval{60};

// Beyond the validity of leases: timers fire late by some milliseconds.
constexpr core::millis fence_slack{100};

// Wait for the status of databases that don't answer, after the fence.
constexpr core::millis answer_patience{350};

// The same where the best log known ends before the term of the replaced
// primary, so that what was committed since would be lost: a busy database
// answers one question in a few.
constexpr core::millis old_log_patience{2000};

// Wait for a replica to reach the end of a demoted primary's log; a lagging
// replica still receives within a network delay.
constexpr core::millis catch_up_patience{1000};

// A promotion call must start within this time of its conditional write.
constexpr core::millis promote_within{1000};

// A promotion call is over, one way or another, this long after its conditional
// write; others take the claim over no sooner than `takeover_silence` after it.
constexpr core::millis promote_deadline{1300};

// A promotion takes some hundred ms up to a second; a call whose effect does
// not show by then is repeated.
constexpr core::millis promote_patience{2500};

// After this many calls without an answer another host may have a better way
// to the platform.
constexpr int most_unanswered = 2;

// A promotion takes some hundred ms up to a second, with slack. What leads its
// old term for longer after the call was the platform's primary already, and
// the call changes nothing.
constexpr core::millis longest_promotion{1500};

// A database that was not running is not tried again for this time.
constexpr core::millis rejected_pause{1000};

const routes::upstream* find(const claim_view& view, const std::string& id)
{
    for (const auto& one : view.upstreams)
        if (one.id == id)
            return &one;
    return nullptr;
}

// Whether a database may be the primary: one that leaves is used only where
// none stays.
bool may_lead(const claim_view& view, const routes::upstream& one)
{
    return !one.leaving ||
           std::all_of(view.upstreams.begin(), view.upstreams.end(),
                       [](const auto& other) { return other.leaving; });
}

} // namespace

claim::claim(std::string self, leadership before, claim_cause cause,
             core::boot_instant now)
    : m_self(std::move(self)), m_before(std::move(before)), m_record(m_before),
      m_cause(cause), m_started(now)
{
}

claim_actions claim::start()
{
    claim_actions out;
    auto wanted = m_before;
    wanted.phase = leadership_phase::claimed;
    write(wanted, claim_stage::writing, m_started, out);
    return out;
}

void claim::write(leadership wanted, claim_stage stage, core::boot_instant now,
                  claim_actions& out)
{
    wanted.version = 0;
    wanted.writer = m_self;
    m_wanted = std::move(wanted);
    m_stage = stage;
    m_last_sent = now;
    out.emplace_back(write_action{0, m_record.version, m_wanted});
}

claim_actions claim::on_write(write_outcome end, std::uint64_t version,
                              core::boot_instant now)
{
    if (end != write_outcome::written)
        return finish(end == write_outcome::conflict
                          ? claim_end::conflict
                          : claim_end::write_unknown);
    m_record = m_wanted;
    m_record.version = version;
    switch (m_stage)
    {
    case claim_stage::writing:
        m_claimed_at = now;
        m_stage = claim_stage::gathering;
        return {};
    case claim_stage::confirming:
        if (now - m_last_sent > promote_within)
            return finish(claim_end::too_late);
        m_stage = claim_stage::promoting;
        m_promoted_at = now;
        m_accepted_at.reset();
        return {promote_action{m_record.primary, version, m_last_sent,
                               m_last_sent + promote_deadline}};
    default:
        return finish(claim_end::settled);
    }
}

claim_actions claim::finish(claim_end end)
{
    m_reached = m_stage;
    m_stage = claim_stage::finished;
    m_end = end;
    return {};
}

void claim::on_status(const std::string& upstream, core::boot_instant asked,
                      const sql::status_answer& status)
{
    if (status.is_down)
        m_answers.erase(upstream);
    if (status.is_down)
        m_down_at[upstream] = asked;
    if (!status.status)
        return;
    m_answers[upstream] = {asked, *status.status};
    m_down_at.erase(upstream);
}

void claim::on_promote(promotion_outcome end, core::boot_instant now)
{
    if (m_stage != claim_stage::promoting)
        return;
    if (end == promotion_outcome::accepted)
        m_accepted_at = now;
    if (end == promotion_outcome::rejected)
    {
        m_rejected[m_record.primary] = now;
        m_record.promoting = m_promoted_before;
        m_stage = claim_stage::gathering;
    }
}

const claim::answer* claim::answer_of(const std::string& upstream) const
{
    const auto found = m_answers.find(upstream);
    return found == m_answers.end() ? nullptr : &found->second;
}

void claim::ask_all(const claim_view& view, core::boot_instant now,
                    claim_actions& out)
{
    if (now - m_last_asked < status_interval)
        return;
    m_last_asked = now;
    for (const auto& one : view.upstreams)
        out.emplace_back(status_action{one.id});
}

// Whether no host can still use the primary of before the claim.
bool claim::is_fenced(const claim_view& view, core::boot_instant now)
{
    if (m_fenced_at)
        return true;
    const auto aware = view.aware(m_record.version, m_claimed_at);
    if (!m_majority_at && aware * 2 > view.members)
        m_majority_at = now;
    const bool all_agree = view.all_aware(m_record.version, m_claimed_at);
    const bool leases_over =
        m_majority_at && now - std::max(m_claimed_at, *m_majority_at) >
                             primary_lease::validity + fence_slack;
    if (m_cause == claim_cause::unset || all_agree || leases_over)
        m_fenced_at = now;
    return m_fenced_at.has_value();
}

void claim::settle(const claim_view& view, const std::string& upstream,
                   core::boot_instant now, claim_actions& out)
{
    const auto* known = find(view, upstream);
    write({0,
           leadership_phase::settled,
           upstream,
           known == nullptr ? m_record.started_at_ms : known->started_at_ms,
           {},
           answer_of(upstream)->status.term,
           false},
          claim_stage::settling, now, out);
}

// The primary that goes on: it answers, stays, and nobody has a longer log.
std::optional<std::string> claim::standing_primary(const claim_view& view,
                                                   core::boot_instant now) const
{
    // A promotion that was asked for may have taken effect at a database that
    // is not seen now.
    const bool may_be_replaced =
        m_record.promoting || (m_cause == claim_cause::abandoned &&
                               m_before.phase != leadership_phase::claimed);
    if (may_be_replaced || m_demoted_at || !has_everything(view, now))
        return std::nullopt;
    const auto best = best_candidate(view);
    if (!best)
        return std::nullopt;
    const auto longest = answer_of(*best)->status.received;
    std::optional<std::string> found;
    upstream::term_number highest = 0;
    for (const auto& one : view.upstreams)
    {
        const auto* known = answer_of(one.id);
        if (known == nullptr || !may_lead(view, one) ||
            !known->status.is_primary || known->status.received < longest ||
            known->status.term < highest)
            continue;
        found = one.id;
        highest = known->status.term;
    }
    return found;
}

// The database that an abandoned claim has promoted, once that shows.
std::optional<std::string> claim::promoted_before(const claim_view& view) const
{
    const auto* known = find(view, m_record.primary);
    const auto* told = answer_of(m_record.primary);
    if (!m_record.promoting || known == nullptr || !may_lead(view, *known) ||
        known->started_at_ms != m_record.started_at_ms || told == nullptr ||
        told->asked < m_claimed_at || !told->status.is_primary ||
        told->status.term <= m_record.term)
        return std::nullopt;
    return m_record.primary;
}

std::optional<std::string> claim::best_candidate(const claim_view& view) const
{
    std::optional<std::string> best;
    upstream::log_point longest;
    for (const auto& one : view.upstreams)
    {
        const auto* known = answer_of(one.id);
        if (known == nullptr || !may_lead(view, one) ||
            m_rejected.contains(one.id))
            continue;
        if (best && known->status.received <= longest)
            continue;
        best = one.id;
        longest = known->status.received;
    }
    return best;
}

// Every registered database has answered since the last event that could
// change a log, or has had its time to.
bool claim::has_everything(const claim_view& view, core::boot_instant now) const
{
    auto since = std::max(m_claimed_at, m_fenced_at.value_or(m_claimed_at));
    since = std::max(since, m_demoted_at.value_or(since));
    if (now - since > answer_patience)
        return true;
    const bool had_its_time = now - m_claimed_at > answer_patience;
    return std::all_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const routes::upstream& one) {
                           const auto* known = answer_of(one.id);
                           if (known != nullptr)
                               return known->asked >= since;
                           const auto down = m_down_at.find(one.id);
                           return had_its_time || (down != m_down_at.end() &&
                                                   down->second >= since);
                       });
}

// Whether a database that runs and has not answered may have what the best
// known log lacks of the replaced primary's term.
bool claim::waits_for_newer_log(const claim_view& view, const std::string& best,
                                core::boot_instant now) const
{
    const bool is_old = answer_of(best)->status.received.term < m_before.term;
    if (!is_old || now - *m_fenced_at > old_log_patience)
        return false;
    return std::any_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const routes::upstream& one) {
                           return one.id != m_before.primary &&
                                  may_lead(view, one) &&
                                  answer_of(one.id) == nullptr &&
                                  !m_down_at.contains(one.id);
                       });
}

// Orders a leaving primary to follow, once; true when that was needed now. One
// that stays is not told: promoting it again would not make it lead again.
bool claim::demote_old_primary(const claim_view& view, claim_actions& out)
{
    const auto* known = find(view, m_before.primary);
    const auto* old = answer_of(m_before.primary);
    if (m_demoted_at || known == nullptr || may_lead(view, *known) ||
        old == nullptr || !old->status.is_primary)
        return false;
    m_demoted_at = m_last_asked;
    out.emplace_back(demote_action{m_before.primary, old->status.term + 1});
    return true;
}

void claim::gather(const claim_view& view, core::boot_instant now,
                   claim_actions& out)
{
    ask_all(view, now, out);
    const bool fenced = is_fenced(view, now);
    const auto standing = standing_primary(view, now);
    // Only the recorded primary goes on without a promotion: another one that
    // believes to lead has been replaced.
    if (standing &&
        (m_cause == claim_cause::unset || *standing == m_before.primary))
        return settle(view, *standing, now, out);
    if (fenced)
        if (const auto promoted = promoted_before(view))
            return settle(view, *promoted, now, out);
    if (!fenced || demote_old_primary(view, out) || !has_everything(view, now))
        return;
    const auto best = best_candidate(view);
    if (!best || waits_for_newer_log(view, *best, now))
        return;
    // A demoted primary's log is final, and a replica may still reach its end.
    const auto* old = answer_of(m_before.primary);
    if (old != nullptr && *best != m_before.primary &&
        answer_of(*best)->status.received < old->status.received &&
        now - *m_fenced_at < catch_up_patience)
        return;
    m_promoted_before = m_record.promoting;
    write({0,
           leadership_phase::claimed,
           *best,
           find(view, *best)->started_at_ms,
           {},
           answer_of(*best)->status.term,
           true},
          claim_stage::confirming, now, out);
}

// A database that led before, and has not heard that it was replaced, goes on
// leading its old term until the promotion takes effect.
bool claim::has_promoted(const answer& chosen) const
{
    if (chosen.asked < m_promoted_at || !chosen.status.is_primary)
        return false;
    if (chosen.status.term > m_record.term)
        return true;
    // The present primary leads the newest term, however long others are
    // silent.
    const bool is_newest =
        std::none_of(m_answers.begin(), m_answers.end(), [&](const auto& one) {
            return one.second.status.term > chosen.status.term;
        });
    return is_newest && m_accepted_at &&
           chosen.asked - *m_accepted_at > longest_promotion;
}

claim_actions claim::tick(const claim_view& view, core::boot_instant now)
{
    claim_actions out;
    std::erase_if(m_rejected, [&](const auto& one) {
        return now - one.second > rejected_pause;
    });
    if (m_stage == claim_stage::gathering)
    {
        gather(view, now, out);
        return out;
    }
    if (m_stage != claim_stage::promoting)
        return out;
    ask_all(view, now, out);
    const auto* chosen = answer_of(m_record.primary);
    if (chosen != nullptr && has_promoted(*chosen))
    {
        settle(view, m_record.primary, now, out);
        return out;
    }
    if (now - m_accepted_at.value_or(m_promoted_at) <= promote_patience)
        return out;
    if (!m_accepted_at && ++m_unanswered >= most_unanswered)
        return finish(claim_end::unanswered);
    m_stage = claim_stage::gathering;
    return out;
}

} // namespace plantainward::succession
