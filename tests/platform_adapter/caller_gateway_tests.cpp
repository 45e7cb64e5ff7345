#include <caller_gateway.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <support/loopback.hpp>
#include <support/raw_client.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;

namespace
{

const core::address gateway_address{support::loopback_ip(), 18092};

} // namespace

TEST_GROUP(caller_gateway)
{
    boost::asio::io_context io;
    // Empty: the host is starting.
    std::optional<pooling::open_result> opening{pooling::open_result::opened};
    std::vector<sql::statement> statements;
    std::vector<pooling::session_id> closed;
    std::unique_ptr<caller_gateway> gateway;
    std::unique_ptr<support::raw_client> caller;

    void setup() override
    {
        caller_callbacks callbacks;
        callbacks.open = [this](pooling::session_id, const std::string&,
                                const std::string&) {
            return opening;
        };
        callbacks.statement = [this](pooling::session_id,
                                     sql::statement statement) {
            statements.push_back(std::move(statement));
        };
        callbacks.closed = [this](pooling::session_id id) {
            closed.push_back(id);
        };
        gateway = caller_gateway::listen(io, gateway_address, callbacks);
        CHECK(gateway != nullptr);
        caller = std::make_unique<support::raw_client>(gateway_address);
    }

    void teardown() override
    {
        caller.reset();
        gateway.reset();
    }

    void run_for(millis time)
    {
        io.restart();
        io.run_for(time);
    }

    /// Opens the caller's session, which has the id 1.
    void open_session()
    {
        caller->send("START cards u\r\n");
        run_for(millis(50));
        STRCMP_EQUAL("READY I -\r\n", caller->read_until("\r\n").c_str());
    }

    void send(const std::string& bytes)
    {
        caller->send(bytes);
        // The bytes arrive while the loop does not run.
        std::this_thread::sleep_for(millis(20));
    }
};

// Guards against a request that is cut because it arrives just when its session
// is closed for a planned stop.
TEST(caller_gateway, a_session_whose_next_request_has_arrived_is_not_closed)
{
    open_session();
    send("QUERY 1 READ a\r\n");
    gateway->close(1);
    LONGS_EQUAL(0, closed.size());
    run_for(millis(50));
    LONGS_EQUAL(1, statements.size());
    gateway->reply(1, {});
    gateway->close(1);
    LONGS_EQUAL(1, closed.size());
    STRCMP_EQUAL("READY I -\r\nDONE -\r\nREADY I -\r\n",
                 caller->read_to_end().c_str());
}

TEST(caller_gateway, a_session_with_a_part_of_a_request_is_not_closed)
{
    open_session();
    send("QUERY 1 RE");
    run_for(millis(50));
    gateway->close(1);
    LONGS_EQUAL(0, closed.size());
}

TEST(caller_gateway, a_session_is_refused_when_the_host_is_stopping)
{
    opening = pooling::open_result::host_stopping;
    caller->send("START cards u\r\n");
    run_for(millis(50));
    CHECK(caller->read_to_end().starts_with("ERROR BUSY "));
}

TEST(caller_gateway, no_connection_is_accepted_after_the_end_of_accepting)
{
    run_for(millis(20));
    gateway->stop_accepting();
    CHECK_THROWS(boost::system::system_error,
                 support::raw_client(gateway_address));
    open_session();
}

// Guards against a process that ends with an answer that its caller has not
// received yet.
TEST(caller_gateway, an_answer_that_waits_for_its_caller_counts_as_unsent)
{
    open_session();
    CHECK_FALSE(gateway->has_unsent_bytes());
    sql::reply large;
    large.rows.assign(1, std::string(std::size_t{16} * 1024 * 1024, 'x'));
    gateway->reply(1, large);
    CHECK(gateway->has_unsent_bytes());
    std::thread reader([this] { caller->read_to_end(); });
    for (int i = 0; i < 500 && gateway->has_unsent_bytes(); ++i)
        run_for(millis(10));
    CHECK_FALSE(gateway->has_unsent_bytes());
    reader.join();
}

// Guards against a session that is ended because it was silent for long before
// its next request, which arrives in two parts.
TEST(caller_gateway, the_time_limit_of_a_line_starts_with_its_first_byte)
{
    open_session();
    send("QUERY 1 RE");
    run_for(millis(50));
    const auto later = core::boot_clock::now() + std::chrono::seconds(11);
    gateway->tick(later);
    LONGS_EQUAL(0, closed.size());
    send("AD a\r\n");
    run_for(millis(50));
    LONGS_EQUAL(1, statements.size());
}

TEST(caller_gateway, a_line_that_is_not_completed_in_time_ends_its_session)
{
    open_session();
    send("QUERY 1 RE");
    run_for(millis(50));
    const auto now = core::boot_clock::now();
    gateway->tick(now);
    gateway->tick(now + std::chrono::seconds(11));
    LONGS_EQUAL(1, closed.size());
}

TEST(caller_gateway, a_connection_that_names_no_database_in_time_is_ended)
{
    run_for(millis(50));
    gateway->tick(core::boot_clock::now() + std::chrono::seconds(11));
    CHECK(caller->read_to_end().starts_with("ERROR MALFORMED"));
}

// Guards against a host that ends while it starts: a caller that waits for it
// and has sent a part of a line was refused twice in one tick.
TEST(caller_gateway, a_caller_that_is_late_in_two_ways_is_refused_once)
{
    opening.reset();
    send("START cards\r\nQUERY 1 RE");
    run_for(millis(50));
    const auto now = core::boot_clock::now();
    gateway->tick(now);
    gateway->tick(now + std::chrono::seconds(11));
    CHECK(caller->read_to_end().starts_with("ERROR BUSY"));
}
