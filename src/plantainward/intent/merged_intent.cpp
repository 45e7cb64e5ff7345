#include <plantainward/intent/merged_intent.hpp>

#include <sstream>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace plantainward::intent
{

namespace
{

class collector
{
public:
    collector(const std::string& file, merged_intent& merged)
        : m_file(file), m_merged(merged)
    {
    }

    void collect(const toml::table& table, const key_path& prefix)
    {
        for (const auto& [key, node] : table)
        {
            auto path = prefix;
            path.emplace_back(key.str());
            if (const auto* inner = node.as_table())
            {
                collect(*inner, path);
                continue;
            }
            add_value(path, node);
        }
    }

private:
    void add_value(const key_path& path, const toml::node& node)
    {
        const auto line = node.source().begin.line;
        if (const auto text = node.value_exact<std::string>())
            m_merged.values[path] = {*text, m_file, line};
        else if (const auto number = node.value_exact<std::int64_t>())
            m_merged.values[path] = {*number, m_file, line};
        else if (const auto boolean = node.value_exact<bool>())
            m_merged.values[path] = {*boolean, m_file, line};
        else
            m_merged.issues.push_back(
                {m_file, line, to_string(path),
                 "is neither a string, an integer nor a boolean"});
    }

    const std::string& m_file;
    merged_intent& m_merged;
};

} // namespace

std::string to_string(const intent_value& value)
{
    if (const auto* text = std::get_if<std::string>(&value))
        return '"' + *text + '"';
    if (const auto* number = std::get_if<std::int64_t>(&value))
        return std::to_string(*number);
    return std::get<bool>(value) ? "true" : "false";
}

std::string to_string(const issue& problem)
{
    std::string text = problem.file;
    if (problem.line > 0)
        text += ":" + std::to_string(problem.line);
    text += ": ";
    if (!problem.key.empty())
        text += problem.key + ": ";
    return text + problem.text;
}

std::string to_string(const key_path& path)
{
    std::string text;
    for (const auto& part : path)
        text += (text.empty() ? "" : ".") + part;
    return text;
}

merged_intent merge(const bundle& files)
{
    merged_intent merged;
    for (const auto& file : files)
    {
        const auto parsed = toml::parse(file.text, file.name);
        if (!parsed)
        {
            const auto& error = parsed.error();
            merged.issues.push_back({file.name,
                                     error.source().begin.line,
                                     {},
                                     std::string(error.description())});
            continue;
        }
        collector(file.name, merged).collect(parsed.table(), {});
    }
    return merged;
}

std::vector<difference> diff(const merged_intent& before,
                             const merged_intent& after)
{
    std::vector<difference> differences;
    for (const auto& [key, old_value] : before.values)
    {
        const auto new_value = after.values.find(key);
        if (new_value == after.values.end())
            differences.push_back({key, to_string(old_value.value), {}});
        else if (new_value->second.value != old_value.value)
            differences.push_back({key, to_string(old_value.value),
                                   to_string(new_value->second.value)});
    }
    for (const auto& [key, new_value] : after.values)
        if (!before.values.contains(key))
            differences.push_back({key, {}, to_string(new_value.value)});
    return differences;
}

} // namespace plantainward::intent
