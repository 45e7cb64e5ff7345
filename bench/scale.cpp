#include "options.hpp"
#include "process.hpp"

#include <plantainward/core/time.hpp>
#include <plantainward/daemon/routing_table.hpp>
#include <plantainward/intent/routing_intent.hpp>
#include <plantainward/membership/membership.hpp>

#include <functional>

#include <unistd.h>

namespace bench
{

namespace core = plantainward::core;
namespace daemon = plantainward::daemon;
namespace intent = plantainward::intent;
namespace membership = plantainward::membership;

namespace
{

constexpr int failure_domains = 7;

std::vector<core::host> make_hosts(int count)
{
    std::vector<core::host> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        hosts.push_back({"entry-" + std::to_string(i),
                         "domain-" + std::to_string(i % failure_domains),
                         {"127.0.0.1", 1},
                         {"127.0.0.1", static_cast<std::uint16_t>(i + 2)}});
    return hosts;
}

intent::bundle make_intent(int databases)
{
    std::string text;
    for (int i = 0; i < databases; ++i)
        text += "[service.ledger-" + std::to_string(i / 3) + ".database.db-" +
                std::to_string(i % 3) +
                "]\naddress = \"127.0.0.1:" + std::to_string(1000 + i) +
                "\"\nfailure_domain = \"domain-" +
                std::to_string(i % failure_domains) + "\"\n";
    return {{"10-scale.toml", text}};
}

/// Average duration of a call, in milliseconds.
double time_of(int repetitions, const std::function<void()>& work)
{
    const auto start = core::steady::now();
    for (int i = 0; i < repetitions; ++i)
        work();
    return core::to_ms_exact(core::steady::now() - start) / repetitions;
}

double resident_mb()
{
    return process::usage_of(::getpid()).rss_mb;
}

/// Measures checking an intent, building routes and membership for a number of
/// nodes, within this process.
void measure_decisions(int nodes, figures& out)
{
    const auto tag = "_" + std::to_string(nodes) + "_nodes";
    const auto hosts = make_hosts(nodes);
    const auto files = make_intent(nodes / 3 * 3);
    std::vector<intent::issue> issues;
    std::optional<intent::routing_intent> checked_intent;
    out["check_intent_ms" + tag] =
        time_of(3, [&] { checked_intent = intent::check(files, issues); });
    if (!checked_intent)
        return;
    const auto rss_mb_before = resident_mb();
    std::optional<daemon::routing_table> routes;
    out["rebuild_routes_ms" + tag] =
        time_of(3, [&] { routes.emplace(*checked_intent, hosts); });
    out["routes_mb" + tag] = resident_mb() - rss_mb_before;

    core::instant now = core::instant{} + core::millis(1'000'000);
    membership::membership member(hosts.front(), 1, {}, 1);
    const membership::message_codec codec("0123456789abcdef");
    for (const auto& host : hosts)
    {
        membership::message introduction;
        introduction.sender = {host, 1, membership::member_state::alive};
        member.on_message(introduction, now);
    }
    membership::message ping;
    ping.sender = {hosts.back(), 1, membership::member_state::alive};
    std::string bytes;
    const auto message_ms = time_of(2000, [&] {
        for (auto& action : member.on_message(ping, now))
            if (const auto* send =
                    std::get_if<membership::send_action>(&action))
                bytes = codec.encode(send->datagram);
        codec.decode(bytes);
    });
    out["datagram_us" + tag] = message_ms * 1000;
    out["datagram_bytes" + tag] = static_cast<double>(bytes.size());
    out["membership_tick_us" + tag] = 1000 * time_of(2000, [&] {
                                          now += core::millis(10);
                                          member.on_tick(now);
                                      });
}

} // namespace

report run_scale(const options&)
{
    report out;
    out.tries = 1;
    for (const int nodes : {16, 64, 128, 256, 550})
        measure_decisions(nodes, out.product);
    return out;
}

} // namespace bench
