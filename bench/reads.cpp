#include "load.hpp"
#include "options.hpp"

#include <plantainward/upstream/wire.hpp>

namespace bench
{

namespace
{

using kind = support::counter_event::kind;

constexpr double calls_per_second = 400;
constexpr int counters = 24;
constexpr int lag_ms = 50;
constexpr int far_behind_ms = 10'000;
constexpr core::millis stated_age{2000};

/// Share of the reads that may use a replica and did.
struct read_count
{
    std::atomic<int> allowed{0};
    std::atomic<int> by_replica{0};
    std::atomic<int> failed{0};
    std::mutex mutex;
    std::vector<double> latencies;
};

/// A mix in which nine reads in ten accept 2 s or a session.
call pick_call(fleet& where, callers& load)
{
    call what;
    const auto roll = load.random();
    what.service = where.service(static_cast<int>(roll % 3));
    what.slot = static_cast<int>(roll / 3 % 3);
    what.counter = "c" + std::to_string(roll / 9 % counters);
    const auto choice = roll / 1000 % 100;
    if (choice < 20)
        return what;
    what.klass = "view";
    const auto read = roll / 100'000 % 10;
    what.kind = read == 0   ? kind::latest_read
                : read <= 6 ? kind::aged_read
                            : kind::session_read;
    what.max_age = what.kind == kind::aged_read ? stated_age : core::millis(0);
    return what;
}

void run_mix(fleet& where, callers& load, core::millis duration,
             read_count& count)
{
    load.open_loop(calls_per_second, duration, [&](core::instant intended) {
        const auto what = pick_call(where, load);
        const bool may =
            what.kind == kind::aged_read || what.kind == kind::session_read;
        load.send(what, intended, [&count, may](const call_result& end) {
            if (!end.done)
                ++count.failed;
            if (!may || !end.done)
                return;
            ++count.allowed;
            count.by_replica += end.from_replica ? 1 : 0;
            const std::lock_guard lock(count.mutex);
            count.latencies.push_back(
                core::to_ms_exact(end.answered - end.intended));
        });
    });
    load.settle();
}

double share_of(const read_count& count)
{
    return count.allowed == 0 ? 0 : 100.0 * count.by_replica / count.allowed;
}

/// Reads any replica without a check, and counts what that breaks.
figures run_random_replica(fleet& where, core::millis duration,
                           std::vector<std::string>& violations)
{
    boost::asio::io_context io;
    const auto primary = where.primary(0, 0).value_or(0);
    const auto replica = primary == 0 ? 1 : 0;
    const auto term = where.status(primary, 0)->granted;
    const auto connect = [&](int database) {
        auto one = http::client_connection::create(
            io, where.database_address(database));
        one->open(core::millis(1000), [&](bool) {
            one->exchange({"POST", "/session", {}, "{}"}, core::millis(1000),
                          [](const http::exchange_result&) {});
        });
        io.run();
        io.restart();
        return one;
    };
    const auto writer = connect(primary);
    const auto reader = connect(replica);
    const auto run = [&](const auto& one, upstream::verb what) {
        upstream::run_order order;
        order.term = term;
        order.statements = {{what, "random-replica", "", 1}};
        std::int64_t value = 0;
        one->exchange(
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
        const auto saved = run(writer, upstream::verb::add);
        const auto seen = run(reader, upstream::verb::get);
        ++reads;
        if (seen < saved)
            violations.push_back("read " + std::to_string(seen) +
                                 " after the same caller saved " +
                                 std::to_string(saved));
    }
    return {{"replica_share_pct", 100.0},
            {"stale_reads_pct",
             100.0 * static_cast<double>(violations.size()) / reads}};
}

} // namespace

report run_reads(const options& chosen)
{
    report out;
    out.tries = 1;
    const core::millis duration(chosen.quick ? 6000 : 30'000);
    auto form = chosen.form;
    form.lag_ms = lag_ms;
    auto where = fleet::start(form, chosen.programs, chosen.logs);
    if (!where)
        return out;
    callers load(*where);
    read_count even;
    run_mix(*where, load, duration, even);
    out.product["replica_share_pct"] = share_of(even);
    out.product["read_latency_ms_p50"] = percentile(even.latencies, 0.5);
    out.product["read_latency_ms_p99"] = percentile(even.latencies, 0.99);
    out.product["failed"] = even.failed;
    progress("even lag: " + std::to_string(share_of(even)) + "%");
    for (int service = 0; service < form.services; ++service)
        where->set_database_faults(service * 3 + 1,
                                   R"({"lag_ms":)" +
                                       std::to_string(far_behind_ms) + "}");
    std::this_thread::sleep_for(core::millis(1000));
    read_count uneven;
    run_mix(*where, load, duration, uneven);
    out.product["replica_share_one_far_behind_pct"] = share_of(uneven);
    out.product["read_latency_one_far_behind_ms_p99"] =
        percentile(uneven.latencies, 0.99);
    out.product["failed_one_far_behind"] = uneven.failed;
    progress("one replica 10 s behind: " + std::to_string(share_of(uneven)) +
             "%");
    out.violations["product"] = load.check();
    out.baselines["primary only"] = {{"replica_share_pct", 0.0}};
    out.baselines["random replica"] =
        run_random_replica(*where, core::millis(chosen.quick ? 2000 : 5000),
                           out.violations["baseline random replica"]);
    return out;
}

} // namespace bench
