#include "line_channel.hpp"

#include <array>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace soak
{

line_channel::line_channel(tcp::socket socket) : m_socket(std::move(socket))
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

asio::awaitable<std::optional<std::string>> line_channel::read_line()
{
    for (;;)
    {
        if (auto line = take_line())
            co_return line;
        if (!m_socket.is_open())
            co_return std::nullopt;
        std::array<char, 8192> buffer{};
        const auto [error, size] =
            co_await m_socket.async_read_some(asio::buffer(buffer), use_result);
        if (error)
            co_return std::nullopt;
        m_input.append(buffer.data(), size);
    }
}

asio::awaitable<std::optional<std::string>>
line_channel::read_line(std::chrono::microseconds limit)
{
    asio::steady_timer timer(m_socket.get_executor());
    timer.expires_after(limit);
    // An expired timer's handler may be queued when the line arrives.
    const auto is_done = std::make_shared<bool>(false);
    timer.async_wait([this, is_done](error_code error) {
        if (!error && !*is_done)
            close();
    });
    auto line = co_await read_line();
    *is_done = true;
    co_return line;
}

asio::awaitable<bool> line_channel::write(const std::string& bytes)
{
    if (!m_socket.is_open())
        co_return false;
    const auto [error, size] =
        co_await asio::async_write(m_socket, asio::buffer(bytes), use_result);
    co_return !error;
}

std::optional<std::string> line_channel::take_arrived_line()
{
    if (m_socket.is_open())
    {
        std::array<char, 4096> buffer{};
        error_code error;
        const auto size = m_socket.read_some(asio::buffer(buffer), error);
        if (!error)
            m_input.append(buffer.data(), size);
        else if (error != asio::error::would_block)
            close();
    }
    return take_line();
}

std::optional<std::string> line_channel::take_line()
{
    const auto end = m_input.find("\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    auto line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    return line;
}

void line_channel::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

void line_channel::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void line_channel::half_close()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace soak
