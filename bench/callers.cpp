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

/// As many callers as one node has at 550, with its statements a second.
report run_callers(const options& chosen)
{
    report out;
    out.tries = 1;
    auto form = chosen.form;
    form.services = 1;
    form.proxies = 3;
    auto where = fleet::start(form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    const auto before = where->proxy(0).usage();
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::socket> open;
    open.reserve(caller_connections);
    const auto address = where->caller_address(0);
    for (int i = 0; i < caller_connections; ++i)
    {
        open.emplace_back(io);
        boost::system::error_code error;
        open.back().connect(
            {boost::asio::ip::make_address(address.ip), address.port}, error);
        if (error)
            open.pop_back();
    }
    std::this_thread::sleep_for(core::millis(1000));
    const auto connected = where->proxy(0).usage();
    callers load(*where);
    load.set_in_rotation(1, false);
    load.set_in_rotation(2, false);
    std::mutex mutex;
    std::vector<double> latencies;
    std::atomic<int> failed{0};
    const core::millis duration(chosen.quick ? 5000 : 15'000);
    const auto start = core::steady::now();
    load.open_loop(
        statements_per_second, duration, [&](core::instant intended) {
            call what;
            const auto roll = load.random();
            what.service = where->service(0);
            what.slot = static_cast<int>(roll % 3);
            what.counter = "c" + std::to_string(roll / 3 % 64);
            what.kind = roll / 1000 % 5 == 0 ? kind::add : kind::session_read;
            load.send(what, intended, [&](const call_result& end) {
                if (!end.done)
                {
                    ++failed;
                    return;
                }
                const std::lock_guard lock(mutex);
                latencies.push_back(
                    core::to_ms_exact(end.answered - end.intended));
            });
        });
    const auto seconds =
        std::chrono::duration<double>(core::steady::now() - start).count();
    load.settle();
    const auto after = where->proxy(0).usage();
    out.product["connections"] = static_cast<double>(open.size());
    out.product["statements_per_s"] =
        static_cast<double>(latencies.size()) / seconds;
    out.product["failed"] = failed;
    out.product["latency_ms_p50"] = percentile(latencies, 0.5);
    out.product["latency_ms_p99"] = percentile(latencies, 0.99);
    out.product["rss_mb_without_callers"] = before.rss_mb;
    out.product["rss_mb_with_callers"] = connected.rss_mb;
    out.product["rss_mb_after_load"] = after.rss_mb;
    out.product["cpu_pct_under_load"] =
        100 * (after.cpu_seconds - connected.cpu_seconds) / seconds;
    out.violations["product"] = load.check();
    return out;
}

} // namespace bench
