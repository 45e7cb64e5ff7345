#pragma once

#include <plantainward/pooling/connection.hpp>
#include <plantainward/pooling/forwarded_work.hpp>
#include <plantainward/pooling/own_commits.hpp>
#include <plantainward/quota/token_requester.hpp>
#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/caller_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace plantainward::pooling
{

/// The host of an operation and the operation's id.
struct forwarding
{
    std::string host;
    operation_id operation{0};
};

/// A transaction that a session has begun.
struct open_transaction
{
    bool read_only{false};
    /// At least one of its statements can have changed data.
    bool wrote{false};
    core::boot_instant began_at{};
    /// Route in force when it began; applies until its end.
    routes::route route;
    /// Connection that runs it; 0 until its first statement has started.
    connection_id connection{0};
    /// Operation at the host that runs it; empty until its first statement was
    /// forwarded.
    std::optional<forwarding> forwarded;

    bool has_started() const { return connection != 0 || forwarded; }
};

/// A caller's statement from its arrival until its answer.
struct work
{
    sql::statement statement;
    routes::route route;
    /// Only the primary can run it.
    bool needs_primary{false};
    /// The transaction has to be begun at the database before it runs.
    bool begins{false};
    /// It must not be repeated once it was sent: a commit, or a write outside a
    /// transaction.
    bool is_unrepeatable{false};
    core::boot_instant received{};
    core::boot_instant deadline{};
    /// Until when it may wait for a database; earlier than `deadline`.
    core::boot_instant wait_until{};
    /// Databases that can't run it at present.
    std::set<std::string> excluded;
    std::size_t attempts{0};
    /// Hosts that can't run it at present.
    std::set<std::string> excluded_hosts;
    /// Connection that runs it; 0 while it waits or runs at another host.
    connection_id connection{0};
    /// When it is sent again on its connection after the database answered that
    /// it is busy.
    std::optional<core::boot_instant> resend_at;
    /// Operation at the host that runs it; empty when this host runs it.
    std::optional<forwarding> forwarded;
    /// Log point that the database must have before it runs the statement.
    std::optional<upstream::log_point> after;
    /// It runs at the primary under a valid lease.
    bool at_primary{false};
    /// It waits for a token of its workspace's quota.
    bool awaits_token{false};
    /// Token with which its operation starts; empty without a quota.
    std::optional<quota::token> token;
    /// It must not start later, since its token counts only until then.
    std::optional<core::boot_instant> start_by;
    /// It was sent to a database, and the answer was lost.
    bool may_have_run{false};
};

/// Whether the statement waits in the queue for a database.
inline bool is_waiting_for_upstream(const work& work)
{
    return work.connection == 0 && !work.forwarded;
}

/// Whether the statement is the commit of its transaction.
inline bool is_commit(const work& work)
{
    return work.statement.kind == sql::statement_kind::commit;
}

/// A caller's session, or the state of a session of another host whose
/// statements this host runs.
struct session
{
    session_id id{0};
    std::string database;
    /// SHA-256 digest of the caller's key; empty without one, and for sessions
    /// of other hosts' callers.
    std::string key_digest{};
    /// Workspace of the running operation; empty: none.
    std::string workspace{};
    session_values values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<open_transaction> transaction;
    /// The transaction failed; only a commit or rollback is accepted, and both
    /// roll back.
    bool failed{false};
    /// The transaction failed between two statements, so that no answer has
    /// reported it to the caller yet.
    bool has_unreported_failure{false};
    std::optional<work> current;
    /// Statements that arrived before the answer to the current one.
    std::deque<sql::statement> queued;
    own_commits commits;
    core::boot_instant last_active{};
    /// Host that forwarded the session's statements, and the operation there;
    /// empty for sessions of this host's own callers.
    std::optional<forwarding> origin;
    /// Until when the running statement of another host's session must start.
    std::optional<core::boot_instant> start_by;

    sql::transaction_state state() const
    {
        if (failed)
            return sql::transaction_state::failed;
        return transaction ? sql::transaction_state::open
                           : sql::transaction_state::idle;
    }
};

} // namespace plantainward::pooling
