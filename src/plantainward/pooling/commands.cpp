#include <plantainward/pooling/commands.hpp>

#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

namespace plantainward::pooling
{

using sql::command;
using sql::command_kind;
using sql::statement_kind;

command proxy_command(command_kind kind)
{
    command result;
    result.kind = kind;
    return result;
}

void add_values(connection& connection, const session_values& wanted,
                std::vector<command>& commands)
{
    const bool has_unwanted = std::any_of(
        connection.values.begin(), connection.values.end(),
        [&](const auto& current) { return !wanted.contains(current.first); });
    if (has_unwanted)
    {
        commands.push_back(proxy_command(command_kind::reset));
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : wanted)
    {
        const auto current = connection.values.find(name);
        if (current != connection.values.end() && current->second == value)
            continue;
        auto command = proxy_command(command_kind::set_value);
        command.name = name;
        command.value = value;
        commands.push_back(std::move(command));
        connection.values[name] = value;
    }
}

void add_prepared(connection& connection, const session& session,
                  std::vector<command>& commands)
{
    const auto& statement = session.current->statement;
    if (statement.kind != statement_kind::execute)
        return;
    const auto& prepared = session.prepared.at(statement.name);
    auto command = proxy_command(command_kind::prepare);
    command.name = shared_name(prepared);
    if (!connection.prepared.insert(command.name).second)
        return;
    command.value = prepared.shape;
    command.writes = prepared.writes;
    commands.push_back(std::move(command));
}

command statement_command(const session& session)
{
    const auto& statement = session.current->statement;
    command result;
    result.id = statement.id;
    if (!session.transaction)
        result.after = session.current->after;
    if (statement.kind != statement_kind::execute)
    {
        result.text = statement.text;
        return result;
    }
    result.kind = command_kind::execute;
    result.name = shared_name(session.prepared.at(statement.name));
    result.value = statement.value;
    return result;
}

core::error_kind error_kind_of(sql::refusal refusal)
{
    switch (refusal)
    {
    case sql::refusal::behind:
        return core::error_kind::too_stale;
    case sql::refusal::read_only:
        return core::error_kind::transaction_lost;
    case sql::refusal::failed:
        return core::error_kind::statement_failed;
    case sql::refusal::malformed:
        return core::error_kind::bad_request;
    case sql::refusal::timed_out:
    case sql::refusal::other:
        return core::error_kind::outcome_unknown;
    default:
        return core::error_kind::overloaded;
    }
}

} // namespace plantainward::pooling
