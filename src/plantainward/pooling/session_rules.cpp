#include <plantainward/pooling/session_rules.hpp>

#include <utility>

namespace plantainward::pooling
{

namespace
{

using sql::statement_kind;

// Bounds on what one session may keep here.
constexpr std::size_t most_values = 256;
constexpr std::size_t most_prepared = 1024;

std::optional<sql::reply> answer_in_failed_transaction(session& who,
                                                       statement_kind kind)
{
    if (kind == statement_kind::rollback)
    {
        who.failed = false;
        who.transaction.reset();
        return answer_done(who);
    }
    if (kind == statement_kind::commit)
    {
        who.failed = false;
        who.transaction.reset();
        return answer_error(who, core::error_kind::transaction_lost,
                            "the transaction was rolled back");
    }
    if (std::exchange(who.owes_failure, false))
        return answer_error(who, core::error_kind::transaction_lost,
                            "the transaction was rolled back");
    return answer_error(who, core::error_kind::bad_request,
                        "the transaction has failed; end it first");
}

sql::reply set_value(session& who, const sql::statement& one)
{
    if (who.values.size() >= most_values && !who.values.contains(one.name))
        return answer_error(who, core::error_kind::too_large,
                            "too many session values");
    who.values[one.name] = one.value;
    return answer_done(who);
}

sql::reply prepare(session& who, const sql::statement& one)
{
    if (who.prepared.size() >= most_prepared &&
        !who.prepared.contains(one.name))
        return answer_error(who, core::error_kind::too_large,
                            "too many prepared statements");
    who.prepared[one.name] = {one.writes, one.value};
    return answer_done(who);
}

} // namespace

sql::reply answer_done(const session& who)
{
    sql::reply made;
    made.state = who.state();
    return made;
}

sql::reply answer_error(const session& who, core::error_kind kind,
                        std::string text)
{
    sql::reply made;
    made.error = kind;
    made.text = std::move(text);
    made.state = who.state();
    return made;
}

std::optional<sql::reply> answer_locally(session& who,
                                         const sql::statement& one)
{
    if (who.failed)
        return answer_in_failed_transaction(who, one.kind);
    switch (one.kind)
    {
    case statement_kind::set_value:
        return set_value(who, one);
    case statement_kind::prepare:
        return prepare(who, one);
    case statement_kind::deallocate:
        who.prepared.erase(one.name);
        return answer_done(who);
    case statement_kind::execute:
        if (!who.prepared.contains(one.name))
            return answer_error(who, core::error_kind::bad_request,
                                "no prepared statement of this name");
        return std::nullopt;
    case statement_kind::commit:
        if (!who.transaction)
            return answer_error(who, core::error_kind::bad_request,
                                "no transaction is open");
        return std::nullopt;
    case statement_kind::rollback:
        if (!who.transaction)
            return answer_done(who);
        return std::nullopt;
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        if (who.transaction)
            return answer_error(who, core::error_kind::bad_request,
                                "a transaction is open already");
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

bool writes_data(const session& who, const sql::statement& one)
{
    if (one.kind == statement_kind::write)
        return true;
    if (one.kind != statement_kind::execute)
        return false;
    const auto found = who.prepared.find(one.name);
    return found != who.prepared.end() && found->second.writes;
}

std::string shared_name(const prepared_statement& one)
{
    return (one.writes ? "w_" : "r_") + one.shape;
}

} // namespace plantainward::pooling
