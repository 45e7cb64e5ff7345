#pragma once

#include "fleet.hpp"

#include <support/history_checker.hpp>

#include <plantainward/core/error_kind.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace bench
{

/// What a caller asks for.
struct call
{
    std::string service;
    int slot{0};
    /// Counter to add to or to read.
    std::string counter;
    support::counter_event::kind kind{support::counter_event::kind::add};
    core::millis max_age{0};
    core::millis deadline{5000};
    std::string klass{"booking"};
};

/// How a call ended; times are counted from the intended send time.
struct call_result
{
    core::instant intended;
    core::instant answered;
    bool done{false};
    bool lost{false};
    bool from_replica{false};
    std::int64_t value{0};
    std::optional<core::effect> ran;
    /// Kind of the error, empty when done or lost.
    std::string error;
};

using call_handler = std::function<void(const call_result&)>;

/// Callers of a fleet: sends calls, keeps sessions, records the history.
class callers
{
public:
    explicit callers(fleet& where, int threads = 2);
    ~callers();

    /// Sends a call to a proxy that takes new work.
    void send(const call& what, core::instant intended, call_handler handler);

    /// Calls a function at a steady rate for some time, from its own thread.
    void open_loop(double per_second, core::millis duration,
                   const std::function<void(core::instant)>& fire);

    /// Waits until every call has ended.
    void settle();

    /// The balancer: whether a proxy gets calls.
    void set_in_rotation(int proxy, bool in_rotation);

    /// Checks the history against the databases' logs.
    std::vector<std::string> check() const;

    std::uint64_t random();

private:
    struct session
    {
        int number{0};
        std::string token;
    };

    int pick_proxy();
    std::shared_ptr<session> take_session();
    void finish(const call& what, const std::string& id,
                const std::shared_ptr<session>& one, core::instant intended,
                core::instant sent, const http::exchange_result& result,
                const call_handler& handler);

    fleet& m_fleet;
    std::string m_prefix;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    std::shared_ptr<http::client> m_client;
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random{1};
    std::vector<std::shared_ptr<session>> m_free;
    std::vector<bool> m_rotation;
    support::history_checker m_history;
    int m_last_session{0};
    std::uint64_t m_last_id{0};
    std::atomic<int> m_under_way{0};
};

/// The value below which this share of the values lies.
double percentile(std::vector<double> values, double share);

} // namespace bench
