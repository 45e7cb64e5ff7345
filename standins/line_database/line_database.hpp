#pragma once

#include <plantainward/core/host.hpp>

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

/// What the databases of one service share: one log, one primary.
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
    /// Ids of the statements that ran, with the database that ran them.
    std::vector<std::pair<std::string, std::string>> runs;
};

/// A database that speaks the line protocol; replicas follow at once.
class line_database
{
public:
    line_database(boost::asio::io_context& io, std::string id,
                  const plantainward::core::address& where,
                  std::shared_ptr<database_group> group);

    /// Closes all connections and stops listening, as a crash does.
    void crash();

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& one);
    std::string answer(connection& one, const std::string& line);
    std::string run(connection& one, const std::string& id,
                    const std::string& text);
    std::string run_write(connection& one, const std::string& rest);
    std::string ready(const connection& one) const;

    std::string m_id;
    std::shared_ptr<database_group> m_group;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<connection>> m_connections;
    bool m_up{true};
};

} // namespace standin
