#include <support/load_world.hpp>

#include <variant>

namespace support
{

using namespace plantainward;

namespace
{

constexpr core::millis link_delay{1};
constexpr core::millis tick_interval{20};

} // namespace

void load_world::run_until(instant end)
{
    for (const auto& [host, pooler] : poolers)
        if (m_ticking.insert(host).second)
            tick(host);
    while (!m_tasks.empty() && m_tasks.begin()->first <= end)
    {
        auto next = m_tasks.extract(m_tasks.begin());
        now = next.key();
        next.mapped()();
    }
    now = end;
}

void load_world::tick(const std::string& host)
{
    apply(host, poolers.at(host).tick(now));
    after(tick_interval, [this, host] { tick(host); });
}

void load_world::apply(const std::string& host, const pooling::actions& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* open_request =
                std::get_if<pooling::open_action>(&action))
        {
            const auto id = open_request->connection;
            const auto name = open_request->upstream.id;
            m_locations[{host, id}] = name;
            after(link_delay, [this, host, name, id] { open(host, name, id); });
        }
        if (const auto* send = std::get_if<pooling::send_action>(&action))
        {
            const auto id = send->connection;
            const auto name = m_locations.at({host, id});
            after(link_delay,
                  [this, host, name, id, commands = send->commands] {
                      for (const auto& command : commands)
                          run(host, name, id, command);
                  });
        }
        if (const auto* closed = std::get_if<pooling::close_action>(&action))
            close(host, closed->connection);
        if (const auto* reply = std::get_if<pooling::reply_action>(&action))
            on_reply(host, *reply);
    }
}

void load_world::submit(const std::string& host, pooling::session_id session,
                        sql::statement_kind kind, const std::string& text)
{
    sql::statement statement;
    statement.kind = kind;
    statement.id = "q" + std::to_string(++m_last_statement);
    statement.text = text;
    apply(host, poolers.at(host).on_statement(session, statement, now));
}

void load_world::open(const std::string& host, const std::string& name,
                      pooling::connection_id id)
{
    auto& database = databases.at(name);
    if (!m_locations.contains({host, id}))
        return;
    const bool is_accepted =
        database.connections.size() + database.lost_connections <
        database.options.max_connections;
    if (!is_accepted)
    {
        ++database.refused_connections;
        std::optional<sql::refusal> reason;
        if (!database.options.resets_excess_connections)
            reason = sql::refusal::too_many_connections;
        return after(link_delay, [this, host, id, reason] {
            apply(host, poolers.at(host).on_open_failed(id, reason, now));
        });
    }
    database.connections.insert({host, id});
    after(database.options.open_time + link_delay, [this, host, id] {
        apply(host,
              poolers.at(host).on_opened(id, upstream::log_point{1, 10}, now));
    });
}

void load_world::run(const std::string& host, const std::string& name,
                     pooling::connection_id id, const sql::command& command)
{
    auto& database = databases.at(name);
    const std::pair connection(host, id);
    if (!database.connections.contains(connection))
        return;
    if (command.kind == sql::command_kind::begin ||
        command.kind == sql::command_kind::begin_read_only)
        database.transactions.insert(connection);
    if (command.kind == sql::command_kind::rollback)
        database.transactions.erase(connection);
    const bool needs_slot = command.kind == sql::command_kind::run ||
                            command.kind == sql::command_kind::execute;
    if (!needs_slot)
        return answer(host, name, id, std::nullopt);
    ++database.received;
    if (database.refuses_all)
        return answer(host, name, id, database.refuses_all);
    const bool commits = command.text == "COMMIT";
    auto job = [this, host, name, id, commits] {
        start(host, name, id, commits);
    };
    if (database.running < database.options.slots)
        return job();
    if (database.waiting.size() >= database.options.max_waiting)
        return answer(host, name, id, sql::refusal::busy);
    database.waiting.push_back(std::move(job));
}

void load_world::start(const std::string& host, const std::string& name,
                       pooling::connection_id id, bool commits)
{
    auto& database = databases.at(name);
    ++database.running;
    after(database.options.work_time, [this, host, name, id, commits] {
        auto& busy_database = databases.at(name);
        --busy_database.running;
        ++busy_database.completed;
        if (commits)
            busy_database.transactions.erase({host, id});
        answer(host, name, id, std::nullopt);
        if (busy_database.waiting.empty())
            return;
        const auto next = std::move(busy_database.waiting.front());
        busy_database.waiting.pop_front();
        next();
    });
}

void load_world::answer(const std::string& host, const std::string& name,
                        pooling::connection_id id,
                        std::optional<sql::refusal> error)
{
    sql::command_answer result;
    result.signature = "s";
    result.error = error;
    result.position = upstream::log_point{1, 10};
    if (databases.at(name).transactions.contains({host, id}))
        result.state = sql::transaction_state::open;
    after(link_delay, [this, host, id, result] {
        if (m_locations.contains({host, id}))
            apply(host, poolers.at(host).on_answer(id, result, now));
    });
}

void load_world::close(const std::string& host, pooling::connection_id id)
{
    const auto name = m_locations.at({host, id});
    m_locations.erase({host, id});
    after(link_delay, [this, host, name, id] {
        databases.at(name).connections.erase({host, id});
        databases.at(name).transactions.erase({host, id});
    });
}

} // namespace support
