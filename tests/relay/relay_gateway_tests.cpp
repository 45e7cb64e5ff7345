#include <plantainward/relay/relay_gateway.hpp>
#include <plantainward/relay/relay_message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

using namespace plantainward;
using namespace plantainward::relay;
using core::millis;

namespace
{

pooling::forwarded_work sample_work()
{
    pooling::forwarded_work work;
    work.statement = {
        sql::statement_kind::execute, "q1", "EXECUTE s a", "s", "a", false};
    work.route.database = "cards";
    work.route.service = "ledger";
    work.route.consistency = routes::read_consistency::session;
    work.route.timeout = millis(700);
    work.route.max_age = millis(1500);
    work.routing_version = 12;
    work.values = {{"x", "1"}};
    work.prepared = pooling::prepared_statement{true, "shape"};
    work.part = pooling::transaction_part::first;
    work.read_only = true;
    work.transaction_age = millis(5);
    work.time_left = millis(300);
    work.own_commit = upstream::log_point{3, 99};
    work.own_commit_age = millis(70);
    work.start_within = millis(900);
    return work;
}

std::uint16_t free_port(boost::asio::io_context& io)
{
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

/// Two gateways on the loopback address and what their callbacks received.
struct gateway_pair
{
    gateway_pair()
    {
        const auto ignore = [] {
        };
        relay_callbacks at_front;
        at_front.statement_received = [](const std::string&,
                                         pooling::operation_id,
                                         const pooling::forwarded_work&) {
        };
        at_front.operation_ended = [](const std::string&,
                                      pooling::operation_id) {
        };
        at_front.answered = [this](pooling::session_id, pooling::operation_id,
                                   const pooling::forwarded_reply& reply) {
            answer = reply;
            io.stop();
        };
        at_front.lost = [this](pooling::session_id, pooling::operation_id,
                               bool may_have_run) {
            lost = may_have_run;
            io.stop();
        };
        at_front.malformed = ignore;
        relay_callbacks at_holder = at_front;
        at_holder
            .statement_received = [this](const std::string& host,
                                         pooling::operation_id operation,
                                         const pooling::forwarded_work& work) {
            origin = host;
            received_work = work;
            if (!holder_answers)
                return;
            pooling::forwarded_reply_action reply_action{host, operation, {}};
            reply_action.reply.reply.signature = "sig";
            reply_action.reply.at_replica = true;
            holder->reply(reply_action);
        };
        at_holder.operation_ended = [this](const std::string&,
                                           pooling::operation_id operation) {
            ended = operation;
            io.stop();
        };
        at_holder.tokens_requested = [this](const std::string& host,
                                            std::uint64_t request,
                                            const std::string& workspace,
                                            std::uint32_t count) {
            origin = host;
            requested = {workspace, count};
            if (holder_answers)
                holder->grant(
                    {host,
                     request,
                     {quota::token_answer::granted, count - 1, millis(25)}});
            else
                holder->refuse_tokens(host, request);
        };
        at_front.tokens_granted = [this](std::uint64_t request,
                                         const quota::token_grant& answered) {
            granted_request = request;
            grant = answered;
            io.stop();
        };
        at_front.token_request_lost = [this](std::uint64_t request) {
            lost_request = request;
            io.stop();
        };
        front =
            relay_gateway::listen(io, {"127.0.0.1", free_port(io)}, at_front);
        holder = relay_gateway::listen(io, holder_address, at_holder);
        front->set_origin("front/7");
    }

    void run() { io.run_for(std::chrono::seconds(3)); }

    boost::asio::io_context io;
    core::address holder_address{"127.0.0.1", free_port(io)};
    std::unique_ptr<relay_gateway> front;
    std::unique_ptr<relay_gateway> holder;
    bool holder_answers{true};
    std::string origin;
    std::optional<pooling::forwarded_work> received_work;
    std::optional<pooling::forwarded_reply> answer;
    std::optional<bool> lost;
    std::pair<std::string, std::uint32_t> requested;
    std::optional<std::uint64_t> granted_request;
    std::optional<quota::token_grant> grant;
    std::optional<std::uint64_t> lost_request;
    std::optional<pooling::operation_id> ended;
};

} // namespace

TEST_GROUP(relay_message){};

TEST(relay_message, a_statement_is_unchanged_by_encoding_and_decoding)
{
    const auto decoded =
        decode_statement(encode({"front/7", 12, sample_work()}));
    CHECK(decoded.has_value());
    STRCMP_EQUAL("front/7", decoded->origin.c_str());
    LONGS_EQUAL(12, decoded->operation);
    const auto& work = decoded->work;
    STRCMP_EQUAL("EXECUTE s a", work.statement.text.c_str());
    CHECK(work.route.consistency == routes::read_consistency::session);
    LONGS_EQUAL(700, work.route.timeout.count());
    STRCMP_EQUAL("1", work.values.at("x").c_str());
    STRCMP_EQUAL("shape", work.prepared->shape.c_str());
    CHECK(work.part == pooling::transaction_part::first);
    CHECK((work.own_commit == upstream::log_point{3, 99}));
    LONGS_EQUAL(12, work.routing_version);
    LONGS_EQUAL(70, work.own_commit_age.count());
    CHECK(work.start_within == millis(900));
}

TEST(relay_message, a_damaged_message_is_rejected)
{
    std::mt19937 random(5);
    for (int i = 0; i < 2000; ++i)
    {
        auto bytes = encode(statement_message{"front/7", 12, sample_work()});
        auto& byte = bytes[random() % bytes.size()];
        byte = static_cast<char>(static_cast<unsigned>(byte) ^
                                 static_cast<unsigned>(random() % 255 + 1));
        bytes.resize(random() % (bytes.size() + 1));
        CHECK_FALSE(decode_statement(bytes).has_value());
        CHECK_FALSE(decode_reply(bytes).has_value());
        CHECK_FALSE(decode_end(bytes).has_value());
        CHECK_FALSE(decode_token_request(bytes).has_value());
        CHECK_FALSE(decode_grant(bytes).has_value());
    }
    CHECK_FALSE(decode_statement("").has_value());
    CHECK_FALSE(decode_reply("x").has_value());
}

TEST_GROUP(relay_gateway){};

TEST(relay_gateway, a_statement_is_answered_by_the_other_host)
{
    gateway_pair pair;
    pair.front->forward(pair.holder_address, {"holder", 5, 1, sample_work()});
    pair.run();
    STRCMP_EQUAL("front/7", pair.origin.c_str());
    CHECK(pair.answer.has_value());
    STRCMP_EQUAL("sig", pair.answer->reply.signature.c_str());
    CHECK(pair.answer->at_replica);
}

TEST(relay_gateway, a_slow_host_that_answers_probes_does_not_count_as_lost)
{
    // A statement may wait for a database for longer than the silence timeout.
    gateway_pair pair;
    pair.holder_answers = false;
    pair.front->forward(pair.holder_address, {"holder", 5, 1, sample_work()});
    pair.io.run_for(millis(700));
    CHECK(pair.received_work.has_value());
    CHECK_FALSE(pair.lost.has_value());
}

TEST(relay_gateway, a_silent_host_counts_as_lost_within_600_ms)
{
    gateway_pair pair;
    // The system accepts connections, but nothing reads from them.
    boost::asio::ip::tcp::acceptor silent(
        pair.io, {boost::asio::ip::address_v4::loopback(), 0});
    const core::address holder_address{"127.0.0.1",
                                       silent.local_endpoint().port()};
    pair.front->forward(holder_address, {"holder", 5, 1, sample_work()});
    pair.io.run_for(millis(600));
    CHECK(pair.lost == true);
}

TEST(relay_gateway, a_statement_to_a_host_that_does_not_listen_has_not_run)
{
    gateway_pair pair;
    const core::address holder_address{"127.0.0.1", free_port(pair.io)};
    pair.front->forward(holder_address, {"holder", 5, 1, sample_work()});
    pair.run();
    CHECK(pair.lost == false);
}

TEST(relay_gateway, the_other_host_gets_the_end_of_an_operation)
{
    gateway_pair pair;
    pair.front->end(pair.holder_address, 9);
    pair.run();
    CHECK(pair.ended == 9U);
}

TEST(relay_gateway, a_request_for_tokens_is_answered)
{
    gateway_pair pair;
    pair.front->request_tokens(pair.holder_address, {"holder", "shop", 7, 5});
    pair.run();
    STRCMP_EQUAL("front/7", pair.origin.c_str());
    STRCMP_EQUAL("shop", pair.requested.first.c_str());
    LONGS_EQUAL(7, pair.requested.second);
    LONGS_EQUAL(5, *pair.granted_request);
    CHECK(pair.grant->answer == quota::token_answer::granted);
    LONGS_EQUAL(6, pair.grant->count);
    LONGS_EQUAL(25, pair.grant->retry_after.count());
}

TEST(relay_gateway, a_starting_host_grants_no_tokens)
{
    gateway_pair pair;
    pair.holder_answers = false;
    pair.front->request_tokens(pair.holder_address, {"holder", "shop", 7, 5});
    pair.run();
    CHECK(pair.grant->answer == quota::token_answer::no_majority);
}

// Guards against operations that wait for an owner that is gone.
TEST(relay_gateway, a_request_for_tokens_to_a_lost_host_ends)
{
    gateway_pair pair;
    const core::address nobody{"127.0.0.1", free_port(pair.io)};
    pair.front->request_tokens(nobody, {"holder", "shop", 7, 5});
    pair.run();
    LONGS_EQUAL(5, *pair.lost_request);
}
