// Feeds whose connections go silent without a reset while new ones work. TCP
// keep-alive does not notice it, since the other end acknowledges its probes.

#include "silent_relay.hpp"

#include <host_process.hpp>
#include <table_follower.hpp>

#include <row_store/row_store.hpp>
#include <support/loopback.hpp>
#include <support/raw_client.hpp>

#include <chrono>
#include <filesystem>
#include <memory>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;

namespace
{

const core::address store_address{support::loopback_ip(), 18140};
const core::address relay_address{support::loopback_ip(), 18141};
constexpr std::uint16_t first_host_port = 18142;
constexpr int host_count = 3;

// Time from the acknowledgement of a routing until it must be in force.
constexpr millis apply_limit{3000};

// A host whose connections have failed counts as undisturbed after this time.
constexpr millis contact_time{4000};

std::unique_ptr<standin::row_store> listen_store(boost::asio::io_context& io)
{
    return standin::row_store::listen(io, store_address,
                                      [](const std::string&, const std::string&,
                                         std::uint64_t) { return 200; });
}

/// Sends the log lines of this process to a file.
class log_redirection
{
public:
    explicit log_redirection(const std::string& name)
        : m_stdout(::dup(STDOUT_FILENO))
    {
        const std::string folder =
            std::string(PLANTAINWARD_BUILD_DIR) + "/test-logs";
        std::filesystem::create_directories(folder);
        const int file = ::open((folder + "/" + name).c_str(),
                                O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::close(file);
    }

    ~log_redirection()
    {
        ::dup2(m_stdout, STDOUT_FILENO);
        ::close(m_stdout);
    }

    log_redirection(const log_redirection&) = delete;
    log_redirection& operator=(const log_redirection&) = delete;

private:
    int m_stdout;
};

std::string routing_text(int version, const std::string& databases)
{
    std::string routes;
    for (const char database : databases)
        routes += std::string(routes.empty() ? "" : ",") + R"({"host":")" +
                  database +
                  R"(","kind":"primary","service":"s","timeout_ms":3000,)"
                  R"("priority":1})";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes +
           R"(],"services":[{"name":"s","max_connections":30}],)"
           R"("limits":{"transaction_idle_ms":3000}})";
}

/// Hosts that reach the store through a relay.
struct relayed_fleet
{
    relayed_fleet()
    {
        store = listen_store(io);
        CHECK(store != nullptr);
        store->put("op", "config", routing_text(1, "a"));
        relay.emplace(io, relay_address, store_address);
        for (int i = 0; i < host_count; ++i)
        {
            hosts.push_back(host_process::start(io, settings_of(i)));
            CHECK(hosts.back() != nullptr);
        }
        thread = std::thread([this] { io.run(); });
    }

    ~relayed_fleet()
    {
        io.stop();
        thread.join();
    }

    static core::address address_of(int host, int offset)
    {
        return {
            support::loopback_ip(),
            static_cast<std::uint16_t>(first_host_port + host * 4 + offset)};
    }

    static host_settings settings_of(int host)
    {
        host_settings settings;
        settings.name = "host-" + std::to_string(host);
        settings.failure_domain = "a";
        settings.caller_address = address_of(host, 0);
        settings.readiness_address = address_of(host, 1);
        settings.peer_address = address_of(host, 2);
        settings.store_address = relay_address;
        settings.promotion_address = store_address;
        settings.is_first_start = true;
        return settings;
    }

    void silence_connections()
    {
        boost::asio::post(io, [this] { relay->silence(); });
    }

    static bool has_route(int host, const std::string& database)
    {
        support::raw_client caller(address_of(host, 0));
        caller.send("START " + database + " u\r\n");
        return caller.read_until_either("READY", "ERROR").find("READY") !=
               std::string::npos;
    }

    /// Time until all hosts have a route; the limit if that takes longer.
    static millis time_until_in_force(const std::string& database, millis limit)
    {
        const auto start = core::boot_clock::now();
        for (int host = 0; host < host_count;)
        {
            const auto elapsed =
                std::chrono::floor<millis>(core::boot_clock::now() - start);
            if (elapsed >= limit)
                return limit;
            if (has_route(host, database))
                ++host;
            else
                std::this_thread::sleep_for(millis(20));
        }
        return std::chrono::floor<millis>(core::boot_clock::now() - start);
    }

    log_redirection log{"silent-feeds.log"};
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::optional<silent_relay> relay;
    std::vector<std::unique_ptr<host_process>> hosts;
    std::thread thread;
};

/// Time in which a routing is in force on all hosts that is acknowledged when
/// the hosts count as undisturbed, after all their connections to the store
/// have gone silent. Empty if the fleet did not start.
std::optional<millis> time_in_force_after_silence()
{
    relayed_fleet fleet;
    constexpr millis limit{15'000};
    if (relayed_fleet::time_until_in_force("a", limit) >= limit)
        return std::nullopt;
    std::this_thread::sleep_for(millis(2000));
    fleet.store->put("op", "config", routing_text(2, "ab"));
    if (relayed_fleet::time_until_in_force("b", apply_limit) >= apply_limit)
        return std::nullopt;
    std::this_thread::sleep_for(millis(500));
    fleet.silence_connections();
    std::this_thread::sleep_for(contact_time);
    fleet.store->put("op", "config", routing_text(3, "abc"));
    return relayed_fleet::time_until_in_force("c", limit);
}

} // namespace

TEST_GROUP(silent_feeds)
{
    boost::asio::io_context io;
    std::size_t rows{0};

    void run_for(millis time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
    }
};

TEST(silent_feeds, a_host_that_catches_up_leaves_all_its_silent_connections)
{
    // Guards against reads that time out one after the other on silent idle
    // connections, and against a feed that stays silent after the read.
    const auto store = listen_store(io);
    CHECK(store != nullptr);
    silent_relay relay(io, relay_address, store_address);
    store_client client(io, relay_address);
    table_callbacks callbacks;
    callbacks.table_read = [&](const std::vector<store_row>& table,
                               core::boot_instant) {
        rows = table.size();
    };
    callbacks.rows_changed = [&](const std::vector<store_row>& changed) {
        rows += changed.size();
    };
    callbacks.reachability_changed = [](bool) {
    };
    table_follower follower(io, client, "t", millis(50), callbacks);
    follower.start();
    for (int i = 0; i < 4; ++i)
        client.read_table("u", millis(500), [](const store_answer&) {});
    run_for(millis(300));
    relay.silence();
    store->put("t", "a", "1");
    run_for(millis(300));
    LONGS_EQUAL(0, rows);
    follower.catch_up();
    run_for(millis(300));
    LONGS_EQUAL(1, rows);
    store->put("t", "b", "2");
    run_for(millis(300));
    LONGS_EQUAL(2, rows);
}

TEST(silent_feeds, a_routing_is_in_force_in_time_when_all_feeds_are_silent)
{
    // Guards against hosts that all wait for overdue answers: the feeds of a
    // table begin together, and no host has news for the others.
    const auto time = time_in_force_after_silence();
    CHECK_TEXT(time && *time < apply_limit,
               ("in force after " +
                (time ? std::to_string(time->count()) : "no") + " ms")
                   .c_str());
}
