#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/statement.hpp>

#include <string>
#include <vector>

namespace plantainward::upstream
{

/// What a run order asks of a connection.
enum class run_kind : std::uint8_t
{
    /// A whole transaction in one order.
    one_shot,
    begin,
    execute,
    commit,
    rollback,
    /// Finds the outcome of an id, or voids it so that it can never run.
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
    /// Term that the sender believes; another term is refused.
    term_number term{0};
    /// Log point that the data read must include.
    log_point at_least;
    /// Idempotency id; empty for none.
    std::string id;
    /// Digest of the content behind the id.
    std::string digest;
    std::vector<statement> statements;
};

/// The answer of a database that has run an order.
struct run_answer
{
    std::vector<statement_result> results;
    /// End of the log that the answer saw, its own commit included.
    log_point seen;
    /// The id had been recorded before; the results are the recorded ones.
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
    /// The order may have been sent; its outcome is not known.
    lost
};

/// The end of a run order.
struct run_result
{
    run_outcome outcome{run_outcome::not_sent};
    run_answer answer;
    /// Kind of a refusal.
    core::error_kind refusal{core::error_kind::unavailable};
    std::string reason;
};

} // namespace plantainward::upstream
