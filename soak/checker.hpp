#pragma once

#include "history.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace soak
{

/// Bounds of the deployment.
struct rule_bounds
{
    std::int64_t contact_ms{4000};
    std::int64_t config_apply_ms{3000};
    std::int64_t downgrade_slack_ms{250};
};

/// What was found for one rule.
struct finding
{
    std::string rule;
    std::size_t count{0};
    /// Stories of the first cases.
    std::vector<std::string> cases;
    /// False: a count that breaks no rule.
    bool is_broken_rule{true};
};

/// Judges a history by the rules of the platform's pages.
class checker
{
public:
    explicit checker(const history& recorded, rule_bounds bounds = {});

    /// All findings with at least one case.
    std::vector<finding> check();

private:
    struct caller_transaction
    {
        std::vector<const request*> requests;
        /// The BEGIN got no error.
        bool has_begun{true};
        /// Connections of its first statement, in order.
        std::vector<std::uint64_t> first_connections;
        const request* first_statement{nullptr};
    };

    void index();
    void check_statement(const run& item, const request& asked);
    void check_text(const run& item, const request& asked);
    void check_place(const run& item, const request& asked);
    void check_session_state(const run& item, const request& asked);
    void check_own_statement(const run& item);
    void check_commit(const run& item);
    void check_answers();
    void check_effects();
    void check_promise(const request& asked);
    void check_routes();
    void check_late_route(const run& item, const request& asked);
    void check_openings();
    void check_regress();
    void check_staleness();
    bool has_commit(std::size_t log_end, std::size_t commit_index) const;

    /// Whether a machine was in touch at a moment.
    bool is_in_touch(std::size_t host, instant moment) const;
    std::size_t host_of(const std::string& sender) const;
    /// The moment that decides on the route of a request.
    instant route_moment(const request& asked) const;
    void report(const std::string& rule, const std::string& story,
                bool is_broken_rule = true);
    std::string story(const std::string& what, const run& item,
                      const request* asked) const;
    std::string transaction_story(const request& asked) const;

    const history& m_history;
    rule_bounds m_bounds;
    std::unordered_map<std::string, const request*> m_requests;
    std::unordered_map<std::string, std::vector<const run*>> m_runs;
    std::unordered_map<std::uint64_t, caller_transaction> m_transactions;
    /// Runs of callers' statements, by the transaction of the database.
    std::unordered_map<std::uint64_t, std::vector<const run*>> m_pinned;
    std::unordered_map<std::uint64_t, std::vector<const request*>> m_attempts;
    std::vector<finding> m_findings;
};

} // namespace soak
