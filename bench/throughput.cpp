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

/// Keeps every connection busy with the same request and counts answers.
class closed_loop
{
public:
    closed_loop(core::address where, http::request message, int count,
                bool opens_session)
        : m_where(std::move(where)), m_message(std::move(message)),
          m_opens_session(opens_session)
    {
        for (int i = 0; i < count; ++i)
            m_connections.push_back(
                http::client_connection::create(m_io, m_where));
    }

    /// Answers a second; the median latency goes to `median_ms`.
    double run(core::millis duration, double& median_ms)
    {
        const auto start = core::steady::now();
        m_end = start + duration;
        for (const auto& one : m_connections)
            one->open(core::millis(2000), [this, one](bool ok) {
                if (!ok)
                    return;
                if (!m_opens_session)
                    return next(one);
                one->exchange(
                    {"POST", "/session", {}, "{}"}, core::millis(2000),
                    [this, one](const http::exchange_result&) { next(one); });
            });
        std::vector<std::thread> threads;
        threads.reserve(2);
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { m_io.run(); });
        for (auto& one : threads)
            one.join();
        median_ms = percentile(m_latencies, 0.5);
        return static_cast<double>(m_answers) /
               std::chrono::duration<double>(duration).count();
    }

    int failures() const { return m_failures; }

private:
    void next(const std::shared_ptr<http::client_connection>& one)
    {
        const auto sent = core::steady::now();
        if (sent >= m_end)
            return one->close();
        one->exchange(
            m_message, core::millis(5000),
            [this, one, sent](const http::exchange_result& result) {
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
                next(one);
            });
    }

    boost::asio::io_context m_io;
    core::address m_where;
    http::request m_message;
    bool m_opens_session;
    std::vector<std::shared_ptr<http::client_connection>> m_connections;
    core::instant m_end;
    std::atomic<std::uint64_t> m_answers{0};
    std::atomic<int> m_failures{0};
    std::mutex m_mutex;
    std::vector<double> m_latencies;
};

double measure_empty(const options& chosen, const char* kind, int port,
                     core::millis duration, figures& out)
{
    const auto self = std::filesystem::canonical("/proc/self/exe").string();
    auto server =
        process::start({self, "--serve-empty", kind, std::to_string(port)},
                       chosen.logs + "/" + kind + ".log");
    std::this_thread::sleep_for(core::millis(300));
    closed_loop load({"127.0.0.1", static_cast<std::uint16_t>(port)},
                     {"POST",
                      "/v1/transactions",
                      // Http::Endpoint keeps a connection only when asked.
                      {{"Connection", "keep-alive"}},
                      "{}"},
                     connections, false);
    double median = 0;
    const auto rate = load.run(duration, median);
    out = {{"requests_per_s", rate}, {"latency_ms_p50", median}};
    progress(std::string("empty ") + kind + ": " + std::to_string(rate));
    return rate;
}

/// A proxy that does not coordinate the service, so that there is one hop.
int gateway_of(const fleet& where)
{
    const auto status = http::send_and_wait(where.admin_address(0),
                                            {"GET", "/admin/status", {}, {}},
                                            core::millis(2000));
    const auto key = "\"" + where.service(0) + R"(":{"coordinator":"entry-0")";
    return status.body.find(key) == std::string::npos ? 0 : 1;
}

} // namespace

report run_throughput(const options& chosen)
{
    report out;
    out.tries = 1;
    const core::millis duration(chosen.quick ? 4000 : 10'000);
    std::filesystem::create_directories(chosen.logs);
    const auto endpoint =
        measure_empty(chosen, "endpoint", endpoint_port, duration,
                      out.baselines["empty Http::Endpoint"]);
    const auto handler =
        measure_empty(chosen, "handler", handler_port, duration,
                      out.baselines["empty Tcp::Handler"]);
    auto form = chosen.form;
    form.proxies = 3;
    form.services = 1;
    form.database_delay_ms = 0;
    auto where = fleet::start(form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    const std::string body =
        R"({"service":")" + where->service(0) +
        R"(","slot":0,"read":"session","class":"view","statements":[{"verb":"get","key":"k"}]})";
    closed_loop load(where->caller_address(gateway_of(*where)),
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
    const auto primary = where->primary(0, 0).value_or(0);
    order.term = where->status(primary, 0)->granted;
    order.statements = {{upstream::verb::get, "k", "", 0}};
    closed_loop direct(where->database_address(primary),
                       {"POST", "/run", {}, upstream::wire::encode(order)}, 32,
                       true);
    const auto straight = direct.run(duration, median);
    out.baselines["direct to the upstream"] = {{"requests_per_s", straight},
                                               {"latency_ms_p50", median}};
    return out;
}

} // namespace bench
