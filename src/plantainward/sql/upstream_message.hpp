#pragma once

#include <plantainward/sql/caller_message.hpp>

namespace plantainward::sql
{

/// What the proxy asks of a database on one connection.
enum class command_kind : std::uint8_t
{
    /// Clears session values and prepared statements.
    reset,
    set_value,
    prepare,
    begin,
    begin_read_only,
    rollback,
    /// A caller's read, write or commit, passed on with its text.
    run,
    /// A caller's prepared statement under the proxy's name for it.
    execute
};

/// One command with what it needs; unused members are empty.
struct command
{
    command_kind kind{command_kind::run};
    /// Request id of the caller; empty for the proxy's own commands.
    std::string id;
    std::string text;
    std::string name;
    std::string value;
    bool writes{false};
    /// Log point that the database must have before it runs the command.
    std::optional<upstream::log_point> after;
};

/// Why a database refused or failed a command.
enum class refusal : std::uint8_t
{
    busy,
    behind,
    read_only,
    unknown_statement,
    wrong_upstream,
    too_many_connections,
    /// The statement ran and failed.
    failed,
    /// The statement ran and its end is not known.
    timed_out,
    malformed,
    other
};

/// Whether a refused command certainly did not run.
bool is_not_run(refusal one);

/// Answer of a database to one command.
struct command_answer
{
    std::vector<std::string> rows;
    std::string signature;
    std::optional<refusal> error;
    std::string text;
    transaction_state state{transaction_state::idle};
    std::optional<upstream::log_point> position;
};

/// State of a database as it reports it on request.
struct database_status
{
    bool is_primary{false};
    /// Highest term that it has granted.
    upstream::term_number term{0};
    /// End of the log that it has received.
    upstream::log_point received;
};

/// How a question for the status ended.
struct status_answer
{
    /// Empty when the database did not tell it.
    std::optional<database_status> status;
    /// The database refused the connection or broke it: it does not run. A
    /// busy one does.
    bool is_down{false};
};

} // namespace plantainward::sql
