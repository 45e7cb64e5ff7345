#pragma once

#include "async.hpp"

#include <optional>
#include <string>

namespace soak
{

/// A connection that carries lines.
class line_channel
{
public:
    explicit line_channel(tcp::socket socket);

    /// The next line without its end; empty when the connection has ended.
    asio::awaitable<std::optional<std::string>> read_line();
    /// The same; closes the connection when no line comes in time.
    asio::awaitable<std::optional<std::string>>
    read_line(std::chrono::microseconds limit);
    /// The bytes must outlive the call.
    asio::awaitable<bool> write(const std::string& bytes);

    /// A line that has arrived by now, if there is one.
    std::optional<std::string> take_arrived_line();

    asio::any_io_executor executor() { return m_socket.get_executor(); }
    bool is_open() const { return m_socket.is_open(); }
    void close();
    /// Closes with a reset.
    void reset();
    /// Ends the own direction only.
    void half_close();

private:
    std::optional<std::string> take_line();

    tcp::socket m_socket;
    std::string m_input;
};

} // namespace soak
