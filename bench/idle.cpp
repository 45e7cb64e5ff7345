#include "load.hpp"
#include "options.hpp"

#include <sstream>

namespace bench
{

namespace
{

constexpr core::millis settling_time{13'000};

/// Sum of a counter over all its labels, from the metrics of a proxy.
double counter_sum(const fleet& proxy_fleet, int proxy, const std::string& name)
{
    const auto page =
        http::send_and_wait(proxy_fleet.admin_address(proxy),
                            {"GET", "/metrics", {}, {}}, core::millis(2000));
    std::istringstream lines(page.body);
    double sum = 0;
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with("plantainward_" + name + "_total{"))
            sum += std::atof(line.substr(line.rfind(' ')).c_str());
    return sum;
}

/// Cost of one idle node, as the average over the fleet and at the worst node.
struct cost
{
    double cpu_pct{0};
    double rss_mb{0};
    double bytes_per_s{0};
    double worst_cpu_pct{0};
    double worst_bytes_per_s{0};
};

cost measure(fleet& proxy_fleet, core::millis duration)
{
    const auto count = static_cast<std::size_t>(proxy_fleet.proxies());
    std::vector<double> cpu(count);
    std::vector<double> bytes(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        bytes[i] =
            counter_sum(proxy_fleet, static_cast<int>(i), "control_bytes");
        cpu[i] = proxy_fleet.proxy(static_cast<int>(i)).usage().cpu_seconds;
    }
    std::this_thread::sleep_for(duration);
    const auto seconds = std::chrono::duration<double>(duration).count();
    cost node_cost;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto usage = proxy_fleet.proxy(static_cast<int>(i)).usage();
        const auto cpu_pct = 100 * (usage.cpu_seconds - cpu[i]) / seconds;
        const auto sent =
            (counter_sum(proxy_fleet, static_cast<int>(i), "control_bytes") -
             bytes[i]) /
            seconds;
        node_cost.cpu_pct += cpu_pct / static_cast<double>(count);
        node_cost.bytes_per_s += sent / static_cast<double>(count);
        node_cost.rss_mb += usage.rss_mb / static_cast<double>(count);
        node_cost.worst_cpu_pct = std::max(node_cost.worst_cpu_pct, cpu_pct);
        node_cost.worst_bytes_per_s =
            std::max(node_cost.worst_bytes_per_s, sent);
    }
    return node_cost;
}

/// Starts a fleet of `count` nodes and measures the cost of one; empty when it
/// does not start.
std::optional<cost> cost_at(const options& run_options, int count,
                            std::vector<std::string> flags)
{
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.proxies = count;
    fleet_shape.proxy_flags = {"--caller-threads", "1"};
    fleet_shape.proxy_flags.insert(fleet_shape.proxy_flags.end(), flags.begin(),
                                   flags.end());
    auto proxy_fleet = fleet::start(fleet_shape, run_options.program_folder,
                                    run_options.log_folder);
    if (!proxy_fleet)
        return std::nullopt;
    // While the hosts find each other, temporary coordinators run; they are not
    // part of the idle cost, so wait until they have ended.
    std::this_thread::sleep_for(settling_time);
    return measure(*proxy_fleet,
                   core::millis(run_options.quick ? 5000 : 10'000));
}

void add_cost(const cost& measured_cost, const std::string& tag, figures& out)
{
    out["cpu_pct_per_node" + tag] = measured_cost.cpu_pct;
    out["rss_mb_per_node" + tag] = measured_cost.rss_mb;
    out["bytes_per_s_per_node" + tag] = measured_cost.bytes_per_s;
    out["worst_cpu_pct" + tag] = measured_cost.worst_cpu_pct;
    out["worst_bytes_per_s" + tag] = measured_cost.worst_bytes_per_s;
    progress(tag + ": " + std::to_string(measured_cost.cpu_pct) +
             "% of a core, " + std::to_string(measured_cost.rss_mb) + " MB, " +
             std::to_string(measured_cost.bytes_per_s) + " bytes/s");
}

} // namespace

report run_idle(const options& run_options)
{
    report out;
    out.tries = 1;
    series cpu{"cpu, % of a core", {}};
    series bytes{"KB/s, both ways", {}};
    const std::vector<int> counts =
        run_options.quick ? std::vector{4} : std::vector{4, 8, 16, 32, 64};
    for (const int count : counts)
    {
        const auto measured_cost = cost_at(run_options, count, {});
        if (!measured_cost)
            continue;
        add_cost(*measured_cost, "_" + std::to_string(count) + "_nodes",
                 out.product);
        add_cost(*measured_cost, "", out.product);
        cpu.points.emplace_back(count, measured_cost->cpu_pct);
        bytes.points.emplace_back(count, measured_cost->bytes_per_s / 1000);
    }
    // The probe interval that the capacity page plans for large fleets.
    const int count = run_options.quick ? 4 : 16;
    const auto slow =
        cost_at(run_options, count,
                {"--probe-interval-ms", "400", "--silence-ms", "1600"});
    if (slow)
        add_cost(*slow, "_" + std::to_string(count) + "_nodes_slow_probes",
                 out.product);
    out.plot = {cpu, bytes};
    out.x_label = "nodes";
    out.y_label = "cost of one idle node";
    return out;
}

} // namespace bench
