#include <plantainward/http/client.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using http::exchange_end;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Delay of the timers and threads of a busy machine.
constexpr millis tolerance{500};

// A wait that ends a test which would hang.
constexpr millis patience{10'000};

// More than both kernels' buffers of one connection hold.
constexpr std::size_t large_bytes = std::size_t{64} * 1024 * 1024;

// How a read at the server ended.
enum class read_end : std::uint8_t
{
    data,
    closed,
    reset,
    nothing
};

bool is_readable(int socket, millis wait)
{
    pollfd one{socket, POLLIN, 0};
    return ::poll(&one, 1, static_cast<int>(wait.count())) == 1;
}

read_end read(tcp::socket& from, std::string& into, millis wait)
{
    if (!is_readable(from.native_handle(), wait))
        return read_end::nothing;
    char buffer[65'536];
    error_code error;
    const auto size = from.read_some(asio::buffer(buffer), error);
    into.append(buffer, size);
    if (error == asio::error::eof)
        return read_end::closed;
    return error ? read_end::reset : read_end::data;
}

// Reads until the connection ends or nothing comes for a while.
read_end read_all(tcp::socket& from, std::string& into, millis wait)
{
    auto end = read_end::data;
    while (end == read_end::data)
        end = read(from, into, wait);
    return end;
}

// A server that accepts, reads and answers only when it is told to.
class manual_server
{
public:
    manual_server() : m_acceptor(m_io)
    {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen();
    }

    core::address where() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::optional<tcp::socket> accept()
    {
        if (!is_readable(m_acceptor.native_handle(), patience))
            return std::nullopt;
        return m_acceptor.accept();
    }

private:
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
};

// Counts the ends of one call and keeps the first.
class call_watch
{
public:
    http::exchange_handler handler()
    {
        return [this](const http::exchange_result& result) {
            const std::lock_guard lock(m_mutex);
            if (m_count++ == 0)
            {
                m_end = result.end;
                m_took = std::chrono::duration_cast<millis>(
                    core::steady::now() - m_since);
            }
            m_changed.notify_all();
        };
    }

    exchange_end wait()
    {
        std::unique_lock lock(m_mutex);
        CHECK(m_changed.wait_for(lock, patience, [this] { return m_count; }));
        return m_end;
    }

    millis took()
    {
        const std::lock_guard lock(m_mutex);
        return m_took;
    }

    int count()
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    core::instant m_since{core::steady::now()};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_count{0};
    exchange_end m_end{exchange_end::answered};
    millis m_took{0};
};

http::request question(std::string body)
{
    return {"POST", "/question", {}, std::move(body)};
}

} // namespace

TEST_GROUP(client)
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::shared_ptr<http::client> client = http::client::create(io);
    std::thread thread{[this] {
        io.run();
    }};

    void teardown() override
    {
        io.stop();
        thread.join();
    }
};

// Guards against a request that still arrives after the call has timed out.
TEST(client, what_a_server_has_not_read_within_the_limit_is_discarded)
{
    manual_server server;
    call_watch watch;
    client->send(server.where(), question(std::string(large_bytes, 'x')),
                 millis(300), watch.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    LONGS_EQUAL(exchange_end::timed_out, watch.wait());
    CHECK(watch.took() < millis(300) + tolerance);
    std::string text;
    LONGS_EQUAL(read_end::reset, read_all(*accepted, text, patience));
    CHECK(text.size() < large_bytes);
    LONGS_EQUAL(1, watch.count());
}
