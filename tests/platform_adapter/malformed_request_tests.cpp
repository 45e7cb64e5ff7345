// Requests whose text is not part of the protocol, on real sockets.

#include <caller_gateway.hpp>

#include <memory>
#include <optional>
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

TEST_GROUP(malformed_request)
{
    boost::asio::io_context io;
    std::vector<sql::statement> statements;
    std::unique_ptr<caller_gateway> gateway;
    std::unique_ptr<support::raw_client> caller;

    void setup() override
    {
        caller_callbacks callbacks;
        callbacks.open = [](pooling::session_id, const std::string&,
                            const std::string&) {
            return std::optional(pooling::open_result::opened);
        };
        callbacks.statement = [this](pooling::session_id,
                                     sql::statement statement) {
            statements.push_back(std::move(statement));
        };
        callbacks.closed = [](pooling::session_id) {
        };
        gateway = caller_gateway::listen(io, gateway_address, callbacks);
        CHECK(gateway != nullptr);
        caller = std::make_unique<support::raw_client>(gateway_address);
    }

    void run_for(millis time)
    {
        io.restart();
        io.run_for(time);
    }
};

TEST(malformed_request, it_is_answered_in_its_place)
{
    // Guards against this: its error was taken for the answer to the statement
    // before it.
    caller->send("START cards u\r\nQUERY 1 READ a\r\n"
                 "QUERY 2 AFTER 1.1 READ a\r\nQUERY 3 STATUS\r\n");
    run_for(millis(50));
    LONGS_EQUAL(3, statements.size());
    STRCMP_EQUAL("1", statements[0].id.c_str());
    STRCMP_EQUAL("2", statements[1].id.c_str());
    STRCMP_EQUAL("3", statements[2].id.c_str());
    gateway->reply(1, {});
    gateway->close(1);
    STRCMP_EQUAL("READY I -\r\nDONE -\r\nREADY I -\r\n",
                 caller->read_to_end().c_str());
}
