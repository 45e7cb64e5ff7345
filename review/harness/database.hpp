#pragma once

#include "record.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace review
{

/// One statement of a caller as a database ran it.
struct statement_run
{
    std::string database;
    std::uint64_t connection{0};
    std::string text;
    /// Values of the database's session at that moment.
    std::map<std::string, std::string> values;
    /// Whether the session was in a transaction.
    bool in_transaction{false};
    /// When the request arrived and when its answer was sent; the latter is
    /// the default while it runs.
    instant arrived;
    instant answered{};
};

/// A commit that writes.
struct log_entry
{
    std::uint64_t term{0};
    /// Id of the request that committed it.
    std::string id;
    std::map<std::string, std::string> data;
};

/// What the databases of a service share: the log, of which each has received
/// the beginning, and the present term and primary.
struct database_group
{
    std::string service;
    std::string primary;
    std::uint64_t term{1};
    std::vector<log_entry> log;
    /// A commit is acknowledged once this many replicas have received it.
    std::size_t sync_replicas{0};
    /// Runs of the callers' statements, by request id.
    std::map<std::string, std::vector<statement_run>> runs;
};

struct database_options
{
    std::size_t slots{3};
    /// Requests that may wait for a slot; more are refused with BUSY.
    std::size_t queue{24};
    std::size_t max_connections{47};
    millis work{20};
};

/// Returns the code with which a database refuses a request, or an empty text.
using refusal_hook =
    std::function<std::string(const std::string& database,
                              const std::string& id, const std::string& text)>;

/// A database that speaks the line protocol. Used from the thread that runs
/// the input/output loop.
class database
{
public:
    database(boost::asio::io_context& io, std::string id, std::uint16_t port,
             database_group& group, database_options options, record& log);

    void set_refusals(refusal_hook hook) { m_refusal = std::move(hook); }
    const std::string& id() const { return m_id; }

    /// The databases that receive this one's commits while it leads.
    void set_peers(std::vector<database*> peers) { m_peers = std::move(peers); }
    /// Whether this database receives commits of the primary.
    void set_receiving(bool receiving);
    /// Closes all connections and stops listening, as a crash does.
    void crash();
    /// Loses power: is silent, and closes no connection.
    void go_dark();
    /// Starts again after a crash or a loss of power, with the log that it had.
    void restart();
    bool is_running() const { return m_is_running; }
    /// Number of entries of the log that this database has received.
    std::size_t received() const { return m_received; }
    /// Takes the lead: the log ends with what this database has received.
    void lead();

private:
    struct connection;
    using connection_pointer = std::shared_ptr<connection>;

    struct job
    {
        connection_pointer peer;
        std::string id;
        std::string word;
        std::string rest;
        std::size_t run{0};
    };

    /// A commit that waits until a replica has received it.
    struct waiting_commit
    {
        job committed;
        std::size_t length{0};
        std::string lines;
    };

    void accept();
    void read(const connection_pointer& peer);
    void serve(const connection_pointer& peer);
    void serve_line(const connection_pointer& peer, const std::string& line);
    void run(const connection_pointer& peer, const std::string& id,
             std::string text);
    void run_in_slot(const connection_pointer& peer, const std::string& id,
                     const std::string& text, const std::string& word,
                     const std::string& rest);
    void start_jobs();
    void complete(const job& completed);
    void answer(const connection_pointer& peer, const std::string& lines);
    void commit(const job& committed, std::map<std::string, std::string> data);
    void receive(std::size_t length);
    void cut_back(std::size_t length);
    void finish(const job& finished, const std::string& lines);
    void answer_received();
    std::string position() const;
    std::string ready_line(const connection& peer) const;
    bool is_primary() const { return m_group.primary == m_id; }

    boost::asio::io_context& m_io;
    std::string m_id;
    std::uint16_t m_port;
    database_group& m_group;
    database_options m_options;
    record& m_log;
    refusal_hook m_refusal;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_last_connection{0};
    std::size_t m_open{0};
    std::size_t m_busy{0};
    std::deque<job> m_jobs;
    std::vector<database*> m_peers;
    std::vector<connection_pointer> m_connections;
    std::vector<waiting_commit> m_waiting;
    std::size_t m_received{0};
    bool m_is_receiving{true};
    bool m_is_running{true};
};

} // namespace review
