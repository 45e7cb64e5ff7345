#include "load.hpp"
#include "options.hpp"

#include <plantainward/upstream/wire.hpp>

#include <filesystem>
#include <iostream>

namespace bench
{

namespace
{

constexpr int connections = 64;
constexpr int endpoint_port = 23'001;
constexpr int handler_port = 23'002;

/// Sends the same request over a number of connections, the next one on each as
/// soon as the previous is answered.
class closed_loop
{
public:
    closed_loop(core::address server, http::request message, int count,
                bool opens_session)
        : m_server(std::move(server)), m_message(std::move(message)),
          m_opens_session(opens_session)
    {
        for (int i = 0; i < count; ++i)
            m_connections.push_back(
                http::client_connection::create(m_io, m_server));
    }

    /// Runs for a time and returns the answers per second. Sets `median_ms` to
    /// the median latency.
    double run(core::millis duration, double& median_ms)
    {
        const auto start = core::steady::now();
        m_end = start + duration;
        for (const auto& connection : m_connections)
            connection->open(core::millis(2000), [this, connection](bool ok) {
                if (!ok)
                    return;
                if (!m_opens_session)
                    return send_next(connection);
                connection->exchange(
                    {"POST", "/session", {}, "{}"}, core::millis(2000),
                    [this, connection](const http::exchange_result&) {
                        send_next(connection);
                    });
            });
        std::vector<std::thread> threads;
        threads.reserve(2);
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { m_io.run(); });
        for (auto& thread : threads)
            thread.join();
        median_ms = percentile(m_latencies, 0.5);
        return static_cast<double>(m_answers) /
               std::chrono::duration<double>(duration).count();
    }

    /// Calls without an answer or with a status other than 200.
    int failures() const { return m_failures; }

private:
    void send_next(const std::shared_ptr<http::client_connection>& connection)
    {
        const auto sent = core::steady::now();
        if (sent >= m_end)
            return connection->close();
        connection->exchange(
            m_message, core::millis(5000),
            [this, connection, sent](const http::exchange_result& result) {
                if (result.outcome != http::exchange_outcome::answered)
                {
                    ++m_failures;
                    return;
                }
                if (result.status != 200)
                    ++m_failures;
                ++m_answers;
                {
                    const std::lock_guard lock(m_mutex);
                    m_latencies.push_back(
                        core::to_ms_exact(core::steady::now() - sent));
                }
                send_next(connection);
            });
    }

    boost::asio::io_context m_io;
    core::address m_server;
    http::request m_message;
    bool m_opens_session;
    std::vector<std::shared_ptr<http::client_connection>> m_connections;
    core::instant m_end;
    std::atomic<std::uint64_t> m_answers{0};
    std::atomic<int> m_failures{0};
    std::mutex m_mutex;
    std::vector<double> m_latencies;
};

double measure_empty(const options& run_options, const char* kind, int port,
                     core::millis duration, figures& out)
{
    const auto self = std::filesystem::canonical("/proc/self/exe").string();
    auto server =
        process::start({self, "--serve-empty", kind, std::to_string(port)},
                       run_options.log_folder + "/" + kind + ".log");
    std::this_thread::sleep_for(core::millis(300));
    closed_loop load({"127.0.0.1", static_cast<std::uint16_t>(port)},
                     {"POST",
                      "/v1/transactions",
                      // Http::Endpoint closes connections without this field.
                      {{"Connection", "keep-alive"}},
                      "{}"},
                     connections, false);
    double median = 0;
    const auto rate = load.run(duration, median);
    out = {{"requests_per_s", rate}, {"latency_ms_p50", median}};
    progress(std::string("empty ") + kind + ": " + std::to_string(rate));
    return rate;
}

/// A proxy that does not coordinate the service, so that a call is forwarded
/// once.
int gateway_of(const fleet& proxy_fleet)
{
    const auto status = http::send_and_wait(proxy_fleet.admin_address(0),
                                            {"GET", "/admin/status", {}, {}},
                                            core::millis(2000));
    const auto key =
        "\"" + proxy_fleet.service(0) + R"(":{"coordinator":"entry-0")";
    return status.body.find(key) == std::string::npos ? 0 : 1;
}

} // namespace

report run_throughput(const options& run_options)
{
    report out;
    out.tries = 1;
    const core::millis duration(run_options.quick ? 4000 : 10'000);
    std::filesystem::create_directories(run_options.log_folder);
    const auto endpoint =
        measure_empty(run_options, "endpoint", endpoint_port, duration,
                      out.baselines["empty Http::Endpoint"]);
    const auto handler =
        measure_empty(run_options, "handler", handler_port, duration,
                      out.baselines["empty Tcp::Handler"]);
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.proxies = 3;
    fleet_shape.services = 1;
    fleet_shape.database_delay_ms = 0;
    auto proxy_fleet = fleet::start(fleet_shape, run_options.program_folder,
                                    run_options.log_folder);
    if (!proxy_fleet)
        return out;
    const std::string body =
        R"({"service":")" + proxy_fleet->service(0) +
        R"(","slot":0,"read":"session","class":"view","statements":[{"verb":"get","key":"k"}]})";
    closed_loop load(proxy_fleet->caller_address(gateway_of(*proxy_fleet)),
                     {"POST", "/v1/transactions", {}, body}, connections,
                     false);
    double median = 0;
    const auto rate = load.run(duration, median);
    out.product["requests_per_s"] = rate;
    out.product["latency_ms_p50"] = median;
    out.product["failures"] = load.failures();
    out.product["ratio_to_http_endpoint"] = rate / endpoint;
    out.product["ratio_to_tcp_handler"] = rate / handler;
    progress("session reads over one hop: " + std::to_string(rate));

    upstream::run_order order;
    const auto primary = proxy_fleet->primary(0, 0).value_or(0);
    order.term = proxy_fleet->status(primary, 0)->granted;
    order.statements = {{upstream::verb::get, "k", "", 0}};
    closed_loop direct(proxy_fleet->database_address(primary),
                       {"POST", "/run", {}, upstream::wire::encode(order)}, 32,
                       true);
    const auto direct_rate = direct.run(duration, median);
    out.baselines["direct to the upstream"] = {{"requests_per_s", direct_rate},
                                               {"latency_ms_p50", median}};
    return out;
}

} // namespace bench
