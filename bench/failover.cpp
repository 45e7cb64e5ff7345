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
constexpr core::millis before_strike{300};
constexpr core::millis watch_time{2500};
constexpr core::millis mend_time{30'000};
constexpr core::millis stall{200};

/// One way to lose a primary, and to mend it.
struct loss
{
    const char* name;
    void (*strike)(fleet&, int database);
    void (*mend)(fleet&, int database);
};

const std::vector<loss> losses{
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

/// Time from the strike until a write that was meant after it is done.
double measure_gap(fleet& where, callers& load, const loss& how, int victim)
{
    std::mutex mutex;
    std::optional<core::instant> struck;
    std::optional<core::instant> first;
    const auto fire = [&](core::instant intended) {
        call what;
        what.service = where.service(0);
        what.counter = "c" + std::to_string(load.random() % 8);
        load.send(what, intended, [&](const call_result& end) {
            const std::lock_guard lock(mutex);
            if (!struck || !end.done || end.intended < *struck)
                return;
            if (!first || end.answered < *first)
                first = end.answered;
        });
    };
    std::thread striker([&] {
        std::this_thread::sleep_for(before_strike);
        {
            const std::lock_guard lock(mutex);
            struck = core::steady::now();
        }
        how.strike(where, victim);
    });
    load.open_loop(writes_per_second, before_strike + watch_time, fire);
    striker.join();
    load.settle();
    return first ? core::to_ms_exact(*first - *struck)
                 : core::to_ms_exact(watch_time);
}

void add_gaps(figures& out, const std::string& prefix,
              const std::vector<double>& gaps)
{
    out[prefix + "gap_ms_p50"] = percentile(gaps, 0.5);
    out[prefix + "gap_ms_max"] = percentile(gaps, 1);
}

std::vector<double> run_losses(fleet& where, callers& load, const loss& how,
                               int tries, report& out, const char* store)
{
    std::vector<double> gaps;
    for (int i = 0; i < tries; ++i)
    {
        const auto victim = where.primary(0, 0);
        if (!victim)
            break;
        gaps.push_back(measure_gap(where, load, how, *victim));
        how.mend(where, *victim);
        if (!where.wait_whole(0, 0, mend_time))
            out.violations["mend"].push_back(std::string(how.name) +
                                             ": the group did not heal");
        progress(std::string(how.name) + ", store " + store + ", try " +
                 std::to_string(i + 1) + ": " + std::to_string(gaps.back()) +
                 " ms");
    }
    return gaps;
}

int count_stall_promotions(fleet& where, int tries)
{
    int promotions = 0;
    for (int i = 0; i < tries; ++i)
    {
        const auto victim = where.primary(0, 0);
        if (!victim)
            continue;
        const auto before = where.status(*victim, 0);
        where.database(*victim).send(SIGSTOP);
        std::this_thread::sleep_for(stall);
        where.database(*victim).send(SIGCONT);
        std::this_thread::sleep_for(core::millis(600));
        const auto after = where.status(*victim, 0);
        if (!before || !after || before->granted != after->granted)
            ++promotions;
        progress("stall of 200 ms, try " + std::to_string(i + 1));
    }
    return promotions;
}

std::vector<double> run_lease(const options& chosen, int tries)
{
    auto form = chosen.form;
    form.proxies = 0;
    form.services = 1;
    const auto where =
        fleet::start_databases(form, chosen.programs, chosen.logs + "/lease");
    std::vector<double> gaps;
    if (!where)
        return gaps;
    constexpr core::millis time_to_live{3000};
    lease_baseline baseline(*where, time_to_live);
    for (int i = 0; i < tries; ++i)
    {
        if (!wait_until(mend_time, [&] { return baseline.write(); }))
            break;
        std::this_thread::sleep_for(
            core::millis(200 + 37 * static_cast<int>(chosen.seed + i) % 900));
        const int victim = baseline.primary();
        where->database(victim).kill();
        const auto struck = core::steady::now();
        wait_until(mend_time, [&] { return baseline.write(); });
        gaps.push_back(core::to_ms_exact(core::steady::now() - struck));
        where->start_database(victim);
        progress("lease baseline, try " + std::to_string(i + 1) + ": " +
                 std::to_string(gaps.back()) + " ms");
        std::this_thread::sleep_for(core::millis(500));
    }
    return gaps;
}

} // namespace

report run_failover(const options& chosen)
{
    report out;
    const int tries = chosen.quick ? 3 : chosen.tries;
    out.tries = tries;
    auto where = fleet::start(chosen.form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    std::vector<double> all;
    callers load(*where);
    int count = 0;
    for (const auto& how : losses)
    {
        const auto gaps = run_losses(*where, load, how, tries, out, "up");
        add_gaps(out.product, std::string(how.name) + "_", gaps);
        all.insert(all.end(), gaps.begin(), gaps.end());
        series line{how.name, {}};
        for (const auto gap : gaps)
            line.points.emplace_back(++count, gap);
        out.plot.push_back(line);
    }
    out.product["stall_200_ms_promotions"] =
        count_stall_promotions(*where, tries);
    where->set_platform_faults(R"({"hung":true})");
    const auto down =
        run_losses(*where, load, losses.front(), tries, out, "down");
    add_gaps(out.product, "kill_store_down_", down);
    all.insert(all.end(), down.begin(), down.end());
    where->set_platform_faults(R"({"hung":false})");
    add_gaps(out.product, "", all);
    out.violations["product"] = load.check();
    where.reset();
    add_gaps(out.baselines["lease in the table"], "kill_",
             run_lease(chosen, chosen.quick ? 2 : tries));
    out.x_label = "try";
    out.y_label = "failover gap, ms";
    return out;
}

} // namespace bench
