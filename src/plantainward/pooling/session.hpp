#pragma once

#include <plantainward/freshness/watermark_log.hpp>
#include <plantainward/pooling/connection.hpp>
#include <plantainward/pooling/forwarded_work.hpp>
#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/caller_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace plantainward::pooling
{

/// Work of a session that was passed on to another host.
struct forwarding
{
    std::string host;
    operation_id operation{0};
};

/// A transaction that a session has begun.
struct open_transaction
{
    bool read_only{false};
    /// A statement of it wrote.
    bool wrote{false};
    core::boot_instant began{};
    /// Route in force when it began; holds until its end.
    routes::route route;
    /// Connection that runs it; 0 until its first statement has started.
    connection_id connection{0};
    /// It runs at another host under this id; empty until its first statement
    /// was sent there.
    std::optional<forwarding> forwarded;

    bool has_started() const { return connection != 0 || forwarded; }
};

/// A statement that waits for a database or runs there.
struct work
{
    sql::statement statement;
    routes::route route;
    /// Only the primary can run it.
    bool needs_primary{false};
    /// It begins the open transaction at its database.
    bool begins{false};
    /// It can't be repeated once it was sent: a single write or a commit.
    bool is_final{false};
    core::boot_instant received{};
    core::boot_instant deadline{};
    /// Until when it may wait for a database.
    core::boot_instant wait_until{};
    /// Databases that can't run it now.
    std::set<std::string> excluded;
    std::size_t attempts{0};
    /// Hosts that can't run it now.
    std::set<std::string> excluded_hosts;
    /// Connection that runs it; 0 while it waits or runs at another host.
    connection_id connection{0};
    /// When it is sent again on its connection, which was told that the
    /// database is busy.
    std::optional<core::boot_instant> again_at;
    /// Where it runs, if another host runs it.
    std::optional<forwarding> forwarded;
    /// Log point that the database must have before it begins.
    std::optional<upstream::log_point> after;
    /// It runs on the current primary under a valid lease.
    bool at_primary{false};
};

/// Whether the statement waits for a database.
inline bool is_waiting(const work& what)
{
    return what.connection == 0 && !what.forwarded;
}

/// Whether the statement is the commit of its transaction.
inline bool ends_transaction(const work& what)
{
    return what.statement.kind == sql::statement_kind::commit;
}

/// One caller's session.
struct session
{
    session_id id{0};
    std::string database;
    session_values values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<open_transaction> transaction;
    /// The transaction failed; only its end is accepted.
    bool failed{false};
    /// The caller has not been told yet that the transaction failed.
    bool owes_failure{false};
    std::optional<work> current;
    /// Statements that came before the answer to the current one.
    std::deque<sql::statement> queued;
    /// The session's last commit: when it was acknowledged, and where.
    std::optional<freshness::watermark> own_commit;
    core::boot_instant last_active{};
    /// Host whose session this is the shadow of, and its id there.
    std::optional<forwarding> origin;

    sql::transaction_state state() const
    {
        if (failed)
            return sql::transaction_state::failed;
        return transaction ? sql::transaction_state::open
                           : sql::transaction_state::idle;
    }
};

} // namespace plantainward::pooling
