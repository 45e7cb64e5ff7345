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

/// Faults that a test sets while the stand-in runs.
struct database_faults
{
    /// Added before each answer.
    int delay_ms{0};
    /// Age at which an entry reaches this database when it follows.
    int lag_ms{0};
    /// Time to open a connection.
    int open_ms{12};
    /// The next run orders that take effect and lose their answer.
    int drop_answers{0};
    /// Requests from proxies get no answer.
    bool cut_proxies{false};
    /// This database neither pulls nor serves pulls.
    bool cut_replication{false};
};

/// Serves a database over HTTP and replicates by long polls.
class database_server : public std::enable_shared_from_this<database_server>
{
public:
    database_server(boost::asio::io_context& io, core::address self, int slots,
                    std::size_t connection_limit, database_faults faults);

    void handle(http::connection_id from, const http::request& message,
                http::responder respond);
    void handle_close(http::connection_id from);

private:
    struct status_wait
    {
        upstream::control_order order;
        core::instant until;
        http::responder respond;
    };

    struct pull_wait
    {
        pull_request request;
        core::instant until;
        http::responder respond;
    };

    void open_session(http::connection_id from, http::responder respond);
    void run(http::connection_id from, const std::string& body,
             http::responder respond);
    void control(const std::string& body, http::responder respond);
    void pull(const std::string& body, http::responder respond);
    void set_faults(const std::string& body, const http::responder& respond);
    void report_state(const http::responder& respond);

    upstream::control_result status_now();
    void answer_late(http::responder respond, std::string body);
    void on_log_change();
    void answer_waits();
    void schedule_answer_waits(core::millis delay);
    bool try_pull(const pull_wait& wait);
    std::vector<log_entry>::size_type visible_length(int slot,
                                                     core::millis lag) const;
    void follow(int slot, const core::address& primary);
    void pull_once(int slot, std::uint64_t generation);
    void pull_later(int slot, std::uint64_t generation, core::millis delay);

    boost::asio::io_context& m_io;
    core::address m_self;
    std::shared_ptr<http::client> m_client;
    std::mutex m_mutex;
    database m_database;
    database_faults m_faults;
    std::vector<std::deque<std::pair<upstream::log_position, core::instant>>>
        m_appended;
    std::vector<status_wait> m_status_waits;
    std::vector<pull_wait> m_pull_waits;
    std::vector<core::address> m_primaries;
    std::vector<std::uint64_t> m_generations;
    std::vector<core::instant> m_contacts;
    bool m_sweep_scheduled{false};
    std::uint64_t m_orders_run{0};
};

} // namespace standin
