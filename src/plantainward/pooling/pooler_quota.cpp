// Tokens of workspaces with quotas: obtaining them for the operations of this
// host's callers, and granting them to other hosts.

#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::pooling
{

void pooler::update_quota_limits()
{
    quota::limits_by_workspace limits;
    for (const auto& [name, workspace] : m_routing.workspaces)
        if (workspace.quota)
            limits[name] = *workspace.quota;
    m_quota_limits = std::move(limits);
    m_workspace_labels.set_limits(m_quota_limits);
    m_ledger.set_limits(m_quota_limits, m_now);
    update_quota_owners();
}

// Owners in this host's failure domain are asked first.
void pooler::update_quota_owners()
{
    std::map<std::string, std::vector<std::string>> owners;
    for (const auto& [workspace, limit] : m_quota_limits)
    {
        auto& names = owners[workspace];
        names = quota::quota_owners(m_quota_voters, workspace);
        std::stable_partition(
            names.begin(), names.end(), [&](const std::string& name) {
                return m_quota_voters.at(name) == m_options.failure_domain;
            });
    }
    m_tokens.set_owners(std::move(owners));
}

void pooler::set_quota_voters(std::uint64_t version,
                              const quota::voter_domains& voters,
                              bool has_all_domains, core::boot_instant now)
{
    m_now = now;
    // A host that has known no complete set yet has no set to replace.
    if (has_all_domains)
        m_ledger.set_voters(version, voters, now);
    else if (m_ledger.owned_count() > 0)
        m_ledger.set_voters(version, {}, now);
    if (voters == m_quota_voters)
        return;
    m_quota_voters = voters;
    update_quota_owners();
}

void pooler::set_quota_majority_at(core::boot_instant at,
                                   core::boot_instant now)
{
    m_ledger.set_majority_at(at, now);
}

// Whether the statement is the first one of an operation of this host's caller
// whose workspace has a quota. The host that forwards a statement has obtained
// the token for it.
bool pooler::needs_token(const session& session) const
{
    if (session.origin || session.workspace.empty() ||
        !m_quota_limits.contains(session.workspace))
        return false;
    return !session.transaction || session.current->begins;
}

// False when the statement waits for its token, or has already been handled.
bool pooler::obtain_token(session& session)
{
    if (const auto taken = m_tokens.take(session.workspace, session.id, m_now))
    {
        use_token(session, *taken);
        handle_tokens();
        return true;
    }
    session.current->awaits_token = true;
    handle_tokens();
    return false;
}

void pooler::use_token(session& session, const quota::token& token)
{
    auto& work = *session.current;
    work.awaits_token = false;
    work.token = token;
    work.start_by = token.valid_until;
    work.wait_until = std::min(work.wait_until, token.valid_until);
}

// An owner's own callers ask its ledger directly.
void pooler::handle_tokens()
{
    while (true)
    {
        const auto asks = m_tokens.collect_asks();
        const auto settled = m_tokens.collect_settled();
        if (asks.empty() && settled.empty())
            return;
        for (const auto& ask : asks)
        {
            if (ask.owner == m_options.host)
                m_tokens.on_grant(
                    ask.request,
                    m_ledger.request(ask.workspace, ask.count, m_now), m_now);
            else
                m_actions.emplace_back(request_tokens_action{
                    ask.owner, ask.workspace, ask.count, ask.request});
        }
        for (const auto& wait : settled)
            settle_token_wait(wait);
    }
}

void pooler::settle_token_wait(const quota::settled_wait& wait)
{
    const auto found = m_sessions.find(wait.waiter);
    if (found == m_sessions.end() || !found->second.current ||
        !found->second.current->awaits_token)
        return;
    auto& session = found->second;
    if (wait.granted)
    {
        use_token(session, *wait.granted);
        return start_work(session);
    }
    session.current->awaits_token = false;
    if (wait.refusal == quota::token_refusal::no_owner)
        return refuse(session, core::error_kind::overloaded,
                      "no owner of the workspace's quota answers");
    refuse(session, core::error_kind::quota_exceeded,
           "over the quota of the workspace; retry after " +
               std::to_string(wait.retry_after.count()) + " ms",
           refusal_cause::other,
           "; " + std::to_string(wait.short_owners) + " of " +
               std::to_string(wait.owners) +
               " owners have too few tokens, newest answer " +
               std::to_string(wait.answer_age.count()) + " ms old");
}

// Ends the wait for a token, or returns the token of an operation that did not
// run.
void pooler::end_token_use(const session& session, bool was_not_run)
{
    const auto& work = *session.current;
    if (work.awaits_token)
        return m_tokens.cancel(session.workspace, session.id);
    if (work.token && was_not_run)
        m_tokens.give_back(session.workspace, *work.token, m_now);
}

actions pooler::on_token_request(const std::string& host, std::uint64_t request,
                                 const std::string& workspace,
                                 std::uint32_t count, core::boot_instant now)
{
    m_now = now;
    m_actions.emplace_back(grant_tokens_action{
        host, request, m_ledger.request(workspace, count, now)});
    return collect_actions();
}

actions pooler::on_token_grant(std::uint64_t request,
                               const quota::token_grant& grant,
                               core::boot_instant now)
{
    m_now = now;
    m_tokens.on_grant(request, grant, now);
    handle_tokens();
    return collect_actions();
}

actions pooler::on_token_request_lost(std::uint64_t request,
                                      core::boot_instant now)
{
    m_now = now;
    m_tokens.on_lost(request, now);
    handle_tokens();
    return collect_actions();
}

} // namespace plantainward::pooling
