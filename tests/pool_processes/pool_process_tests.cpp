#include <line_database/line_database.hpp>
#include <plantainward/relay/relay_gateway.hpp>
#include <process.hpp>
#include <row_store/row_store.hpp>
#include <support/raw_client.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

namespace
{

const std::string build = PLANTAINWARD_BUILD_DIR;
const std::string logs = build + "/test-logs";
constexpr const char* local = "127.0.0.1";
constexpr std::uint16_t store_port = 18100;
constexpr std::uint16_t database_port = 18110;
constexpr std::uint16_t host_port = 18120;
constexpr int hosts = 3;

std::uint16_t port_of(int host, int what)
{
    return static_cast<std::uint16_t>(host_port + host * 4 + what);
}

std::string address_text(std::uint16_t port)
{
    return std::string(local) + ":" + std::to_string(port);
}

std::string settings_of(int host, std::uint16_t at_store = store_port)
{
    const auto store = address_text(at_store);
    return R"({"node":"host-)" + std::to_string(host) +
           R"(","zone":"a","ip":"127.0.0.1","listen":{"front":")" +
           address_text(port_of(host, 0)) + R"(","ready":")" +
           address_text(port_of(host, 1)) + R"("},"internal_ports":[)" +
           std::to_string(port_of(host, 2)) + "," +
           std::to_string(port_of(host, 2)) +
           R"(],"bounds":{"grace_s":4},"platform":{"address":")" + store +
           R"("},"cloud":{"address":")" + store + R"("}})";
}

std::string routing_text(int version, int max_connections)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"host":"cards","kind":"primary","service":"s",
            "timeout_ms":3000,"priority":1},{"host":"specs",
            "kind":"bounded_staleness","service":"s","timeout_ms":3000,
            "max_staleness_ms":1500}],"services":[{"name":"s",
            "max_connections":)" +
           std::to_string(max_connections) +
           R"(}],"limits":{"transaction_idle_ms":3000}})";
}

bench::process start_host(int host, const std::string& settings)
{
    const auto path = logs + "/pool-" + std::to_string(host) + ".json";
    std::filesystem::create_directories(logs);
    std::ofstream(path) << settings;
    auto made = bench::process::start(
        {build + "/programs/plantainward_poold", "--settings", path},
        logs + "/pool-" + std::to_string(host) + ".log");
    CHECK(made.has_value());
    return std::move(*made);
}

/// The stand-ins and three real hosts.
struct pool_fleet
{
    explicit pool_fleet(int max_connections = 30)
    {
        std::filesystem::create_directories(logs);
        group->service = "s";
        group->primary = "db-0";
        store = standin::row_store::listen(
            io, {local, store_port},
            [this](const std::string&, const std::string& id,
                   std::uint64_t token) { return promote(id, token); });
        CHECK(store != nullptr);
        store->put("op", "config", routing_text(1, max_connections));
        store->put("servers", "damaged", "{\"service\":7}");
        store->put("plantainward_hosts", "damaged", "x");
        store->put("plantainward_primaries", "damaged", "x");
        for (int i = 0; i < 3; ++i)
        {
            const auto id = "db-" + std::to_string(i);
            const auto port = static_cast<std::uint16_t>(database_port + i);
            databases.push_back(std::make_unique<standin::line_database>(
                io, id, core::address{local, port}, group));
            store->put("servers", id,
                       R"({"service":"s","address":")" + address_text(port) +
                           R"(","zone":"a","state":"ready","database_role":")" +
                           (i == 0 ? "primary" : "replica") +
                           R"(","born":1,"sequence":1})");
        }
        thread = std::thread([this] { io.run(); });
        for (int i = 0; i < hosts; ++i)
            start(i);
        for (int i = 0; i < hosts; ++i)
            CHECK(wait_ready(i));
    }

    ~pool_fleet()
    {
        processes.clear();
        io.stop();
        thread.join();
    }

    void start(int host)
    {
        processes.push_back(start_host(host, settings_of(host)));
    }

    int promote(const std::string& id, std::uint64_t token)
    {
        const std::lock_guard lock(group->mutex);
        if (token <= last_token)
            return 409;
        last_token = token;
        if (group->primary != id)
            ++group->term;
        group->primary = id;
        return 200;
    }

    static std::string http_get(int host, const std::string& path)
    {
        try
        {
            support::raw_client one({local, port_of(host, 1)});
            one.send("GET " + path +
                     " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return one.read_to_end();
        }
        catch (const std::exception&)
        {
            return {};
        }
    }

    static bool wait_ready(int host)
    {
        for (int i = 0; i < 200; ++i)
        {
            if (http_get(host, "/readiness").starts_with("HTTP/1.1 200"))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    boost::asio::io_context io;
    std::shared_ptr<standin::database_group> group{
        std::make_shared<standin::database_group>()};
    std::uint64_t last_token{0};
    std::unique_ptr<standin::row_store> store;
    std::vector<std::unique_ptr<standin::line_database>> databases;
    std::thread thread;
    std::vector<bench::process> processes;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(pool_processes){};

TEST(pool_processes, sessions_are_served_a_primary_is_replaced_hosts_drain)
{
    pool_fleet fleet;

    // Unknown databases and garbage get an error, and the host goes on.
    support::raw_client unknown({local, port_of(0, 0)});
    unknown.send("START nothing u\r\n");
    CHECK(contains(unknown.read_to_end(), "ERROR NODB"));
    support::raw_client garbage({local, port_of(0, 0)});
    garbage.send(std::string("\x16\x03\x01\x00\n", 5));
    CHECK(contains(garbage.read_to_end(), "ERROR MALFORMED"));

    support::raw_client one({local, port_of(0, 0)});
    one.send("START cards u\r\nQUERY 1 WRITE a 1\r\n");
    CHECK(contains(one.read_until("DONE db-0\r\n"), "DONE db-0"));
    one.send("QUERY 2 READ a\r\n");
    CHECK(contains(one.read_until("ROW 1\r\n"), "ROW 1"));
    one.send("QUERY 3 BEGIN\r\nQUERY 4 WRITE b 7\r\nQUERY 5 COMMIT\r\n"
             "QUERY 6 READ b\r\n");
    CHECK(contains(one.read_until("ROW 7\r\n"), "ROW 7"));
    one.send("QUERY 7 PREPARE p READ shape\r\nQUERY 8 EXECUTE p a\r\n");
    one.read_until("READY T");

    // Metrics are served beside the readiness.
    CHECK(contains(pool_fleet::http_get(0, "/metrics"),
                   "plantainward_latency_ms_count"));

    // The primary crashes; writes go on at another database.
    boost::asio::post(fleet.io, [&] { fleet.databases[0]->crash(); });
    bool written = false;
    for (int i = 0; i < 50 && !written; ++i)
    {
        support::raw_client again({local, port_of(1, 0)});
        again.send("START cards u\r\nQUERY w" + std::to_string(i) +
                   " WRITE c 9\r\n");
        written = contains(again.read_until("READY I 2."), "DONE db-");
    }
    CHECK(written);
    CHECK(fleet.group->primary != "db-0");

    // A host that is gone for good loses its registration.
    fleet.processes[1].kill();
    CHECK(fleet.store->has("plantainward_hosts", "host-1"));
    for (int i = 0; i < 200 && fleet.store->has("plantainward_hosts", "host-1");
         ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_FALSE(fleet.store->has("plantainward_hosts", "host-1"));

    // A stopped host ends by itself with code 0.
    fleet.processes[2].send(SIGTERM);
    LONGS_EQUAL(0, fleet.processes[2].wait());

    // The log tells of the claim and its cause.
    std::string all;
    for (int i = 0; i < hosts; ++i)
    {
        std::ifstream log(logs + "/pool-" + std::to_string(i) + ".log");
        all.append(std::istreambuf_iterator<char>(log), {});
    }
    CHECK(contains(all, "\"event\":\"claim_started\""));
    CHECK(contains(all, "\"event\":\"registration_rejected\""));
    CHECK(contains(all, "\"event\":\"row_rejected\""));
    CHECK(contains(all, "\"event\":\"stopped\""));
}

TEST(pool_processes,
     hosts_without_connections_are_served_by_those_that_hold_them)
{
    // Two hosts hold the five connections of each database.
    pool_fleet fleet(5);
    for (int host = 0; host < hosts; ++host)
    {
        support::raw_client one({local, port_of(host, 0)});
        one.send("START cards u\r\nQUERY 1 SET x 1\r\nQUERY 2 BEGIN\r\n"
                 "QUERY 3 WRITE a 5\r\nQUERY 4 COMMIT\r\nQUERY 5 READ a\r\n");
        CHECK(contains(one.read_until("ROW 5\r\n"), "ROW 5"));
    }
    std::string all;
    for (int host = 0; host < hosts; ++host)
    {
        std::ifstream log(logs + "/pool-" + std::to_string(host) + ".log");
        all.append(std::istreambuf_iterator<char>(log), {});
    }
    CHECK(contains(all, "\"event\":\"request_forwarded\""));
}

TEST(pool_processes, a_host_that_is_starting_refuses_the_work_of_others)
{
    // Nothing listens where its table service should be, so it never starts.
    constexpr std::uint16_t no_store = 18199;
    auto process = start_host(0, settings_of(0, no_store));
    boost::asio::io_context io;
    std::optional<pooling::forwarded_reply> answer;
    relay::relay_callbacks events;
    events.answered = [&](pooling::session_id, pooling::operation_id,
                          const pooling::forwarded_reply& one) {
        answer = one;
        io.stop();
    };
    events.lost = [&](pooling::session_id, pooling::operation_id, bool) {
        io.stop();
    };
    events.malformed = [] {
    };
    auto front = relay::relay_gateway::listen(io, {local, 18198}, events);
    CHECK(front != nullptr);
    for (int i = 0; i < 100 && !answer; ++i)
    {
        front->forward({local, port_of(0, 2)}, {"host-0", 1, 1, {}});
        io.restart();
        io.run_for(std::chrono::milliseconds(100));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(answer.has_value());
    CHECK(answer->try_elsewhere);
    front->end({local, port_of(0, 2)}, 1);
    io.restart();
    io.run_for(std::chrono::milliseconds(100));
    process.send(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}
