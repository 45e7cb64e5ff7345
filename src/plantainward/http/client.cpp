#include <plantainward/http/client.hpp>

#include <plantainward/core/boot_clock.hpp>

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

constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

class tcp_client_connection;

// What a call and its handle share.
class running_call
{
public:
    // Tells which connection works for the call from now on.
    void use(const std::shared_ptr<tcp_client_connection>& connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connection = connection;
    }

    bool is_aborted() const
    {
        const std::lock_guard lock(m_mutex);
        return m_aborted;
    }

    static void abort(const std::shared_ptr<running_call>& one);

private:
    mutable std::mutex m_mutex;
    std::weak_ptr<tcp_client_connection> m_connection;
    bool m_aborted{false};
};

using call_pointer = std::shared_ptr<running_call>;

class tcp_client_connection final : public client_connection
{
public:
    tcp_client_connection(asio::io_context& io, const core::address& where)
        : m_stream(asio::make_strand(io)), m_where(where)
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

    // Closes the connection if it still works for this call.
    void abort(const call_pointer& call)
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this(), call] {
                           if (m_call == call)
                               shut();
                       });
    }

    void close() override
    {
        asio::dispatch(m_stream.get_executor(),
                       [this, self = shared_from_this()] { shut(); });
    }

private:
    bool is_aborted() const { return m_call && m_call->is_aborted(); }

    // The stream's own timer fires late in a process that was held up, so the
    // deadline is looked at again before each step that sends.
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
        const auto ip = asio::ip::make_address(m_where.ip, bad_address);
        if (bad_address || is_aborted() || !start_timer(deadline))
            return asio::post(
                m_stream.get_executor(),
                [self = shared_from_this(), handler = std::move(handler)] {
                    handler(false);
                });
        m_stream.async_connect(
            asio::ip::tcp::endpoint(ip, m_where.port),
            [this, self = shared_from_this(),
             handler = std::move(handler)](error_code error) {
                if (!error)
                {
                    error_code ignored;
                    m_stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                                 ignored);
                }
                m_open = !error;
                handler(m_open);
            });
    }

    void start_exchange(request message, core::boot_instant deadline,
                        exchange_handler handler)
    {
        if (m_open && is_closed_by_server())
            shut();
        if (!m_open)
            return handler({exchange_outcome::not_sent, 0, {}});
        if (is_aborted() || !start_timer(deadline))
        {
            shut();
            return handler({exchange_outcome::not_sent, 0, {}});
        }
        m_handler = std::move(handler);
        m_request = {};
        m_request.version(11);
        m_request.method_string(message.method);
        m_request.target(message.target);
        m_request.set(beast_http::field::host, m_where.ip);
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

    // A request that was given up must not arrive later: what a broken path
    // still holds of it is discarded with a reset. The stream closes its socket
    // itself when the time is up, so this is set before anything is written.
    void set_reset_on_close(bool on)
    {
        error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(on, 0), ignored);
    }

    // What is written on a connection that the server has closed may be lost
    // without a trace, so the end of the stream is looked for first.
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
        m_parser->body_limit(max_answer_bytes);
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
            shut();
        else
            m_stream.expires_never();
        exchange_result result{exchange_outcome::answered,
                               static_cast<int>(message.result_int()),
                               std::move(message.body())};
        for (const auto& one : message)
            result.fields.emplace_back(one.name_string(), one.value());
        finish(std::move(result));
    }

    void finish_failed(error_code error, bool may_have_arrived)
    {
        shut();
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

    void shut()
    {
        m_open = false;
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    beast::tcp_stream m_stream;
    core::address m_where;
    beast_http::request<beast_http::string_body> m_request;
    std::optional<beast_http::response_parser<beast_http::string_body>>
        m_parser;
    beast::flat_buffer m_buffer;
    exchange_handler m_handler;
    call_pointer m_call;
    bool m_open{false};
};

void running_call::abort(const std::shared_ptr<running_call>& one)
{
    std::shared_ptr<tcp_client_connection> connection;
    {
        const std::lock_guard lock(one->m_mutex);
        one->m_aborted = true;
        connection = one->m_connection.lock();
    }
    if (connection)
        connection->abort(one);
}

class keeping_client final : public client
{
public:
    keeping_client(asio::io_context& io, std::size_t most_kept)
        : m_io(io), m_most_kept(most_kept)
    {
    }

    call_handle send(const core::address& where, request message,
                     core::millis timeout, exchange_handler handler) override
    {
        const auto deadline = core::boot_clock::now() + timeout;
        const auto call = std::make_shared<running_call>();
        if (auto kept = take(where))
            start({where, deadline, call, std::move(handler)}, std::move(kept),
                  std::move(message), true);
        else
            connect({where, deadline, call, std::move(handler)},
                    std::move(message));
        return call_handle([call] { running_call::abort(call); });
    }

private:
    using connection = std::shared_ptr<tcp_client_connection>;

    struct order
    {
        core::address where;
        core::boot_instant deadline;
        call_pointer call;
        exchange_handler handler;
    };

    connection take(const core::address& where)
    {
        const std::lock_guard lock(m_mutex);
        auto& kept = m_kept[where];
        if (kept.empty())
            return {};
        auto one = std::move(kept.back());
        kept.pop_back();
        return one;
    }

    void keep(const core::address& where, connection one)
    {
        const std::lock_guard lock(m_mutex);
        auto& kept = m_kept[where];
        if (kept.size() < m_most_kept)
            return kept.push_back(std::move(one));
        one->close();
    }

    void connect(order one, request message)
    {
        auto made = std::make_shared<tcp_client_connection>(m_io, one.where);
        one.call->use(made);
        const auto deadline = one.deadline;
        const auto call = one.call;
        made->open_until(
            deadline, call,
            [this, self = shared_from_this(), made, one = std::move(one),
             message = std::move(message)](bool ok) mutable {
                if (!ok)
                    return one.handler({exchange_outcome::not_sent, 0, {}});
                start(std::move(one), made, std::move(message), false);
            });
    }

    // A kept connection may have been closed by the server meanwhile; nothing
    // was sent then and a new connection is tried once.
    void start(order one, connection over, request message, bool kept)
    {
        auto copy = kept ? std::optional(message) : std::nullopt;
        one.call->use(over);
        const auto deadline = one.deadline;
        const auto call = one.call;
        auto* raw = over.get();
        raw->exchange_until(
            std::move(message), deadline, call,
            [this, self = shared_from_this(), over = std::move(over),
             copy = std::move(copy),
             one = std::move(one)](exchange_result result) mutable {
                if (result.outcome == exchange_outcome::not_sent && copy)
                    return connect(std::move(one), std::move(*copy));
                if (result.outcome == exchange_outcome::answered)
                    keep(one.where, std::move(over));
                one.handler(std::move(result));
            });
    }

    asio::io_context& m_io;
    std::size_t m_most_kept;
    std::mutex m_mutex;
    std::map<core::address, std::vector<connection>> m_kept;
};

} // namespace

std::shared_ptr<client_connection>
client_connection::create(asio::io_context& io, const core::address& where)
{
    return std::make_shared<tcp_client_connection>(io, where);
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
                                       std::size_t most_kept)
{
    return std::make_shared<keeping_client>(io, most_kept);
}

exchange_result send_and_wait(const core::address& where, request message,
                              core::millis timeout)
{
    asio::io_context io;
    exchange_result end;
    const auto sender = client::create(io);
    sender->send(where, std::move(message), timeout,
                 [&](exchange_result result) {
                     end = std::move(result);
                     io.stop();
                 });
    io.run();
    return end;
}

} // namespace plantainward::http
