#include <support/loopback.hpp>
#include <support/raw_client.hpp>

#include <plantainward/http/client.hpp>
#include <plantainward/http/server.hpp>

#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using support::raw_client;

namespace
{

const core::address server_address{support::loopback_ip(), 17801};

struct bad_input
{
    const char* name;
    const char* text;
    int status;
};

const std::vector<bad_input> bad_inputs{
    {"garbage in place of a request line", "garbage\r\n\r\n", 400},
    {"a negative length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
     400},
    {"two lengths",
     "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     400},
    {"a length with chunks",
     "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     400},
    {"a malformed header", "GET /a HTTP/1.1\r\nno colon\r\n\r\n", 400},
    {"an unknown version", "GET /a HTTP/9.9\r\n\r\n", 400},
    {"a body over the limit",
     "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413},
};

} // namespace

TEST_GROUP(server)
{
    boost::asio::io_context io;
    std::optional<http::server> server;
    std::thread thread;
    std::vector<http::responder> pending_responders;
    std::mutex mutex;

    void setup() override
    {
        http::server_limits limits;
        limits.max_body_bytes = 4096;
        limits.max_header_bytes = 2048;
        limits.max_pipelined = 8;
        limits.request_timeout = core::millis(300);
        server = http::server::listen(
            server_address, limits, io,
            [this](http::connection_id, const http::request& message,
                   http::responder respond) {
                if (message.target == "/hold")
                {
                    const std::lock_guard lock(mutex);
                    pending_responders.push_back(std::move(respond));
                    return;
                }
                respond({200, message.target + message.body});
            });
        CHECK(server.has_value());
        thread = std::thread([this] { io.run(); });
    }

    void teardown() override
    {
        server.reset();
        io.stop();
        thread.join();
        pending_responders.clear();
    }
};

TEST(server, pipelined_requests_are_answered_in_order)
{
    raw_client client(server_address);
    client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 "
                "HTTP/1.1\r\n\r\n");
    const auto text = client.read_until("/3");
    CHECK(text.find("/1") < text.find("/2"));
    CHECK(text.find("/2") < text.find("/3"));
}

TEST(server, a_delayed_answer_is_still_sent_in_order)
{
    raw_client client(server_address);
    client.send("GET /hold HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(core::millis(50));
    {
        const std::lock_guard lock(mutex);
        LONGS_EQUAL(1, pending_responders.size());
        pending_responders.front()({200, "held"});
    }
    const auto text = client.read_until("/next");
    CHECK(text.find("held") < text.find("/next"));
}

TEST(server, an_answer_to_a_closed_connection_reaches_no_other_caller)
{
    for (int i = 0; i < 20; ++i)
    {
        {
            raw_client closed(server_address);
            closed.send("GET /hold HTTP/1.1\r\n\r\n");
            std::this_thread::sleep_for(core::millis(5));
        }
        std::this_thread::sleep_for(core::millis(5));
        raw_client other(server_address);
        {
            const std::lock_guard lock(mutex);
            for (const auto& respond : pending_responders)
                respond({200, "not yours"});
            pending_responders.clear();
        }
        other.send("GET /mine HTTP/1.1\r\n\r\n");
        const auto text = other.read_until("/mine");
        CHECK(text.find("not yours") == std::string::npos);
    }
}

TEST(server, a_malformed_request_gets_an_error_status_and_closes_the_connection)
{
    for (const auto& row : bad_inputs)
    {
        raw_client client(server_address);
        client.send(row.text);
        const auto text = client.read_to_end();
        CHECK_TEXT(text.starts_with("HTTP/1.1 " + std::to_string(row.status)),
                   row.name);
        CHECK_TEXT(text.find("Connection: close") != std::string::npos,
                   row.name);
    }
}

TEST(server, a_header_over_the_limit_gets_431)
{
    raw_client client(server_address);
    client.send("GET /a HTTP/1.1\r\nLong: " + std::string(5000, 'x'));
    CHECK(client.read_to_end().starts_with("HTTP/1.1 431"));
}

TEST(server, a_body_that_never_completes_gets_408)
{
    raw_client client(server_address);
    client.send("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(client.read_to_end().starts_with("HTTP/1.1 408"));
}

TEST(server, a_header_that_never_completes_gets_408)
{
    raw_client client(server_address);
    client.send("GET /a HTTP/1.1\r\nHost:");
    CHECK(client.read_to_end().starts_with("HTTP/1.1 408"));
}

TEST(server, the_connection_header_tells_whether_the_connection_stays_open)
{
    raw_client kept(server_address);
    kept.send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(kept.read_until("/a").find("keep-alive") != std::string::npos);
    kept.send("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(kept.read_to_end().find("Connection: close") != std::string::npos);
}

TEST(server, too_many_pipelined_requests_end_the_connection)
{
    raw_client client(server_address);
    std::string many;
    for (int i = 0; i < 20; ++i)
        many += "GET /hold HTTP/1.1\r\n\r\n";
    client.send(many);
    std::this_thread::sleep_for(core::millis(100));
    {
        const std::lock_guard lock(mutex);
        LONGS_EQUAL(8, pending_responders.size());
        for (const auto& respond : pending_responders)
            respond({200, "held"});
    }
    const auto text = client.read_to_end();
    CHECK(text.find("HTTP/1.1 503") != std::string::npos);
}

TEST(server, a_request_split_into_single_bytes_is_read)
{
    raw_client client(server_address);
    for (const char c :
         std::string("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"))
        client.send(std::string(1, c));
    CHECK(client.read_until("/axyz").starts_with("HTTP/1.1 200"));
}

TEST(server, requests_are_still_served_after_random_bytes)
{
    std::mt19937_64 random(7);
    for (int i = 0; i < 200; ++i)
    {
        raw_client client(server_address);
        std::string bytes = i % 2 == 0 ? "GET /a HTTP/1.1\r\n" : "";
        for (int k = 0; k < 200; ++k)
            bytes += static_cast<char>(random());
        client.send(bytes + "\r\n\r\n");
    }
    raw_client client(server_address);
    client.send("GET /alive HTTP/1.1\r\n\r\n");
    CHECK(client.read_until("/alive").starts_with("HTTP/1.1 200"));
}

TEST(server, a_large_answer_reaches_a_slow_reader_whole)
{
    raw_client client(server_address);
    client.send("GET /hold HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(core::millis(50));
    const std::string body(8'000'000, 'x');
    {
        const std::lock_guard lock(mutex);
        pending_responders.front()({200, body + "end"});
    }
    std::this_thread::sleep_for(core::millis(100));
    const auto text = client.read_until("end");
    CHECK(text.size() > body.size());
}

TEST(server, a_client_without_an_answer_gets_the_outcome_of_its_exchange)
{
    http::request message{"GET", "/hold", {}, {}};
    const auto unanswered =
        http::send_and_wait(server_address, message, core::millis(100));
    CHECK(unanswered.outcome == http::exchange_outcome::timed_out);
    const auto unconnected = http::send_and_wait(
        {support::loopback_ip(), 17899}, message, core::millis(100));
    CHECK(unconnected.outcome == http::exchange_outcome::not_sent);
}
