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

namespace
{

// Appends the commands that give a connection the wanted values; true when the
// first of them resets it.
bool add_values(const connection& connection, const session_values& wanted,
                std::vector<command>& commands)
{
    const bool resets = std::any_of(
        connection.values.begin(), connection.values.end(),
        [&](const auto& current) { return !wanted.contains(current.first); });
    if (resets)
        commands.push_back(proxy_command(command_kind::reset));
    for (const auto& [name, value] : wanted)
    {
        const auto current = connection.values.find(name);
        if (!resets && current != connection.values.end() &&
            current->second == value)
            continue;
        auto command = proxy_command(command_kind::set_value);
        command.name = name;
        command.value = value;
        commands.push_back(std::move(command));
    }
    return resets;
}

// Appends the command that prepares the statement which a session executes,
// unless the connection has it.
void add_prepared(const connection& connection, const session& session,
                  bool was_reset, std::vector<command>& commands)
{
    const auto& statement = session.current->statement;
    if (statement.kind != statement_kind::execute)
        return;
    const auto& prepared = session.prepared.at(statement.name);
    auto command = proxy_command(command_kind::prepare);
    command.name = shared_name(prepared);
    if (!was_reset && connection.prepared.contains(command.name))
        return;
    command.value = prepared.shape;
    command.writes = prepared.writes;
    commands.push_back(std::move(command));
}

void apply(connection& connection, const command& confirmed)
{
    switch (confirmed.kind)
    {
    case command_kind::reset:
        connection.values.clear();
        connection.prepared.clear();
        return;
    case command_kind::set_value:
        connection.values[confirmed.name] = confirmed.value;
        return;
    case command_kind::prepare:
        connection.prepared.insert(confirmed.name);
        return;
    case command_kind::begin:
        connection.has_led = true;
        return;
    default:
        return;
    }
}

} // namespace

std::vector<command> setup_commands(const connection& connection,
                                    const session& session)
{
    std::vector<command> commands;
    const bool resets = add_values(connection, session.values, commands);
    add_prepared(connection, session, resets, commands);
    if (session.current->begins)
    {
        auto begin_command = proxy_command(session.transaction->read_only
                                               ? command_kind::begin_read_only
                                               : command_kind::begin);
        begin_command.after = session.current->after;
        commands.push_back(std::move(begin_command));
    }
    return commands;
}

std::vector<command> lead_commands()
{
    return {proxy_command(command_kind::begin),
            proxy_command(command_kind::rollback)};
}

void confirm_command(connection& connection, const sql::command_answer& answer)
{
    if (connection.unconfirmed.empty())
        return;
    const auto confirmed = std::move(connection.unconfirmed.front());
    connection.unconfirmed.erase(connection.unconfirmed.begin());
    if (!answer.error)
        return apply(connection, confirmed);
    // Changes no values; each answer reports the state of the transaction.
    if (confirmed.kind == command_kind::rollback)
        return;
    connection.is_state_known =
        connection.is_state_known && sql::is_not_run(*answer.error);
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
