#pragma once

#include <database/database.hpp>
#include <database/pull.hpp>

#include <plantainward/core/time.hpp>
#include <plantainward/http/client.hpp>
#include <plantainward/http/server.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace standin
{

namespace core = plantainward::core;
namespace http = plantainward::http;

/// Faults that a test sets while the stand-in runs, through `/faults`.
struct database_faults
{
    /// Delay of each answer.
    int delay_ms{0};
    /// Age of a log entry before this database receives it as a replica.
    int lag_ms{0};
    /// Time to open a connection.
    int open_ms{12};
    /// Number of the next run orders that take effect but get no answer.
    int drop_answers{0};
    /// Requests from proxies get no answer.
    bool cut_proxies{false};
    /// This database neither pulls nor serves pulls.
    bool cut_replication{false};
};

/// Serves a database over HTTP. As a replica it pulls the log of its primary by
/// long polls.
class database_server : public std::enable_shared_from_this<database_server>
{
public:
    database_server(boost::asio::io_context& io, core::address address,
                    int slots, std::size_t connection_limit,
                    database_faults faults);

    void handle(http::connection_id connection, const http::request& message,
                http::responder respond);
    void handle_close(http::connection_id connection);

private:
    struct status_wait
    {
        upstream::control_order order;
        core::instant deadline;
        http::responder respond;
    };

    struct pull_wait
    {
        pull_request request;
        core::instant deadline;
        http::responder respond;
    };

    // Handlers of the requests, one for each path.
    void open_session(http::connection_id connection, http::responder respond);
    void run(http::connection_id connection, const std::string& body,
             http::responder respond);
    void control(const std::string& body, http::responder respond);
    void pull(const std::string& body, http::responder respond);
    void set_faults(const std::string& body, const http::responder& respond);
    void report_state(const http::responder& respond);

    /// Status of all slots, with the time since the last contact with the
    /// primary.
    upstream::control_result status_now();
    void answer_after_delay(http::responder respond, std::string body);
    /// Records when the logs grew, and answers the requests that waited for it.
    void on_log_change();
    /// Answers the waiting status and pull requests that can be answered.
    void answer_waits();
    void schedule_answer_waits(core::millis delay);
    /// Answers a pull that has entries or is past its deadline; false
    /// otherwise.
    bool try_pull(const pull_wait& wait);
    /// Length of the log without the entries that are younger than the lag.
    std::vector<log_entry>::size_type visible_length(int slot,
                                                     core::millis lag) const;
    void follow(int slot, const core::address& primary);
    void pull_once(int slot, std::uint64_t generation);
    void pull_later(int slot, std::uint64_t generation, core::millis delay);

    boost::asio::io_context& m_io;
    core::address m_address;
    std::shared_ptr<http::client> m_client;
    std::mutex m_mutex;
    database m_database;
    database_faults m_faults;
    /// Per slot, the log lengths and when each was reached.
    std::vector<std::deque<std::pair<upstream::log_position, core::instant>>>
        m_append_times;
    std::vector<status_wait> m_status_waits;
    std::vector<pull_wait> m_pull_waits;
    std::vector<core::address> m_primaries;
    /// Per slot; a pull of an earlier generation belongs to a former primary.
    std::vector<std::uint64_t> m_generations;
    std::vector<core::instant> m_primary_contacts;
    bool m_sweep_scheduled{false};
    std::uint64_t m_orders_run{0};
};

} // namespace standin
