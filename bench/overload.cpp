#include "load.hpp"
#include "options.hpp"

#include <sstream>

namespace bench
{

namespace
{

/// Work of the overload: latest reads and adds of one service.
struct goodput
{
    std::atomic<int> in_time{0};
    std::atomic<int> late{0};
    std::atomic<int> refused{0};
    std::mutex mutex;
    std::map<std::string, int> errors;
};

constexpr core::millis in_time_bound{1000};

double run_at(fleet& where, double per_second, core::millis duration,
              goodput& count)
{
    callers load(where, 3);
    load.open_loop(per_second, duration, [&](core::instant intended) {
        call what;
        const auto roll = load.random();
        what.service = where.service(0);
        what.slot = static_cast<int>(roll % 3);
        what.counter = "c" + std::to_string(roll / 3 % 64);
        what.deadline = in_time_bound;
        load.send(what, intended, [&count](const call_result& end) {
            if (!end.done)
            {
                ++count.refused;
                const std::lock_guard lock(count.mutex);
                ++count.errors[end.error];
            }
            else if (end.answered - end.intended <= in_time_bound)
                ++count.in_time;
            else
                ++count.late;
        });
    });
    load.settle();
    return static_cast<double>(count.in_time) /
           std::chrono::duration<double>(duration).count();
}

/// The kinds of the refusals with their counts.
std::string kinds_of(const goodput& count)
{
    std::string text;
    for (const auto& [name, times] : count.errors)
    {
        text += text.empty() ? " (" : ", ";
        text += name;
        text += ' ';
        text += std::to_string(times);
    }
    return text.empty() ? text : text + ")";
}

/// Goodput by load, as multiples of the capacity of the connections.
series sweep(const options& chosen, const shape& form, const std::string& name,
             double capacity, figures& out)
{
    series line{name, {}};
    auto where = fleet::start(form, chosen.programs, chosen.logs + "/" + name);
    if (!where)
        return line;
    const core::millis duration(chosen.quick ? 3000 : 8000);
    for (const double times : {0.5, 1.0, 2.0, 3.0, 5.0})
    {
        goodput count;
        const auto rate = run_at(*where, capacity * times, duration, count);
        line.points.emplace_back(times, rate);
        const auto tag = std::to_string(times).substr(0, 3) + "x";
        std::string figure = "goodput_at_";
        figure += tag;
        figure += "_per_s";
        out[figure] = rate;
        std::ostringstream line_text;
        line_text << name << " at " << tag << ": " << rate << " in time, "
                  << count.refused << " refused" << kinds_of(count) << ", "
                  << count.late << " late";
        progress(line_text.str());
    }
    return line;
}

void add_shares(const series& line, figures& out)
{
    double best = 0;
    for (const auto& [times, rate] : line.points)
        best = std::max(best, rate);
    for (const auto& [times, rate] : line.points)
        if (times == 3.0 && best > 0)
            out["goodput_at_3x_pct"] = 100 * rate / best;
}

} // namespace

report run_overload(const options& chosen)
{
    report out;
    out.tries = 1;
    auto form = chosen.form;
    form.services = 1;
    form.proxies = 3;
    // Few connections with a long way, so that they are the bottleneck and not
    // the processors of this machine.
    form.connections = 12;
    form.database_delay_ms = 20;
    // The coordinator's part of the connections of each of three primaries.
    constexpr int databases = 3;
    const int usable = form.connections * 7 / 10;
    const double capacity =
        databases * usable * 1000.0 / form.database_delay_ms;
    out.product["capacity_per_s"] = capacity;
    const auto mine = sweep(chosen, form, "product", capacity, out.product);
    add_shares(mine, out.product);
    form.proxy_flags = {"--queue-ms", "60000", "--queue-capacity", "1000000"};
    auto& unshed = out.baselines["without shedding"];
    const auto other =
        sweep(chosen, form, "without-shedding", capacity, unshed);
    add_shares(other, unshed);
    out.plot = {mine, other};
    out.x_label = "load, multiples of capacity";
    out.y_label = "answers in time, 1/s";
    return out;
}

} // namespace bench
