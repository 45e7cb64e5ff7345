#include <plantainward/quota/token_requester.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::quota
{

namespace
{

// Limit of the wait for one owner's answer.
constexpr core::millis answer_timeout{100};

// For how long an owner that did not answer is not asked; doubled while it does
// not answer. The maximum bounds how late a restarted owner is used again.
constexpr core::millis min_pause{500};
constexpr core::millis max_pause{4000};

// For how long a host that grants nothing is not asked.
constexpr core::millis no_grant_pause{500};

// A token in the reserve with less time left is not used: the operation may
// have to wait for a database, and must start while the token is valid.
constexpr core::millis min_time_left{50};

// For how long after an owner had too few tokens none are requested in advance.
constexpr core::millis shortage_time{1000};

// Below this use in 200 ms, tokens in reserve would often expire.
constexpr std::uint32_t min_use_for_reserve = 2;

} // namespace

void token_requester::set_owners(
    std::map<std::string, std::vector<std::string>> owners)
{
    m_owners = std::move(owners);
    // With another limit, or another owner, there may be tokens sooner.
    for (auto& [workspace, state] : m_states)
        state.owner_waits.clear();
    std::erase_if(m_states, [&](const auto& entry) {
        return !m_owners.contains(entry.first) &&
               entry.second.waiters.empty() && !entry.second.request;
    });
}

token_requester::workspace_state&
token_requester::state_of(const std::string& workspace)
{
    return m_states[workspace];
}

std::optional<token> token_requester::take_reserve(workspace_state& state,
                                                   core::boot_instant now)
{
    while (!state.reserve.empty() &&
           state.reserve.front().valid_until - now < min_time_left)
        state.reserve.pop_front();
    if (state.reserve.empty())
        return std::nullopt;
    const auto taken = state.reserve.front();
    state.reserve.pop_front();
    state.used.add(now);
    ++state.counts.granted;
    return taken;
}

std::uint32_t token_requester::missing_reserve(workspace_state& state,
                                               core::boot_instant now) const
{
    const auto used = state.used.total(now);
    const auto held = static_cast<std::uint32_t>(state.reserve.size());
    return used < min_use_for_reserve || used <= held ? 0 : used - held;
}

std::optional<token> token_requester::take(const std::string& workspace,
                                           std::uint64_t waiter,
                                           core::boot_instant now)
{
    auto& state = state_of(workspace);
    if (state.waiters.empty())
    {
        if (auto taken = take_reserve(state, now))
        {
            refill_reserve(workspace, state, now);
            return taken;
        }
    }
    state.waiters.push_back(waiter);
    ask_next(workspace, state, now);
    return std::nullopt;
}

void token_requester::add_reserve(workspace_state& state, const token& added)
{
    const auto position =
        std::upper_bound(state.reserve.begin(), state.reserve.end(), added,
                         [](const token& a, const token& b) {
                             return a.valid_until < b.valid_until;
                         });
    state.reserve.insert(position, added);
}

void token_requester::give_back(const std::string& workspace,
                                const token& unused, core::boot_instant now)
{
    if (unused.valid_until - now < min_time_left)
        return;
    auto& state = state_of(workspace);
    ++state.counts.returned;
    add_tokens(state, 1, unused.valid_until, now);
}

void token_requester::cancel(const std::string& workspace, std::uint64_t waiter)
{
    const auto found = m_states.find(workspace);
    if (found != m_states.end())
        std::erase(found->second.waiters, waiter);
}

const std::string* token_requester::choose_owner(const std::string& workspace,
                                                 const workspace_state& state,
                                                 core::boot_instant now) const
{
    const auto owners = m_owners.find(workspace);
    if (owners == m_owners.end())
        return nullptr;
    for (const auto& owner : owners->second)
    {
        const auto wait = state.owner_waits.find(owner);
        if (wait != state.owner_waits.end() && now < wait->second.until)
            continue;
        const auto paused = m_paused.find(owner);
        if (paused != m_paused.end() && now < paused->second.until)
            continue;
        return &owner;
    }
    return nullptr;
}

// Requests further tokens before the reserve is used up, unless an owner had
// too few lately: they are then needed elsewhere.
void token_requester::refill_reserve(const std::string& workspace,
                                     workspace_state& state,
                                     core::boot_instant now)
{
    if (state.request)
        return;
    const auto missing = missing_reserve(state, now);
    const bool is_short =
        std::any_of(state.owner_waits.begin(), state.owner_waits.end(),
                    [&](const auto& entry) {
                        return entry.second.is_short &&
                               now < entry.second.until + shortage_time;
                    });
    if (is_short || missing <= state.reserve.size())
        return;
    if (const auto* owner = choose_owner(workspace, state, now))
        ask(*owner, workspace, state, missing, now);
}

void token_requester::ask_next(const std::string& workspace,
                               workspace_state& state, core::boot_instant now)
{
    if (state.request || state.waiters.empty())
        return;
    const auto* owner = choose_owner(workspace, state, now);
    if (owner == nullptr)
        return refuse_waiters(workspace, state, now);
    const auto waiting = static_cast<std::uint32_t>(state.waiters.size());
    ask(*owner, workspace, state, waiting + missing_reserve(state, now), now);
}

void token_requester::ask(const std::string& owner,
                          const std::string& workspace, workspace_state& state,
                          std::uint32_t count, core::boot_instant now)
{
    // After a pause, a single request tries the owner.
    if (const auto paused = m_paused.find(owner); paused != m_paused.end())
        paused->second.until = now + paused->second.pause;
    const auto request = ++m_last_request;
    state.request = request;
    ++state.counts.requests;
    m_requests[request] = {owner, workspace, now};
    m_asks.push_back({owner, workspace, count, request});
}

void token_requester::refuse_waiters(const std::string& workspace,
                                     workspace_state& state,
                                     core::boot_instant now)
{
    settled_wait refused;
    refused.refusal = token_refusal::no_owner;
    refused.owners = m_owners[workspace].size();
    std::optional<core::boot_instant> retry_at;
    std::optional<core::boot_instant> newest_answer;
    for (const auto& owner : m_owners[workspace])
    {
        const auto wait = state.owner_waits.find(owner);
        if (wait == state.owner_waits.end() || !wait->second.is_short ||
            wait->second.until <= now)
            continue;
        refused.refusal = token_refusal::over_quota;
        ++refused.short_owners;
        newest_answer = newest_answer
                            ? std::max(*newest_answer, wait->second.answered_at)
                            : wait->second.answered_at;
        retry_at = retry_at ? std::min(*retry_at, wait->second.until)
                            : wait->second.until;
    }
    refused.retry_after = retry_at
                              ? std::chrono::ceil<core::millis>(*retry_at - now)
                              : no_grant_pause;
    if (newest_answer)
        refused.answer_age =
            std::chrono::floor<core::millis>(now - *newest_answer);
    auto& count = refused.refusal == token_refusal::over_quota
                      ? state.counts.over_quota
                      : state.counts.no_owner;
    for (const auto waiter : std::exchange(state.waiters, {}))
    {
        ++count;
        refused.waiter = waiter;
        m_settled.push_back(refused);
    }
}

void token_requester::add_tokens(workspace_state& state, std::uint32_t count,
                                 core::boot_instant valid_until,
                                 core::boot_instant now)
{
    for (; count > 0 && !state.waiters.empty() && now < valid_until; --count)
    {
        settled_wait settled;
        settled.waiter = state.waiters.front();
        settled.granted = token{valid_until};
        state.waiters.pop_front();
        state.used.add(now);
        ++state.counts.granted;
        m_settled.push_back(settled);
    }
    if (valid_until - now < min_time_left)
        return;
    for (; count > 0; --count)
        add_reserve(state, token{valid_until});
}

void token_requester::on_grant(std::uint64_t request, const token_grant& grant,
                               core::boot_instant now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    const auto sent = std::move(found->second);
    m_requests.erase(found);
    m_paused.erase(sent.owner);
    auto& state = state_of(sent.workspace);
    if (state.request == request)
        state.request.reset();
    const bool is_granted = grant.answer == token_answer::granted;
    const bool is_short = grant.retry_after > core::millis(0);
    if (is_short)
        state.owner_waits[sent.owner] = {now + grant.retry_after, now, true};
    else if (is_granted)
        state.owner_waits.erase(sent.owner);
    else
        state.owner_waits[sent.owner] = {now + no_grant_pause, now, false};
    // The life of a token is counted from the request, which was sent before
    // the owner granted it: no clocks of two hosts are compared.
    if (is_granted)
        add_tokens(state, grant.count, sent.sent_at + m_bounds.token_life, now);
    ask_next(sent.workspace, state, now);
}

void token_requester::pause(const std::string& owner, core::boot_instant now)
{
    auto& paused = m_paused[owner];
    paused.pause = std::clamp(paused.pause * 2, min_pause, max_pause);
    paused.until = now + paused.pause;
}

void token_requester::give_up(std::uint64_t request, const sent_request& sent,
                              core::boot_instant now)
{
    auto& state = state_of(sent.workspace);
    if (state.request != request)
        return;
    state.request.reset();
    ++state.counts.unanswered;
    pause(sent.owner, now);
    ask_next(sent.workspace, state, now);
}

void token_requester::on_lost(std::uint64_t request, core::boot_instant now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    const auto sent = std::move(found->second);
    m_requests.erase(found);
    give_up(request, sent, now);
}

void token_requester::tick(core::boot_instant now)
{
    std::vector<std::uint64_t> late;
    for (const auto& [request, sent] : m_requests)
        if (now - sent.sent_at >= answer_timeout &&
            state_of(sent.workspace).request == request)
            late.push_back(request);
    // A late answer may still bring valid tokens.
    for (const auto request : late)
        give_up(request, m_requests.at(request), now);
    std::erase_if(m_requests, [&](const auto& entry) {
        return now - entry.second.sent_at >= m_bounds.token_life;
    });
}

std::vector<token_ask> token_requester::collect_asks()
{
    return std::exchange(m_asks, {});
}

std::vector<settled_wait> token_requester::collect_settled()
{
    return std::exchange(m_settled, {});
}

std::map<std::string, quota_counts> token_requester::counts() const
{
    std::map<std::string, quota_counts> result;
    for (const auto& [workspace, state] : m_states)
        result[workspace] = state.counts;
    return result;
}

} // namespace plantainward::quota
