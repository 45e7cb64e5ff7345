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
        run(name, pooler.on_opened(id, m_databases.at(database).end(), m_now));
    });
}

void fleet_world::send(const std::string& name,
                       const pooling::send_action& action)
{
    for (const auto& command : action.commands)
        after(link_delay + command_time,
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
    check_drain(name, found->second, command);
    auto answer = execute(found->second, database, command);
    if (!command.id.empty() &&
        (!answer.error || !sql::is_not_run(*answer.error)))
        m_history.started.try_emplace(command.id, m_now);
    on_host(name, link_delay, [this, name, id, answer] {
        const auto open = m_connections.find({name, id});
        if (open == m_connections.end() || is_cut(name, open->second.database))
            return;
        run(name, m_hosts.at(name).host->pooler().on_answer(id, answer, m_now));
    });
}

void fleet_world::check_drain(const std::string& host,
                              const sim_connection& connection,
                              const sql::command& command)
{
    const auto text = text_of(command);
    if (connection.in_transaction ||
        (!text.starts_with("WRITE ") && !text.starts_with("READ ")))
        return;
    if (auto fault = m_drain_checker.on_request(host, connection.database,
                                                m_checker, m_now))
        m_history.faults.push_back(std::move(*fault));
}

sql::command_answer fleet_world::execute(sim_connection& connection,
                                         sim_database& database,
                                         const sql::command& command)
{
    using sql::command_kind;
    sql::command_answer answer;
    const auto refuse = [&](sql::refusal reason) {
        answer.error = reason;
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
        for (auto entry = database.log.rbegin(); entry != database.log.rend();
             ++entry)
            if (entry->key == key)
            {
                answer.rows.push_back(entry->value);
                break;
            }
        // The signature shows which database served the read.
        answer.signature = "s@" + database.registration.id;
    }
    answer.position = database.end();
    answer.state = connection.in_transaction ? sql::transaction_state::open
                                             : sql::transaction_state::idle;
    return answer;
}

void fleet_world::commit(sim_connection& connection, sim_database& database,
                         sql::command_answer& answer)
{
    for (auto& entry : connection.pending)
    {
        entry.point = {database.term, database.end().position + 1};
        database.log.push_back(entry);
        m_checker.on_commit(entry.value, database.registration.id, m_leader,
                            m_now);
    }
    connection.pending.clear();
    answer.position = database.end();
    replicate(database.registration.id);
}

void fleet_world::replicate(const std::string& from)
{
    const auto& source = m_databases.at(from);
    for (auto& [id, replica] : m_databases)
    {
        if (id == from)
            continue;
        after(replica.lag,
              [this, from, id = id, log = source.log, term = source.term] {
                  auto& target = m_databases.at(id);
                  // A replaced primary becomes a replica once it reaches the
                  // new one.
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
    for (const auto& [key, connection] : m_connections)
        if (connection.database == id)
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

void fleet_world::restart_empty(const std::string& id)
{
    auto& database = m_databases.at(id);
    database.up = true;
    database.is_primary = false;
    database.term = 1;
    database.log.clear();
    ++database.registration.started_at_ms;
    announce_upstreams();
}

void fleet_world::become_primary(const std::string& id)
{
    auto& promoted = m_databases.at(id);
    if (!promoted.up)
        return;
    ++m_history.promotions;
    promoted.term = m_databases.at(m_leader).term + 1;
    promoted.is_primary = true;
    const auto kept_end = promoted.end();
    m_leader = id;
    // Writes that the new primary lacks are rolled back; no read may return
    // them from now on.
    std::erase_if(m_history.writes,
                  [&](const auto& write) { return write.point > kept_end; });
    for (auto& [other, database] : m_databases)
        if (other != id && !database.is_primary && database.end() > kept_end)
            database.log = promoted.log;
    promoted.log.push_back(
        {{promoted.term, kept_end.position + 1}, "term", "0"});
    replicate(id);
}

} // namespace support
