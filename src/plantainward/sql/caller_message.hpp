#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::sql
{

/// What a caller's statement does.
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
    deallocate
};

/// One statement of a caller.
struct statement
{
    statement_kind kind{statement_kind::read};
    /// Id of the request, unique to one attempt of the caller.
    std::string id;
    /// The text as the caller sent it; reads, writes and commits are passed on
    /// unchanged.
    std::string text;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// New session value, shape of a prepared statement, or arguments.
    std::string value;
    /// Whether a prepared statement writes.
    bool writes{false};
};

/// State of a session or connection after a statement.
enum class transaction_state : std::uint8_t
{
    idle,
    open,
    failed
};

/// What a caller is told about one statement.
struct reply
{
    std::vector<std::string> rows;
    /// Proof of the database that it ran the statement; empty for statements
    /// that the proxy answers itself.
    std::string signature;
    /// Set when the statement failed, with a text for people.
    std::optional<core::error_kind> error;
    std::string text;
    transaction_state state{transaction_state::idle};
    std::optional<upstream::log_point> position;
};

} // namespace plantainward::sql
