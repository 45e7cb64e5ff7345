#pragma once

#include <plantainward/pooling/pooler.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace support
{

/// What a caller knew when its statement became the oldest unanswered one.
struct expected_run
{
    plantainward::sql::statement statement;
    plantainward::pooling::session_values values;
    /// What the name of an EXECUTE stands for.
    std::optional<plantainward::pooling::prepared_statement> prepared;
    /// The caller's transaction; 0 outside.
    std::uint64_t transaction{0};
};

/// A connection as the database sees it.
struct database_connection
{
    std::string upstream;
    plantainward::pooling::session_values values;
    std::map<std::string, plantainward::pooling::prepared_statement> prepared;
    plantainward::sql::transaction_state state{
        plantainward::sql::transaction_state::idle};
    /// Transaction of a caller whose statements ran in the open transaction; 0
    /// before the first one.
    std::uint64_t transaction{0};
    bool is_read_only{false};
    bool has_written{false};
    std::deque<plantainward::sql::command> waiting;
    bool is_working{false};
};

/// Checks what databases run against what callers sent and were told.
class run_judge
{
public:
    void expect(const expected_run& run);
    /// A database runs a caller's statement; `number` names the connection.
    void check(std::uint64_t number, database_connection& connection,
               const plantainward::sql::command& command);
    /// A database does not know a prepared name.
    void check_unknown_name(const plantainward::sql::command& command);
    /// Data of a single write or of a commit was kept.
    void note_kept(const std::string& id);
    void check_reply(const expected_run& run,
                     const plantainward::sql::reply& reply);
    /// Checks what can only be known at the end.
    void finish();
    void report(const std::string& violation);

    const std::vector<std::string>& violations() const { return m_violations; }
    /// Statements that ran, and transactions of which a statement ran.
    std::size_t runs() const { return m_runs; }
    std::size_t transactions() const { return m_connections.size(); }

private:
    std::map<std::string, expected_run> m_expected;
    /// Connection on which each transaction ran first.
    std::map<std::uint64_t, std::uint64_t> m_connections;
    std::set<std::string> m_run_ids;
    std::map<std::string, std::size_t> m_kept;
    std::set<std::uint64_t> m_kept_transactions;
    /// Statements and transactions of which callers were told that nothing is
    /// kept.
    std::set<std::string> m_refused;
    std::set<std::uint64_t> m_refused_transactions;
    std::vector<std::string> m_violations;
    std::size_t m_runs{0};
};

/// Share of commands and messages with a fault, in thousandths.
struct fault_rates
{
    int refused{25};
    int failed{10};
    int lost_answer{15};
    int closed{15};
    int delayed{20};
    int lost_message{15};
    int restart{4};
};

/// Callers, two hosts and two databases with a simulated clock. A run depends
/// only on its seed.
class pinned_world
{
public:
    explicit pinned_world(std::uint64_t seed, fault_rates rates = {});

    /// Runs the callers for a time, then ends them and checks that nothing is
    /// left.
    void run(plantainward::core::millis time);

    const run_judge& judge() const { return m_judge; }

private:
    using instant = plantainward::core::boot_instant;
    using millis = plantainward::core::millis;
    using task = std::function<void()>;

    struct host_state
    {
        std::unique_ptr<plantainward::pooling::pooler> pool;
        std::uint64_t incarnation{0};
        bool is_starting{false};
        /// Numbers of the connections in the databases.
        std::map<plantainward::pooling::connection_id, std::uint64_t> numbers;
    };

    /// A connection at its host and in its database.
    struct location
    {
        std::string host;
        std::uint64_t incarnation{0};
        plantainward::pooling::connection_id id{0};
        std::uint64_t number{0};
    };

    struct caller_state
    {
        plantainward::pooling::session_id session{0};
        std::string database;
        plantainward::pooling::session_values values;
        std::map<std::string, plantainward::pooling::prepared_statement>
            prepared;
        std::uint64_t transaction{0};
        /// Statements without an answer; the first one has been `expected`.
        std::deque<plantainward::sql::statement> unanswered;
        expected_run expected;
        /// What remains of the operation.
        std::deque<plantainward::sql::statement> plan;
    };

    bool chance(int thousandths);
    std::size_t pick(std::size_t count);
    void after(millis delay, task new_task);
    void run_tasks(instant end);

    // Hosts.
    void start_host(const std::string& name);
    void update_upstreams(const std::string& name);
    void restart_delegate();
    void change_plan();
    void change_primary();
    void tick();
    void apply(const std::string& name,
               const plantainward::pooling::actions& actions);
    void forward(const plantainward::pooling::forward_action& action);
    void answer_forwarded(plantainward::pooling::operation_id operation,
                          const plantainward::pooling::forwarded_reply& answer);
    /// Calls a function of a pooler unless the host has restarted since.
    template <typename function>
    void call(const std::string& name, std::uint64_t incarnation, function run)
    {
        auto& target = m_hosts.at(name);
        if (target.incarnation == incarnation)
            apply(name, run(*target.pool));
    }

    // Databases.
    void restart_database(const std::string& upstream);
    void open(const std::string& name,
              const plantainward::pooling::open_action& action);
    void close(const std::string& name,
               plantainward::pooling::connection_id id);
    void work(const location& at);
    void complete(const location& at);
    std::optional<plantainward::sql::refusal>
    refusal_of(const database_connection& connection,
               const plantainward::sql::command& command);
    plantainward::sql::command_answer
    execute(std::uint64_t number, const plantainward::sql::command& command);
    void run_command(std::uint64_t number, database_connection& connection,
                     const plantainward::sql::command& command,
                     plantainward::sql::command_answer& answer);

    // Callers.
    void connect(caller_state& caller);
    void leave(caller_state& caller);
    plantainward::sql::statement
    statement_of(plantainward::sql::statement_kind kind,
                 const std::string& text);
    plantainward::sql::statement set_or_prepare();
    plantainward::sql::statement read_or_write(const caller_state& caller,
                                               bool may_write);
    void plan_operation(caller_state& caller);
    void step(std::size_t number, plantainward::pooling::session_id session);
    void submit(caller_state& caller, plantainward::sql::statement statement);
    void expect_oldest(caller_state& caller);
    void on_reply(const plantainward::pooling::reply_action& action);
    void update_knowledge(caller_state& caller,
                          const plantainward::sql::statement& statement,
                          const plantainward::sql::reply& reply);

    std::mt19937_64 m_random;
    fault_rates m_rates;
    bool m_is_shared{false};
    instant m_now{std::chrono::seconds(100)};
    std::multimap<instant, task> m_tasks;
    std::map<std::string, host_state> m_hosts;
    std::map<std::string, std::uint64_t> m_started_at{{"p", 1}, {"r", 1}};
    std::string m_primary{"p"};
    plantainward::upstream::term_number m_term{1};
    /// Database that is leaving; empty for none.
    std::string m_leaving;
    std::map<std::uint64_t, database_connection> m_connections;
    /// Sessions whose forwarded statement has no answer, by operation.
    std::map<plantainward::pooling::operation_id,
             plantainward::pooling::session_id>
        m_calls;
    std::vector<caller_state> m_callers;
    bool m_has_callers{true};
    std::uint64_t m_last_number{0};
    std::uint64_t m_last_incarnation{0};
    std::uint64_t m_last_transaction{0};
    plantainward::pooling::session_id m_last_session{0};
    std::size_t m_last_statement{0};
    run_judge m_judge;
};

} // namespace support
