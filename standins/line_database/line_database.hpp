#pragma once

#include <plantainward/core/host.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace standin
{

/// The state that the databases of one service share: one log and one primary.
/// Hold the mutex to use it.
class database_group
{
public:
    struct entry
    {
        std::string item;
        std::string data;
    };

    std::mutex mutex;
    std::string service;
    std::string primary;
    std::uint64_t term{1};
    std::vector<entry> log;
    /// Id of each statement that ran, with the id of the database that ran it.
    std::vector<std::pair<std::string, std::string>> statement_runs;
    /// Time between the run of a caller's statement and its answer.
    std::chrono::milliseconds answer_delay{0};
};

/// A database that speaks the line protocol. All databases of a group share its
/// log, so replicas have no lag.
class line_database
{
public:
    line_database(boost::asio::io_context& io, std::string id,
                  const plantainward::core::address& address,
                  std::shared_ptr<database_group> group);

    /// Closes all connections and stops listening, as a crash does.
    void crash();

private:
    struct connection;

    void accept();
    /// Reads and answers the next line of a connection.
    void read(const std::shared_ptr<connection>& proxy_connection);
    void send(const std::shared_ptr<connection>& proxy_connection,
              const std::string& answer);
    std::chrono::milliseconds delay_of(const std::string& line) const;
    std::string answer_line(connection& proxy_connection,
                            const std::string& line);
    std::string run(connection& proxy_connection, const std::string& id,
                    const std::string& text);
    std::string run_write(connection& proxy_connection,
                          const std::string& rest);
    /// The READY line: whether a transaction is open, the term and the log
    /// length.
    std::string ready_line(const connection& proxy_connection) const;

    std::string m_id;
    std::shared_ptr<database_group> m_group;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<connection>> m_connections;
    bool m_running{true};
};

} // namespace standin
