#include "load.hpp"
#include "options.hpp"

#include <plantainward/upstream/wire.hpp>

namespace bench
{

namespace
{

using kind = support::counter_event::kind;

constexpr double calls_per_second = 400;
constexpr int counter_count = 24;
constexpr int lag_ms = 50;
constexpr int far_behind_ms = 10'000;
constexpr core::millis max_read_age{2000};

/// Reads that may be answered by a replica, and how many were.
struct read_count
{
    std::atomic<int> allowed{0};
    std::atomic<int> answered_by_replica{0};
    std::atomic<int> failed{0};
    std::mutex mutex;
    std::vector<double> latencies;
};

/// 20 % adds. Of the reads, one in ten needs the latest data, six accept an age
/// of 2 s, and three need the freshness of their session.
call pick_call(fleet& proxy_fleet, callers& load)
{
    call request;
    const auto random_number = load.random();
    request.service = proxy_fleet.service(static_cast<int>(random_number % 3));
    request.slot = static_cast<int>(random_number / 3 % 3);
    request.counter = "c" + std::to_string(random_number / 9 % counter_count);
    const auto choice = random_number / 1000 % 100;
    if (choice < 20)
        return request;
    request.request_class = "view";
    const auto read = random_number / 100'000 % 10;
    request.kind = read == 0   ? kind::latest_read
                   : read <= 6 ? kind::aged_read
                               : kind::session_read;
    request.max_age =
        request.kind == kind::aged_read ? max_read_age : core::millis(0);
    return request;
}

void run_mixed_load(fleet& proxy_fleet, callers& load, core::millis duration,
                    read_count& count)
{
    load.open_loop(calls_per_second, duration, [&](core::instant intended) {
        const auto request = pick_call(proxy_fleet, load);
        const bool allows_replica = request.kind == kind::aged_read ||
                                    request.kind == kind::session_read;
        load.send(request, intended,
                  [&count, allows_replica](const call_result& result) {
                      if (!result.done)
                          ++count.failed;
                      if (!allows_replica || !result.done)
                          return;
                      ++count.allowed;
                      count.answered_by_replica += result.from_replica ? 1 : 0;
                      const std::lock_guard lock(count.mutex);
                      count.latencies.push_back(
                          core::to_ms_exact(result.answered - result.intended));
                  });
    });
    load.wait_for_answers();
}

/// Percentage of the reads that a replica answered.
double share_of(const read_count& count)
{
    return count.allowed == 0
               ? 0
               : 100.0 * count.answered_by_replica / count.allowed;
}

/// Baseline: reads a replica without a check of its freshness. Adds a violation
/// for each read that misses the preceding write of the same caller.
figures run_random_replica(fleet& proxy_fleet, core::millis duration,
                           std::vector<std::string>& violations)
{
    boost::asio::io_context io;
    const auto primary = proxy_fleet.primary(0, 0).value_or(0);
    const auto replica = primary == 0 ? 1 : 0;
    const auto term = proxy_fleet.status(primary, 0)->granted;
    const auto connect = [&](int database) {
        auto connection = http::client_connection::create(
            io, proxy_fleet.database_address(database));
        connection->open(core::millis(1000), [&](bool) {
            connection->exchange({"POST", "/session", {}, "{}"},
                                 core::millis(1000),
                                 [](const http::exchange_result&) {});
        });
        io.run();
        io.restart();
        return connection;
    };
    const auto writer = connect(primary);
    const auto reader = connect(replica);
    const auto run = [&](const auto& connection,
                         upstream::verb statement_verb) {
        upstream::run_order order;
        order.term = term;
        order.statements = {{statement_verb, "random-replica", "", 1}};
        std::int64_t value = 0;
        connection->exchange(
            {"POST", "/run", {}, upstream::wire::encode(order)},
            core::millis(1000), [&](const http::exchange_result& result) {
                const auto end = upstream::wire::decode_run_result(result.body);
                if (end && !end->answer.results.empty() &&
                    !end->answer.results[0].rows.empty())
                    value = std::atoll(
                        end->answer.results[0].rows[0].value.c_str());
            });
        io.run();
        io.restart();
        return value;
    };
    const auto end = core::steady::now() + duration;
    int reads = 0;
    while (core::steady::now() < end)
    {
        const auto written = run(writer, upstream::verb::add);
        const auto read_value = run(reader, upstream::verb::get);
        ++reads;
        if (read_value < written)
            violations.push_back("read " + std::to_string(read_value) +
                                 " after the same caller saved " +
                                 std::to_string(written));
    }
    return {{"replica_share_pct", 100.0},
            {"stale_reads_pct",
             100.0 * static_cast<double>(violations.size()) / reads}};
}

} // namespace

report run_reads(const options& run_options)
{
    report out;
    out.tries = 1;
    const core::millis duration(run_options.quick ? 6000 : 30'000);
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.lag_ms = lag_ms;
    auto proxy_fleet = fleet::start(fleet_shape, run_options.program_folder,
                                    run_options.log_folder);
    if (!proxy_fleet)
        return out;
    callers load(*proxy_fleet);
    read_count equal_lag;
    run_mixed_load(*proxy_fleet, load, duration, equal_lag);
    out.product["replica_share_pct"] = share_of(equal_lag);
    out.product["read_latency_ms_p50"] = percentile(equal_lag.latencies, 0.5);
    out.product["read_latency_ms_p99"] = percentile(equal_lag.latencies, 0.99);
    out.product["failed"] = equal_lag.failed;
    progress("even lag: " + std::to_string(share_of(equal_lag)) + "%");
    for (int service = 0; service < fleet_shape.services; ++service)
        proxy_fleet->set_database_faults(
            service * 3 + 1,
            R"({"lag_ms":)" + std::to_string(far_behind_ms) + "}");
    std::this_thread::sleep_for(core::millis(1000));
    read_count one_far_behind;
    run_mixed_load(*proxy_fleet, load, duration, one_far_behind);
    out.product["replica_share_one_far_behind_pct"] = share_of(one_far_behind);
    out.product["read_latency_one_far_behind_ms_p99"] =
        percentile(one_far_behind.latencies, 0.99);
    out.product["failed_one_far_behind"] = one_far_behind.failed;
    progress("one replica 10 s behind: " +
             std::to_string(share_of(one_far_behind)) + "%");
    out.violations["product"] = load.check();
    out.baselines["primary only"] = {{"replica_share_pct", 0.0}};
    out.baselines["random replica"] = run_random_replica(
        *proxy_fleet, core::millis(run_options.quick ? 2000 : 5000),
        out.violations["baseline random replica"]);
    return out;
}

} // namespace bench
