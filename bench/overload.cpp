#include "load.hpp"
#include "options.hpp"

#include <sstream>

namespace bench
{

namespace
{

/// Answers by their outcome: done within the limit, done later, or refused.
struct answer_counts
{
    std::atomic<int> in_time{0};
    std::atomic<int> late{0};
    std::atomic<int> refused{0};
    std::mutex mutex;
    std::map<std::string, int> errors;
};

constexpr core::millis answer_limit{1000};

/// Sends adds at a rate, and returns the answers in time per second.
double measure_goodput(fleet& proxy_fleet, double per_second,
                       core::millis duration, answer_counts& count)
{
    callers load(proxy_fleet, 3);
    load.open_loop(per_second, duration, [&](core::instant intended) {
        call request;
        const auto random_number = load.random();
        request.service = proxy_fleet.service(0);
        request.slot = static_cast<int>(random_number % 3);
        request.counter = "c" + std::to_string(random_number / 3 % 64);
        request.deadline = answer_limit;
        load.send(request, intended, [&count](const call_result& result) {
            if (!result.done)
            {
                ++count.refused;
                const std::lock_guard lock(count.mutex);
                ++count.errors[result.error];
            }
            else if (result.answered - result.intended <= answer_limit)
                ++count.in_time;
            else
                ++count.late;
        });
    });
    load.wait_for_answers();
    return static_cast<double>(count.in_time) /
           std::chrono::duration<double>(duration).count();
}

/// The error kinds of the refused calls with their counts.
std::string error_summary(const answer_counts& count)
{
    std::string text;
    for (const auto& [name, kind_count] : count.errors)
    {
        text += text.empty() ? " (" : ", ";
        text += name;
        text += ' ';
        text += std::to_string(kind_count);
    }
    return text.empty() ? text : text + ")";
}

/// Goodput at several loads, which are multiples of the capacity of the
/// connections.
series sweep(const options& run_options, const shape& fleet_shape,
             const std::string& name, double capacity, figures& out)
{
    series curve{name, {}};
    auto proxy_fleet = fleet::start(fleet_shape, run_options.program_folder,
                                    run_options.log_folder + "/" + name);
    if (!proxy_fleet)
        return curve;
    const core::millis duration(run_options.quick ? 3000 : 8000);
    for (const double multiple : {0.5, 1.0, 2.0, 3.0, 5.0})
    {
        answer_counts count;
        const auto rate =
            measure_goodput(*proxy_fleet, capacity * multiple, duration, count);
        curve.points.emplace_back(multiple, rate);
        const auto tag = std::to_string(multiple).substr(0, 3) + "x";
        std::string figure = "goodput_at_";
        figure += tag;
        figure += "_per_s";
        out[figure] = rate;
        std::ostringstream line_text;
        line_text << name << " at " << tag << ": " << rate << " in time, "
                  << count.refused << " refused" << error_summary(count) << ", "
                  << count.late << " late";
        progress(line_text.str());
    }
    return curve;
}

void add_goodput_at_3x(const series& curve, figures& out)
{
    double best = 0;
    for (const auto& [multiple, rate] : curve.points)
        best = std::max(best, rate);
    for (const auto& [multiple, rate] : curve.points)
        if (multiple == 3.0 && best > 0)
            out["goodput_at_3x_pct"] = 100 * rate / best;
}

} // namespace

report run_overload(const options& run_options)
{
    report out;
    out.tries = 1;
    auto fleet_shape = run_options.fleet_shape;
    fleet_shape.services = 1;
    fleet_shape.proxies = 3;
    // Few connections with slow answers, so that they are the bottleneck and
    // not the processors of this machine.
    fleet_shape.connections = 12;
    fleet_shape.database_delay_ms = 20;
    // The coordinator may use 7/10 of the connections of each of the three
    // primaries.
    constexpr int databases = 3;
    const int usable = fleet_shape.connections * 7 / 10;
    const double capacity =
        databases * usable * 1000.0 / fleet_shape.database_delay_ms;
    out.product["capacity_per_s"] = capacity;
    const auto with_shedding =
        sweep(run_options, fleet_shape, "product", capacity, out.product);
    add_goodput_at_3x(with_shedding, out.product);
    fleet_shape.proxy_flags = {"--queue-ms", "60000", "--queue-capacity",
                               "1000000"};
    auto& baseline = out.baselines["without shedding"];
    const auto without_shedding =
        sweep(run_options, fleet_shape, "without-shedding", capacity, baseline);
    add_goodput_at_3x(without_shedding, baseline);
    out.plot = {with_shedding, without_shedding};
    out.x_label = "load, multiples of capacity";
    out.y_label = "answers in time, 1/s";
    return out;
}

} // namespace bench
