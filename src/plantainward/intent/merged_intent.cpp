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
    collector(const std::string& file, merged_intent& out)
        : m_file(file), m_out(out)
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
            take(path, node);
        }
    }

private:
    void take(const key_path& path, const toml::node& node)
    {
        const auto line = node.source().begin.line;
        if (const auto text = node.value_exact<std::string>())
            m_out.values[path] = {*text, m_file, line};
        else if (const auto number = node.value_exact<std::int64_t>())
            m_out.values[path] = {*number, m_file, line};
        else if (const auto truth = node.value_exact<bool>())
            m_out.values[path] = {*truth, m_file, line};
        else
            m_out.issues.push_back(
                {m_file, line, to_string(path),
                 "is neither a text, a whole number nor true or false"});
    }

    const std::string& m_file;
    merged_intent& m_out;
};

} // namespace

std::string to_string(const intent_value& one)
{
    if (const auto* text = std::get_if<std::string>(&one))
        return '"' + *text + '"';
    if (const auto* number = std::get_if<std::int64_t>(&one))
        return std::to_string(*number);
    return std::get<bool>(one) ? "true" : "false";
}

std::string to_string(const issue& one)
{
    std::string text = one.file;
    if (one.line > 0)
        text += ":" + std::to_string(one.line);
    text += ": ";
    if (!one.key.empty())
        text += one.key + ": ";
    return text + one.text;
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
    merged_intent out;
    for (const auto& file : files)
    {
        const auto parsed = toml::parse(file.text, file.name);
        if (!parsed)
        {
            const auto& error = parsed.error();
            out.issues.push_back({file.name,
                                  error.source().begin.line,
                                  {},
                                  std::string(error.description())});
            continue;
        }
        collector(file.name, out).collect(parsed.table(), {});
    }
    return out;
}

std::vector<difference> diff(const merged_intent& before,
                             const merged_intent& after)
{
    std::vector<difference> found;
    for (const auto& [key, old] : before.values)
    {
        const auto now = after.values.find(key);
        if (now == after.values.end())
            found.push_back({key, to_string(old.value), {}});
        else if (now->second.value != old.value)
            found.push_back(
                {key, to_string(old.value), to_string(now->second.value)});
    }
    for (const auto& [key, now] : after.values)
        if (!before.values.contains(key))
            found.push_back({key, {}, to_string(now.value)});
    return found;
}

} // namespace plantainward::intent
