// The simulated databases: connections, commands, replication, promotion.

#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <algorithm>
#include <utility>

namespace support
{

namespace
{

std::string text_of(const sql::command& command)
{
    return command.text;
}

} // namespace

void fleet_world::open(const std::string& name,
                       const pooling::open_action& action)
{
    const auto id = action.connection;
    const auto database = action.upstream.id;
    on_host(name, link_delay * 2, [this, name, id, database] {
        auto& pooler = m_hosts.at(name).host->pooler();
        if (is_cut(name, database))
            return on_host(name, open_timeout, [this, name, id] {
                run(name, m_hosts.at(name).host->pooler().on_open_failed(
                              id, std::nullopt, m_now));
            });
        if (!m_databases.at(database).up)
            return run(name, pooler.on_open_failed(id, std::nullopt, m_now));
        m_connections[{name, id}] = {database, false, {}};
        run(name, pooler.on_opened(id, m_now));
    });
}

void fleet_world::send(const std::string& name,
                       const pooling::send_action& action)
{
    for (const auto& command : action.commands)
        after(link_delay + work_time,
              [this, name, id = action.connection, command] {
                  answer_command(name, id, command);
              });
}

void fleet_world::answer_command(const std::string& name,
                                 pooling::connection_id id,
                                 const sql::command& command)
{
    const auto found = m_connections.find({name, id});
    if (found == m_connections.end() || is_cut(name, found->second.database))
        return;
    auto& database = m_databases.at(found->second.database);
    if (!database.up)
        return;
    auto answer = execute(found->second, database, command);
    on_host(name, link_delay, [this, name, id, answer] {
        const auto open = m_connections.find({name, id});
        if (open == m_connections.end() || is_cut(name, open->second.database))
            return;
        run(name, m_hosts.at(name).host->pooler().on_answer(id, answer, m_now));
    });
}

sql::command_answer fleet_world::execute(sim_connection& connection,
                                         sim_database& database,
                                         const sql::command& command)
{
    using sql::command_kind;
    sql::command_answer answer;
    const auto refuse = [&](sql::refusal why) {
        answer.error = why;
        answer.position = database.end();
        answer.state = connection.in_transaction
                           ? sql::transaction_state::failed
                           : sql::transaction_state::idle;
        return answer;
    };
    if (command.after && database.end() < *command.after)
        return refuse(sql::refusal::behind);
    const auto text = text_of(command);
    if (command.kind == command_kind::begin)
    {
        if (!database.is_primary)
            return refuse(sql::refusal::read_only);
        connection.in_transaction = true;
    }
    else if (command.kind == command_kind::begin_read_only)
        connection.in_transaction = true;
    else if (command.kind == command_kind::rollback)
    {
        connection.in_transaction = false;
        connection.pending.clear();
    }
    else if (text.starts_with("WRITE "))
    {
        if (!database.is_primary)
            return refuse(sql::refusal::read_only);
        const auto space = text.find(' ', 6);
        connection.pending.push_back(
            {{}, text.substr(6, space - 6), text.substr(space + 1)});
        if (!connection.in_transaction)
            commit(connection, database, answer);
        answer.signature = "s";
    }
    else if (text == "COMMIT")
    {
        if (!database.is_primary && !connection.pending.empty())
            return refuse(sql::refusal::read_only);
        commit(connection, database, answer);
        connection.in_transaction = false;
        answer.signature = "s";
    }
    else if (text.starts_with("READ "))
    {
        const auto key = text.substr(5);
        for (auto one = database.log.rbegin(); one != database.log.rend();
             ++one)
            if (one->key == key)
            {
                answer.rows.push_back(one->value);
                break;
            }
        answer.signature = "s@" + database.what.id;
    }
    answer.position = database.end();
    answer.state = connection.in_transaction ? sql::transaction_state::open
                                             : sql::transaction_state::idle;
    return answer;
}

void fleet_world::commit(sim_connection& connection, sim_database& database,
                         sql::command_answer& answer)
{
    for (auto& one : connection.pending)
    {
        one.point = {database.term, database.end().position + 1};
        database.log.push_back(one);
        m_checker.on_commit(one.value, database.what.id, m_leader, m_now);
    }
    connection.pending.clear();
    answer.position = database.end();
    // The signature tells the checker where a commit ran.
    replicate(database.what.id);
}

void fleet_world::replicate(const std::string& from)
{
    const auto& source = m_databases.at(from);
    for (auto& [id, one] : m_databases)
    {
        if (id == from)
            continue;
        after(one.lag,
              [this, from, id = id, log = source.log, term = source.term] {
                  auto& target = m_databases.at(id);
                  // A replaced primary follows once it reaches the new one.
                  if (target.up && target.is_primary && target.term < term &&
                      !is_cut(from, id))
                  {
                      target.is_primary = false;
                      target.log.clear();
                  }
                  const bool follows = target.up && !target.is_primary &&
                                       target.term <= term && !is_cut(from, id);
                  if (!follows || log.back().point < target.end())
                      return;
                  target.term = term;
                  target.log = log;
              });
    }
}

void fleet_world::crash_database(const std::string& id)
{
    auto& database = m_databases.at(id);
    database.up = false;
    std::vector<std::pair<std::string, pooling::connection_id>> open;
    for (const auto& [key, one] : m_connections)
        if (one.database == id)
            open.push_back(key);
    for (const auto& key : open)
    {
        m_connections.erase(key);
        on_host(key.first, link_delay, [this, key] {
            run(key.first, m_hosts.at(key.first).host->pooler().on_closed(
                               key.second, m_now));
        });
    }
}

void fleet_world::recover_database(const std::string& id)
{
    auto& database = m_databases.at(id);
    database.up = true;
    database.is_primary = m_leader == id;
    if (m_leader != id && m_databases.at(m_leader).up)
    {
        database.term = m_databases.at(m_leader).term;
        database.log = m_databases.at(m_leader).log;
    }
}

void fleet_world::take_lead(const std::string& id)
{
    auto& chosen = m_databases.at(id);
    if (!chosen.up)
        return;
    ++m_history.promotions;
    chosen.term = m_databases.at(m_leader).term + 1;
    chosen.is_primary = true;
    const auto kept = chosen.end();
    m_leader = id;
    // What the new primary lacks is rolled back; nobody must see it again.
    std::erase_if(m_history.writes,
                  [&](const auto& one) { return one.point > kept; });
    for (auto& [other, one] : m_databases)
        if (other != id && !one.is_primary && one.end() > kept)
            one.log = chosen.log;
    chosen.log.push_back({{chosen.term, kept.position + 1}, "term", "0"});
    replicate(id);
}

} // namespace support
