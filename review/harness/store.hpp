#pragma once

#include "record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace review
{

/// Handles `POST /promotion`; returns the status of the answer.
using promotion_handler =
    std::function<int(const std::string& service, const std::string& id,
                      const std::string& holder, std::uint64_t token)>;

/// The platform's store of rows and its promotion call. All members are used
/// from the thread that runs the input/output loop.
class store
{
public:
    store(boost::asio::io_context& io, std::uint16_t port, record& log,
          promotion_handler on_promotion);

    /// Writes a row as the operator or a database does.
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct connection;
    struct row
    {
        std::string value;
        std::uint64_t version{0};
        bool removed{false};
    };
    struct request
    {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::map<std::string, std::string> headers;
        std::string body;
    };
    struct waiting_feed
    {
        std::shared_ptr<connection> caller;
        std::string table;
        std::uint64_t after{0};
        instant deadline;
    };
    using row_key = std::pair<std::string, std::string>;

    void accept();
    void read(const std::shared_ptr<connection>& caller);
    static std::optional<request> take_request(std::string& input);
    void handle(const std::shared_ptr<connection>& caller,
                const request& message);
    void answer(const std::shared_ptr<connection>& caller, int status,
                const std::string& body);
    void transact(const std::shared_ptr<connection>& caller,
                  const request& message);
    void get(const std::shared_ptr<connection>& caller, const request& message);
    std::optional<std::string> changes(const std::string& table,
                                       std::uint64_t after) const;
    void serve_feeds();
    void schedule();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    record& m_log;
    promotion_handler m_on_promotion;
    std::map<row_key, row> m_rows;
    std::vector<waiting_feed> m_feeds;
    std::uint64_t m_version{10};
    instant m_start{steady::now()};
};

} // namespace review
