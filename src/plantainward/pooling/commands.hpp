#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/pooling/session.hpp>
#include <plantainward/sql/upstream_message.hpp>

#include <vector>

namespace plantainward::pooling
{

/// Makes a command that the proxy sends on its own account; all members but
/// the kind are empty.
sql::command proxy_command(sql::command_kind kind);

/// Appends the commands that give a connection the wanted session values, and
/// records them in the connection. A connection that holds values of other
/// names is reset first.
void add_values(connection& connection, const session_values& wanted,
                std::vector<sql::command>& commands);

/// Appends the command that prepares the statement which a session executes,
/// unless the connection has it, and records it in the connection.
void add_prepared(connection& connection, const session& session,
                  std::vector<sql::command>& commands);

/// The command that runs a session's current statement.
sql::command statement_command(const session& session);

/// The error that a caller receives when a refused statement is not retried.
core::error_kind error_kind_of(sql::refusal refusal);

} // namespace plantainward::pooling
