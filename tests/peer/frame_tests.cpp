#include <plantainward/peer/frame.hpp>
#include <plantainward/peer/payload.hpp>
#include <plantainward/peer/peer_client.hpp>
#include <plantainward/peer/peer_server.hpp>
#include <support/loopback.hpp>
#include <support/raw_client.hpp>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using peer::call_outcome;
using peer::frame;
using peer::frame_kind;

namespace
{

const core::address server_address{support::loopback_ip(), 17802};

} // namespace

TEST_GROUP(frame){};

TEST(frame, an_encoded_frame_is_decoded_unchanged)
{
    const auto bytes = peer::encode({frame_kind::reply, 42, "payload"});
    const auto length =
        peer::decode_header(bytes.substr(0, peer::frame_header_bytes));
    CHECK(length == bytes.size() - peer::frame_header_bytes);
    const auto read = peer::decode_body(bytes.substr(peer::frame_header_bytes));
    LONGS_EQUAL(42, read->number);
    STRCMP_EQUAL("payload", read->payload.c_str());
}

TEST(frame, another_version_or_a_length_over_the_limit_is_refused)
{
    auto bytes = peer::encode({frame_kind::reply, 42, "payload"});
    bytes[4] = 9;
    CHECK_FALSE(peer::decode_header(bytes).has_value());
    CHECK_FALSE(
        peer::decode_header(std::string(4, '\xff') + '\x01').has_value());
    CHECK_FALSE(peer::decode_body("short").has_value());
}

TEST(frame, requests_and_replies_are_decoded_unchanged)
{
    coordinator::caller_request request;
    request.service = "s";
    request.max_age = core::millis(7);
    request.time_left = core::millis(9);
    request.statements = {{upstream::verb::add, "k", "", 3}};
    const auto read = peer::decode_request(peer::encode(request));
    LONGS_EQUAL(7, read->max_age.count());
    LONGS_EQUAL(9, read->time_left.count());
    CHECK(read->statements == request.statements);
    const auto reply = coordinator::failure(core::error_kind::overloaded, "x");
    CHECK(peer::decode_reply(peer::encode(reply))->error == reply.error);
    CHECK_FALSE(peer::decode_request("junk").has_value());
}

TEST_GROUP(peer_link)
{
    boost::asio::io_context io;
    std::optional<peer::peer_server> server;
    std::thread thread;
    std::mutex mutex;
    std::vector<std::pair<std::string, peer::frame_responder>>
        pending_responders;
    std::atomic<int> dropped_links{0};
    peer::peer_client client{io};

    void setup() override
    {
        server = peer::peer_server::listen(
            io, server_address,
            [this](frame_kind, const std::string& payload,
                   const peer::frame_responder& respond) {
                const std::lock_guard lock(mutex);
                if (payload == "answer")
                    return respond(frame_kind::reply, payload);
                pending_responders.emplace_back(payload, respond);
            },
            [this] { ++dropped_links; });
        CHECK(server.has_value());
        thread = std::thread([this] { io.run(); });
    }

    void teardown() override
    {
        client.close();
        server.reset();
        io.stop();
        thread.join();
        pending_responders.clear();
    }

    bool wait_for(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 500; ++i)
        {
            {
                const std::lock_guard lock(mutex);
                if (condition())
                    return true;
            }
            std::this_thread::sleep_for(core::millis(5));
        }
        return false;
    }
};

TEST(peer_link, answers_in_any_order_reach_their_own_calls)
{
    std::map<std::string, std::string> answers;
    for (const char* text : {"one", "two", "three"})
        client.call(server_address, frame_kind::request, text,
                    core::millis(2000),
                    [&, text](call_outcome, const frame& answer) {
                        const std::lock_guard lock(mutex);
                        answers[text] = answer.payload;
                    });
    CHECK(wait_for([&] { return pending_responders.size() == 3; }));
    for (auto it = pending_responders.rbegin(); it != pending_responders.rend();
         ++it)
    {
        it->second(frame_kind::reply, "for " + it->first);
        // A second answer to the same call is dropped.
        it->second(frame_kind::reply, "again " + it->first);
    }
    CHECK(wait_for([&] { return answers.size() == 3; }));
    STRCMP_EQUAL("for one", answers["one"].c_str());
    STRCMP_EQUAL("for three", answers["three"].c_str());
}

TEST(peer_link, an_answer_to_a_call_that_timed_out_is_dropped)
{
    std::vector<std::pair<call_outcome, std::string>> ended;
    const auto record = [&](call_outcome outcome, const frame& answer) {
        const std::lock_guard lock(mutex);
        ended.emplace_back(outcome, answer.payload);
    };
    client.call(server_address, frame_kind::request, "slow", core::millis(50),
                record);
    CHECK(wait_for([&] { return ended.size() == 1; }));
    CHECK(ended[0].first == call_outcome::lost);
    pending_responders[0].second(frame_kind::reply, "too late");
    client.call(server_address, frame_kind::request, "answer",
                core::millis(2000), record);
    CHECK(wait_for([&] { return ended.size() == 2; }));
    STRCMP_EQUAL("answer", ended[1].second.c_str());
}

TEST(peer_link, a_call_to_a_closed_port_ends_as_not_sent)
{
    std::optional<call_outcome> received;
    client.call({support::loopback_ip(), 17899}, frame_kind::request, "x",
                core::millis(1000), [&](call_outcome outcome, const frame&) {
                    const std::lock_guard lock(mutex);
                    received = outcome;
                });
    CHECK(wait_for([&] { return received.has_value(); }));
    CHECK(received == call_outcome::not_sent);
}

TEST(peer_link, a_malformed_frame_is_counted_and_closes_the_link)
{
    support::raw_client raw(server_address);
    raw.send(std::string("\x01\x00\x00\x00\x09", 5));
    raw.read_to_end();
    CHECK(wait_for([&] { return dropped_links == 1; }));
}
