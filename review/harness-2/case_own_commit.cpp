// A session on a `read_your_writes` route commits, its route is moved to
// another service and back by quick changes of the configuration, and the
// session reads what it wrote.

#include "site.hpp"

#include <thread>

namespace
{

using namespace review;

constexpr int rounds = 5;
// A lagging replica is deaf for this long at most (the pages: 6.5 s).
constexpr ms lag_limit{6000};
// Between rounds; longer than `max_staleness_ms`.
constexpr ms pause_time{3500};
constexpr ms poll_interval{20};
// Between two changes of the configuration (`config_storm`, gap_s = 0.33).
constexpr ms change_interval{330};

std::vector<route> routes_with_status_at(const std::string& service)
{
    return {{"job-card", "nibledger1", "primary", 800, 150, 1, 0},
            {"collect-status", service, "read_your_writes", 800, 250, 2, 2500}};
}

bool ran_at(const caller_answer& answer, const std::string& service)
{
    return answer.is_success() && answer.signature.starts_with(service);
}

/// Asks until the answer comes from a database of the service.
caller_answer ask_until(caller& session, const std::string& text,
                        const std::string& service)
{
    const auto end = steady::now() + lag_limit / 2;
    auto answer = session.ask(text);
    while (!ran_at(answer, service) && steady::now() < end)
    {
        std::this_thread::sleep_for(poll_interval);
        answer = session.ask(text);
    }
    return answer;
}

struct outcome
{
    bool is_played{false};
    bool is_broken{false};
};

outcome play(site& deployment, record& log, bool has_trouble, int number)
{
    const auto item = "item" + std::to_string(number);
    auto& group = deployment.group("nibledger1");
    caller clerk(log, deployment.host(0));
    caller session(log, deployment.host(0));
    if (!clerk.open("job-card") || !session.open("collect-status"))
        return {};
    for (const auto& member : group.members)
        member->set_deaf(true);
    log.line("the replicas of nibledger1 receive nothing");
    const auto lag_began = steady::now();
    clerk.ask("READ other");
    const auto written = session.ask("WRITE " + item + " new");
    if (!ran_at(written, "nibledger1"))
        return {};
    if (has_trouble)
    {
        deployment.configure(routes_with_status_at("nibledger2"));
        const auto configured_at = steady::now();
        if (!ran_at(ask_until(session, "WRITE elsewhere new", "nibledger2"),
                    "nibledger2"))
            return {};
        std::this_thread::sleep_until(configured_at + change_interval);
        deployment.configure(routes_with_status_at("nibledger1"));
    }
    const auto read = ask_until(session, "READ " + item, "nibledger1");
    for (const auto& member : group.members)
        member->set_deaf(false);
    log.line(
        "the replicas of nibledger1 receive again, after " +
        std::to_string(
            std::chrono::duration_cast<ms>(steady::now() - lag_began).count()) +
        " ms");
    if (!ran_at(read, "nibledger1") || steady::now() - lag_began > lag_limit)
        return {};
    const bool has_own_commit =
        read.rows == std::vector<std::string>{item + " is new"};
    if (!has_own_commit)
        log.line("STALE: the session's own commit " + item +
                 " was acknowledged before this read was sent, and the log on "
                 "which it ran lacks it");
    return {true, !has_own_commit};
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = case_options::from(argc, argv);
    record log(options.record_path);
    site deployment(log, options);
    if (!deployment.start({"nibledger1", "nibledger2"},
                          routes_with_status_at("nibledger1")))
        deployment.finish(verdict::not_run, "the site did not start");
    // So that the log of this service is longer than that of the other.
    caller clerk(log, deployment.host(1));
    if (!clerk.open("job-card"))
        deployment.finish(verdict::not_run, "no session");
    for (int i = 0; i < rounds * 4; ++i)
        clerk.ask("WRITE other " + std::to_string(i));
    int played = 0;
    int broken = 0;
    for (int i = 0; i < rounds; ++i)
    {
        std::this_thread::sleep_for(pause_time);
        const auto result = play(deployment, log, options.has_trouble, i);
        played += result.is_played ? 1 : 0;
        broken += result.is_broken ? 1 : 0;
    }
    const auto text = "own commit not seen in " + std::to_string(broken) +
                      " of " + std::to_string(played) + " rounds";
    if (broken > 0)
        deployment.finish(verdict::broken, "STALE: " + text);
    deployment.finish(played > 0 ? verdict::held : verdict::not_run, text);
}
