#include "lease_baseline.hpp"
#include "load.hpp"
#include "options.hpp"

#include <csignal>
#include <iostream>

namespace bench
{

namespace
{

constexpr double writes_per_second = 200;
constexpr core::millis time_before_fault{300};
constexpr core::millis observation_time{2500};
constexpr core::millis repair_timeout{30'000};
constexpr core::millis stall_duration{200};

/// A fault that loses the primary, and its repair.
struct primary_fault
{
    const char* name;
    void (*inject)(fleet&, int database);
    void (*repair)(fleet&, int database);
};

const std::vector<primary_fault> primary_faults{
    {"kill", [](fleet& f, int d) { f.database(d).kill(); },
     [](fleet& f, int d) {
         f.start_database(d);
     }},
    {"freeze", [](fleet& f, int d) { f.database(d).send(SIGSTOP); },
     [](fleet& f, int d) {
         f.database(d).send(SIGCONT);
     }},
    {"cut",
     [](fleet& f, int d) {
         f.set_database_faults(d, R"({"cut_replication":true})");
     },
     [](fleet& f, int d) {
         f.set_database_faults(d, R"({"cut_replication":false})");
     }},
};

/// Milliseconds from the fault until the first answer to a write that was due
/// after it; the observation time when there is none.
double measure_gap(fleet& proxy_fleet, callers& load,
                   const primary_fault& fault, int victim)
{
    std::mutex mutex;
    std::optional<core::instant> injected_at;
    std::optional<core::instant> first_answer;
    const auto send_call = [&](core::instant intended) {
        call request;
        request.service = proxy_fleet.service(0);
        request.counter = "c" + std::to_string(load.random() % 8);
        load.send(request, intended, [&](const call_result& result) {
            const std::lock_guard lock(mutex);
            if (!injected_at || !result.done || result.intended < *injected_at)
                return;
            if (!first_answer || result.answered < *first_answer)
                first_answer = result.answered;
        });
    };
    std::thread injector([&] {
        std::this_thread::sleep_for(time_before_fault);
        {
            const std::lock_guard lock(mutex);
            injected_at = core::steady::now();
        }
        fault.inject(proxy_fleet, victim);
    });
    load.open_loop(writes_per_second, time_before_fault + observation_time,
                   send_call);
    injector.join();
    load.wait_for_answers();
    return first_answer ? core::to_ms_exact(*first_answer - *injected_at)
                        : core::to_ms_exact(observation_time);
}

void add_gaps(figures& out, const std::string& prefix,
              const std::vector<double>& gaps)
{
    out[prefix + "gap_ms_p50"] = percentile(gaps, 0.5);
    out[prefix + "gap_ms_max"] = percentile(gaps, 1);
}

std::vector<double> measure_gaps(fleet& proxy_fleet, callers& load,
                                 const primary_fault& fault, int tries,
                                 report& out, const char* store)
{
    std::vector<double> gaps;
    for (int i = 0; i < tries; ++i)
    {
        const auto victim = proxy_fleet.primary(0, 0);
        if (!victim)
            break;
        gaps.push_back(measure_gap(proxy_fleet, load, fault, *victim));
        fault.repair(proxy_fleet, *victim);
        if (!proxy_fleet.wait_until_replicated(0, 0, repair_timeout))
            out.violations["mend"].push_back(std::string(fault.name) +
                                             ": the group did not heal");
        progress(std::string(fault.name) + ", store " + store + ", try " +
                 std::to_string(i + 1) + ": " + std::to_string(gaps.back()) +
                 " ms");
    }
    return gaps;
}

int count_stall_promotions(fleet& proxy_fleet, int tries)
{
    int promotions = 0;
    for (int i = 0; i < tries; ++i)
    {
        const auto victim = proxy_fleet.primary(0, 0);
        if (!victim)
            continue;
        const auto before = proxy_fleet.status(*victim, 0);
        proxy_fleet.database(*victim).send(SIGSTOP);
        std::this_thread::sleep_for(stall_duration);
        proxy_fleet.database(*victim).send(SIGCONT);
        std::this_thread::sleep_for(core::millis(600));
        const auto after = proxy_fleet.status(*victim, 0);
        if (!before || !after || before->granted != after->granted)
            ++promotions;
        progress("stall of 200 ms, try " + std::to_string(i + 1));
    }
    return promotions;
}

std::vector<double> measure_lease_baseline(const options& run_options,
                                           int tries)
{
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.proxies = 0;
    fleet_shape.services = 1;
    const auto proxy_fleet =
        fleet::start_databases(fleet_shape, run_options.program_folder,
                               run_options.log_folder + "/lease");
    std::vector<double> gaps;
    if (!proxy_fleet)
        return gaps;
    constexpr core::millis time_to_live{3000};
    lease_baseline baseline(*proxy_fleet, time_to_live);
    for (int i = 0; i < tries; ++i)
    {
        if (!wait_until(repair_timeout, [&] { return baseline.write(); }))
            break;
        std::this_thread::sleep_for(core::millis(
            200 + 37 * static_cast<int>(run_options.seed + i) % 900));
        const int victim = baseline.primary();
        proxy_fleet->database(victim).kill();
        const auto injected_at = core::steady::now();
        wait_until(repair_timeout, [&] { return baseline.write(); });
        gaps.push_back(core::to_ms_exact(core::steady::now() - injected_at));
        proxy_fleet->start_database(victim);
        progress("lease baseline, try " + std::to_string(i + 1) + ": " +
                 std::to_string(gaps.back()) + " ms");
        std::this_thread::sleep_for(core::millis(500));
    }
    return gaps;
}

} // namespace

report run_failover(const options& run_options)
{
    report out;
    const int tries = run_options.quick ? 3 : run_options.tries;
    out.tries = tries;
    auto proxy_fleet =
        fleet::start(run_options.fleet_shape, run_options.program_folder,
                     run_options.log_folder);
    if (!proxy_fleet)
        return out;
    std::vector<double> all_gaps;
    callers load(*proxy_fleet);
    int count = 0;
    for (const auto& fault : primary_faults)
    {
        const auto gaps =
            measure_gaps(*proxy_fleet, load, fault, tries, out, "up");
        add_gaps(out.product, std::string(fault.name) + "_", gaps);
        all_gaps.insert(all_gaps.end(), gaps.begin(), gaps.end());
        series plot_line{fault.name, {}};
        for (const auto gap : gaps)
            plot_line.points.emplace_back(++count, gap);
        out.plot.push_back(plot_line);
    }
    out.product["stall_200_ms_promotions"] =
        count_stall_promotions(*proxy_fleet, tries);
    proxy_fleet->set_platform_faults(R"({"hung":true})");
    const auto gaps_store_down = measure_gaps(
        *proxy_fleet, load, primary_faults.front(), tries, out, "down");
    add_gaps(out.product, "kill_store_down_", gaps_store_down);
    all_gaps.insert(all_gaps.end(), gaps_store_down.begin(),
                    gaps_store_down.end());
    proxy_fleet->set_platform_faults(R"({"hung":false})");
    add_gaps(out.product, "", all_gaps);
    out.violations["product"] = load.check();
    proxy_fleet.reset();
    add_gaps(
        out.baselines["lease in the table"], "kill_",
        measure_lease_baseline(run_options, run_options.quick ? 2 : tries));
    out.x_label = "try";
    out.y_label = "failover gap, ms";
    return out;
}

} // namespace bench
