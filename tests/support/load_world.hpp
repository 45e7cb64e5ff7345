#pragma once

#include <plantainward/pooling/pooler.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace support
{

/// Settings of a `load_database`.
struct load_database_options
{
    /// Connections that it accepts.
    std::size_t max_connections{47};
    /// Statements that it runs at a time.
    std::size_t slots{5};
    /// Statements that wait in it before it answers that it is busy.
    std::size_t max_waiting{40};
    plantainward::core::millis work_time{20};
    plantainward::core::millis open_time{12};
    /// Answers an excess connection with a reset instead of a reason.
    bool resets_excess_connections{false};
};

/// A database that limits its connections and runs statements in a few slots.
struct load_database
{
    load_database_options options;
    /// Connections that hosts which lost power still hold.
    std::size_t lost_connections{0};
    std::set<std::pair<std::string, plantainward::pooling::connection_id>>
        connections;
    std::set<std::pair<std::string, plantainward::pooling::connection_id>>
        transactions;
    std::size_t running{0};
    std::deque<std::function<void()>> waiting;
    std::size_t refused_connections{0};
    std::size_t received{0};
    std::size_t completed{0};
    /// Answer to every statement instead of running it.
    std::optional<plantainward::sql::refusal> refuses_all;
};

/// Poolers of several hosts and the databases that they use, with a simulated
/// clock and network. Runs are reproducible.
class load_world
{
public:
    using instant = plantainward::core::boot_instant;
    using millis = plantainward::core::millis;
    using task = std::function<void()>;
    using reply_handler = std::function<void(
        const std::string& host, const plantainward::pooling::reply_action&)>;

    instant now{std::chrono::seconds(100)};
    std::map<std::string, load_database> databases;
    std::map<std::string, plantainward::pooling::pooler> poolers;
    reply_handler on_reply;

    /// Runs a task at an instant, after the earlier tasks of that instant.
    void at(instant when, task new_task)
    {
        m_tasks.emplace(when, std::move(new_task));
    }
    void after(millis delay, task new_task)
    {
        at(now + delay, std::move(new_task));
    }
    /// Runs all tasks until an instant, with a tick of each pooler every 20 ms.
    void run_until(instant end);
    /// Carries out the actions of a host.
    void apply(const std::string& host,
               const plantainward::pooling::actions& actions);
    /// Sends a statement to a host.
    void submit(const std::string& host,
                plantainward::pooling::session_id session,
                plantainward::sql::statement_kind kind,
                const std::string& text);

private:
    void open(const std::string& host, const std::string& name,
              plantainward::pooling::connection_id id);
    void run(const std::string& host, const std::string& name,
             plantainward::pooling::connection_id id,
             const plantainward::sql::command& command);
    void start(const std::string& host, const std::string& name,
               plantainward::pooling::connection_id id, bool commits);
    void answer(const std::string& host, const std::string& name,
                plantainward::pooling::connection_id id,
                std::optional<plantainward::sql::refusal> error);
    void close(const std::string& host,
               plantainward::pooling::connection_id id);
    void tick(const std::string& host);

    std::multimap<instant, task> m_tasks;
    /// Database of each connection.
    std::map<std::pair<std::string, plantainward::pooling::connection_id>,
             std::string>
        m_locations;
    std::set<std::string> m_ticking;
    std::size_t m_last_statement{0};
};

} // namespace support
