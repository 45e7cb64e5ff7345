#pragma once

#include "async.hpp"
#include "line_channel.hpp"
#include "recorder.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace soak
{

class database;

/// The databases of one service.
struct database_group
{
    std::string service;
    std::vector<std::shared_ptr<database>> members;
    /// Id of the database that leads the newest term.
    std::string leader;
    std::uint64_t term{1};

    std::shared_ptr<database> find(const std::string& id) const;
};

/// Shares of commands that go wrong.
struct command_faults
{
    double refused{0};
    double lost{0};
    double cut{0};
    double closed{0};
    double reset{0};
};

struct database_options
{
    std::size_t slots{3};
    std::size_t queue{24};
    std::size_t max_connections{47};
    double handshake_ms{12};
    double work_ms{14};
    double max_work_ms{60};
    double lag_ms{8};
};

/// What all databases of a run share.
struct database_world
{
    asio::io_context& io;
    recorder& record;
    std::uint64_t seed{0};
    database_options options;
    command_faults faults;
    std::uint64_t last_connection{0};
    std::uint64_t last_transaction{0};
};

/// A database that speaks the line protocol and records what it runs.
class database : public std::enable_shared_from_this<database>
{
public:
    database(database_world& world, database_group& group, std::string id,
             tcp::endpoint address, std::string zone);

    /// Listens; false if the address is in use.
    bool start();
    /// Ends the process: closes all connections.
    void stop();
    /// Loses the log, as a start at an empty disk does.
    void forget() { m_log.clear(); }
    /// Connections that are open now go silent; new ones work.
    void mute_connections();
    void reset_connections();
    /// Stops receiving from the primary, or receives again.
    void set_deaf(bool is_deaf) { m_is_deaf = is_deaf; }

    /// Leads a term with the log that it has.
    void lead(std::uint64_t term);
    void follow();

    const std::string& id() const { return m_id; }
    const tcp::endpoint& address() const { return m_address; }
    const std::string& zone() const { return m_zone; }
    bool is_running() const { return m_is_running; }
    bool is_primary() const { return m_is_primary; }
    const std::vector<std::size_t>& log() const { return m_log; }
    void set_log(std::vector<std::size_t> log) { m_log = std::move(log); }
    void set_on_role_change(std::function<void()> handler)
    {
        m_on_role_change = std::move(handler);
    }

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    /// What the answer to a statement carries besides its state.
    struct answer
    {
        std::string code;
        std::string signature{"-"};
        std::vector<std::string> rows{};
    };

    task accept(unsigned start_number);
    task read(session_pointer peer);
    task serve(session_pointer peer);
    task replicate(unsigned start_number);
    asio::awaitable<bool> open(session_pointer peer, const std::string& text);
    asio::awaitable<bool> query(session_pointer peer, const std::string& text,
                                instant arrived);
    asio::awaitable<answer> execute(session_pointer peer, std::size_t index);
    asio::awaitable<answer> work(session_pointer peer, std::size_t index);
    answer begin(session& peer, std::size_t index);
    answer finish(session& peer, std::size_t index, const std::string& word);
    answer status();
    asio::awaitable<bool> acquire_slot();
    void release_slot();
    void end_session(session& peer);
    void roll_back(session& peer);
    void add_commit(const std::string& id, std::vector<std::string> writes);
    void pull(const database& leader);
    bool has_position(const std::string& position) const;
    std::string position() const;
    std::uint64_t term() const;
    run& run_at(std::size_t index)
    {
        return m_world.record.events().runs[index];
    }

    database_world& m_world;
    database_group& m_group;
    std::string m_id;
    tcp::endpoint m_address;
    std::string m_zone;
    dice m_dice;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    std::function<void()> m_on_role_change;
    /// Indexes of the history's commits.
    std::vector<std::size_t> m_log;
    std::set<session_pointer> m_sessions;
    std::deque<std::shared_ptr<asio::steady_timer>> m_waiting;
    std::size_t m_busy{0};
    std::uint64_t m_own_term{1};
    std::uint64_t m_held_term{0};
    instant m_last_pull{0};
    unsigned m_start_number{0};
    bool m_is_running{false};
    bool m_is_primary{false};
    bool m_is_deaf{false};
};

} // namespace soak
