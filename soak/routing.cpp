#include "routing.hpp"

#include <array>

namespace soak
{

namespace
{

struct route_kind
{
    const char* name;
    std::int64_t max_staleness_ms;
    std::int64_t timeout_ms;
    std::int64_t target_ms;
    int priority;
};

// The classes of nibworks-skt.
constexpr std::array<route_kind, 3> kinds{
    {{"primary", 0, 800, 150, 1},
     {"bounded_staleness", 1500, 2000, 500, 2},
     {"read_your_writes", 2500, 800, 250, 2}}};

// Shares of the sessions; of the main routes 0.15, 0.15 and 0.7.
constexpr double moving_share = 0.15;
constexpr double added_share = 0.04;
constexpr double unknown_share = 0.02;

const route_kind& kind_of(const std::string& name)
{
    for (const auto& kind : kinds)
        if (name == kind.name)
            return kind;
    return kinds.front();
}

route route_of(const std::string& service, const route_kind& kind)
{
    return {service, kind.name, kind.max_staleness_ms, kind.timeout_ms};
}

} // namespace

routing::routing(recorder& record, store& rows, std::uint64_t seed,
                 std::vector<std::string> services)
    : m_record(record), m_store(rows), m_dice(seed, 4),
      m_services(std::move(services))
{
    for (const auto& service : m_services)
        for (const auto& kind : kinds)
        {
            m_steady_names.push_back(new_name());
            m_routes[m_steady_names.back()] = route_of(service, kind);
        }
    for (std::size_t i = 0; i < 6; ++i)
    {
        m_moving_names.push_back(new_name());
        m_routes[m_moving_names.back()] = route_of(
            m_services[i % m_services.size()], kinds[i % kinds.size()]);
    }
    for (int i = 0; i < 8; ++i)
        add_route();
    publish();
}

std::string routing::new_name()
{
    std::string name;
    for (int i = 0; i < 4; ++i)
        name += static_cast<char>('a' + m_dice.below(26));
    return name + std::to_string(10 + m_dice.below(90)) + m_dice.hex(3);
}

void routing::add_route()
{
    const auto name = new_name();
    m_routes[name] = route_of(m_services[m_dice.below(m_services.size())],
                              kinds[m_dice.below(kinds.size())]);
    m_added_names.push_back(name);
}

void routing::remove_route()
{
    if (m_added_names.empty())
        return;
    const auto index = m_dice.below(m_added_names.size());
    m_routes.erase(m_added_names[index]);
    m_removed_names.push_back(m_added_names[index]);
    m_added_names.erase(m_added_names.begin() +
                        static_cast<std::ptrdiff_t>(index));
}

void routing::move_route()
{
    auto& moved =
        m_routes.at(m_moving_names[m_dice.below(m_moving_names.size())]);
    const auto before = moved.service;
    while (m_services.size() > 1 && moved.service == before)
        moved.service = m_services[m_dice.below(m_services.size())];
}

void routing::change_timeout()
{
    auto& changed =
        m_routes.at(m_steady_names[m_dice.below(m_steady_names.size())]);
    changed.timeout_ms = kind_of(changed.kind).timeout_ms +
                         static_cast<std::int64_t>(m_dice.below(5)) * 100;
}

std::string routing::choose_name(dice& choices) const
{
    if (choices.chance(unknown_share))
        return m_removed_names.empty() || choices.chance(0.5)
                   ? "none" + choices.hex(4)
                   : m_removed_names[choices.below(m_removed_names.size())];
    if (choices.chance(added_share) && !m_added_names.empty())
        return m_added_names.back();
    if (choices.chance(moving_share))
        return m_moving_names[choices.below(m_moving_names.size())];
    const auto service = choices.below(m_services.size());
    const std::size_t kind = choices.chance(0.7)   ? 2
                             : choices.chance(0.5) ? 1
                                                   : 0;
    return m_steady_names[service * kinds.size() + kind];
}

const route* routing::find(const std::string& name) const
{
    const auto found = m_routes.find(name);
    return found == m_routes.end() ? nullptr : &found->second;
}

void routing::publish()
{
    m_version += 1 + m_dice.below(4);
    configuration version;
    version.version = m_version;
    version.routes = m_routes;
    version.sent = m_record.now();
    m_store.put("op", "config", text());
    version.acknowledged = m_record.now();
    m_record.events().configurations.push_back(std::move(version));
}

std::string routing::text() const
{
    std::string routes;
    for (const auto& [name, item] : m_routes)
    {
        const auto& kind = kind_of(item.kind);
        routes += routes.empty() ? "" : ",";
        routes.append(R"({"name":"r-)").append(name);
        routes.append(R"(","host":")").append(name);
        routes.append(R"(","prefix":"/","kind":")").append(item.kind);
        routes.append(R"(","timeout_ms":)")
            .append(std::to_string(item.timeout_ms));
        routes.append(R"(,"target_latency_ms":)")
            .append(std::to_string(kind.target_ms));
        routes.append(R"(,"priority":)").append(std::to_string(kind.priority));
        routes.append(R"(,"service":")").append(item.service);
        routes.append(R"(","max_attempts":2)");
        if (item.max_staleness_ms > 0)
            routes.append(R"(,"max_staleness_ms":)")
                .append(std::to_string(item.max_staleness_ms));
        routes += "}";
    }
    std::string services;
    for (const auto& name : m_services)
    {
        services += services.empty() ? "" : ",";
        services.append(R"({"name":")").append(name);
        services += R"(","health_path":"/health","max_connections":47,)"
                    R"("protocol":"h1","tls":false,"sync_replicas":0})";
    }
    return R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" +
           routes + R"(],"services":[)" + services +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000,)"
           R"("transaction_idle_ms":3000}})";
}

} // namespace soak
