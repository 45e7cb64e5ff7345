#include <plantainward/http/client.hpp>

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
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

// Linux repeats an unanswered connection request after 1 s; a call with this
// timeout connects at the repetition and has some time left.
constexpr millis call_timeout{1500};

// Allowance for late timers and threads on a busy machine.
constexpr millis tolerance{500};

// Longest wait for an event that must come; ends a test that would hang.
constexpr millis hang_timeout{10'000};

// More than the socket buffers of both ends of a connection hold.
constexpr std::size_t large_body_bytes = std::size_t{64} * 1024 * 1024;

// The outcome of a read at the server.
enum class read_outcome : std::uint8_t
{
    data,
    closed,
    reset,
    timed_out
};

bool is_readable(int socket, millis wait)
{
    pollfd polled{socket, POLLIN, 0};
    return ::poll(&polled, 1, static_cast<int>(wait.count())) == 1;
}

read_outcome read(tcp::socket& from, std::string& into, millis wait)
{
    if (!is_readable(from.native_handle(), wait))
        return read_outcome::timed_out;
    char buffer[65'536];
    error_code error;
    const auto size = from.read_some(asio::buffer(buffer), error);
    into.append(buffer, size);
    if (error == asio::error::eof)
        return read_outcome::closed;
    return error ? read_outcome::reset : read_outcome::data;
}

// Reads until the connection ends or nothing has come for the given time.
read_outcome read_all(tcp::socket& from, std::string& into, millis wait)
{
    auto outcome = read_outcome::data;
    while (outcome == read_outcome::data)
        outcome = read(from, into, wait);
    return outcome;
}

// A server that accepts, reads and answers only when the test calls for it.
class manual_server
{
public:
    // With a backlog of 0, one connection that isn't accepted blocks all later
    // ones.
    explicit manual_server(int backlog = 16) : m_acceptor(m_io)
    {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(backlog);
    }

    core::address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::optional<tcp::socket> accept(millis wait = hang_timeout)
    {
        if (!is_readable(m_acceptor.native_handle(), wait))
            return std::nullopt;
        return m_acceptor.accept();
    }

    // Connects to the server, so that later connections wait until this one is
    // accepted.
    tcp::socket fill_backlog()
    {
        tcp::socket filler(m_io);
        filler.connect(m_acceptor.local_endpoint());
        return filler;
    }

    static void answer(tcp::socket& to)
    {
        std::string request;
        LONGS_EQUAL(read_outcome::data, read(to, request, hang_timeout));
        answer_without_reading(to);
    }

    static void answer_without_reading(tcp::socket& to)
    {
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

// Counts the calls of one call's handler and records the first outcome.
class outcome_recorder
{
public:
    http::exchange_handler handler()
    {
        return [this](const http::exchange_result& result) {
            const std::lock_guard lock(m_mutex);
            if (m_count++ == 0)
            {
                m_outcome = result.outcome;
                m_elapsed = std::chrono::duration_cast<millis>(
                    core::steady::now() - m_started_at);
            }
            m_recorded.notify_all();
        };
    }

    exchange_outcome wait()
    {
        std::unique_lock lock(m_mutex);
        CHECK(m_recorded.wait_for(lock, hang_timeout,
                                  [this] { return m_count; }));
        return m_outcome;
    }

    millis elapsed()
    {
        const std::lock_guard lock(m_mutex);
        return m_elapsed;
    }

    int count()
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    core::instant m_started_at{core::steady::now()};
    std::mutex m_mutex;
    std::condition_variable m_recorded;
    int m_count{0};
    exchange_outcome m_outcome{exchange_outcome::answered};
    millis m_elapsed{0};
};

// Whether a timer of the kernel's keep-alive probes runs for the client's end
// of a connection to the port.
bool has_keep_alive_timer(std::uint16_t server_port)
{
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    while (std::getline(connections, line))
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        fields >> number >> local >> remote >> state >> queues >> timer;
        const auto colon = remote.find(':');
        if (colon == std::string::npos || state != "01" ||
            std::stoul(remote.substr(colon + 1), nullptr, 16) != server_port)
            continue;
        return timer.starts_with("02:");
    }
    return false;
}

http::request make_request(std::string body = {})
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

    // Answers one call, so that the client keeps its connection.
    tcp::socket keep_connection(manual_server & server)
    {
        outcome_recorder recorder;
        client->send(server.address(), make_request(), call_timeout,
                     recorder.handler());
        auto accepted = server.accept();
        CHECK(accepted.has_value());
        manual_server::answer(*accepted);
        LONGS_EQUAL(exchange_outcome::answered, recorder.wait());
        return std::move(*accepted);
    }

    // Blocks the only thread of the client's I/O context.
    void block_io_thread(millis time)
    {
        asio::post(io, [time] { std::this_thread::sleep_for(time); });
    }

    // Makes a call that connects after 1 s and is never answered; checks that
    // it ends at its timeout.
    void check_shared_timeout(manual_server & server)
    {
        const auto filler = server.fill_backlog();
        outcome_recorder recorder;
        client->send(server.address(), make_request(), call_timeout,
                     recorder.handler());
        std::this_thread::sleep_for(millis(500));
        const auto unused = server.accept();
        auto accepted = server.accept();
        CHECK(accepted.has_value());
        std::string text;
        LONGS_EQUAL(read_outcome::data, read(*accepted, text, hang_timeout));
        LONGS_EQUAL(exchange_outcome::timed_out, recorder.wait());
        CHECK(recorder.elapsed() >= call_timeout);
        CHECK(recorder.elapsed() < call_timeout + tolerance);
        LONGS_EQUAL(read_outcome::reset,
                    read_all(*accepted, text, hang_timeout));
        LONGS_EQUAL(1, recorder.count());
    }
};

// Guards against a timeout that starts again when the connection is
// established.
TEST(client, connecting_and_the_exchange_share_one_timeout)
{
    manual_server server(0);
    check_shared_timeout(server);
}

// Guards against a timeout that starts again with the second attempt.
TEST(client,
     the_second_attempt_after_a_closed_idle_connection_shares_the_timeout)
{
    manual_server server(0);
    keep_connection(server).close();
    std::this_thread::sleep_for(millis(50));
    check_shared_timeout(server);
}

// Guards against a request that is sent after its timeout because the I/O
// thread was blocked.
TEST(client, a_call_blocked_past_its_timeout_sends_nothing)
{
    manual_server server;
    block_io_thread(millis(400));
    outcome_recorder recorder;
    client->send(server.address(), make_request(), millis(100),
                 recorder.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    std::string text;
    if (auto accepted = server.accept(millis(300)))
        read_all(*accepted, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, recorder.count());
}

// Guards against the same on a connection that is already established.
TEST(client,
     a_call_blocked_past_its_timeout_sends_nothing_on_an_idle_connection)
{
    manual_server server;
    auto kept = keep_connection(server);
    block_io_thread(millis(400));
    outcome_recorder recorder;
    client->send(server.address(), make_request(), millis(100),
                 recorder.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    std::string text;
    read_all(kept, text, millis(300));
    if (auto accepted = server.accept(millis(300)))
        read_all(*accepted, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, recorder.count());
}

TEST(client,
     a_call_that_could_not_connect_within_its_timeout_sends_nothing_later)
{
    manual_server server(0);
    const auto filler = server.fill_backlog();
    outcome_recorder recorder;
    client->send(server.address(), make_request(), millis(300),
                 recorder.handler());
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    CHECK(recorder.elapsed() < millis(300) + tolerance);
    const auto unused = server.accept();
    std::string text;
    if (auto accepted = server.accept(call_timeout))
        read_all(*accepted, text, call_timeout);
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, recorder.count());
}

// Guards against a request that arrives after its call has timed out: the bytes
// that are still in the socket buffers must be discarded.
TEST(client, bytes_that_a_server_has_not_read_within_the_timeout_are_discarded)
{
    manual_server server;
    outcome_recorder recorder;
    client->send(server.address(),
                 make_request(std::string(large_body_bytes, 'x')), millis(300),
                 recorder.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    LONGS_EQUAL(exchange_outcome::timed_out, recorder.wait());
    CHECK(recorder.elapsed() < millis(300) + tolerance);
    std::string text;
    LONGS_EQUAL(read_outcome::reset, read_all(*accepted, text, hang_timeout));
    CHECK(text.size() < large_body_bytes);
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, a_call_aborted_while_it_connects_sends_nothing_later)
{
    manual_server server(0);
    const auto filler = server.fill_backlog();
    outcome_recorder recorder;
    const auto call = client->send(server.address(), make_request(),
                                   hang_timeout, recorder.handler());
    std::this_thread::sleep_for(millis(100));
    call.abort();
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    CHECK(recorder.elapsed() < millis(100) + tolerance);
    const auto unused = server.accept();
    std::string text;
    if (auto accepted = server.accept(call_timeout))
        read_all(*accepted, text, call_timeout);
    STRCMP_EQUAL("", text.c_str());
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, a_call_aborted_while_it_waits_for_its_answer_is_reset_and_lost)
{
    manual_server server;
    outcome_recorder recorder;
    const auto call = client->send(server.address(), make_request(),
                                   hang_timeout, recorder.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    std::string text;
    LONGS_EQUAL(read_outcome::data, read(*accepted, text, hang_timeout));
    const auto arrived = text;
    call.abort();
    LONGS_EQUAL(exchange_outcome::lost, recorder.wait());
    CHECK(recorder.elapsed() < hang_timeout);
    LONGS_EQUAL(read_outcome::reset, read_all(*accepted, text, hang_timeout));
    STRCMP_EQUAL(arrived.c_str(), text.c_str());
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, bytes_of_an_aborted_call_that_a_server_has_not_read_are_discarded)
{
    manual_server server;
    outcome_recorder recorder;
    const auto call = client->send(
        server.address(), make_request(std::string(large_body_bytes, 'x')),
        hang_timeout, recorder.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    CHECK(is_readable(accepted->native_handle(), hang_timeout));
    call.abort();
    LONGS_EQUAL(exchange_outcome::lost, recorder.wait());
    std::string text;
    LONGS_EQUAL(read_outcome::reset, read_all(*accepted, text, hang_timeout));
    CHECK(text.size() < large_body_bytes);
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, an_aborted_call_on_an_idle_connection_makes_no_second_attempt)
{
    manual_server server;
    auto kept = keep_connection(server);
    block_io_thread(millis(200));
    outcome_recorder recorder;
    const auto call = client->send(server.address(), make_request(),
                                   hang_timeout, recorder.handler());
    call.abort();
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    std::string text;
    read_all(kept, text, millis(300));
    STRCMP_EQUAL("", text.c_str());
    CHECK_FALSE(server.accept(millis(300)).has_value());
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, aborting_a_call_that_has_ended_does_not_affect_the_next_one)
{
    manual_server server;
    outcome_recorder first;
    const auto ended = client->send(server.address(), make_request(),
                                    hang_timeout, first.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    manual_server::answer(*accepted);
    LONGS_EQUAL(exchange_outcome::answered, first.wait());
    outcome_recorder second;
    client->send(server.address(), make_request(), hang_timeout,
                 second.handler());
    CHECK(is_readable(accepted->native_handle(), hang_timeout));
    ended.abort();
    ended.abort();
    std::this_thread::sleep_for(millis(100));
    manual_server::answer(*accepted);
    LONGS_EQUAL(exchange_outcome::answered, second.wait());
    LONGS_EQUAL(1, first.count());
    LONGS_EQUAL(1, second.count());
}

TEST(client, the_handler_of_an_aborted_call_runs_once_and_not_within_abort)
{
    manual_server server;
    outcome_recorder recorder;
    bool is_in_abort = false;
    bool called_in_abort = false;
    auto call = client->send(
        server.address(), make_request(), hang_timeout,
        [&, count = recorder.handler()](http::exchange_result result) {
            called_in_abort = is_in_abort;
            count(std::move(result));
        });
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    CHECK(is_readable(accepted->native_handle(), hang_timeout));
    asio::post(io, [&, call] {
        is_in_abort = true;
        call.abort();
        call.abort();
        is_in_abort = false;
    });
    LONGS_EQUAL(exchange_outcome::lost, recorder.wait());
    call.abort();
    std::this_thread::sleep_for(millis(100));
    CHECK_FALSE(called_in_abort);
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, the_handler_of_a_call_with_a_timeout_of_0_does_not_run_within_send)
{
    manual_server server;
    outcome_recorder recorder;
    bool called_in_send = false;
    asio::post(io, [&] {
        client->send(server.address(), make_request(), millis(0),
                     recorder.handler());
        called_in_send = recorder.count() != 0;
    });
    LONGS_EQUAL(exchange_outcome::not_sent, recorder.wait());
    CHECK_FALSE(called_in_send);
    LONGS_EQUAL(1, recorder.count());
}

TEST(client, the_abort_of_a_handle_without_a_call_does_nothing)
{
    const http::call_handle none;
    none.abort();
}

TEST(client, a_connection_whose_response_takes_long_is_probed)
{
    // Guards against feeds of the table service that waited 13 s on connections
    // which had gone silent without a reset, so that no host learned of a
    // leaving database or a changed route.
    manual_server server;
    outcome_recorder recorder;
    client->send(server.address(), make_request(), hang_timeout,
                 recorder.handler());
    auto accepted = server.accept();
    CHECK(accepted.has_value());
    std::string request;
    LONGS_EQUAL(read_outcome::data, read(*accepted, request, hang_timeout));
    std::this_thread::sleep_for(millis(300));
    CHECK(has_keep_alive_timer(server.address().port));
    manual_server::answer_without_reading(*accepted);
    LONGS_EQUAL(exchange_outcome::answered, recorder.wait());
}
