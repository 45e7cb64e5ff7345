#pragma once

#include "async.hpp"
#include "recorder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace soak
{

/// How the store treats the calls of a host.
enum class store_fault : std::uint8_t
{
    none,
    slow,
    /// 503 and 429, without effect.
    busy,
    too_many,
    reset,
    /// No answer and no effect.
    silent,
    /// Performs the call, and answers some of them only.
    lost_answers
};

/// Called for a promotion; returns the status of the answer.
using promotion_handler =
    std::function<int(const std::string& service, const std::string& id)>;

/// The platform's store of rows and its promotion call. Each host has an
/// address of its own, so that the store can treat hosts differently.
class store
{
public:
    store(asio::io_context& io, recorder& record, std::uint64_t seed,
          promotion_handler on_promotion);

    /// Serves a host at an address; false if that is in use.
    bool listen(std::size_t host, const tcp::endpoint& address);

    void set_fault(std::size_t host, store_fault fault)
    {
        m_faults[host] = fault;
    }
    /// Connections of a host that are open now go silent; new ones work.
    void mute_connections(std::size_t host);
    /// Feeds that ask for earlier changes get 410.
    void forget_history() { m_first_version = m_version + 1; }

    /// Writes a row as the operator or a database does.
    void put(const std::string& table, const std::string& key,
             const std::string& text);
    void remove(const std::string& table, const std::string& key);

private:
    using request_message =
        boost::beast::http::request<boost::beast::http::string_body>;
    using query_fields = std::map<std::string, std::string>;

    struct row
    {
        std::string value;
        std::uint64_t version{0};
        bool is_removed{false};
    };
    struct connection
    {
        explicit connection(tcp::socket accepted) : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        bool is_muted{false};
    };
    struct answer
    {
        int status{200};
        std::string body{"{}"};
    };

    task accept(std::size_t host, std::shared_ptr<tcp::acceptor> acceptor);
    task serve(std::size_t host, std::shared_ptr<connection> peer);
    asio::awaitable<answer> handle(const request_message& message);
    answer transact(const std::string& body);
    answer get(query_fields& query) const;
    answer promote(const request_message& message);
    asio::awaitable<answer> feed(const std::string& target);
    answer changes(const std::string& table, std::uint64_t after) const;
    void change(const std::string& table, const std::string& key, row changed);

    asio::io_context& m_io;
    recorder& m_record;
    dice m_dice;
    promotion_handler m_on_promotion;
    std::map<std::size_t, store_fault> m_faults;
    std::map<std::size_t, std::set<std::shared_ptr<connection>>> m_connections;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::map<std::string, std::uint64_t> m_table_versions;
    std::uint64_t m_version{10};
    std::uint64_t m_first_version{0};
};

} // namespace soak
