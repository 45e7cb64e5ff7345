#include <platform/platform_state.hpp>

namespace standin
{

using platform::platform_outcome;

platform_outcome platform_state::outcome_of_write()
{
    if (drop_answers <= 0)
        return platform_outcome::ok;
    --drop_answers;
    return platform_outcome::unknown;
}

void platform_state::read_row(
    const std::string& name,
    const platform::reply_handler<platform::table_row>& handler)
{
    if (down)
        return handler({platform_outcome::down, {}});
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return handler({platform_outcome::not_found, {}});
    handler({platform_outcome::ok, found->second});
}

void platform_state::compare_and_set(
    const std::string& name, std::uint64_t expected, const std::string& value,
    const platform::reply_handler<platform::table_row>& handler)
{
    if (down)
        return handler({platform_outcome::down, {}});
    auto& row = m_rows[name];
    if (row.version != expected)
        return handler({platform_outcome::conflict, row});
    row = {value, expected + 1};
    if (drop_row_answers > 0)
    {
        --drop_row_answers;
        return handler({platform_outcome::unknown, {}});
    }
    handler({outcome_of_write(), row});
}

void platform_state::put_object(
    const std::string& key, const std::string& body,
    const platform::reply_handler<std::string>& handler)
{
    if (down)
        return handler({platform_outcome::down, {}});
    m_objects[key] = body;
    handler({outcome_of_write(), {}});
}

void platform_state::get_object(
    const std::string& key, const platform::reply_handler<std::string>& handler)
{
    if (down)
        return handler({platform_outcome::down, {}});
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return handler({platform_outcome::not_found, {}});
    handler({platform_outcome::ok, found->second});
}

void platform_state::list_hosts(
    const platform::reply_handler<platform::listed_hosts>& handler)
{
    if (down)
        return handler({platform_outcome::down, {}});
    handler({platform_outcome::ok, hosts});
}

} // namespace standin
