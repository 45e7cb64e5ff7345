// Idle connections that have gone silent without a reset, as behind a relay
// that has lost them and still acknowledges keep-alive probes.

#include <plantainward/http/client.hpp>

#include <plantainward/http/server.hpp>

#include <chrono>
#include <mutex>
#include <optional>
#include <set>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using http::exchange_outcome;

namespace
{

const core::address server_address{support::loopback_ip(), 18060};
constexpr millis call_timeout{200};

} // namespace

TEST_GROUP(idle_connections)
{
    boost::asio::io_context io;
    std::mutex mutex;
    std::set<http::connection_id> connections;
    std::set<http::connection_id> silent;
    std::vector<http::responder> held;
    bool holds_answers{false};
    std::optional<http::server> server;
    std::shared_ptr<http::client> client = http::client::create(io);
    std::vector<exchange_outcome> outcomes;

    void setup() override
    {
        http::server_limits limits;
        limits.threads = 1;
        server = http::server::listen(server_address, limits, io,
                                      [this](http::connection_id connection,
                                             const http::request&,
                                             const http::responder& respond) {
                                          const std::lock_guard lock(mutex);
                                          connections.insert(connection);
                                          if (silent.contains(connection))
                                              return;
                                          if (holds_answers)
                                              held.push_back(respond);
                                          else
                                              respond({});
                                      });
        CHECK(server.has_value());
    }

    void call()
    {
        client->send(server_address, {"GET", "/", {}, {}}, call_timeout,
                     [this](const http::exchange_result& result) {
                         outcomes.push_back(result.outcome);
                     });
    }

    void run_until_ended(std::size_t calls)
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (outcomes.size() < calls &&
               std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
        LONGS_EQUAL(calls, outcomes.size());
    }

    /// Makes calls at the same time, so that each has a connection of its own;
    /// then all connections go silent.
    void leave_silent_connections(std::size_t count)
    {
        holds_answers = true;
        for (std::size_t i = 0; i < count; ++i)
            call();
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(millis(10));
            const std::lock_guard lock(mutex);
            if (held.size() == count)
                break;
        }
        for (const auto& respond : held)
            respond({});
        run_until_ended(count);
        const std::lock_guard lock(mutex);
        LONGS_EQUAL(count, connections.size());
        silent = connections;
        holds_answers = false;
    }
};

TEST(idle_connections, one_call_that_times_out_is_enough_to_leave_them_all)
{
    // Guards against one call after the other that times out, each on the next
    // silent connection.
    leave_silent_connections(4);
    call();
    run_until_ended(5);
    LONGS_EQUAL(exchange_outcome::timed_out, outcomes.back());
    call();
    run_until_ended(6);
    LONGS_EQUAL(exchange_outcome::answered, outcomes.back());
}

TEST(idle_connections, the_call_after_they_were_closed_opens_a_new_one)
{
    leave_silent_connections(2);
    client->close_idle(server_address);
    call();
    run_until_ended(3);
    LONGS_EQUAL(exchange_outcome::answered, outcomes.back());
}
