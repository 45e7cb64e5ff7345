#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/statement.hpp>

#include <string>
#include <vector>

namespace plantainward::upstream
{

/// The kinds of run orders on a connection.
enum class run_kind : std::uint8_t
{
    /// Runs and commits a whole transaction.
    one_shot,
    begin,
    execute,
    commit,
    rollback,
    /// Finds the outcome of an idempotency id; one without an outcome is
    /// voided, so that its content can never run.
    settle
};

/// Names of the run kinds on the wire.
inline constexpr core::enum_names<run_kind, 6> run_kind_names{
    {"one_shot", "begin", "execute", "commit", "rollback", "settle"}};

/// Work for one connection of a database.
struct run_order
{
    int slot{0};
    run_kind kind{run_kind::one_shot};
    /// Term that the sender takes for the current one; the database refuses an
    /// order with any other.
    term_number term{0};
    /// Log point that the log must have reached; otherwise the order is refused
    /// as too stale.
    log_point at_least;
    /// Idempotency id; empty for none.
    std::string id;
    /// Digest of the content that the id stands for; another content under the
    /// same id is refused.
    std::string digest;
    std::vector<statement> statements;
};

/// The answer of a database that has run an order.
struct run_answer
{
    std::vector<statement_result> results;
    /// End of the log that the order ran on, including its own commit.
    log_point seen;
    /// The id was recorded before; these are its recorded results.
    bool replayed{false};
    /// The id is void: its content has not run and never will.
    bool voided{false};
    /// A transaction is still open on the connection.
    bool in_transaction{false};
};

/// How a run order ended.
enum class run_outcome : std::uint8_t
{
    answered,
    /// The database refused; nothing took effect.
    refused,
    /// The order was never sent.
    not_sent,
    /// The order may have been sent; whether it took effect is unknown.
    lost
};

/// The outcome of a run order.
struct run_result
{
    run_outcome outcome{run_outcome::not_sent};
    /// Valid when the order was answered.
    run_answer answer;
    /// Kind and text of the error when the order was refused.
    core::error_kind refusal{core::error_kind::unavailable};
    std::string reason;
};

} // namespace plantainward::upstream
