// A host is stopped as planned while callers send one statement after the
// other. Looks for requests that it has passed on to a database and whose
// connection ends without an answer.

#include "../harness/caller.hpp"
#include "../harness/case.hpp"
#include "../harness/fleet.hpp"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;

namespace
{

constexpr std::size_t caller_count = 24;
constexpr millis steady_time{5000};
// grace_s of the settings (6), and the second after it for which the rule
// holds.
constexpr millis judged_time{7000};
// Requests sent later than this after SIGTERM aren't excused by a database
// that is still at work in the last sixth of grace_s.
constexpr millis excused_time{3000};
constexpr millis loss_slack{200};
constexpr millis statement_timeout{2000};

/// A request whose connection ended without a complete answer.
struct cut_request
{
    std::string id;
    instant sent;
    instant ended;
};

struct caller_state
{
    std::vector<cut_request> cut;
    std::size_t answered{0};
};

/// Sends reads one after the other; connects again after a close, to a host
/// that is in rotation.
void run_caller(std::size_t number, fleet& hosts, record& log,
                const std::atomic<bool>& is_over,
                const std::atomic<bool>& is_out_of_rotation,
                caller_state& state)
{
    caller session(log);
    std::size_t count = 0;
    while (!is_over)
    {
        const std::size_t host = is_out_of_rotation ? 1 + number % 2 : 0;
        if (!session.is_open() &&
            !session.open(hosts.caller_port(host), "specs", "u"))
        {
            std::this_thread::sleep_for(millis(50));
            continue;
        }
        const auto id =
            "c" + std::to_string(number) + "-" + std::to_string(++count);
        const auto sent = steady::now();
        const auto answer = session.query(id, "READ " + std::to_string(number));
        if (answer.is_complete)
        {
            ++state.answered;
            continue;
        }
        const auto ended = steady::now();
        log.line("request " + id + " was sent at " +
                 std::to_string(log.at(sent)) +
                 ", and its connection ended without a complete answer");
        state.cut.push_back({id, sent, ended});
        session.close();
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = arguments_of(argc, argv);
    record log(arguments.record_path);
    fleet_options options;
    options.specs_timeout_ms = static_cast<int>(statement_timeout.count());
    options.database.work = millis(30);
    fleet hosts(arguments.proxy, arguments.work_folder, log, options);
    if (!hosts.start())
        return static_cast<int>(verdict::could_not_run);

    std::atomic<bool> is_over{false};
    std::atomic<bool> is_out_of_rotation{false};
    std::vector<caller_state> states(caller_count);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < caller_count; ++i)
        threads.emplace_back([&, i] {
            run_caller(i, hosts, log, is_over, is_out_of_rotation, states[i]);
        });
    std::this_thread::sleep_for(steady_time);
    const auto stopped_at = steady::now();
    if (arguments.has_trouble)
        hosts.signal_host(0, SIGTERM);
    // The balancer asks each second, and takes a host out after two misses.
    int misses = 0;
    while (steady::now() < stopped_at + judged_time)
    {
        misses = hosts.readiness(0) == 200 ? 0 : misses + 1;
        is_out_of_rotation = is_out_of_rotation || misses >= 2;
        hosts.has_ended(0);
        std::this_thread::sleep_for(millis(1000));
    }
    if (arguments.has_trouble && !hosts.has_ended(0))
        hosts.signal_host(0, SIGKILL);
    is_over = true;
    for (auto& thread : threads)
        thread.join();

    std::size_t answered = 0;
    std::size_t lost = 0;
    hosts.run([&] {
        for (const auto& state : states)
        {
            answered += state.answered;
            for (const auto& request : state.cut)
            {
                const auto runs = hosts.group().runs.find(request.id);
                const bool was_passed_on = runs != hosts.group().runs.end();
                const auto time = request.ended - request.sent;
                const bool is_judged =
                    request.sent >= stopped_at + excused_time &&
                    request.ended <= stopped_at + judged_time &&
                    time < statement_timeout;
                const bool is_lost =
                    is_judged && (was_passed_on || time > loss_slack);
                log.line(
                    "cut: " + request.id + ", sent " +
                    std::to_string(std::chrono::duration<double, std::milli>(
                                       request.sent - stopped_at)
                                       .count()) +
                    " ms after the signal, ended after " +
                    std::to_string(
                        std::chrono::duration<double, std::milli>(time)
                            .count()) +
                    " ms, " +
                    (was_passed_on ? "taken by " + runs->second.front().database
                                   : "not passed on") +
                    (is_lost ? ": LOST" : ": excused"));
                lost += is_lost ? 1 : 0;
            }
        }
    });
    log.line(std::to_string(answered) + " requests were answered, " +
             std::to_string(lost) + " were lost");
    if (answered == 0)
        return static_cast<int>(verdict::could_not_run);
    return static_cast<int>(lost > 0 ? verdict::broken : verdict::held);
}
