#include "load.hpp"
#include "options.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace bench
{

namespace
{

using kind = support::counter_event::kind;

constexpr int caller_connections = 2700;
constexpr double statements_per_second = 930;

} // namespace

/// Holds as many caller connections as one node has in a fleet of 550 nodes,
/// and sends the statements per second of one node.
report run_callers(const options& run_options)
{
    report out;
    out.tries = 1;
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.services = 1;
    fleet_shape.proxies = 3;
    auto proxy_fleet = fleet::start(fleet_shape, run_options.program_folder,
                                    run_options.log_folder);
    if (!proxy_fleet)
        return out;
    const auto unconnected_usage = proxy_fleet->proxy(0).usage();
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::socket> sockets;
    sockets.reserve(caller_connections);
    const auto address = proxy_fleet->caller_address(0);
    for (int i = 0; i < caller_connections; ++i)
    {
        sockets.emplace_back(io);
        boost::system::error_code error;
        sockets.back().connect(
            {boost::asio::ip::make_address(address.ip), address.port}, error);
        if (error)
            sockets.pop_back();
    }
    std::this_thread::sleep_for(core::millis(1000));
    const auto connected_usage = proxy_fleet->proxy(0).usage();
    callers load(*proxy_fleet);
    load.set_in_rotation(1, false);
    load.set_in_rotation(2, false);
    std::mutex mutex;
    std::vector<double> latencies;
    std::atomic<int> failed{0};
    const core::millis duration(run_options.quick ? 5000 : 15'000);
    const auto start = core::steady::now();
    load.open_loop(
        statements_per_second, duration, [&](core::instant intended) {
            call request;
            const auto random_number = load.random();
            request.service = proxy_fleet->service(0);
            request.slot = static_cast<int>(random_number % 3);
            request.counter = "c" + std::to_string(random_number / 3 % 64);
            request.kind =
                random_number / 1000 % 5 == 0 ? kind::add : kind::session_read;
            load.send(request, intended, [&](const call_result& result) {
                if (!result.done)
                {
                    ++failed;
                    return;
                }
                const std::lock_guard lock(mutex);
                latencies.push_back(
                    core::to_ms_exact(result.answered - result.intended));
            });
        });
    const auto seconds =
        std::chrono::duration<double>(core::steady::now() - start).count();
    load.wait_for_answers();
    const auto loaded_usage = proxy_fleet->proxy(0).usage();
    out.product["connections"] = static_cast<double>(sockets.size());
    out.product["statements_per_s"] =
        static_cast<double>(latencies.size()) / seconds;
    out.product["failed"] = failed;
    out.product["latency_ms_p50"] = percentile(latencies, 0.5);
    out.product["latency_ms_p99"] = percentile(latencies, 0.99);
    out.product["rss_mb_without_callers"] = unconnected_usage.rss_mb;
    out.product["rss_mb_with_callers"] = connected_usage.rss_mb;
    out.product["rss_mb_after_load"] = loaded_usage.rss_mb;
    out.product["cpu_pct_under_load"] =
        100 * (loaded_usage.cpu_seconds - connected_usage.cpu_seconds) /
        seconds;
    out.violations["product"] = load.check();
    return out;
}

} // namespace bench
