#include <plantainward/http/client.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using http::exchange_outcome;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Linux sends an unanswered connection request again after 1 s; a call with
// this limit is connected by then and has some time left.
constexpr millis limit{1500};

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
    // With no backlog one connection that isn't accepted keeps out others.
    explicit manual_server(int backlog = 16) : m_acceptor(m_io)
    {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(backlog);
    }

    core::address where() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::optional<tcp::socket> accept(millis wait = patience)
    {
        if (!is_readable(m_acceptor.native_handle(), wait))
            return std::nullopt;
        return m_acceptor.accept();
    }

    // Makes later connections wait until this one is accepted.
    tcp::socket fill_backlog()
    {
        tcp::socket filler(m_io);
        filler.connect(m_acceptor.local_endpoint());
        return filler;
    }

    static void answer(tcp::socket& to)
    {
        std::string request;
        LONGS_EQUAL(read_end::data, read(to, request, patience));
        error_code error;
        asio::write(to,
                    asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                    error);
        CHECK_FALSE(error.failed());
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
                m_end = result.outcome;
                m_took = std::chrono::duration_cast<millis>(
                    core::steady::now() - m_since);
            }
            m_changed.notify_all();
        };
    }

    exchange_outcome wait()
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
    exchange_outcome m_end{exchange_outcome::answered};
    millis m_took{0};
};

http::request question(std::string body = {})
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

    // Has one call answered, so its connection is kept.
    tcp::socket keep_connection(manual_server & server)
    {
        call_watch watch;
        client->send(server.where(), question(), limit, watch.handler());
        auto accepted = server.accept();
        CHECK(accepted.has_value());
        manual_server::answer(*accepted);
        LONGS_EQUAL(exchange_outcome::answered, watch.wait());
        return std::move(*accepted);
    }

    // Keeps the thread of the client busy for a while.
    void hold_up(millis time)
    {
        asio::post(io, [time] { std::this_thread::sleep_for(time); });
    }

    // A call that connects after 1 s and is never answered.
    void check_shared_limit(manual_server & server)
    {
        const auto filler = server.fill_backlog();
        call_watch watch;
        client->send(server.where(), question(), limit, watch.handler());
        std::this_thread::sleep_for(millis(500));
        const auto unused = server.accept();
        auto accepted = server.accept();
        CHECK(accepted.has_value());
        std::string text;
        LONGS_EQUAL(read_end::data, read(*accepted, text, patience));
        LONGS_EQUAL(exchange_outcome::timed_out, watch.wait());
        CHECK(watch.took() >= limit);
        CHECK(watch.took() < limit + tolerance);
        LONGS_EQUAL(read_end::reset, read_all(*accepted, text, patience));
        LONGS_EQUAL(1, watch.count());
    }
};

// Guards against a limit that starts anew once the connection stands.
TEST(client, connecting_and_the_exchange_share_one_limit)
{
    manual_server server(0);
    check_shared_limit(server);
}

// Guards against a limit that starts anew with the second attempt.
TEST(client, the_second_attempt_after_a_kept_connection_shares_the_limit)
{
    manual_server server(0);
    keep_connection(server).close();
    std::this_thread::sleep_for(millis(50));
    check_shared_limit(server);
}

// Guards against a request that leaves late from a process that was held up.
TEST(client, a_call_held_up_past_its_limit_sends_nothing)
{
    manual_server server;
    hold_up(millis(400));
    call_watch watch;
    client->send(server.where(), question(), millis(100), watch.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    std::string text;
    if (auto accepted = server.accept(millis(300)))
        read_all(*accepted, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, watch.count());
}

// Guards against the same on a connection that stands already.
TEST(client, a_call_held_up_past_its_limit_sends_nothing_on_a_kept_connection)
{
    manual_server server;
    auto kept = keep_connection(server);
    hold_up(millis(400));
    call_watch watch;
    client->send(server.where(), question(), millis(100), watch.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    std::string text;
    read_all(kept, text, millis(300));
    if (auto accepted = server.accept(millis(300)))
        read_all(*accepted, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, watch.count());
}

TEST(client, a_call_that_could_not_connect_within_its_limit_sends_nothing_later)
{
    manual_server server(0);
    const auto filler = server.fill_backlog();
    call_watch watch;
    client->send(server.where(), question(), millis(300), watch.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    CHECK(watch.took() < millis(300) + tolerance);
    const auto unused = server.accept();
    std::string text;
    if (auto accepted = server.accept(limit))
        read_all(*accepted, text, limit);
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, watch.count());
}

// Guards against a request that still arrives after the call has timed out.
TEST(client, what_a_server_has_not_read_within_the_limit_is_discarded)
{
    manual_server server;
    call_watch watch;
    client->send(server.where(), question(std::string(large_bytes, 'x')),
                 millis(300), watch.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    LONGS_EQUAL(exchange_outcome::timed_out, watch.wait());
    CHECK(watch.took() < millis(300) + tolerance);
    std::string text;
    LONGS_EQUAL(read_end::reset, read_all(*accepted, text, patience));
    CHECK(text.size() < large_bytes);
    LONGS_EQUAL(1, watch.count());
}

TEST(client, a_call_aborted_while_it_connects_sends_nothing_later)
{
    manual_server server(0);
    const auto filler = server.fill_backlog();
    call_watch watch;
    const auto call =
        client->send(server.where(), question(), patience, watch.handler());
    std::this_thread::sleep_for(millis(100));
    call.abort();
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    CHECK(watch.took() < millis(100) + tolerance);
    const auto unused = server.accept();
    std::string text;
    if (auto accepted = server.accept(limit))
        read_all(*accepted, text, limit);
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, watch.count());
}

TEST(client, a_call_aborted_while_it_waits_for_its_answer_is_reset_and_lost)
{
    manual_server server;
    call_watch watch;
    const auto call =
        client->send(server.where(), question(), patience, watch.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    std::string text;
    LONGS_EQUAL(read_end::data, read(*accepted, text, patience));
    const auto arrived = text;
    call.abort();
    LONGS_EQUAL(exchange_outcome::lost, watch.wait());
    CHECK(watch.took() < patience);
    LONGS_EQUAL(read_end::reset, read_all(*accepted, text, patience));
    STRCMP_EQUAL(arrived.c_str(), text.c_str());
    LONGS_EQUAL(1, watch.count());
}

TEST(client, what_a_server_has_not_read_of_an_aborted_call_is_discarded)
{
    manual_server server;
    call_watch watch;
    const auto call =
        client->send(server.where(), question(std::string(large_bytes, 'x')),
                     patience, watch.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    CHECK(is_readable(accepted->native_handle(), patience));
    call.abort();
    LONGS_EQUAL(exchange_outcome::lost, watch.wait());
    std::string text;
    LONGS_EQUAL(read_end::reset, read_all(*accepted, text, patience));
    CHECK(text.size() < large_bytes);
    LONGS_EQUAL(1, watch.count());
}

TEST(client, an_aborted_call_on_a_kept_connection_makes_no_second_attempt)
{
    manual_server server;
    auto kept = keep_connection(server);
    hold_up(millis(200));
    call_watch watch;
    const auto call =
        client->send(server.where(), question(), patience, watch.handler());
    call.abort();
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    std::string text;
    read_all(kept, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    CHECK_FALSE(server.accept(millis(300)).has_value());
    LONGS_EQUAL(1, watch.count());
}

TEST(client, the_abort_of_a_call_that_is_over_leaves_the_next_one_alone)
{
    manual_server server;
    call_watch first;
    const auto over =
        client->send(server.where(), question(), patience, first.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    manual_server::answer(*accepted);
    LONGS_EQUAL(exchange_outcome::answered, first.wait());
    call_watch second;
    client->send(server.where(), question(), patience, second.handler());
    CHECK(is_readable(accepted->native_handle(), patience));
    over.abort();
    over.abort();
    std::this_thread::sleep_for(millis(100));
    manual_server::answer(*accepted);
    LONGS_EQUAL(exchange_outcome::answered, second.wait());
    LONGS_EQUAL(1, first.count());
    LONGS_EQUAL(1, second.count());
}

TEST(client, the_handler_of_an_aborted_call_runs_once_and_not_inside_the_abort)
{
    manual_server server;
    call_watch watch;
    bool inside = false;
    bool called_inside = false;
    auto call =
        client->send(server.where(), question(), patience,
                     [&, count = watch.handler()](http::exchange_result end) {
                         called_inside = inside;
                         count(std::move(end));
                     });
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    CHECK(is_readable(accepted->native_handle(), patience));
    asio::post(io, [&, call] {
        inside = true;
        call.abort();
        call.abort();
        inside = false;
    });
    LONGS_EQUAL(exchange_outcome::lost, watch.wait());
    call.abort();
    std::this_thread::sleep_for(millis(100));
    CHECK_FALSE(called_inside);
    LONGS_EQUAL(1, watch.count());
}

TEST(client, the_handler_of_a_call_without_time_does_not_run_inside_send)
{
    manual_server server;
    call_watch watch;
    bool called_inside = false;
    asio::post(io, [&] {
        client->send(server.where(), question(), millis(0), watch.handler());
        called_inside = watch.count() != 0;
    });
    LONGS_EQUAL(exchange_outcome::not_sent, watch.wait());
    CHECK_FALSE(called_inside);
    LONGS_EQUAL(1, watch.count());
}

TEST(client, a_handle_of_no_call_aborts_nothing)
{
    const http::call_handle none;
    none.abort();
}
