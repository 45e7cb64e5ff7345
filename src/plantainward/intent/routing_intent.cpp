#include <plantainward/intent/routing_intent.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/intent/schema.hpp>

#include <algorithm>
#include <set>

namespace plantainward::intent
{

namespace
{

constexpr std::size_t databases_per_service = 3;
constexpr std::size_t max_name_length = 64;

bool is_plain_name(const std::string& name)
{
    return !name.empty() && name.size() <= max_name_length &&
           name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") ==
               std::string::npos;
}

void check_keys(const merged_intent& merged, std::vector<issue>& issues)
{
    for (const auto& [path, assigned] : merged.values)
    {
        const auto* rule = rule_for(path);
        if (rule == nullptr)
        {
            auto text = std::string("is not a known key");
            if (const auto near = nearest_key(path))
                text += "; did you mean " + *near + "?";
            issues.push_back(
                {assigned.file, assigned.line, to_string(path), text});
            continue;
        }
        if (!is_plain_name(path[1]) ||
            (path.size() > 3 && !is_plain_name(path[3])))
        {
            issues.push_back({assigned.file, assigned.line, to_string(path),
                              "names must consist of a-z, 0-9, - and _, at "
                              "most 64 characters"});
            continue;
        }
        if (const auto fault = fault_of(*rule, assigned.value))
            issues.push_back({assigned.file, assigned.line, to_string(path),
                              *fault + ", not " + to_string(assigned.value)});
    }
}

template <class T>
T value_or(const merged_intent& merged, const key_path& path, T default_value)
{
    const auto found = merged.values.find(path);
    return found == merged.values.end() ? default_value
                                        : std::get<T>(found->second.value);
}

upstream::database_layout read_database(const merged_intent& merged,
                                        const key_path& path)
{
    const auto key = [&](const char* name) {
        auto full_path = path;
        full_path.emplace_back(name);
        return full_path;
    };
    upstream::database_layout database;
    database.name = path.back();
    database.address =
        core::parse_address(value_or<std::string>(merged, key("address"), {}))
            .value_or(core::address{});
    database.failure_domain =
        value_or<std::string>(merged, key("failure_domain"), {});
    database.connections = static_cast<std::size_t>(
        value_or<std::int64_t>(merged, key("connections"), 50));
    database.leaving = value_or<bool>(merged, key("leaving"), false);
    return database;
}

service_intent read_service(const merged_intent& merged,
                            const std::string& name,
                            const std::set<std::string>& databases)
{
    const key_path base{"service", name};
    service_intent service;
    service.layout.name = name;
    service.layout.slots = static_cast<int>(
        value_or<std::int64_t>(merged, {"service", name, "slots"}, 1));
    service.layout.acknowledge =
        upstream::acknowledgement_names
            .find(value_or<std::string>(
                merged, {"service", name, "acknowledge"}, "replica"))
            .value_or(upstream::acknowledgement::replica);
    service.max_age = core::millis(
        value_or<std::int64_t>(merged, {"service", name, "max_age_ms"}, 2000));
    for (const auto& database : databases)
        service.layout.databases.push_back(
            read_database(merged, {"service", name, "database", database}));
    return service;
}

// Adds the issues of a service that no single key shows.
void check_service(const merged_intent& merged, const service_intent& service,
                   std::vector<issue>& issues)
{
    const auto& layout = service.layout;
    const auto location_of = [&](const std::string& name) {
        const auto first = std::find_if(
            merged.values.begin(), merged.values.end(), [&](const auto& item) {
                return item.first.size() > 1 && item.first[1] == name;
            });
        return first->second;
    };
    const auto location = location_of(layout.name);
    const auto key = "service." + layout.name;
    if (layout.databases.size() != databases_per_service)
        issues.push_back({location.file, location.line, key,
                          "needs 3 databases, not " +
                              std::to_string(layout.databases.size())});
    for (const auto& database : layout.databases)
    {
        if (database.address.port != 0 && !database.failure_domain.empty())
            continue;
        issues.push_back({location.file, location.line,
                          key + ".database." + database.name,
                          "needs an address and a failure_domain"});
    }
    const auto leaving =
        std::count_if(layout.databases.begin(), layout.databases.end(),
                      [](const auto& database) { return database.leaving; });
    if (leaving > 1)
        issues.push_back({location.file, location.line, key,
                          "has more than one leaving database; a majority "
                          "must stay"});
}

} // namespace

const service_intent* routing_intent::find(const std::string& name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const service_intent& service) {
                                        return service.layout.name == name;
                                    });
    return found == services.end() ? nullptr : &*found;
}

std::optional<routing_intent> interpret(const merged_intent& merged,
                                        std::vector<issue>& issues)
{
    issues.insert(issues.end(), merged.issues.begin(), merged.issues.end());
    check_keys(merged, issues);
    if (!issues.empty())
        return std::nullopt;
    std::map<std::string, std::set<std::string>> databases;
    for (const auto& [path, assigned] : merged.values)
    {
        auto& names = databases[path[1]];
        if (path.size() > 3)
            names.insert(path[3]);
    }
    routing_intent intent;
    for (const auto& [service, names] : databases)
    {
        intent.services.push_back(read_service(merged, service, names));
        check_service(merged, intent.services.back(), issues);
    }
    if (!issues.empty())
        return std::nullopt;
    return intent;
}

std::optional<routing_intent> check(const bundle& files,
                                    std::vector<issue>& issues)
{
    return interpret(merge(files), issues);
}

} // namespace plantainward::intent
