#include <plantainward/intent/routing_intent.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/intent/schema.hpp>

#include <algorithm>
#include <set>

namespace plantainward::intent
{

namespace
{

constexpr std::size_t group_size = 3;
constexpr std::size_t longest_name = 64;

bool is_plain_name(const std::string& name)
{
    return !name.empty() && name.size() <= longest_name &&
           name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") ==
               std::string::npos;
}

void check_keys(const merged_intent& from, std::vector<issue>& issues)
{
    for (const auto& [path, set] : from.values)
    {
        const auto* rule = rule_for(path);
        if (rule == nullptr)
        {
            auto text = std::string("is not a known key");
            if (const auto near = nearest_key(path))
                text += "; did you mean " + *near + "?";
            issues.push_back({set.file, set.line, to_string(path), text});
            continue;
        }
        if (!is_plain_name(path[1]) ||
            (path.size() > 3 && !is_plain_name(path[3])))
        {
            issues.push_back({set.file, set.line, to_string(path),
                              "names are of a-z, 0-9, - and _, up to 64"});
            continue;
        }
        if (const auto fault = fault_of(*rule, set.value))
            issues.push_back({set.file, set.line, to_string(path),
                              *fault + ", not " + to_string(set.value)});
    }
}

template <class T>
T value_or(const merged_intent& from, const key_path& path, T fallback)
{
    const auto found = from.values.find(path);
    return found == from.values.end() ? fallback
                                      : std::get<T>(found->second.value);
}

upstream::database_layout read_database(const merged_intent& from,
                                        const key_path& path)
{
    const auto key = [&](const char* name) {
        auto made = path;
        made.emplace_back(name);
        return made;
    };
    upstream::database_layout made;
    made.name = path.back();
    made.address =
        core::parse_address(value_or<std::string>(from, key("address"), {}))
            .value_or(core::address{});
    made.failure_domain =
        value_or<std::string>(from, key("failure_domain"), {});
    made.connections = static_cast<std::size_t>(
        value_or<std::int64_t>(from, key("connections"), 50));
    made.leaving = value_or<bool>(from, key("leaving"), false);
    return made;
}

service_intent read_service(const merged_intent& from, const std::string& name,
                            const std::set<std::string>& databases)
{
    const key_path base{"service", name};
    service_intent made;
    made.layout.name = name;
    made.layout.slots = static_cast<int>(
        value_or<std::int64_t>(from, {"service", name, "slots"}, 1));
    made.layout.acknowledge =
        upstream::acknowledgement_names
            .find(value_or<std::string>(from, {"service", name, "acknowledge"},
                                        "replica"))
            .value_or(upstream::acknowledgement::replica);
    made.max_age = core::millis(
        value_or<std::int64_t>(from, {"service", name, "max_age_ms"}, 2000));
    for (const auto& database : databases)
        made.layout.databases.push_back(
            read_database(from, {"service", name, "database", database}));
    return made;
}

// The faults of a service that no single key shows.
void check_service(const merged_intent& from, const service_intent& service,
                   std::vector<issue>& issues)
{
    const auto& layout = service.layout;
    const auto place = [&](const std::string& name) {
        const auto first = std::find_if(
            from.values.begin(), from.values.end(), [&](const auto& item) {
                return item.first.size() > 1 && item.first[1] == name;
            });
        return first->second;
    };
    const auto at = place(layout.name);
    const auto key = "service." + layout.name;
    if (layout.databases.size() != group_size)
        issues.push_back({at.file, at.line, key,
                          "needs 3 databases, not " +
                              std::to_string(layout.databases.size())});
    for (const auto& database : layout.databases)
    {
        if (database.address.port != 0 && !database.failure_domain.empty())
            continue;
        issues.push_back({at.file, at.line, key + ".database." + database.name,
                          "needs an address and a failure_domain"});
    }
    const auto leaving =
        std::count_if(layout.databases.begin(), layout.databases.end(),
                      [](const auto& one) { return one.leaving; });
    if (leaving > 1)
        issues.push_back({at.file, at.line, key,
                          "has more than one leaving database; a majority "
                          "must stay"});
}

} // namespace

const service_intent* routing_intent::find(const std::string& name) const
{
    const auto found = std::find_if(
        services.begin(), services.end(),
        [&](const service_intent& one) { return one.layout.name == name; });
    return found == services.end() ? nullptr : &*found;
}

std::optional<routing_intent> interpret(const merged_intent& from,
                                        std::vector<issue>& issues)
{
    issues.insert(issues.end(), from.issues.begin(), from.issues.end());
    check_keys(from, issues);
    if (!issues.empty())
        return std::nullopt;
    std::map<std::string, std::set<std::string>> databases;
    for (const auto& [path, set] : from.values)
    {
        auto& mine = databases[path[1]];
        if (path.size() > 3)
            mine.insert(path[3]);
    }
    routing_intent made;
    for (const auto& [name, its_databases] : databases)
    {
        made.services.push_back(read_service(from, name, its_databases));
        check_service(from, made.services.back(), issues);
    }
    if (!issues.empty())
        return std::nullopt;
    return made;
}

std::optional<routing_intent> check(const bundle& files,
                                    std::vector<issue>& issues)
{
    return interpret(merge(files), issues);
}

} // namespace plantainward::intent
