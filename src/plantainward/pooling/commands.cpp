#include <plantainward/pooling/commands.hpp>

#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

namespace plantainward::pooling
{

using sql::command;
using sql::command_kind;
using sql::statement_kind;

command own_command(command_kind kind)
{
    command made;
    made.kind = kind;
    return made;
}

void add_values(connection& one, const session_values& wanted,
                std::vector<command>& out)
{
    const bool has_foreign = std::any_of(
        one.values.begin(), one.values.end(),
        [&](const auto& held) { return !wanted.contains(held.first); });
    if (has_foreign)
    {
        out.push_back(own_command(command_kind::reset));
        one.values.clear();
        one.prepared.clear();
    }
    for (const auto& [name, value] : wanted)
    {
        const auto held = one.values.find(name);
        if (held != one.values.end() && held->second == value)
            continue;
        auto made = own_command(command_kind::set_value);
        made.name = name;
        made.value = value;
        out.push_back(std::move(made));
        one.values[name] = value;
    }
}

void add_prepared(connection& one, const session& who,
                  std::vector<command>& out)
{
    const auto& statement = who.current->statement;
    if (statement.kind != statement_kind::execute)
        return;
    const auto& known = who.prepared.at(statement.name);
    auto made = own_command(command_kind::prepare);
    made.name = shared_name(known);
    if (!one.prepared.insert(made.name).second)
        return;
    made.value = known.shape;
    made.writes = known.writes;
    out.push_back(std::move(made));
}

command main_command(const session& who)
{
    const auto& statement = who.current->statement;
    command made;
    made.id = statement.id;
    if (!who.transaction)
        made.after = who.current->after;
    if (statement.kind != statement_kind::execute)
    {
        made.text = statement.text;
        return made;
    }
    made.kind = command_kind::execute;
    made.name = shared_name(who.prepared.at(statement.name));
    made.value = statement.value;
    return made;
}

core::error_kind kind_of(sql::refusal why)
{
    switch (why)
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
