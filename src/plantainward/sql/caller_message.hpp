#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::sql
{

/// Kind of a caller's statement.
enum class statement_kind : std::uint8_t
{
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    /// No text of the protocol; it is refused and never reaches a database.
    malformed
};

/// One statement of a caller.
struct statement
{
    statement_kind kind{statement_kind::read};
    /// Id of the request, unique to one attempt of the caller.
    std::string id;
    /// The text as the caller sent it; reads, writes and commits reach the
    /// database unchanged.
    std::string text;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// New session value, shape of a prepared statement (its text without the
    /// arguments), arguments of an execution, or why the text is malformed.
    std::string value;
    /// Whether a prepared statement writes.
    bool writes{false};
};

/// State of the transaction of a session or connection after a statement.
enum class transaction_state : std::uint8_t
{
    idle,
    open,
    failed
};

/// The answer to a caller's statement.
struct reply
{
    std::vector<std::string> rows;
    /// The database's proof that it ran the statement; empty for statements
    /// that the proxy answers itself.
    std::string signature;
    /// Empty when the statement succeeded.
    std::optional<core::error_kind> error;
    /// Explains `error` to a person.
    std::string text;
    transaction_state state{transaction_state::idle};
    /// Log point that the database reported with its answer.
    std::optional<upstream::log_point> position;
};

} // namespace plantainward::sql
