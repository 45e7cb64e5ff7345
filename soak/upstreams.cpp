#include "upstreams.hpp"

#include <algorithm>
#include <array>

namespace soak
{

namespace
{

constexpr std::array<const char*, 3> zones{"skt-a", "skt-b", "skt-c"};
// An entry is removed after three intervals without a heartbeat.
constexpr std::chrono::milliseconds silence_limit{3600};
constexpr std::chrono::milliseconds promotion_time{300};
constexpr std::chrono::milliseconds drain_time{7300};
constexpr std::chrono::milliseconds address_reuse_time{2000};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

upstreams::upstreams(database_world& world, store& rows,
                     address_block addresses, std::uint64_t seed)
    : m_world(world), m_store(rows), m_addresses(std::move(addresses)),
      m_dice(seed, 3)
{
}

bool upstreams::add_service(const std::string& service)
{
    auto group = std::make_unique<database_group>();
    group->service = service;
    auto& members = (m_groups[service] = std::move(group))->members;
    for (const auto* zone : zones)
        if (!start(create(service, m_addresses.database(m_slots++), zone)))
            return false;
    members.front()->lead(1);
    return true;
}

std::vector<std::string> upstreams::services() const
{
    std::vector<std::string> names;
    for (const auto& [name, group] : m_groups)
        names.push_back(name);
    return names;
}

std::shared_ptr<database> upstreams::create(const std::string& service,
                                            const tcp::endpoint& address,
                                            const std::string& zone)
{
    auto& group = *m_groups.at(service);
    auto created = std::make_shared<database>(
        m_world, group, "i-" + m_dice.hex(8), address, zone);
    created->set_on_role_change([this, pointer = created.get()] {
        if (pointer->is_running())
            announce(*pointer);
    });
    m_entries[created->id()].service = service;
    group.members.push_back(created);
    return created;
}

bool upstreams::start(const std::shared_ptr<database>& target)
{
    if (!target->start())
        return false;
    auto& item = m_entries[target->id()];
    item.state = "ready";
    item.born = std::max(unix_ms(), item.born + 1);
    item.sequence = 0;
    announce(*target);
    return true;
}

void upstreams::announce(const database& target)
{
    auto& item = m_entries[target.id()];
    m_store.put("servers", target.id(),
                R"({"service":")" + item.service + R"(","address":")" +
                    target.address().address().to_string() + ":" +
                    std::to_string(target.address().port()) + R"(","zone":")" +
                    target.zone() + R"(","version":"v1","slots":)" +
                    std::to_string(m_world.options.slots) + R"(,"state":")" +
                    item.state +
                    R"(","cold_remaining_ms":0,"database_role":")" +
                    (target.is_primary() ? "primary" : "replica") +
                    R"(","born":)" + std::to_string(item.born) +
                    R"(,"sequence":)" + std::to_string(++item.sequence) + "}");
}

int upstreams::promote(const std::string& service, const std::string& id)
{
    const auto found = m_groups.find(service);
    if (found == m_groups.end())
        return 404;
    auto& group = *found->second;
    const auto target = group.find(id);
    if (!target || !target->is_running())
        return 409;
    if (group.leader == id && target->is_primary())
        return 200;
    spawn(m_world.io, [&group, target]() -> task {
        co_await pause(promotion_time);
        if (target->is_running() && !target->is_primary())
            target->lead(group.term + 1);
    });
    return 200;
}

std::vector<std::shared_ptr<database>> upstreams::running() const
{
    std::vector<std::shared_ptr<database>> found;
    for (const auto& [service, group] : m_groups)
        for (const auto& member : group->members)
            if (member->is_running() && !m_entries.at(member->id()).is_leaving)
                found.push_back(member);
    return found;
}

task upstreams::crash(std::shared_ptr<database> target,
                      std::chrono::microseconds time, bool keeps_log)
{
    auto& group = *m_groups.at(m_entries[target->id()].service);
    const bool was_primary = target->is_primary();
    target->stop();
    spawn(m_world.io, [this, target]() -> task {
        co_await pause(silence_limit);
        if (!target->is_running())
            m_store.remove("servers", target->id());
    });
    co_await pause(time);
    if (!keeps_log)
        target->forget();
    if (!start(target))
        co_return;
    // A primary that has its log leads on unless another one was promoted.
    if (was_primary && keeps_log && group.leader == target->id())
        target->lead(group.term);
}

// Announces that the database leaves, waits, ends it.
task upstreams::retire(std::shared_ptr<database> target)
{
    auto& item = m_entries[target->id()];
    item.state = "draining";
    item.is_leaving = true;
    announce(*target);
    co_await pause(drain_time);
    target->stop();
    m_store.remove("servers", target->id());
}

task upstreams::leave(std::shared_ptr<database> target)
{
    const auto service = m_entries[target->id()].service;
    auto& group = *m_groups.at(service);
    co_await retire(target);
    const auto log = target->log();
    std::erase(group.members, target);
    co_await pause(std::chrono::milliseconds(500));
    const auto created = create(service, target->address(), target->zone());
    created->set_log(log);
    start(created);
}

task upstreams::swap(std::shared_ptr<database> first,
                     std::shared_ptr<database> second)
{
    const auto first_service = m_entries[first->id()].service;
    const auto second_service = m_entries[second->id()].service;
    spawn(m_world.io, [this, second] { return retire(second); });
    co_await retire(first);
    co_await pause(address_reuse_time);
    std::erase(m_groups.at(first_service)->members, first);
    std::erase(m_groups.at(second_service)->members, second);
    start(create(first_service, second->address(), first->zone()));
    start(create(second_service, first->address(), second->zone()));
}

void upstreams::mark_kept()
{
    auto& commits = m_world.record.events().commits;
    for (const auto& [service, group] : m_groups)
    {
        // The log of the present primary, or the longest one.
        auto best = group->find(group->leader);
        for (const auto& member : group->members)
            if (!best)
                best = member;
        if (!best)
            continue;
        for (const auto index : best->log())
            commits[index].is_kept = true;
    }
}

} // namespace soak
