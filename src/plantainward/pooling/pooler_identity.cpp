// The callers' keys: which workspace a statement runs for, and whether it may
// run at all.

#include <plantainward/pooling/pooler.hpp>
#include <plantainward/pooling/session_rules.hpp>

namespace plantainward::pooling
{

// The workspace that holds the session's key in the routing in force; null
// without workspaces, and for unknown and withdrawn keys.
const routes::workspace* pooler::holder_of_key(const session& session) const
{
    return m_routing.has_workspaces
               ? m_routing.find_workspace(session.key_digest)
               : nullptr;
}

// A route that is gone from the routing still runs the transactions that began
// on it.
bool pooler::needs_key(const session& session) const
{
    if (!m_routing.has_workspaces)
        return false;
    if (const auto* route = m_routing.find(session.database))
        return !route->is_public;
    return !session.transaction || !session.transaction->route.is_public;
}

// Whether the session's open transaction or waiting statement may go on in the
// routing in force.
bool pooler::has_valid_identity(const session& session) const
{
    const auto* holder = holder_of_key(session);
    if (holder == nullptr && needs_key(session))
        return false;
    const auto& name = holder == nullptr ? std::string() : holder->name;
    return !session.transaction || name == session.workspace;
}

// Sets the workspace of the session's next statement. Returns false after it
// has answered the statement, if the caller's key does not permit it.
bool pooler::authorize(session& session, const sql::statement& statement)
{
    if (session.origin)
        return true;
    const bool is_valid = has_valid_identity(session);
    if (!is_valid)
        report_refusal(session.workspace.empty() && !session.transaction
                           ? identity_refusal_cause::unknown_key
                           : identity_refusal_cause::withdrawn_key,
                       session.workspace);
    if (!is_valid && session.transaction)
    {
        refuse_identity(session, statement, core::error_kind::transaction_lost,
                        "the key was withdrawn or belongs to another "
                        "workspace");
        return false;
    }
    if (!is_valid)
    {
        refuse_identity(session, statement, core::error_kind::unauthenticated,
                        "unknown key");
        return false;
    }
    if (lacks_proof(session))
    {
        report_refusal(identity_refusal_cause::routing_not_proved,
                       session.workspace);
        refuse_identity(session, statement, core::error_kind::overloaded,
                        "this host can't prove that its configuration is "
                        "current");
        return false;
    }
    const auto* holder = holder_of_key(session);
    session.workspace = holder == nullptr ? std::string() : holder->name;
    return true;
}

// Whether a key of the session could have been withdrawn without this host's
// knowledge for longer than is permitted.
bool pooler::lacks_proof(const session& session) const
{
    if (!m_options.max_proof_age || !needs_key(session))
        return false;
    return !m_routing_proof ||
           m_now - *m_routing_proof > *m_options.max_proof_age;
}

// Answers a statement that was not given to a database. Its transaction is
// rolled back; a commit ends it.
void pooler::refuse_identity(session& session, const sql::statement& statement,
                             core::error_kind kind, const char* text)
{
    if (session.transaction)
        fail_transaction(session, true);
    if (statement.kind == sql::statement_kind::commit)
    {
        session.transaction.reset();
        session.failed = false;
    }
    reply(session, error_reply(session, kind, text));
}

// After a change of the routing, refuses statements that wait for a database
// and rolls back idle transactions under keys that were withdrawn or moved to
// another workspace. What has been given to a database or another host goes on.
void pooler::end_withdrawn_work()
{
    std::vector<session_id> refused;
    for (auto& [id, session] : m_sessions)
    {
        if (session.origin || session.failed)
            continue;
        if (session.current && !is_waiting_for_upstream(*session.current))
            continue;
        if (has_valid_identity(session))
        {
            const auto* holder = holder_of_key(session);
            session.workspace =
                holder == nullptr ? std::string() : holder->name;
            continue;
        }
        if (session.current)
            refused.push_back(id);
        else if (session.transaction)
        {
            report_refusal(identity_refusal_cause::withdrawn_key,
                           session.workspace);
            fail_transaction(session, false);
        }
    }
    for (const auto id : refused)
    {
        auto& session = m_sessions.at(id);
        report_refusal(identity_refusal_cause::withdrawn_key,
                       session.workspace);
        refuse(session,
               session.transaction ? core::error_kind::transaction_lost
                                   : core::error_kind::unauthenticated,
               "the key was withdrawn or belongs to another workspace");
    }
}

void pooler::report_refusal(identity_refusal_cause cause,
                            const std::string& workspace)
{
    if (!m_on_refusal)
        return;
    identity_refusal refusal;
    refusal.cause = cause;
    refusal.workspace = workspace;
    refusal.routing_version = m_routing.version;
    if (m_routing_proof)
        refusal.proof_age =
            std::chrono::duration_cast<core::millis>(m_now - *m_routing_proof);
    m_on_refusal(refusal);
}

} // namespace plantainward::pooling
