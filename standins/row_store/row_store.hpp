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

/// How the store fails.
enum class store_fault : std::uint8_t
{
    none,
    /// Answers 503 without effect.
    busy,
    /// Answers 429 without effect.
    too_many,
    /// Runs each request but never answers.
    lost_answers,
    /// Answers 410 to feeds: the changes they ask for are no longer kept.
    lost_history
};

/// Called for a promotion of database `id`; returns the HTTP status of the
/// answer.
using promotion_handler = std::function<int(
    const std::string& service, const std::string& id, std::uint64_t token)>;

/// The platform's store of rows and its promotion call, in memory.
class row_store
{
public:
    /// Starts to listen; null on failure, and core::last_error() says why.
    static std::unique_ptr<row_store> listen(boost::asio::io_context& io,
                                             const plantainward::core::address&,
                                             promotion_handler on_promotion);

    void set_fault(store_fault fault);

    /// Writes a row as an operator or a database does; `text` is not base64.
    void put(const std::string& table, const std::string& key,
             const std::string& text);
    void remove(const std::string& table, const std::string& key);

    /// Returns from a copy that was made at this version: rows that changed
    /// since are gone, the versions since are given out again, and a new era
    /// begins.
    void restore(std::uint64_t version);
    /// The newest version.
    std::uint64_t version() const;

    bool has(const std::string& table, const std::string& key) const;

    /// Number of requests so far, including those without an answer.
    std::size_t calls() const;

private:
    struct row
    {
        std::string table;
        std::string key;
        /// The value, in base64.
        std::string encoded_text;
        std::uint64_t version{0};
        bool removed{false};
    };

    struct waiting_feed
    {
        std::string table;
        std::uint64_t after{0};
        std::chrono::steady_clock::time_point deadline;
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
               const std::string& encoded_text, bool removed);
    /// The JSON of the rows that changed after a version.
    std::string changes(const std::string& table, std::uint64_t after,
                        bool& has_changes) const;
    /// Answers the feeds that have changes or are past their deadline.
    void serve_feeds();
    void schedule_feeds();

    mutable std::mutex m_mutex;
    store_fault m_fault{store_fault::none};
    promotion_handler m_on_promotion;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::uint64_t m_version{10};
    std::uint64_t m_era{1};
    std::vector<waiting_feed> m_feeds;
    std::size_t m_calls{0};
    boost::asio::steady_timer m_timer;
    std::optional<plantainward::http::server> m_server;
};

} // namespace standin
