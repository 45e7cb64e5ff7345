#pragma once

#include "database.hpp"

namespace soak
{

/// One connection of a database.
struct database::session
{
    explicit session(tcp::socket socket)
        : channel(std::move(socket)), wakeup(channel_executor())
    {
    }

    struct arrived_line
    {
        std::string text;
        instant at{0};
    };

    asio::any_io_executor channel_executor() { return channel.executor(); }

    line_channel channel;
    asio::steady_timer wakeup;
    std::deque<arrived_line> lines;
    std::uint64_t number{0};
    std::string sender;
    bool has_started{false};
    bool is_ended{false};
    /// Nothing is answered any more.
    bool is_muted{false};
    /// The path is dead: the database doesn't learn that the other end closes.
    bool is_unreachable{false};

    /// Number of the open transaction; 0: none.
    std::uint64_t transaction{0};
    bool is_read_only{false};
    bool has_failed{false};
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    /// Shape of each prepared name, after `READ` or `WRITE`.
    std::map<std::string, std::string> shapes;
};

} // namespace soak
