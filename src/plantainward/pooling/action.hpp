#pragma once

#include <plantainward/pooling/forwarded_work.hpp>
#include <plantainward/quota/token_grant.hpp>
#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/upstream_message.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantainward::pooling
{

/// Identifies a caller's session within this process.
using session_id = std::uint64_t;

/// Identifies a connection to a database within this process.
using connection_id = std::uint64_t;

/// Opens a connection.
struct open_action
{
    connection_id connection{0};
    routes::upstream upstream;
    /// Workspace whose statements the connection runs; empty: none.
    std::string workspace{};
};

/// Sends commands on a connection; the database answers them in order.
struct send_action
{
    connection_id connection{0};
    std::vector<sql::command> commands;
};

/// Closes a connection at once; bytes in transit are discarded.
struct close_action
{
    connection_id connection{0};
};

/// Answers a statement of a caller's session.
struct reply_action
{
    session_id session{0};
    sql::reply reply;
};

/// Closes a caller's session that waits for no reply; not carried out when
/// bytes of another request have arrived.
struct close_session_action
{
    session_id session{0};
};

/// Forwards a statement to another host. `operation` stays the same for all
/// statements of one transaction.
struct forward_action
{
    std::string host;
    operation_id operation{0};
    session_id session{0};
    forwarded_work work;
};

/// Tells a host that an operation has ended here; that host then rolls back
/// what it still runs for the operation.
struct end_forwarding_action
{
    std::string host;
    operation_id operation{0};
};

/// Answers the running statement of an operation that another host forwarded.
struct forwarded_reply_action
{
    std::string host;
    operation_id operation{0};
    forwarded_reply reply;
};

/// Requests tokens of a workspace from a host that owns its limit; ends in
/// `pooler::on_token_grant` or `on_token_request_lost`.
struct request_tokens_action
{
    std::string host;
    std::string workspace;
    std::uint32_t count{0};
    std::uint64_t request{0};
};

/// Answers another host's request for tokens.
struct grant_tokens_action
{
    std::string host;
    std::uint64_t request{0};
    quota::token_grant grant;
};

/// One action that the pooler requests of its owner.
using action = std::variant<open_action, send_action, close_action,
                            reply_action, close_session_action, forward_action,
                            end_forwarding_action, forwarded_reply_action,
                            request_tokens_action, grant_tokens_action>;
/// Actions in the order in which they are to be carried out.
using actions = std::vector<action>;

} // namespace plantainward::pooling
