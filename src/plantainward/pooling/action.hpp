#pragma once

#include <plantainward/pooling/forwarded_work.hpp>
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
};

/// Sends commands; each is answered in order.
struct send_action
{
    connection_id connection{0};
    std::vector<sql::command> commands;
};

/// Closes a connection at once; bytes on their way are discarded.
struct close_action
{
    connection_id connection{0};
};

/// Answers a session's statement.
struct reply_action
{
    session_id session{0};
    sql::reply reply;
};

/// Has another host run a statement.
struct forward_action
{
    std::string host;
    operation_id operation{0};
    session_id session{0};
    forwarded_work work;
};

/// Tells a host that an operation has ended here; what it still runs for it is
/// rolled back.
struct end_forwarding_action
{
    std::string host;
    operation_id operation{0};
};

/// Answers the statement in work of an operation of another host.
struct forwarded_reply_action
{
    std::string host;
    operation_id operation{0};
    forwarded_reply reply;
};

using action =
    std::variant<open_action, send_action, close_action, reply_action,
                 forward_action, end_forwarding_action, forwarded_reply_action>;
using actions = std::vector<action>;

} // namespace plantainward::pooling
