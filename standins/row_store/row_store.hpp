#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/http/server.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace standin
{

/// How the store misbehaves.
enum class store_fault : std::uint8_t
{
    none,
    /// Answers 503 and does nothing.
    busy,
    /// Answers 429 and does nothing.
    too_many,
    /// Does what is asked and never answers.
    lost_answers,
    /// Answers 410 to feeds.
    lost_history
};

/// Called for a promotion; returns the status of the answer.
using promotion_handler = std::function<int(
    const std::string& service, const std::string& id, std::uint64_t token)>;

/// The platform's store of rows and its promotion call, in memory.
class row_store
{
public:
    /// Listens; null with a reason on failure.
    static std::unique_ptr<row_store> listen(boost::asio::io_context& io,
                                             const plantainward::core::address&,
                                             promotion_handler on_promotion);

    void set_fault(store_fault fault);

    /// Writes a row as the operator or a database does; the text is not coded.
    void put(const std::string& table, const std::string& key,
             const std::string& text);
    void remove(const std::string& table, const std::string& key);

    bool has(const std::string& table, const std::string& key) const;

    /// Calls that were answered or lost.
    std::size_t calls() const;

private:
    struct row
    {
        std::string table;
        std::string key;
        std::string coded;
        std::uint64_t version{0};
        bool removed{false};
    };

    struct waiting_feed
    {
        std::string table;
        std::uint64_t after{0};
        std::chrono::steady_clock::time_point until;
        plantainward::http::responder respond;
    };

    explicit row_store(boost::asio::io_context& io);
    void handle(const plantainward::http::request& message,
                const plantainward::http::responder& respond);
    void transact(const std::string& body,
                  const plantainward::http::responder& respond);
    void get(const std::map<std::string, std::string>& query,
             const plantainward::http::responder& respond);
    void store(const std::string& table, const std::string& key,
               const std::string& coded, bool removed);
    std::string changes(const std::string& table, std::uint64_t after,
                        bool& any) const;
    void serve_feeds();
    void schedule();

    mutable std::mutex m_mutex;
    store_fault m_fault{store_fault::none};
    promotion_handler m_on_promotion;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::uint64_t m_version{10};
    std::vector<waiting_feed> m_feeds;
    std::size_t m_calls{0};
    boost::asio::steady_timer m_timer;
    std::optional<plantainward::http::server> m_server;
};

} // namespace standin
