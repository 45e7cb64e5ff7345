#include <plantainward/quota/token_ledger.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace plantainward::quota
{

namespace
{

// Time without a proof of a majority after which an owner grants nothing.
// Voters are replaced only after 20 s without a registration.
constexpr core::millis majority_timeout{10'000};

// A longer gap between calls means that the process was suspended.
constexpr core::millis max_call_gap{1000};

constexpr core::millis refusal_period{1000};

// Added to the wait of refused hosts for each refusal of the last second, so
// that the hosts that wait for one workspace together ask a few hundred times a
// second, and not once for each token.
constexpr core::millis wait_per_refusal{5};
constexpr core::millis min_wait{20};
constexpr core::millis max_contention_wait{1000};

} // namespace

token_ledger::token_ledger(std::string self, quota_bounds bounds)
    : m_self(std::move(self)), m_bounds(bounds)
{
}

void token_ledger::set_limits(const limits_by_workspace& limits,
                              core::boot_instant now)
{
    empty_after_gap(now);
    if (m_limits == limits)
        return;
    m_limits = limits;
    update_owned(false, now);
}

void token_ledger::set_voters(std::uint64_t version,
                              const voter_domains& voters,
                              core::boot_instant now)
{
    empty_after_gap(now);
    if (version == m_voters_version && voters == m_voters)
        return;
    const bool is_first = m_voters_version == 0;
    // Proofs of a majority are for one voter set.
    if (version != m_voters_version)
        m_majority_at.reset();
    m_voters_version = version;
    m_voters = voters;
    update_owned(!is_first, now);
}

void token_ledger::update_owned(bool voters_changed, core::boot_instant now)
{
    std::set<std::string> still_owned;
    for (const auto& [workspace, limit] : m_limits)
    {
        const auto owners = quota_owners(m_voters, workspace);
        if (std::find(owners.begin(), owners.end(), m_self) == owners.end())
            continue;
        still_owned.insert(workspace);
        const auto share = share_of(limit, m_bounds, owners.size());
        const auto found = m_owned.find(workspace);
        if (found != m_owned.end() &&
            found->second.owner_count == owners.size())
        {
            found->second.bucket.set_share(share, now);
            continue;
        }
        owned_limit owned{
            token_bucket(share, now),    owners.size(), voters_changed, {}, now,
            recent_count(refusal_period)};
        m_owned.insert_or_assign(workspace, owned);
    }
    std::erase_if(m_owned, [&](const auto& entry) {
        return !still_owned.contains(entry.first);
    });
}

void token_ledger::set_majority_at(core::boot_instant at,
                                   core::boot_instant now)
{
    if (!m_majority_at || at > *m_majority_at)
        m_majority_at = at;
    for (auto& [workspace, owned] : m_owned)
        if (!owned.first_majority_at && at >= owned.owned_since)
            owned.first_majority_at = now;
}

// Why no two owners of one third grant at the same time: a proof of a majority
// at t means that a majority of the voters, and of the previous ones while a
// change is not complete, had the new set at some instant up to t. From then on
// no majority of the previous set is left to prove anything to the previous
// owner, which therefore stops within the timeout.
bool token_ledger::may_grant(const owned_limit& owned,
                             core::boot_instant now) const
{
    if (!m_majority_at || now - *m_majority_at > majority_timeout)
        return false;
    return !owned.has_predecessor ||
           (owned.first_majority_at &&
            now - *owned.first_majority_at >= majority_timeout);
}

core::millis token_ledger::retry_time(owned_limit& owned,
                                      core::boot_instant now)
{
    owned.refused.add(now);
    const auto contention =
        std::clamp(wait_per_refusal * owned.refused.total(now), min_wait,
                   max_contention_wait);
    return std::max(owned.bucket.time_to_token(now), contention);
}

token_grant token_ledger::request(const std::string& workspace,
                                  std::uint32_t count, core::boot_instant now)
{
    empty_after_gap(now);
    const auto found = m_owned.find(workspace);
    if (found == m_owned.end())
        return {token_answer::not_owner, 0, core::millis(0)};
    auto& owned = found->second;
    if (!may_grant(owned, now))
        return {token_answer::no_majority, 0, core::millis(0)};
    const auto granted = owned.bucket.take(count, now);
    if (granted == count)
        return {token_answer::granted, granted, core::millis(0)};
    return {granted > 0 ? token_answer::granted : token_answer::retry_later,
            granted, retry_time(owned, now)};
}

void token_ledger::empty_after_gap(core::boot_instant now)
{
    if (m_last_call && now - *m_last_call > max_call_gap)
        for (auto& [workspace, owned] : m_owned)
            owned.bucket.clear(now);
    m_last_call = now;
}

void token_ledger::tick(core::boot_instant now)
{
    empty_after_gap(now);
}

} // namespace plantainward::quota
