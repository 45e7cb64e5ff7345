#include <plantainward/pooling/session_rules.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace plantainward::pooling
{

namespace
{

using sql::statement_kind;

// Limits of the state that one session may keep in this process.
constexpr std::size_t max_values = 256;
constexpr std::size_t max_prepared = 1024;

// A name precedes its shape on one line, whose length databases limit.
constexpr std::size_t max_shape_in_name = 64;

// Whether a shape can be part of a name; the wire ends a name at a blank.
bool fits_in_name(std::string_view shape)
{
    return shape.size() <= max_shape_in_name &&
           std::all_of(shape.begin(), shape.end(), [](const char c) {
               return static_cast<unsigned char>(c) > ' ';
           });
}

std::optional<sql::reply> answer_in_failed_transaction(session& session,
                                                       statement_kind kind)
{
    if (kind == statement_kind::rollback)
    {
        session.failed = false;
        session.transaction.reset();
        return success_reply(session);
    }
    if (kind == statement_kind::commit)
    {
        session.failed = false;
        session.transaction.reset();
        return error_reply(session, core::error_kind::transaction_lost,
                           "the transaction was rolled back");
    }
    if (std::exchange(session.has_unreported_failure, false))
        return error_reply(session, core::error_kind::transaction_lost,
                           "the transaction was rolled back");
    return error_reply(session, core::error_kind::bad_request,
                       "the transaction has failed; end it first");
}

sql::reply set_value(session& session, const sql::statement& statement)
{
    if (session.values.size() >= max_values &&
        !session.values.contains(statement.name))
        return error_reply(session, core::error_kind::too_large,
                           "too many session values");
    session.values[statement.name] = statement.value;
    return success_reply(session);
}

sql::reply prepare(session& session, const sql::statement& statement)
{
    if (session.prepared.size() >= max_prepared &&
        !session.prepared.contains(statement.name))
        return error_reply(session, core::error_kind::too_large,
                           "too many prepared statements");
    session.prepared[statement.name] = {statement.writes, statement.value};
    return success_reply(session);
}

} // namespace

sql::reply success_reply(const session& session)
{
    sql::reply reply;
    reply.state = session.state();
    return reply;
}

sql::reply error_reply(const session& session, core::error_kind kind,
                       std::string text)
{
    sql::reply reply;
    reply.error = kind;
    reply.text = std::move(text);
    reply.state = session.state();
    return reply;
}

std::optional<sql::reply> answer_locally(session& session,
                                         const sql::statement& statement)
{
    if (session.failed)
        return answer_in_failed_transaction(session, statement.kind);
    switch (statement.kind)
    {
    case statement_kind::set_value:
        return set_value(session, statement);
    case statement_kind::prepare:
        return prepare(session, statement);
    case statement_kind::malformed:
        return error_reply(session, core::error_kind::bad_request,
                           statement.value);
    case statement_kind::deallocate:
        session.prepared.erase(statement.name);
        return success_reply(session);
    case statement_kind::execute:
        if (!session.prepared.contains(statement.name))
            return error_reply(session, core::error_kind::bad_request,
                               "no prepared statement of this name");
        return std::nullopt;
    case statement_kind::commit:
        if (!session.transaction)
            return error_reply(session, core::error_kind::bad_request,
                               "no transaction is open");
        return std::nullopt;
    case statement_kind::rollback:
        if (!session.transaction)
            return success_reply(session);
        return std::nullopt;
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        if (session.transaction)
            return error_reply(session, core::error_kind::bad_request,
                               "a transaction is open already");
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

bool writes_data(const session& session, const sql::statement& statement)
{
    if (statement.kind == statement_kind::write)
        return true;
    if (statement.kind != statement_kind::execute)
        return false;
    const auto found = session.prepared.find(statement.name);
    return found != session.prepared.end() && found->second.writes;
}

std::string shared_name(const prepared_statement& statement)
{
    // The prefixes keep a digest apart from a shape that is spelled like one.
    if (!fits_in_name(statement.shape))
        return (statement.writes ? "wd_" : "rd_") +
               core::sha256_hex(statement.shape);
    return (statement.writes ? "w_" : "r_") + statement.shape;
}

} // namespace plantainward::pooling
