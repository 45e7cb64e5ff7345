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

/// The commands that give a connection the values of a session, prepare the
/// statement that the session executes, and begin its transaction if the
/// statement does so. A connection that holds values of other names is reset
/// first.
std::vector<sql::command> setup_commands(const connection& connection,
                                         const session& session);

/// Notes that the oldest unconfirmed command of a connection was answered: the
/// state of the connection changes only by commands that have succeeded.
void confirm_command(connection& connection, const sql::command_answer& answer);

/// The commands that make a database show that it leads: a transaction that may
/// write, ended at once. They occupy no slot of the database.
std::vector<sql::command> lead_commands();

/// The command that runs a session's current statement.
sql::command statement_command(const session& session);

/// The error that a caller receives when a refused statement is not retried.
core::error_kind error_kind_of(sql::refusal refusal);

} // namespace plantainward::pooling
