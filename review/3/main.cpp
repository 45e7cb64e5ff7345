// A database refuses a part of its requests for some seconds. Looks for
// statements that run with other session values than those that were
// acknowledged to their caller.

#include "../harness/caller.hpp"
#include "../harness/case.hpp"
#include "../harness/fleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <vector>

using namespace review;

namespace
{

constexpr std::size_t caller_count = 12;
constexpr millis steady_time{3000};
// The disruption: length and share of the requests that are refused.
constexpr millis refusing_time{6500};
constexpr double refused_share = 0.4;
constexpr millis settling_time{3000};
constexpr millis pause{20};

/// The values that were acknowledged to each caller, by request id.
struct expectations
{
    std::mutex mutex;
    std::map<std::string, std::map<std::string, std::string>> values;
};

/// Sets a value of its own, then runs short transactions and reads.
void run_caller(std::size_t number, fleet& hosts, record& log,
                const std::atomic<bool>& is_over, expectations& expected,
                std::atomic<std::size_t>& successes)
{
    const auto name = "c" + std::to_string(number);
    // Every third caller sets no value.
    const bool has_value = number % 3 != 0;
    std::size_t count = 0;
    caller session(log);
    const auto run = [&](const std::string& text) {
        const auto id = name + "-" + std::to_string(++count);
        {
            const std::lock_guard lock(expected.mutex);
            if (has_value)
                expected.values[id] = {{"app", name}};
            else
                expected.values[id] = {};
        }
        return session.query(id, text);
    };
    while (!is_over)
    {
        if (!session.is_open())
        {
            if (!session.open(hosts.caller_port(number % 3), "cards", "u"))
            {
                std::this_thread::sleep_for(pause);
                continue;
            }
            if (has_value && !run("SET app " + name).error.empty())
            {
                session.close();
                continue;
            }
        }
        const auto item = std::to_string(number);
        auto answer = run("BEGIN");
        if (answer.error.empty())
            answer = run("READ " + item);
        if (answer.error.empty())
            answer = run("WRITE " + item + " " + std::to_string(count));
        answer = run(answer.error.empty() ? "COMMIT" : "ROLLBACK");
        if (answer.error.empty())
            ++successes;
        if (!answer.is_complete || answer.state != 'I')
            session.close();
        std::this_thread::sleep_for(pause);
    }
}

std::string text_of(const std::map<std::string, std::string>& values)
{
    std::string text = "{";
    for (const auto& [name, value] : values)
        text.append(" ").append(name).append("=").append(value);
    return text + " }";
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = arguments_of(argc, argv);
    record log(arguments.record_path);
    fleet_options options;
    options.database.work = millis(6);
    fleet hosts(arguments.proxy, arguments.work_folder, log, options);
    if (!hosts.start())
        return static_cast<int>(verdict::could_not_run);

    std::atomic<bool> is_over{false};
    std::atomic<std::size_t> successes{0};
    expectations expected;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < caller_count; ++i)
        threads.emplace_back([&, i] {
            run_caller(i, hosts, log, is_over, expected, successes);
        });
    std::this_thread::sleep_for(steady_time);
    std::mt19937 random(1);
    if (arguments.has_trouble)
        hosts.run([&] {
            log.line("db-0 refuses a part of its requests from now on");
            hosts.databases()[0]->set_refusals([&](const std::string&,
                                                   const std::string&,
                                                   const std::string& text) {
                const bool is_refused = std::uniform_real_distribution<>(0, 1)(
                                            random) < refused_share &&
                                        text != "STATUS";
                return std::string(is_refused ? "BUSY" : "");
            });
        });
    std::this_thread::sleep_for(refusing_time);
    hosts.run([&] {
        log.line("db-0 refuses nothing from now on");
        hosts.databases()[0]->set_refusals({});
    });
    std::this_thread::sleep_for(settling_time);
    is_over = true;
    for (auto& thread : threads)
        thread.join();

    std::size_t broken = 0;
    hosts.run([&] {
        for (const auto& [id, runs] : hosts.group().runs)
            for (const auto& run : runs)
            {
                const auto& wanted = expected.values[id];
                if (run.values == wanted)
                    continue;
                ++broken;
                log.line("PINNED: " + id + " (" + run.text + ") ran at " +
                         run.database + " on connection " +
                         std::to_string(run.connection) + " with " +
                         text_of(run.values) + ", acknowledged are " +
                         text_of(wanted));
            }
    });
    log.line(std::to_string(successes) + " transactions succeeded, " +
             std::to_string(broken) +
             " statements ran with other session values");
    if (successes == 0)
        return static_cast<int>(verdict::could_not_run);
    return static_cast<int>(broken > 0 ? verdict::broken : verdict::held);
}
