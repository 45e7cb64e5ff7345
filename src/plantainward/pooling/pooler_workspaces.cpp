// Connections by workspace: a statement runs only on a connection that was
// opened under its own workspace.

#include <plantainward/pooling/pooler.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Idle time after which a connection is closed, since its workspace has
// probably moved to another holder. The smallest of 78 workspaces uses a
// database about every 17 s.
constexpr std::chrono::seconds max_idle_time{120};

// The same for a workspace that is not in the routing. Hosts with a newer
// routing may already forward statements of a new workspace, and a version is
// in force everywhere within 5 s.
constexpr std::chrono::seconds max_idle_time_without_workspace{5};

} // namespace

void pooler::observe_openings(opening_observer on_opening)
{
    m_on_opening = std::move(on_opening);
}

void pooler::report_opening(const std::string& service,
                            const upstream_pool& pool,
                            const std::string& workspace, bool is_probe)
{
    if (!m_on_opening)
        return;
    const bool has_connection = std::any_of(
        pool.connections().begin(), pool.connections().end(),
        [&](const auto& entry) { return entry.second.workspace == workspace; });
    auto cause = has_connection ? opening_cause::all_in_use
                                : opening_cause::first_of_workspace;
    if (pool.eviction_candidate(workspace) != nullptr)
        cause = opening_cause::eviction;
    m_on_opening(service, is_probe ? opening_cause::probe : cause);
}

// Closes idle connections of workspaces that were removed or have moved to
// another holder. Connections without a workspace are kept.
void pooler::drop_unused_connections()
{
    std::vector<connection_id> unused;
    for (const auto& [name, service] : m_services)
        for (const auto& [id, pool] : service.upstreams)
            for (const auto& [number, connection] : pool.connections())
            {
                if (connection.workspace.empty() ||
                    connection.stage != connection_stage::idle)
                    continue;
                const bool is_known =
                    m_routing.workspaces.contains(connection.workspace);
                if (m_now - connection.last_used >
                    (is_known ? max_idle_time
                              : max_idle_time_without_workspace))
                    unused.push_back(number);
            }
    for (const auto id : unused)
        drop(id);
}

// The hosts that run the session's current statement. Work of another host runs
// here, so that it takes one hop at most.
delegation_view pooler::delegation_of(const session& session)
{
    static const std::vector<std::string> no_hosts;
    if (session.origin)
        return {no_hosts, true, no_hosts};
    auto& plan = m_services[session.current->route.service].plan;
    if (const auto* found = plan.by_workspace.find(session.workspace))
        return {found->preferred, found->runs_here, found->fallback};
    return {plan.delegates, plan.delegates.empty(), plan.fallback_delegates};
}

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
