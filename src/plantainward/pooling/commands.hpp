#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/pooling/session.hpp>
#include <plantainward/sql/upstream_message.hpp>

#include <vector>

namespace plantainward::pooling
{

/// A command of the proxy itself.
sql::command own_command(sql::command_kind kind);

/// Adds what brings a connection's values to those of a session; a connection
/// that holds foreign ones is reset first.
void add_values(connection& one, const session_values& wanted,
                std::vector<sql::command>& out);

/// Adds the preparation of the statement that a session executes, unless the
/// connection has it.
void add_prepared(connection& one, const session& who,
                  std::vector<sql::command>& out);

/// The command of the statement that a session has in work.
sql::command main_command(const session& who);

/// What a caller is told when a database refused for good.
core::error_kind kind_of(sql::refusal why);

} // namespace plantainward::pooling
