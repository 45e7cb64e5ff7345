#pragma once

#include <plantainward/sql/caller_message.hpp>

namespace plantainward::sql
{

/// Kind of a command that the proxy sends to a database on one connection.
enum class command_kind : std::uint8_t
{
    /// Clears the session values and prepared statements of the connection.
    reset,
    set_value,
    prepare,
    begin,
    begin_read_only,
    rollback,
    /// A caller's read, write or commit, with its unchanged text.
    run,
    /// A caller's prepared statement, under the name that the proxy gave it.
    execute
};

/// One command to a database; members that its kind does not use are empty.
struct command
{
    command_kind kind{command_kind::run};
    /// Request id of the caller; empty for the proxy's own commands.
    std::string id;
    /// Text of a caller's read, write or commit.
    std::string text;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// Session value, shape of a prepared statement, or arguments.
    std::string value;
    /// Whether a prepared statement writes.
    bool writes{false};
    /// Log point that the database must have before it runs the command.
    std::optional<upstream::log_point> after;
};

/// Why a database refused or failed a command.
enum class refusal : std::uint8_t
{
    /// All slots of the database are taken.
    busy,
    /// The database lacks the required log point.
    behind,
    /// The database is not the primary and accepts no writes.
    read_only,
    /// The database does not know the prepared statement.
    unknown_statement,
    /// The command was meant for another database.
    wrong_upstream,
    too_many_connections,
    /// The statement ran and failed.
    failed,
    /// The statement ran, and whether it succeeded is not known.
    timed_out,
    malformed,
    other
};

/// Whether a command that was refused for this reason certainly did not run.
bool is_not_run(refusal reason);

/// The answer of a database to one command.
struct command_answer
{
    std::vector<std::string> rows;
    /// The database's proof that it ran the command.
    std::string signature;
    /// Empty when the command succeeded.
    std::optional<refusal> error;
    /// Explains `error`, as the database worded it.
    std::string text;
    /// State of the connection's transaction after the command.
    transaction_state state{transaction_state::idle};
    /// Log point that the database reported with its answer.
    std::optional<upstream::log_point> position;
};

/// State that a database reports on request.
struct database_status
{
    bool is_primary{false};
    /// Highest term that it has granted.
    upstream::term_number term{0};
    /// End of the log that it has received.
    upstream::log_point received;
};

/// Result of a request for the status of a database.
struct status_answer
{
    /// Empty when the database did not report it.
    std::optional<database_status> status;
    /// The database does not run: it refused or broke the connection. False for
    /// a database that is only busy.
    bool is_down{false};
};

} // namespace plantainward::sql
