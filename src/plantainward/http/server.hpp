#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace plantainward::http
{

/// Sends the response to one request. May be called later and from any thread;
/// only the first call counts.
using responder = std::function<void(response)>;

/// Identifies the connection that a request came on.
using connection_id = std::uint64_t;

/// Receives each request of a server.
using request_handler = std::function<void(connection_id, request, responder)>;

/// Called when a connection has ended.
using close_handler = std::function<void(connection_id)>;

/// Limits of a server.
struct server_limits
{
    /// Number of threads that read and parse requests.
    std::size_t threads{2};
    std::size_t max_header_bytes{std::size_t{16} * 1024};
    std::size_t max_body_bytes{std::size_t{1024} * 1024};
    /// Requests of one connection that may be unanswered at a time.
    std::size_t max_pipelined{64};
    /// Unsent response bytes after which a slow reader is disconnected.
    std::size_t max_unsent_bytes{std::size_t{16} * 1024 * 1024};
    /// Time within which a request must have arrived whole.
    core::millis request_timeout{10'000};
    /// Time without input after which an idle connection is closed.
    core::millis idle_timeout{300'000};
};

/// An HTTP/1.1 server: Pistache accepts and reads, Beast parses, Asio writes.
///
/// Each connection gets its responses in the order of its requests. Malformed
/// input is answered with 400, 408, 413 or 431, more requests than
/// `max_pipelined` with 503, and the connection is closed.
class server
{
public:
    /// Listens and starts to serve; on failure an empty optional, with the
    /// reason in `core::last_error`.
    static std::optional<server> listen(const core::address& address,
                                        const server_limits& limits,
                                        boost::asio::io_context& io,
                                        request_handler on_request,
                                        close_handler on_close = {});

    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Sends "Connection: close" with each further response and closes the
    /// connection after it. Idle connections stay open, since a request may be
    /// in transit on them.
    void close_after_responses();

    /// Number of requests that have arrived and are not yet answered.
    std::size_t pending_requests() const;

    /// Number of open connections.
    std::size_t connections() const;

private:
    struct impl;
    explicit server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> m_impl;
};

} // namespace plantainward::http
