#pragma once

#include <plantainward/pooling/session.hpp>

#include <optional>
#include <string>

namespace plantainward::pooling
{

/// A successful reply of the proxy itself, without rows.
sql::reply success_reply(const session& session);

/// A reply of the proxy itself that reports an error.
sql::reply error_reply(const session& session, core::error_kind kind,
                       std::string text);

/// Answers a statement that needs no database: session values, prepared
/// statements, statements in a failed transaction, and misplaced ones. Empty
/// when the statement needs more than the session's own state.
std::optional<sql::reply> answer_locally(session& session,
                                         const sql::statement& statement);

/// Whether the statement can change data; for a prepared statement its
/// preparation says so.
bool writes_data(const session& session, const sql::statement& statement);

/// The name under which databases know a prepared statement: one word, made
/// from the shape or its digest. Sessions that prepare the same shape share it.
std::string shared_name(const prepared_statement& statement);

} // namespace plantainward::pooling
