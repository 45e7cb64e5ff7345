#pragma once

#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/upstream_message.hpp>

#include <cstdint>
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
    routes::upstream where;
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

using action =
    std::variant<open_action, send_action, close_action, reply_action>;
using actions = std::vector<action>;

} // namespace plantainward::pooling
