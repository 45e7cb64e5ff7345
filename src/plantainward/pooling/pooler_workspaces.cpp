// Connections by workspace: a statement runs only on a connection that was
// opened under its own workspace.

#include <plantainward/pooling/pooler.hpp>

namespace plantainward::pooling
{

// Closes an idle connection of another workspace when the pool is full.
void pooler::make_room(upstream_pool& pool, const std::string& workspace)
{
    if (const auto* evicted = pool.eviction_candidate(workspace))
        drop(evicted->id);
}

bool pooler::is_of_workspace(const connection& connection,
                             const session& session)
{
    return connection.workspace == session.workspace;
}

// Takes the session's statement off a connection of another workspace. The
// caller's key can be given to another workspace while a transaction is open or
// a connection is being opened.
void pooler::leave_connection(connection& connection, session& session)
{
    auto& work = *session.current;
    const bool is_pinned = session.transaction && !work.begins;
    work.connection = 0;
    if (!is_pinned)
    {
        release(connection, false);
        return enqueue(session);
    }
    session.transaction->connection = 0;
    release(connection, true);
    refuse(session, core::error_kind::transaction_lost,
           "the workspace of the caller has changed");
}

} // namespace plantainward::pooling
