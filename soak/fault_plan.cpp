#include "fault_plan.hpp"

#include <algorithm>
#include <array>
#include <csignal>

namespace soak
{

namespace
{

using ms = std::chrono::milliseconds;

constexpr std::array<const char*, 3> zones{"skt-a", "skt-b", "skt-c"};
constexpr std::size_t max_hosts = 60;

} // namespace

fault_plan::fault_plan(asio::io_context& io, recorder& record, fleet& hosts,
                       database_world& databases, upstreams& services,
                       store& rows, routing& routes, std::uint64_t seed)
    : m_io(io), m_record(record), m_hosts(hosts), m_databases(databases),
      m_services(services), m_store(rows), m_routes(routes), m_dice(seed, 5)
{
}

const std::vector<fault_plan::kind>& fault_plan::kinds()
{
    static const std::vector<kind> all{
        {"freeze", &fault_plan::freeze, ms(6000)},
        {"term", &fault_plan::roll, ms(6000)},
        {"kill", &fault_plan::kill, ms(8000)},
        {"hup", &fault_plan::reload, ms(6000)},
        {"add", &fault_plan::add_host, ms(20000)},
        {"replace", &fault_plan::replace_host, ms(20000)},
        {"herd", &fault_plan::kill_all, ms(30000)},
        {"crash", &fault_plan::crash, ms(8000)},
        {"primary", &fault_plan::lose_primary, ms(12000)},
        {"empty", &fault_plan::crash_empty, ms(15000)},
        {"leave", &fault_plan::leave, ms(15000)},
        {"swap", &fault_plan::swap, ms(20000)},
        {"refuse", &fault_plan::refuse, ms(7000)},
        {"lost", &fault_plan::lose_answers, ms(9000)},
        {"broken", &fault_plan::break_answers, ms(9000)},
        {"mute", &fault_plan::mute, ms(10000)},
        {"mute_store", &fault_plan::mute_store, ms(10000)},
        {"reset", &fault_plan::reset, ms(8000)},
        {"lag", &fault_plan::lag, ms(10000)},
        {"store", &fault_plan::disrupt_store, ms(9000)},
        {"history", &fault_plan::forget_history, ms(10000)},
        {"routes", &fault_plan::change_routes, ms(1500)},
        {"storm", &fault_plan::storm, ms(15000)},
    };
    return all;
}

std::vector<std::string> fault_plan::names()
{
    std::vector<std::string> all;
    for (const auto& item : kinds())
        all.emplace_back(item.name);
    return all;
}

void fault_plan::start(const std::set<std::string>& chosen,
                       std::chrono::seconds time)
{
    m_end = m_record.now() + time / std::chrono::microseconds(1);
    for (const auto& item : kinds())
        if (chosen.contains(item.name))
            spawn(m_io, [this, item] { return repeat(item); });
}

task fault_plan::repeat(kind repeated)
{
    for (;;)
    {
        const auto mean = static_cast<double>(repeated.interval.count());
        co_await pause(m_dice.spread(mean, mean * 4));
        if (m_record.now() >= m_end)
            co_return;
        m_record.line(std::string("fault ") + repeated.name);
        co_await (this->*repeated.act)();
    }
}

std::size_t fault_plan::any_host()
{
    const auto members = m_hosts.members();
    return members[m_dice.below(members.size())];
}

task fault_plan::freeze()
{
    co_await m_hosts.freeze(any_host(), some_time(200, 4000));
}

task fault_plan::roll()
{
    co_await m_hosts.roll(any_host());
}

task fault_plan::kill()
{
    const auto host = any_host();
    m_hosts.disrupt(host, "kill");
    m_hosts.hosts()[host].is_stopped = true;
    m_hosts.kill(host);
    co_await pause(m_dice.chance(0.5) ? ms(0) : some_time(100, 3500));
    auto& item = m_hosts.hosts()[host];
    if (item.process > 0 || !item.is_member)
        co_return;
    m_hosts.disrupt(host, "start");
    m_hosts.start(host);
}

task fault_plan::reload()
{
    m_hosts.signal(any_host(), SIGHUP);
    co_return;
}

task fault_plan::add_host()
{
    if (m_hosts.hosts().size() >= max_hosts)
        co_return;
    const auto added = m_hosts.add(zones[m_dice.below(zones.size())], false);
    if (added)
        m_hosts.disrupt(*added, "start");
}

task fault_plan::replace_host()
{
    const auto host = any_host();
    const auto zone = m_hosts.hosts()[host].zone;
    m_hosts.disrupt(host, "removed");
    m_hosts.remove(host);
    co_await pause(some_time(0, 2000));
    const auto added = m_hosts.add(zone, false);
    if (added)
        m_hosts.disrupt(*added, "start");
}

task fault_plan::kill_all()
{
    m_hosts.disrupt(disruption::all_hosts, "kill_all", ms(3000));
    const auto members = m_hosts.members();
    for (const auto host : members)
    {
        m_hosts.hosts()[host].is_stopped = true;
        m_hosts.kill(host);
    }
    co_await pause(some_time(0, 2000));
    for (const auto host : members)
        if (m_hosts.hosts()[host].process <= 0 &&
            m_hosts.hosts()[host].is_member)
            m_hosts.start(host);
}

task fault_plan::crash()
{
    const auto running = m_services.running();
    co_await m_services.crash(running[m_dice.below(running.size())],
                              some_time(50, 6000), true);
}

// Longer than the hosts wait before they have another one promoted.
task fault_plan::lose_primary()
{
    const auto services = m_services.services();
    const auto& group =
        m_services.group(services[m_dice.below(services.size())]);
    const auto primary = group.find(group.leader);
    if (primary && primary->is_running())
        co_await m_services.crash(primary, some_time(4000, 9000), true);
}

task fault_plan::crash_empty()
{
    const auto running = m_services.running();
    co_await m_services.crash(running[m_dice.below(running.size())],
                              some_time(20, 4000), false);
}

task fault_plan::leave()
{
    const auto running = m_services.running();
    co_await m_services.leave(running[m_dice.below(running.size())]);
}

task fault_plan::swap()
{
    const auto services = m_services.services();
    std::vector<std::shared_ptr<database>> chosen;
    for (const auto& service : services)
        for (const auto& member : m_services.running())
            if (m_services.group(service).find(member->id()) == member &&
                !member->is_primary())
            {
                chosen.push_back(member);
                break;
            }
    if (chosen.size() >= 2)
        co_await m_services.swap(chosen.front(), chosen.back());
}

task fault_plan::refuse()
{
    m_databases.faults.refused = 0.03;
    co_await pause(some_time(1000, 5000));
    m_databases.faults.refused = 0;
}

task fault_plan::lose_answers()
{
    m_databases.faults.lost = 0.025;
    co_await pause(some_time(1000, 5000));
    m_databases.faults.lost = 0;
}

task fault_plan::break_answers()
{
    m_databases.faults.cut = 0.01;
    m_databases.faults.closed = 0.01;
    m_databases.faults.reset = 0.01;
    co_await pause(some_time(1000, 5000));
    m_databases.faults.cut = 0;
    m_databases.faults.closed = 0;
    m_databases.faults.reset = 0;
}

task fault_plan::mute()
{
    const auto running = m_services.running();
    m_hosts.disrupt(disruption::all_hosts, "silent connections");
    running[m_dice.below(running.size())]->mute_connections();
    co_return;
}

task fault_plan::mute_store()
{
    const auto host = any_host();
    m_hosts.disrupt(disruption::all_hosts, "silent connections");
    m_store.mute_connections(host);
    co_return;
}

task fault_plan::reset()
{
    const auto running = m_services.running();
    m_hosts.disrupt(disruption::all_hosts, "reset connections");
    running[m_dice.below(running.size())]->reset_connections();
    co_return;
}

task fault_plan::lag()
{
    const auto running = m_services.running();
    const auto& target = running[m_dice.below(running.size())];
    target->set_deaf(true);
    co_await pause(some_time(1000, 6000));
    target->set_deaf(false);
}

task fault_plan::disrupt_store()
{
    constexpr std::array<store_fault, 6> faults{
        store_fault::slow,  store_fault::busy,   store_fault::too_many,
        store_fault::reset, store_fault::silent, store_fault::lost_answers};
    const auto fault = faults[m_dice.below(faults.size())];
    const bool hits_all = m_dice.chance(0.4);
    const auto time = some_time(500, 6000);
    std::vector<std::size_t> hit;
    for (const auto host : m_hosts.members())
        if (hits_all || m_dice.chance(0.35))
            hit.push_back(host);
    if (hits_all)
        m_hosts.disrupt(disruption::store, "store", time);
    for (const auto host : hit)
    {
        m_hosts.disrupt(host, "store for this host", time);
        m_store.set_fault(host, fault);
    }
    co_await pause(time);
    for (const auto host : hit)
        m_store.set_fault(host, store_fault::none);
}

task fault_plan::forget_history()
{
    m_store.forget_history();
    co_return;
}

task fault_plan::change_routes()
{
    const auto choice = m_dice.below(6);
    if (choice < 3)
        m_routes.move_route();
    else if (choice == 3)
        m_routes.add_route();
    else if (choice == 4)
        m_routes.remove_route();
    else
        m_routes.change_timeout();
    m_routes.publish();
    co_return;
}

task fault_plan::storm()
{
    for (auto left = 5 + m_dice.below(20); left > 0; --left)
    {
        co_await change_routes();
        co_await pause(some_time(20, 350));
    }
}

} // namespace soak
