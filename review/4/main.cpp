// A service with sync_replicas 1: one replica leaves as planned, the other
// receives nothing for a while, and the primary crashes meanwhile. Looks for
// acknowledged commits that the log of the promoted database lacks.

#include "../harness/caller.hpp"
#include "../harness/case.hpp"
#include "../harness/fleet.hpp"

#include <atomic>
#include <set>
#include <thread>
#include <vector>

using namespace review;

namespace
{

constexpr std::size_t caller_count = 6;
constexpr millis steady_time{3000};
constexpr millis time_to_deafness{500};
constexpr millis time_to_crash{1500};
// How long the replica receives nothing.
constexpr millis deaf_time{6500};
constexpr millis settling_time{5000};
constexpr millis pause{20};

/// Sends single writes and notes those that were acknowledged.
void run_caller(std::size_t number, fleet& hosts, record& log,
                const std::atomic<bool>& is_over,
                std::vector<std::string>& acknowledged)
{
    caller session(log);
    std::size_t count = 0;
    while (!is_over)
    {
        std::this_thread::sleep_for(pause);
        if (!session.is_open() &&
            !session.open(hosts.caller_port(number % 3), "cards", "u"))
            continue;
        const auto id =
            "c" + std::to_string(number) + "-" + std::to_string(++count);
        const auto answer =
            session.query(id, "WRITE " + std::to_string(number) + " " +
                                  std::to_string(count));
        if (answer.is_complete && answer.error.empty())
            acknowledged.push_back(id);
        if (!answer.is_complete || answer.state != 'I')
            session.close();
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = arguments_of(argc, argv);
    record log(arguments.record_path);
    fleet_options options;
    options.database.work = millis(6);
    options.sync_replicas = 1;
    fleet hosts(arguments.proxy, arguments.work_folder, log, options);
    if (!hosts.start())
        return static_cast<int>(verdict::could_not_run);

    std::atomic<bool> is_over{false};
    std::vector<std::vector<std::string>> acknowledged(caller_count);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < caller_count; ++i)
        threads.emplace_back(
            [&, i] { run_caller(i, hosts, log, is_over, acknowledged[i]); });
    std::this_thread::sleep_for(steady_time);
    if (arguments.has_trouble)
    {
        // Planned: db-1 leaves. It serves on, as it does for drain_ms and more.
        hosts.run([&] { hosts.put_registration(1, "draining"); });
        std::this_thread::sleep_for(time_to_deafness);
        hosts.run([&] { hosts.databases()[2]->set_receiving(false); });
        std::this_thread::sleep_for(time_to_crash);
        hosts.run([&] { hosts.databases()[0]->crash(); });
        std::this_thread::sleep_for(deaf_time - time_to_crash);
        hosts.run([&] { hosts.databases()[2]->set_receiving(true); });
    }
    std::this_thread::sleep_for(settling_time);
    is_over = true;
    for (auto& thread : threads)
        thread.join();

    std::size_t total = 0;
    std::size_t lost = 0;
    hosts.run([&] {
        std::set<std::string> kept;
        for (const auto& entry : hosts.group().log)
            kept.insert(entry.id);
        for (const auto& ids : acknowledged)
            for (const auto& id : ids)
            {
                ++total;
                if (kept.contains(id))
                    continue;
                ++lost;
                log.line("LOST: " + id +
                         " was acknowledged and is not in the log of " +
                         hosts.group().primary);
            }
    });
    log.line(std::to_string(total) + " writes were acknowledged, " +
             std::to_string(lost) + " of them were lost");
    if (total == 0)
        return static_cast<int>(verdict::could_not_run);
    return static_cast<int>(lost > 0 ? verdict::broken : verdict::held);
}
