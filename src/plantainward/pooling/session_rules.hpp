#pragma once

#include <plantainward/pooling/session.hpp>

#include <optional>
#include <string>

namespace plantainward::pooling
{

/// Answer of the proxy itself without rows.
sql::reply answer_done(const session& who);

/// Answer of the proxy itself that tells of an error.
sql::reply answer_error(const session& who, core::error_kind kind,
                        std::string text);

/// Answers statements that only concern the session's own state: values,
/// prepared statements, and what a failed transaction refuses. Empty when the
/// statement has to go on.
std::optional<sql::reply> answer_locally(session& who,
                                         const sql::statement& one);

/// Whether the statement can change data; a prepared one as it was prepared.
bool writes_data(const session& who, const sql::statement& one);

/// The name under which a prepared statement is known to databases. Sessions
/// that prepare the same shape share it.
std::string shared_name(const prepared_statement& one);

} // namespace plantainward::pooling
