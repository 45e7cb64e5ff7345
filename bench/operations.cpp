#include "load.hpp"
#include "options.hpp"

#include <csignal>

namespace bench
{

namespace
{

using kind = support::counter_event::kind;

/// Time until every proxy has a revision in force.
double in_force_everywhere(const fleet& where, std::uint64_t revision,
                           core::instant accepted)
{
    wait_until(core::millis(30'000), [&] {
        for (int i = 0; i < where.proxies(); ++i)
            if (where.revision_at(i) < revision)
                return false;
        return true;
    });
    return core::to_ms_exact(core::steady::now() - accepted);
}

call any_call(fleet& where, callers& load)
{
    call what;
    const auto roll = load.random();
    what.service = where.service(static_cast<int>(roll % 3));
    what.slot = static_cast<int>(roll / 3 % 3);
    what.counter = "c" + std::to_string(roll / 9 % 16);
    what.kind = roll / 1000 % 2 == 0 ? kind::add : kind::session_read;
    return what;
}

std::size_t orders_run(const fleet& where, int database)
{
    const auto state = post(where.database_address(database), "/state", "{}");
    return state ? state->at("orders_run").to_number<std::size_t>() : 0;
}

} // namespace

report run_config(const options& chosen)
{
    report out;
    const int tries = chosen.quick ? 4 : chosen.tries;
    out.tries = tries;
    auto where = fleet::start(chosen.form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    std::vector<double> up;
    std::vector<double> down;
    for (int i = 0; i < tries; ++i)
    {
        const auto revision = where->apply(
            i % 2 == 0 ? std::vector{2} : std::vector<int>{}, true);
        if (!revision)
            continue;
        up.push_back(
            in_force_everywhere(*where, *revision, core::steady::now()));
        // The store goes down right after it has accepted the next one.
        const auto next = where->apply({}, true);
        where->set_platform_faults(R"({"hung":true})");
        if (next)
            down.push_back(
                in_force_everywhere(*where, *next, core::steady::now()));
        // A proxy that restarts during the outage learns it from its peers.
        where->proxy(3).kill();
        where->start_proxy(3);
        if (next)
            out.product["restart_in_outage_ms_max"] = std::max(
                out.product["restart_in_outage_ms_max"],
                in_force_everywhere(*where, *next, core::steady::now()));
        where->set_platform_faults(R"({"hung":false})");
        progress("try " + std::to_string(i + 1) + ": " +
                 std::to_string(up.back()) + " ms, store down " +
                 std::to_string(down.empty() ? 0 : down.back()) + " ms");
    }
    out.product["in_force_ms_p50"] = percentile(up, 0.5);
    out.product["in_force_ms_max"] = percentile(up, 1);
    out.product["in_force_store_down_ms_max"] = percentile(down, 1);
    return out;
}

report run_leaving(const options& chosen)
{
    report out;
    const int tries = chosen.quick ? 2 : chosen.tries;
    out.tries = tries;
    auto where = fleet::start(chosen.form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    callers load(*where);
    std::vector<double> lasts;
    for (int i = 0; i < tries; ++i)
    {
        // By intent and by the host list in turn; the primary of slot 0.
        const auto victim = where->primary(0, 0).value_or(0);
        const auto start = core::steady::now();
        if (i % 2 == 0)
            where->apply({victim}, true);
        else
            where->list_hosts({where->database_address(victim)});
        std::atomic<bool> running{true};
        double last = 0;
        std::thread watcher([&] {
            auto before = orders_run(*where, victim);
            while (running)
            {
                std::this_thread::sleep_for(core::millis(20));
                const auto now = orders_run(*where, victim);
                if (now != before)
                    last = core::to_ms_exact(core::steady::now() - start);
                before = now;
            }
        });
        std::atomic<int> failed{0};
        load.open_loop(200, core::millis(9000), [&](core::instant intended) {
            load.send(
                any_call(*where, load), intended,
                [&](const call_result& end) { failed += end.done ? 0 : 1; });
        });
        running = false;
        watcher.join();
        lasts.push_back(last);
        out.product["failed"] += failed;
        if (i % 2 == 0)
            where->apply({}, true);
        else
            where->list_hosts({});
        std::this_thread::sleep_for(core::millis(6000));
        progress(std::string(i % 2 == 0 ? "intent" : "host list") +
                 ": last new work after " + std::to_string(last) + " ms");
    }
    std::vector<double> by_intent;
    for (std::size_t i = 0; i < lasts.size(); i += 2)
        by_intent.push_back(lasts[i]);
    load.settle();
    out.product["last_new_work_ms_max"] = percentile(lasts, 1);
    out.product["last_new_work_by_intent_ms_max"] = percentile(by_intent, 1);
    out.violations["product"] = load.check();
    return out;
}

report run_drain(const options& chosen)
{
    report out;
    const int tries = chosen.quick ? 4 : chosen.tries;
    out.tries = tries;
    auto where = fleet::start(chosen.form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    callers load(*where);
    std::atomic<int> lost{0};
    std::atomic<int> failed{0};
    std::atomic<bool> running{true};
    std::thread traffic([&] {
        while (running)
            load.open_loop(400, core::millis(500), [&](core::instant intended) {
                load.send(any_call(*where, load), intended,
                          [&](const call_result& end) {
                              lost += end.lost ? 1 : 0;
                              failed += end.done ? 0 : 1;
                          });
            });
    });
    std::vector<double> times;
    int bad_exits = 0;
    for (int i = 0; i < tries; ++i)
    {
        const int proxy = i % where->proxies();
        const auto start = core::steady::now();
        where->proxy(proxy).send(SIGTERM);
        // The balancer sees the readiness change within its interval.
        std::this_thread::sleep_for(core::millis(200));
        load.set_in_rotation(proxy, false);
        bad_exits += where->proxy(proxy).wait() == 0 ? 0 : 1;
        times.push_back(core::to_ms_exact(core::steady::now() - start));
        where->start_proxy(proxy);
        wait_until(core::millis(10'000),
                   [&] { return where->revision_at(proxy) > 0; });
        load.set_in_rotation(proxy, true);
        progress("roll " + std::to_string(i + 1) + ": " +
                 std::to_string(times.back()) + " ms, cut off so far " +
                 std::to_string(lost.load()));
    }
    running = false;
    traffic.join();
    load.settle();
    out.product["requests_cut_off"] = lost;
    out.product["requests_failed"] = failed;
    out.product["bad_exit_codes"] = bad_exits;
    out.product["drain_ms_max"] = percentile(times, 1);
    out.violations["product"] = load.check();
    return out;
}

} // namespace bench
