#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/quota/quota_bounds.hpp>
#include <plantainward/quota/recent_count.hpp>
#include <plantainward/quota/token_grant.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::quota
{

/// Permission to start one operation.
struct token
{
    /// The operation must start before this instant.
    core::boot_instant valid_until{};
};

/// Asks a host for tokens; answered by `on_grant` or `on_lost`.
struct token_ask
{
    std::string owner;
    std::string workspace;
    std::uint32_t count{0};
    std::uint64_t request{0};
};

/// Why an operation got no token.
enum class token_refusal : std::uint8_t
{
    /// All owners have too few tokens.
    over_quota,
    /// No owner answers.
    no_owner
};

/// The end of an operation's wait for a token.
struct settled_wait
{
    /// As passed to `token_requester::take`.
    std::uint64_t waiter{0};
    /// Empty: refused.
    std::optional<token> granted;
    token_refusal refusal{token_refusal::over_quota};
    /// Time until a token may be available.
    core::millis retry_after{0};
    /// Owners that have too few tokens, of all owners.
    std::size_t short_owners{0};
    std::size_t owners{0};
    /// Age of the newest answer that the refusal is based on; negative without
    /// one.
    core::millis answer_age{-1};
};

/// Events of one workspace at this host since its start.
struct quota_counts
{
    std::uint64_t granted{0};
    /// Tokens of operations that did not run.
    std::uint64_t returned{0};
    std::uint64_t over_quota{0};
    std::uint64_t no_owner{0};
    /// Requests that an owner did not answer in time.
    std::uint64_t unanswered{0};
    /// Requests sent.
    std::uint64_t requests{0};

    bool operator==(const quota_counts&) const = default; // NOLINT
};

/// Obtains tokens for the operations of this host's callers.
///
/// After each call, the owner carries out `collect_asks` and handles
/// `collect_settled`.
class token_requester
{
public:
    explicit token_requester(quota_bounds bounds) : m_bounds(bounds) {}

    /// Replaces the owners by workspace, in the order in which they are asked.
    void set_owners(std::map<std::string, std::vector<std::string>> owners);

    /// Takes a token from the reserve. If there is none, the operation waits:
    /// its end is among the settled ones, maybe at once.
    std::optional<token> take(const std::string& workspace,
                              std::uint64_t waiter, core::boot_instant now);

    /// Returns a token whose operation certainly did not start.
    void give_back(const std::string& workspace, const token& unused,
                   core::boot_instant now);

    /// The operation no longer waits.
    void cancel(const std::string& workspace, std::uint64_t waiter);

    /// An owner has answered. A late answer counts while its tokens are valid.
    void on_grant(std::uint64_t request, const token_grant& grant,
                  core::boot_instant now);

    /// No answer will arrive.
    void on_lost(std::uint64_t request, core::boot_instant now);

    /// Handles requests that were not answered in time.
    void tick(core::boot_instant now);

    std::vector<token_ask> collect_asks();
    std::vector<settled_wait> collect_settled();

    /// Counts by workspace.
    std::map<std::string, quota_counts> counts() const;

private:
    struct sent_request
    {
        std::string owner;
        std::string workspace;
        core::boot_instant sent_at{};
    };

    /// When an owner may be asked again for one workspace.
    struct owner_wait
    {
        core::boot_instant until{};
        core::boot_instant answered_at{};
        /// It had too few tokens; otherwise it grants nothing.
        bool is_short{false};
    };

    struct workspace_state
    {
        std::deque<token> reserve;
        std::deque<std::uint64_t> waiters;
        /// The request that the waiters share.
        std::optional<std::uint64_t> request;
        std::map<std::string, owner_wait> owner_waits;
        recent_count used{core::millis(200)};
        quota_counts counts;
    };

    /// An owner that did not answer.
    struct paused_owner
    {
        core::boot_instant until{};
        core::millis pause{0};
    };

    workspace_state& state_of(const std::string& workspace);
    std::optional<token> take_reserve(workspace_state& state,
                                      core::boot_instant now);
    std::uint32_t missing_reserve(workspace_state& state,
                                  core::boot_instant now) const;
    void add_reserve(workspace_state& state, const token& added);
    const std::string* choose_owner(const std::string& workspace,
                                    const workspace_state& state,
                                    core::boot_instant now) const;
    void refill_reserve(const std::string& workspace, workspace_state& state,
                        core::boot_instant now);
    void ask_next(const std::string& workspace, workspace_state& state,
                  core::boot_instant now);
    void ask(const std::string& owner, const std::string& workspace,
             workspace_state& state, std::uint32_t count,
             core::boot_instant now);
    void refuse_waiters(const std::string& workspace, workspace_state& state,
                        core::boot_instant now);
    void add_tokens(workspace_state& state, std::uint32_t count,
                    core::boot_instant valid_until, core::boot_instant now);
    void pause(const std::string& owner, core::boot_instant now);
    void give_up(std::uint64_t request, const sent_request& sent,
                 core::boot_instant now);

    quota_bounds m_bounds;
    std::map<std::string, std::vector<std::string>> m_owners;
    std::map<std::string, workspace_state> m_states;
    std::map<std::uint64_t, sent_request> m_requests;
    std::map<std::string, paused_owner> m_paused;
    std::uint64_t m_last_request{0};
    std::vector<token_ask> m_asks;
    std::vector<settled_wait> m_settled;
};

} // namespace plantainward::quota
