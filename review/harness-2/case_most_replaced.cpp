// Ten of 15 hosts are lost for good and replaced; later the primary is lost for
// good, and all processes are killed and start again.

#include "site.hpp"

#include <numeric>
#include <thread>

namespace
{

using namespace review;

const std::vector<route> routes{
    {"job-card", "nibledger1", "primary", 800, 150, 1, 0},
    {"bench-read", "nibledger1", "bounded_staleness", 2000, 500, 2, 1500}};

constexpr std::size_t host_count = 15;
constexpr std::size_t lost_hosts = 10;
constexpr ms steady_time{3000};
// One host is lost a second; a new one comes this long after each (x = 2).
constexpr ms loss_interval{1000};
// Without any fault, between the replacements and the lost primary.
constexpr ms calm_time{36'000};
// From the lost primary to the final fault, and for how long the processes are
// down then.
constexpr ms before_final_fault{1300};
constexpr ms final_down_time{1200};
// An entry is removed after three heartbeat intervals of silence.
constexpr ms silence_time{3600};
// recovery_s of the site, and for how long requests are judged after it.
constexpr ms recovery_time{12'000};
constexpr ms judged_time{10'000};
constexpr ms turn_time{50};

struct count
{
    int served{0};
    int sent{0};
};

/// Sends reads and writes in turn at the hosts, each in a session of its own.
count send_requests(site& deployment, record& log,
                    const std::vector<std::size_t>& hosts, ms time)
{
    count result;
    const auto end = steady::now() + time;
    while (steady::now() < end)
    {
        const auto host =
            hosts[static_cast<std::size_t>(result.sent) % hosts.size()];
        const bool is_write = result.sent % 4 == 0;
        const bool is_primary_route = result.sent % 2 == 0;
        ++result.sent;
        caller session(log, deployment.host(host));
        if (session.open(is_primary_route ? "job-card" : "bench-read") &&
            session.ask(is_write ? "WRITE card 1" : "READ card").is_success())
            ++result.served;
        std::this_thread::sleep_for(turn_time);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = case_options::from(argc, argv);
    record log(options.record_path);
    site deployment(log, options);
    if (!deployment.start({"nibledger1"}, routes, host_count))
        deployment.finish(verdict::not_run, "the site did not start");
    std::vector<std::size_t> hosts(host_count);
    std::iota(hosts.begin(), hosts.end(), 0);
    send_requests(deployment, log, hosts, steady_time);
    if (options.has_trouble)
    {
        for (std::size_t i = 0; i < lost_hosts + 2; ++i)
        {
            if (i < lost_hosts)
                deployment.kill_host(i);
            if (i >= 2)
                deployment.start_host(host_count + i - 2);
            std::this_thread::sleep_for(loss_interval);
        }
        std::iota(hosts.begin(), hosts.end(), lost_hosts);
    }
    send_requests(deployment, log, hosts, calm_time / 2);
    const auto before = send_requests(deployment, log, hosts, calm_time / 2);
    // The lost primary and the final fault are part of both runs: the fault is
    // what the replacement leaves behind.
    auto& primary = *deployment.group("nibledger1").members.front();
    primary.stop();
    std::this_thread::sleep_for(before_final_fault);
    for (const auto host : hosts)
        deployment.kill_host(host);
    std::this_thread::sleep_for(final_down_time);
    for (const auto host : hosts)
        deployment.start_host(host);
    const auto back = steady::now();
    std::this_thread::sleep_for(silence_time - before_final_fault -
                                final_down_time);
    deployment.remove_entry(primary);
    std::this_thread::sleep_until(back + recovery_time);
    log.line("judged from here");
    const auto after = send_requests(deployment, log, hosts, judged_time);
    const auto text = std::to_string(before.served) + " of " +
                      std::to_string(before.sent) +
                      " requests were served before the final fault, and " +
                      std::to_string(after.served) + " of " +
                      std::to_string(after.sent) + " after the recovery";
    if (before.served * 4 < before.sent || after.sent == 0)
        deployment.finish(verdict::not_run, text);
    if (after.served * 4 < after.sent)
        deployment.finish(verdict::broken, "RECOVER: " + text);
    deployment.finish(verdict::held, text);
}
