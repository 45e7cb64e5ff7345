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

/// A call of a caller: one statement on a counter.
struct call
{
    std::string service;
    int slot{0};
    /// Key of the counter that is read or incremented by one.
    std::string counter;
    support::counter_event::kind kind{support::counter_event::kind::add};
    /// Largest age of the data for an aged read.
    core::millis max_age{0};
    core::millis deadline{5000};
    std::string request_class{"booking"};
};

/// The outcome of a call. Measure latency from `intended`, the time at which
/// the schedule wanted the call sent, so that a late sender does not hide a
/// delay.
struct call_result
{
    core::instant intended;
    core::instant answered;
    bool done{false};
    /// No complete answer came.
    bool lost{false};
    bool from_replica{false};
    /// Value of the counter that was returned.
    std::int64_t value{0};
    /// What the answer says about the effect; empty when lost.
    std::optional<core::effect> reported_effect;
    /// Kind of the error, empty when done or lost.
    std::string error;
};

using call_handler = std::function<void(const call_result&)>;

/// The callers of a fleet. Sends calls over a growing set of sessions and
/// records the history of all calls.
class callers
{
public:
    explicit callers(fleet& proxy_fleet, int threads = 2);
    ~callers();

    /// Sends a call to a random proxy in rotation. The handler runs on a thread
    /// of this object.
    void send(const call& request, core::instant intended,
              call_handler handler);

    /// Calls a function at a constant rate on the calling thread, whether or
    /// not earlier calls were answered.
    void open_loop(double per_second, core::millis duration,
                   const std::function<void(core::instant)>& send_call);

    /// Waits until every call has ended, at most 30 s.
    void wait_for_answers();

    /// Sets whether a proxy gets calls, as a balancer does.
    void set_in_rotation(int proxy, bool in_rotation);

    /// Compares the history with the logs of the primaries; returns the
    /// violations.
    std::vector<std::string> check() const;

    std::uint64_t random();

private:
    struct session
    {
        int number{0};
        std::string token;
    };

    // With m_mutex held.
    int pick_proxy();
    std::shared_ptr<session> acquire_session();
    void finish(const call& request, const std::string& id,
                const std::shared_ptr<session>& caller_session,
                core::instant intended, core::instant sent,
                const http::exchange_result& result,
                const call_handler& handler);

    fleet& m_proxy_fleet;
    std::string m_prefix;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    std::shared_ptr<http::client> m_client;
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random{1};
    std::vector<std::shared_ptr<session>> m_idle_sessions;
    std::vector<bool> m_in_rotation;
    support::history_checker m_history;
    int m_last_session{0};
    std::uint64_t m_last_id{0};
    std::atomic<int> m_pending_calls{0};
};

/// The value below which this share (0 to 1) of the values lies; 0 without
/// values.
double percentile(std::vector<double> values, double share);

} // namespace bench
