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
    /// No byte of the request left this process.
    not_sent,
    /// The request may have reached the server; no whole answer came.
    lost,
    /// As `lost`, because the time ran out.
    timed_out
};

/// The end of an exchange, with the answer when there is one.
struct exchange_result
{
    exchange_outcome outcome{exchange_outcome::not_sent};
    int status{0};
    std::string body;
    std::vector<field> fields{};
};

/// Receives the end of one exchange.
using exchange_handler = std::function<void(exchange_result)>;

/// One connection to a server, with one exchange at a time.
///
/// A connection that loses or times out an exchange is closed for good, so a
/// late answer can never be taken for the answer to a later request.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Makes a connection object; nothing is sent until `open`.
    static std::shared_ptr<client_connection>
    create(boost::asio::io_context& io, const core::address& where);

    virtual ~client_connection() = default;

    /// Connects; the handler gets whether it worked. The time counts from this
    /// call.
    virtual void open(core::millis timeout,
                      std::function<void(bool)> handler) = 0;

    /// Sends one request and waits for its answer. The time counts from this
    /// call; nothing is sent after it has passed.
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

    /// Resets the connection of the call, so what was not delivered yet is not
    /// delivered, and lets the call end as `lost` or, when no byte had left,
    /// as `not_sent`. Does nothing when the call is over or there is none; a
    /// call whose answer has arrived already may still end as `answered`. May
    /// be called from any thread.
    void abort() const;

private:
    std::function<void()> m_abort;
};

/// Sends requests to any server over a bounded set of kept connections.
class client : public std::enable_shared_from_this<client>
{
public:
    /// Keeps up to this many idle connections to each server.
    static std::shared_ptr<client> create(boost::asio::io_context& io,
                                          std::size_t most_kept = 8);

    virtual ~client() = default;

    /// Sends one request over a kept or a new connection.
    ///
    /// The time counts from this call and is the limit of all of it:
    /// connecting, the second attempt after a kept connection that the server
    /// had closed, and the exchange. When it passes, the connection is reset,
    /// so what was not delivered by then is not delivered later; the call ends
    /// as `timed_out`, or as `not_sent` when no byte had left.
    ///
    /// The handler is called exactly once, from the I/O context; never from
    /// inside this call or `call_handle::abort`.
    virtual call_handle send(const core::address& where, request message,
                             core::millis timeout,
                             exchange_handler handler) = 0;
};

/// Sends one request and blocks until its end; for command-line programs.
exchange_result send_and_wait(const core::address& where, request message,
                              core::millis timeout);

} // namespace plantainward::http
