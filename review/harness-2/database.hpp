#pragma once

#include "record.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace review
{

/// One commit in a log.
struct commit
{
    std::uint64_t term{0};
    /// Request id of the write.
    std::string id;
    std::string item;
    std::string data;
};

class database;

/// The databases of one service. Hold the mutex to use their logs and roles.
struct database_group
{
    std::mutex mutex;
    std::string service;
    std::uint64_t term{1};
    /// The database that was promoted last.
    database* leader{nullptr};
    std::vector<std::unique_ptr<database>> members;
};

/// A database that speaks the platform's line protocol. It answers in the order
/// of the statements, never loses one, and runs one statement of a connection
/// at a time.
class database
{
public:
    database(record& log, database_group& group, std::string id,
             boost::asio::ip::tcp::endpoint address);

    const std::string& id() const { return m_id; }
    const boost::asio::ip::tcp::endpoint& address() const { return m_address; }
    bool is_primary() const { return m_is_primary; }

    /// Starts to lead a term; the group's mutex is held.
    void lead(std::uint64_t term);

    /// Closes all connections and stops listening.
    void stop();
    /// Starts again under the same id and address; it holds nothing of before.
    void start_empty();
    /// Unix millisecond of the last start.
    std::int64_t born() const { return m_born; }
    bool is_running() const { return m_is_running; }

    /// Sets whether this replica receives nothing.
    void set_deaf(bool is_deaf) { m_is_deaf = is_deaf; }

private:
    struct session;

    void listen();
    void accept();
    void serve(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket);
    void replicate();
    /// The answer to one line; empty to close the connection.
    std::string answer(session& peer, const std::string& line);
    std::string run(session& peer, const std::string& id, std::string text);
    std::string run_statement(session& peer, const std::string& id,
                              const std::string& word, const std::string& rest);
    std::string fail(session& peer, const std::string& code) const;
    std::string success(const session& peer, const std::string& signature,
                        const std::vector<std::string>& rows = {}) const;
    std::string ready_line(const session& peer) const;
    std::string position() const;
    bool has_position(const std::string& position) const;
    void add_commit(const std::string& id, const std::string& item,
                    const std::string& data);

    record& m_record;
    database_group& m_group;
    std::string m_id;
    boost::asio::ip::tcp::endpoint m_address;
    boost::asio::io_context m_io;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::atomic<bool> m_is_running{false};
    std::atomic<std::int64_t> m_born{0};
    std::atomic<bool> m_is_deaf{false};
    std::atomic<unsigned> m_last_connection{0};
    std::atomic<unsigned> m_last_signature{0};
    bool m_is_primary{false};
    std::uint64_t m_term{1};
    std::vector<commit> m_log;
};

} // namespace review
