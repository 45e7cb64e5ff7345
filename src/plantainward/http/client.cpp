#include <plantainward/http/client.hpp>

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/http/internal/keep_alive.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace plantainward::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t max_response_bytes = std::size_t{64} * 1024 * 1024;

class tcp_client_connection;

// The state that a call and its handle share.
class running_call
{
public:
    // Sets the connection that runs the call from now on.
    void
    set_connection(const std::shared_ptr<tcp_client_connection>& connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connection = connection;
    }

    bool is_aborted() const
    {
        const std::lock_guard lock(m_mutex);
        return m_aborted;
    }

    static void abort(const std::shared_ptr<running_call>& call);

private:
    mutable std::mutex m_mutex;
    std::weak_ptr<tcp_client_connection> m_connection;
    bool m_aborted{false};
};

using call_pointer = std::shared_ptr<running_call>;

class tcp_client_connection final : public client_connection
{
public:
    tcp_client_connection(asio::io_context& io, const core::address& address)
        : m_stream(asio::make_strand(io)), m_address(address)
    {
    }

    void open(core::millis timeout, std::function<void(bool)> handler) override
    {
        open_until(core::boot_clock::now() + timeout, {}, std::move(handler));
    }

    void exchange(request message, core::millis timeout,
                  exchange_handler handler) override
    {
        exchange_until(std::move(message), core::boot_clock::now() + timeout,
                       {}, std::move(handler));
    }

    void open_until(core::boot_instant deadline, call_pointer call,
                    std::function<void(bool)> handler)
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this(), deadline,
                        call = std::move(call),
                        handler = std::move(handler)]() mutable {
                           m_call = std::move(call);
                           start_open(deadline, std::move(handler));
                       });
    }

    void exchange_until(request message, core::boot_instant deadline,
                        call_pointer call, exchange_handler handler)
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this(),
                        message = std::move(message), deadline,
                        call = std::move(call),
                        handler = std::move(handler)]() mutable {
                           m_call = std::move(call);
                           start_exchange(std::move(message), deadline,
                                          std::move(handler));
                       });
    }

    // Closes the connection if it still runs this call.
    void abort(const call_pointer& call)
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this(), call] {
                           if (m_call == call)
                               close_socket();
                       });
    }

    void close() override
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this()] { close_socket(); });
    }

private:
    bool is_aborted() const { return m_call && m_call->is_aborted(); }

    // Starts the stream's timer; false when the deadline has passed. Called
    // before each step that sends, since the timer fires late in a process that
    // was suspended or blocked.
    bool start_timer(core::boot_instant deadline)
    {
        const auto left = deadline - core::boot_clock::now();
        if (left <= left.zero())
            return false;
        m_stream.expires_after(left);
        return true;
    }

    void start_open(core::boot_instant deadline,
                    std::function<void(bool)> handler)
    {
        error_code bad_address;
        const auto ip = asio::ip::make_address(m_address.ip, bad_address);
        if (bad_address || is_aborted() || !start_timer(deadline))
            return asio::post(
                m_stream.get_executor(),
                [self = shared_from_this(), handler = std::move(handler)] {
                    handler(false);
                });
        m_stream.async_connect(
            asio::ip::tcp::endpoint(ip, m_address.port),
            [this, self = shared_from_this(),
             handler = std::move(handler)](error_code error) {
                if (!error)
                {
                    error_code ignored;
                    m_stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                                 ignored);
                    internal::enable_keep_alive(
                        m_stream.socket().native_handle());
                }
                m_open = !error;
                handler(m_open);
            });
    }

    void start_exchange(request message, core::boot_instant deadline,
                        exchange_handler handler)
    {
        if (m_open && is_closed_by_server())
            close_socket();
        if (!m_open)
            return handler({exchange_outcome::not_sent, 0, {}});
        if (is_aborted() || !start_timer(deadline))
        {
            close_socket();
            return handler({exchange_outcome::not_sent, 0, {}});
        }
        m_handler = std::move(handler);
        m_request = {};
        m_request.version(11);
        m_request.method_string(message.method);
        m_request.target(message.target);
        m_request.set(beast_http::field::host, m_address.ip);
        for (const auto& [name, value] : message.fields)
            m_request.set(name, value);
        m_request.body() = std::move(message.body);
        m_request.prepare_payload();
        set_reset_on_close(true);
        beast_http::async_write(
            m_stream, m_request,
            [this, self = shared_from_this()](error_code error, std::size_t n) {
                on_written(error, n);
            });
    }

    // Makes a close send a reset, which discards undelivered bytes, so that an
    // abandoned request can't arrive later over a path that recovers. The
    // stream closes its socket itself at the timeout, so this is set before the
    // first write.
    void set_reset_on_close(bool on)
    {
        error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(on, 0), ignored);
    }

    // Checked before a request is written, since a write can succeed on a
    // connection that the server has closed although the request is lost.
    bool is_closed_by_server()
    {
        char byte = 0;
        return ::recv(m_stream.socket().native_handle(), &byte, 1,
                      MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    void on_written(error_code error, std::size_t written)
    {
        if (error)
            return finish_failed(error, written > 0);
        m_parser.emplace();
        m_parser->body_limit(max_response_bytes);
        beast_http::async_read(
            m_stream, m_buffer, *m_parser,
            [this, self = shared_from_this()](
                error_code read_error, std::size_t) { on_read(read_error); });
    }

    void on_read(error_code error)
    {
        if (error)
            return finish_failed(error, true);
        set_reset_on_close(false);
        auto message = m_parser->release();
        if (!message.keep_alive())
            close_socket();
        else
            m_stream.expires_never();
        exchange_result result{exchange_outcome::answered,
                               static_cast<int>(message.result_int()),
                               std::move(message.body())};
        for (const auto& field : message)
            result.fields.emplace_back(field.name_string(), field.value());
        finish(std::move(result));
    }

    void finish_failed(error_code error, bool may_have_arrived)
    {
        close_socket();
        if (!may_have_arrived)
            return finish({exchange_outcome::not_sent, 0, {}});
        finish({error == beast::error::timeout ? exchange_outcome::timed_out
                                               : exchange_outcome::lost,
                0,
                {}});
    }

    void finish(exchange_result result)
    {
        m_call.reset();
        if (auto handler = std::exchange(m_handler, {}))
            handler(std::move(result));
    }

    void close_socket()
    {
        m_open = false;
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    beast::tcp_stream m_stream;
    core::address m_address;
    beast_http::request<beast_http::string_body> m_request;
    std::optional<beast_http::response_parser<beast_http::string_body>>
        m_parser;
    beast::flat_buffer m_buffer;
    exchange_handler m_handler;
    call_pointer m_call;
    bool m_open{false};
};

void running_call::abort(const std::shared_ptr<running_call>& call)
{
    std::shared_ptr<tcp_client_connection> connection;
    {
        const std::lock_guard lock(call->m_mutex);
        call->m_aborted = true;
        connection = call->m_connection.lock();
    }
    if (connection)
        connection->abort(call);
}

class reusing_client final : public client
{
public:
    reusing_client(asio::io_context& io, std::size_t max_idle)
        : m_io(io), m_max_idle(max_idle)
    {
    }

    call_handle send(const core::address& address, request message,
                     core::millis timeout, exchange_handler handler) override
    {
        const auto deadline = core::boot_clock::now() + timeout;
        const auto call = std::make_shared<running_call>();
        if (auto idle = take_idle(address))
            start({address, deadline, call, std::move(handler)},
                  std::move(idle), std::move(message), true);
        else
            connect({address, deadline, call, std::move(handler)},
                    std::move(message));
        return call_handle([call] { running_call::abort(call); });
    }

    void close_idle(const core::address& address) override
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& idle : std::exchange(m_idle[address], {}))
            idle->close();
    }

private:
    using connection = std::shared_ptr<tcp_client_connection>;

    struct pending_request
    {
        core::address address;
        core::boot_instant deadline;
        call_pointer call;
        exchange_handler handler;
    };

    connection take_idle(const core::address& address)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idle[address];
        if (idle.empty())
            return {};
        auto reused = std::move(idle.back());
        idle.pop_back();
        return reused;
    }

    void keep(const core::address& address, connection unused)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idle[address];
        if (idle.size() < m_max_idle)
            return idle.push_back(std::move(unused));
        unused->close();
    }

    void connect(pending_request pending, request message)
    {
        auto new_connection =
            std::make_shared<tcp_client_connection>(m_io, pending.address);
        pending.call->set_connection(new_connection);
        const auto deadline = pending.deadline;
        const auto call = pending.call;
        new_connection->open_until(
            deadline, call,
            [this, self = shared_from_this(), new_connection,
             pending = std::move(pending),
             message = std::move(message)](bool is_open) mutable {
                if (!is_open)
                    return pending.handler({exchange_outcome::not_sent, 0, {}});
                start(std::move(pending), new_connection, std::move(message),
                      false);
            });
    }

    // Runs the exchange. When the server has closed an idle connection, nothing
    // was sent on it, and the request is tried once on a new connection.
    void start(pending_request pending, connection transport, request message,
               bool is_reused)
    {
        auto retry_message = is_reused ? std::optional(message) : std::nullopt;
        pending.call->set_connection(transport);
        const auto deadline = pending.deadline;
        const auto call = pending.call;
        auto* raw_transport = transport.get();
        raw_transport->exchange_until(
            std::move(message), deadline, call,
            [this, self = shared_from_this(), transport = std::move(transport),
             retry_message = std::move(retry_message),
             pending = std::move(pending)](exchange_result result) mutable {
                if (result.outcome == exchange_outcome::not_sent &&
                    retry_message)
                    return connect(std::move(pending),
                                   std::move(*retry_message));
                if (result.outcome == exchange_outcome::answered)
                    keep(pending.address, std::move(transport));
                // A relay between the hosts may have lost all connections
                // without a reset.
                if (result.outcome == exchange_outcome::timed_out)
                    close_idle(pending.address);
                pending.handler(std::move(result));
            });
    }

    asio::io_context& m_io;
    std::size_t m_max_idle;
    std::mutex m_mutex;
    std::map<core::address, std::vector<connection>> m_idle;
};

} // namespace

std::shared_ptr<client_connection>
client_connection::create(asio::io_context& io, const core::address& address)
{
    return std::make_shared<tcp_client_connection>(io, address);
}

call_handle::call_handle(std::function<void()> abort)
    : m_abort(std::move(abort))
{
}

void call_handle::abort() const
{
    if (m_abort)
        m_abort();
}

std::shared_ptr<client> client::create(asio::io_context& io,
                                       std::size_t max_idle)
{
    return std::make_shared<reusing_client>(io, max_idle);
}

exchange_result send_and_wait(const core::address& address, request message,
                              core::millis timeout)
{
    asio::io_context io;
    exchange_result ended;
    const auto sender = client::create(io);
    sender->send(address, std::move(message), timeout,
                 [&](exchange_result result) {
                     ended = std::move(result);
                     io.stop();
                 });
    io.run();
    return ended;
}

} // namespace plantainward::http
