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

/// Answers one request; may be called later and from any thread, once.
using responder = std::function<void(response)>;

/// Identifies the connection that a request came on.
using connection_id = std::uint64_t;

/// Receives each request of a server.
using request_handler = std::function<void(connection_id, request, responder)>;

/// Told when a connection has ended.
using close_handler = std::function<void(connection_id)>;

/// Bounds of a server.
struct server_limits
{
    std::size_t threads{2};
    std::size_t max_header_bytes{std::size_t{16} * 1024};
    std::size_t max_body_bytes{std::size_t{1024} * 1024};
    /// Pipelined requests that may wait for an answer on one connection.
    std::size_t max_pipelined{64};
    /// Unsent response bytes after which a slow reader is disconnected.
    std::size_t max_unsent_bytes{std::size_t{16} * 1024 * 1024};
    /// Time for a request to arrive whole.
    core::millis request_timeout{10'000};
    /// Time that a connection may stay without a request.
    core::millis idle_timeout{300'000};
};

/// An HTTP/1.1 server: Pistache accepts and reads, Beast parses, Asio writes.
///
/// Responses leave in the order of the requests of their connection. Malformed
/// input is answered with 400, 408, 413 or 431 and the connection is closed.
class server
{
public:
    /// Listens and starts to serve; empty optional with a reason on failure.
    static std::optional<server> listen(const core::address& where,
                                        const server_limits& limits,
                                        boost::asio::io_context& io,
                                        request_handler on_request,
                                        close_handler on_close = {});

    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Says "close" in each further response and closes after it. An idle
    /// connection stays, since a request may be on its way on it.
    void close_after_responses();

    /// Requests that have arrived and are not yet answered.
    std::size_t pending_requests() const;

    /// Open connections.
    std::size_t connections() const;

private:
    struct impl;
    explicit server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> m_impl;
};

} // namespace plantainward::http
