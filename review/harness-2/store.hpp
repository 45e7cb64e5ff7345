#pragma once

#include "record.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

namespace review
{

/// Promotes a database; returns the HTTP status of the answer.
using promotion_handler =
    std::function<int(const std::string& service, const std::string& id)>;

/// The platform's store of rows and its promotion call. It answers each call
/// after 4 ms.
class store
{
public:
    store(record& log, const boost::asio::ip::tcp::endpoint& address,
          promotion_handler on_promotion);

    /// While it is down, the store answers every call with 503 and does
    /// nothing.
    void set_down(bool is_down);

    /// Writes a row as the operator or a database does; false, and nothing is
    /// written, while the store is down.
    bool put(const std::string& table, const std::string& key,
             const boost::json::value& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string encoded_value;
        std::uint64_t version{0};
        bool removed{false};
    };
    using row_name = std::pair<std::string, std::string>;
    using parameters = std::map<std::string, std::string>;
    using answer = std::pair<int, boost::json::object>;

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    answer handle(const std::string& target, const std::string& body);
    answer promote(const boost::json::object& body);
    answer transact(const boost::json::object& body);
    answer get(const parameters& query) const;
    answer feed(const parameters& query);
    std::uint64_t version_of(const row_name& name) const;
    static boost::json::object json_of(const row_name& name, const row& stored);

    record& m_record;
    promotion_handler m_on_promotion;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_is_down{false};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_name, row> m_rows;
    std::uint64_t m_version{10};
};

} // namespace review
