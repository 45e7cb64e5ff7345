// A primary starts again under its id, with nothing of before, while the
// platform's store is down; a caller then reads what was acknowledged.

#include "site.hpp"

#include <thread>

namespace
{

using namespace review;

const std::vector<route> routes{
    {"job-card", "nibledger1", "primary", 800, 150, 1, 0},
    {"bench-read", "nibledger1", "bounded_staleness", 2000, 500, 2, 1500}};

// The pages' longest outage of the whole store is 4.5 s.
constexpr ms outage_time{4400};
constexpr ms before_stop{300};
// A database is down for 7 s at most on the pages.
constexpr ms down_time{1000};
constexpr ms read_interval{50};
constexpr ms recovery_limit{12'000};

} // namespace

int main(int argc, char** argv)
{
    const auto options = case_options::from(argc, argv);
    record log(options.record_path);
    site deployment(log, options);
    if (!deployment.start({"nibledger1"}, routes))
        deployment.finish(verdict::not_run, "the site did not start");
    caller writer(log, deployment.host(0));
    if (!writer.open("job-card"))
        deployment.finish(verdict::not_run, "no session");
    constexpr int writes = 10;
    for (int i = 1; i <= writes; ++i)
        if (!writer.ask("WRITE card " + std::to_string(i)).is_success())
            deployment.finish(verdict::not_run, "a write failed");
    const std::vector<std::string> expected{"card is " +
                                            std::to_string(writes)};
    // Longer than `max_staleness_ms`, and than a replica lags.
    std::this_thread::sleep_for(ms(3000));

    auto& primary = *deployment.group("nibledger1").members.front();
    const auto began = steady::now();
    std::thread trouble([&] {
        if (!options.has_trouble)
            return;
        deployment.set_store_down(true);
        std::this_thread::sleep_for(before_stop);
        primary.stop();
        std::this_thread::sleep_for(down_time);
        primary.start_empty();
        std::this_thread::sleep_until(began + outage_time);
        deployment.set_store_down(false);
    });
    int stale = 0;
    int successes = 0;
    bool has_recovered = false;
    while (steady::now() < began + outage_time ||
           (!has_recovered && steady::now() < began + recovery_limit))
    {
        for (std::size_t host = 0; host < 3; ++host)
            for (const auto& item : routes)
            {
                caller reader(log, deployment.host(host));
                if (!reader.open(item.database))
                    continue;
                const auto answer = reader.ask("READ card");
                if (!answer.is_success())
                    continue;
                ++successes;
                if (answer.rows == expected)
                {
                    has_recovered = steady::now() > began + outage_time;
                    continue;
                }
                ++stale;
                log.line("STALE: a read of " + item.database +
                         " ran on a log that lacks an acknowledged commit");
            }
        std::this_thread::sleep_for(read_interval);
    }
    trouble.join();
    const auto text = std::to_string(stale) + " of " +
                      std::to_string(successes) +
                      " successful reads ran on a log without the "
                      "acknowledged commits; " +
                      (has_recovered ? "they were read again at the end"
                                     : "they were not read again in time");
    if (stale > 0)
        deployment.finish(verdict::broken, "STALE: " + text);
    deployment.finish(has_recovered ? verdict::held : verdict::not_run, text);
}
