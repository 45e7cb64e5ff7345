#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/http/message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace plantainward::http
{

/// How an exchange with a server ended.
enum class exchange_outcome : std::uint8_t
{
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have reached the server; no whole answer came.
    lost,
    /// As `lost`, because the timeout passed.
    timed_out
};

/// The outcome of an exchange, with the response when there is one.
struct exchange_result
{
    exchange_outcome outcome{exchange_outcome::not_sent};
    int status{0};
    std::string body;
    std::vector<field> fields{};
};

/// Receives the outcome of one exchange, exactly once.
using exchange_handler = std::function<void(exchange_result)>;

/// One connection to a server, with one exchange at a time.
///
/// A connection whose exchange is lost or times out is closed and can't be used
/// again, so that a late response is never taken for that to a later request.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Creates a connection without connecting it.
    static std::shared_ptr<client_connection>
    create(boost::asio::io_context& io, const core::address& address);

    virtual ~client_connection() = default;

    /// Connects; the handler gets whether that succeeded. The timeout counts
    /// from this call.
    virtual void open(core::millis timeout,
                      std::function<void(bool)> handler) = 0;

    /// Sends one request; the handler gets the response or how the exchange
    /// failed. The timeout counts from this call; nothing is sent after it.
    virtual void exchange(request message, core::millis timeout,
                          exchange_handler handler) = 0;

    /// Closes the connection; a running exchange ends as lost.
    virtual void close() = 0;
};

/// Ends one call of a `client` early. Copies refer to the same call.
class call_handle
{
public:
    /// Refers to no call.
    call_handle() = default;

    /// Refers to the call that this function ends.
    explicit call_handle(std::function<void()> abort);

    /// Resets the connection of the call, which discards what is not delivered
    /// yet. The call ends as `lost`, or as `not_sent` when no byte was sent; a
    /// call whose response has already arrived may end as `answered`. Does
    /// nothing when the call has ended or there is none. May be called from any
    /// thread.
    void abort() const;

private:
    std::function<void()> m_abort;
};

/// Sends requests to any server and keeps idle connections for later requests.
class client : public std::enable_shared_from_this<client>
{
public:
    /// Creates a client that keeps up to `max_idle` idle connections to each
    /// server.
    static std::shared_ptr<client> create(boost::asio::io_context& io,
                                          std::size_t max_idle = 8);

    virtual ~client() = default;

    /// Sends one request over an idle or a new connection.
    ///
    /// The timeout counts from this call and covers all of it: connecting, the
    /// second attempt after an idle connection that the server had closed, and
    /// the exchange. When it passes, the connection is reset, so that what is
    /// not delivered by then is not delivered later; the call ends as
    /// `timed_out`, or as `not_sent` when no byte was sent. After a call that
    /// timed out the next ones to that server use new connections, since idle
    /// ones may be as silent.
    ///
    /// The handler is called exactly once, on a thread of the I/O context and
    /// never from within this call or `call_handle::abort`.
    virtual call_handle send(const core::address& address, request message,
                             core::millis timeout,
                             exchange_handler handler) = 0;

    /// Closes the idle connections to a server, so that the next call opens a
    /// new one.
    virtual void close_idle(const core::address& address) = 0;
};

/// Sends one request and blocks until it has ended; for command-line programs.
exchange_result send_and_wait(const core::address& address, request message,
                              core::millis timeout);

} // namespace plantainward::http
