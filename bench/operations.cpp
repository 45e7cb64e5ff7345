#include "load.hpp"
#include "options.hpp"

#include <csignal>

namespace bench
{

namespace
{

using kind = support::counter_event::kind;

/// Milliseconds since `accepted` until every proxy has a revision in force, at
/// most 30 s.
double time_until_in_force(const fleet& proxy_fleet, std::uint64_t revision,
                           core::instant accepted)
{
    wait_until(core::millis(30'000), [&] {
        for (int i = 0; i < proxy_fleet.proxies(); ++i)
            if (proxy_fleet.revision_at(i) < revision)
                return false;
        return true;
    });
    return core::to_ms_exact(core::steady::now() - accepted);
}

call random_call(fleet& proxy_fleet, callers& load)
{
    call request;
    const auto random_number = load.random();
    request.service = proxy_fleet.service(static_cast<int>(random_number % 3));
    request.slot = static_cast<int>(random_number / 3 % 3);
    request.counter = "c" + std::to_string(random_number / 9 % 16);
    request.kind =
        random_number / 1000 % 2 == 0 ? kind::add : kind::session_read;
    return request;
}

/// Number of orders that a database has run; 0 when it does not answer.
std::size_t orders_run(const fleet& proxy_fleet, int database)
{
    const auto state =
        post(proxy_fleet.database_address(database), "/state", "{}");
    return state ? state->at("orders_run").to_number<std::size_t>() : 0;
}

} // namespace

report run_config(const options& run_options)
{
    report out;
    const int tries = run_options.quick ? 4 : run_options.tries;
    out.tries = tries;
    auto proxy_fleet =
        fleet::start(run_options.fleet_shape, run_options.program_folder,
                     run_options.log_folder);
    if (!proxy_fleet)
        return out;
    std::vector<double> times_store_up;
    std::vector<double> times_store_down;
    for (int i = 0; i < tries; ++i)
    {
        const auto revision = proxy_fleet->apply(
            i % 2 == 0 ? std::vector{2} : std::vector<int>{}, true);
        if (!revision)
            continue;
        times_store_up.push_back(
            time_until_in_force(*proxy_fleet, *revision, core::steady::now()));
        // The store stops answering right after it has accepted the next
        // revision.
        const auto next = proxy_fleet->apply({}, true);
        proxy_fleet->set_platform_faults(R"({"hung":true})");
        if (next)
            times_store_down.push_back(
                time_until_in_force(*proxy_fleet, *next, core::steady::now()));
        // A proxy that restarts during the outage gets the revision from its
        // peers.
        proxy_fleet->proxy(3).kill();
        proxy_fleet->start_proxy(3);
        if (next)
            out.product["restart_in_outage_ms_max"] = std::max(
                out.product["restart_in_outage_ms_max"],
                time_until_in_force(*proxy_fleet, *next, core::steady::now()));
        proxy_fleet->set_platform_faults(R"({"hung":false})");
        progress("try " + std::to_string(i + 1) + ": " +
                 std::to_string(times_store_up.back()) + " ms, store down " +
                 std::to_string(
                     times_store_down.empty() ? 0 : times_store_down.back()) +
                 " ms");
    }
    out.product["in_force_ms_p50"] = percentile(times_store_up, 0.5);
    out.product["in_force_ms_max"] = percentile(times_store_up, 1);
    out.product["in_force_store_down_ms_max"] = percentile(times_store_down, 1);
    return out;
}

report run_leaving(const options& run_options)
{
    report out;
    const int tries = run_options.quick ? 2 : run_options.tries;
    out.tries = tries;
    auto proxy_fleet =
        fleet::start(run_options.fleet_shape, run_options.program_folder,
                     run_options.log_folder);
    if (!proxy_fleet)
        return out;
    callers load(*proxy_fleet);
    std::vector<double> last_work_times;
    for (int i = 0; i < tries; ++i)
    {
        // The primary of slot 0 leaves: by the intent in even tries, by the
        // host list in odd ones.
        const auto leaving_database = proxy_fleet->primary(0, 0).value_or(0);
        const auto start = core::steady::now();
        if (i % 2 == 0)
            proxy_fleet->apply({leaving_database}, true);
        else
            proxy_fleet->list_hosts(
                {proxy_fleet->database_address(leaving_database)});
        std::atomic<bool> running{true};
        double last_work_ms = 0;
        std::thread watcher([&] {
            auto before = orders_run(*proxy_fleet, leaving_database);
            while (running)
            {
                std::this_thread::sleep_for(core::millis(20));
                const auto now = orders_run(*proxy_fleet, leaving_database);
                if (now != before)
                    last_work_ms =
                        core::to_ms_exact(core::steady::now() - start);
                before = now;
            }
        });
        std::atomic<int> failed{0};
        load.open_loop(200, core::millis(9000), [&](core::instant intended) {
            load.send(random_call(*proxy_fleet, load), intended,
                      [&](const call_result& result) {
                          failed += result.done ? 0 : 1;
                      });
        });
        running = false;
        watcher.join();
        last_work_times.push_back(last_work_ms);
        out.product["failed"] += failed;
        if (i % 2 == 0)
            proxy_fleet->apply({}, true);
        else
            proxy_fleet->list_hosts({});
        std::this_thread::sleep_for(core::millis(6000));
        progress(std::string(i % 2 == 0 ? "intent" : "host list") +
                 ": last new work after " + std::to_string(last_work_ms) +
                 " ms");
    }
    std::vector<double> by_intent;
    for (std::size_t i = 0; i < last_work_times.size(); i += 2)
        by_intent.push_back(last_work_times[i]);
    load.wait_for_answers();
    out.product["last_new_work_ms_max"] = percentile(last_work_times, 1);
    out.product["last_new_work_by_intent_ms_max"] = percentile(by_intent, 1);
    out.violations["product"] = load.check();
    return out;
}

report run_drain(const options& run_options)
{
    report out;
    const int tries = run_options.quick ? 4 : run_options.tries;
    out.tries = tries;
    auto proxy_fleet =
        fleet::start(run_options.fleet_shape, run_options.program_folder,
                     run_options.log_folder);
    if (!proxy_fleet)
        return out;
    callers load(*proxy_fleet);
    std::atomic<int> lost{0};
    std::atomic<int> failed{0};
    std::atomic<bool> running{true};
    std::thread traffic([&] {
        while (running)
            load.open_loop(400, core::millis(500), [&](core::instant intended) {
                load.send(random_call(*proxy_fleet, load), intended,
                          [&](const call_result& result) {
                              lost += result.lost ? 1 : 0;
                              failed += result.done ? 0 : 1;
                          });
            });
    });
    std::vector<double> times;
    int bad_exits = 0;
    for (int i = 0; i < tries; ++i)
    {
        const int proxy = i % proxy_fleet->proxies();
        const auto start = core::steady::now();
        proxy_fleet->proxy(proxy).send(SIGTERM);
        // The balancer notices the change of readiness within its check
        // interval.
        std::this_thread::sleep_for(core::millis(200));
        load.set_in_rotation(proxy, false);
        bad_exits += proxy_fleet->proxy(proxy).wait() == 0 ? 0 : 1;
        times.push_back(core::to_ms_exact(core::steady::now() - start));
        proxy_fleet->start_proxy(proxy);
        wait_until(core::millis(10'000),
                   [&] { return proxy_fleet->revision_at(proxy) > 0; });
        load.set_in_rotation(proxy, true);
        progress("roll " + std::to_string(i + 1) + ": " +
                 std::to_string(times.back()) + " ms, cut off so far " +
                 std::to_string(lost.load()));
    }
    running = false;
    traffic.join();
    load.wait_for_answers();
    out.product["requests_cut_off"] = lost;
    out.product["requests_failed"] = failed;
    out.product["bad_exit_codes"] = bad_exits;
    out.product["drain_ms_max"] = percentile(times, 1);
    out.violations["product"] = load.check();
    return out;
}

} // namespace bench
