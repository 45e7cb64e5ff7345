#pragma once

#include <plantainward/coordinator/service_coordinator.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/observe/journal.hpp>
#include <plantainward/observe/log.hpp>
#include <plantainward/observe/metrics.hpp>
#include <plantainward/upstream/gate.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>

namespace plantainward::daemon
{

/// Receives the reply to a caller's request, exactly once.
using reply_handler = std::function<void(coordinator::caller_reply)>;

/// Called with the index of a database that may have failed.
using suspect_handler = std::function<void(std::size_t)>;

/// The event journal and the metrics of a proxy.
struct telemetry
{
    observe::journal& events;
    observe::metrics& metrics;

    /// Records an event in the journal and the log and counts it. Kinds that
    /// follow from single requests are logged at debug level.
    void record(const observe::event& event) const
    {
        const auto number = events.record(event);
        metrics.count("events", observe::event_names[event.kind]);
        const bool is_frequent =
            event.kind == observe::event_kind::replica_skipped ||
            event.kind == observe::event_kind::request_refused;
        observe::log(is_frequent ? observe::log_level::debug
                                 : observe::log_level::info,
                     event, number);
    }
};

/// Runs one service's coordinator: locks it, passes it the time and carries out
/// its actions. May be used from any thread.
template <upstream::gate Gate>
class coordinator_shell
    : public std::enable_shared_from_this<coordinator_shell<Gate>>
{
public:
    coordinator_shell(Gate& gate, telemetry outputs,
                      upstream::service_layout layout,
                      coordinator::coordinator_options options,
                      suspect_handler on_suspect)
        : m_gate(gate), m_telemetry(outputs),
          m_on_suspect(std::move(on_suspect)), m_databases(layout.databases),
          m_coordinator(std::move(layout), std::move(options))
    {
    }

    /// Runs a request. The handler is called with the reply exactly once,
    /// perhaps before this call returns.
    void submit(coordinator::caller_request request, reply_handler handler)
    {
        const auto now = core::steady::now();
        drive([&](auto& coordinator) {
            const auto number = ++m_last_number;
            m_pending.emplace(number,
                              pending{std::move(handler), now, request.tenant,
                                      request.klass, allows_replica(request)});
            return coordinator.submit(number, std::move(request), now);
        });
    }

    /// Runs the timers of the coordinator.
    void tick()
    {
        drive([](auto& coordinator) {
            return coordinator.on_tick(core::steady::now());
        });
    }

    /// Passes on a status that a database reported to the monitor. `sent_at` is
    /// when the question was sent.
    void on_status(std::size_t database,
                   const upstream::database_status& status,
                   core::instant sent_at)
    {
        drive([&](auto& coordinator) {
            return coordinator.on_status(database, status, sent_at,
                                         core::steady::now());
        });
    }

    /// Applies a changed layout; returns false and changes nothing when the
    /// databases or the number of slots differ.
    bool set_layout(const upstream::service_layout& layout)
    {
        if (!has_same_databases(layout))
            return false;
        drive([&](auto& coordinator) {
            return coordinator.set_layout(layout, core::steady::now());
        });
        return true;
    }

    /// Sets the part of each database's connections that may be used, 0 to 1.
    void set_share(double share)
    {
        const std::lock_guard lock(m_mutex);
        m_coordinator.set_share(share);
    }

    /// Refuses new requests from now on.
    void start_drain()
    {
        const std::lock_guard lock(m_mutex);
        m_coordinator.start_drain();
    }

    /// Closes the idle connections of a coordinator that is no longer used.
    void close_connections()
    {
        drive([](auto& coordinator) { return coordinator.close_idle(); });
    }

    /// Whether requests are unfinished.
    bool is_busy() const
    {
        const std::lock_guard lock(m_mutex);
        return m_coordinator.is_busy();
    }

    /// Calls a function with the coordinator under the lock, for reports.
    template <class Reader>
    auto read(Reader reader) const
    {
        const std::lock_guard lock(m_mutex);
        return reader(m_coordinator);
    }

private:
    struct pending
    {
        reply_handler handler;
        core::instant submitted_at;
        std::string tenant;
        coordinator::request_class klass;
        bool may_read_replica;
    };

    static bool allows_replica(const coordinator::caller_request& request)
    {
        return coordinator::is_read_only(request) &&
               request.required_freshness != coordinator::freshness::latest;
    }

    bool has_same_databases(const upstream::service_layout& layout) const
    {
        if (layout.databases.size() != m_databases.size())
            return false;
        for (std::size_t i = 0; i < m_databases.size(); ++i)
            if (layout.databases[i].address != m_databases[i].address)
                return false;
        return read([&](const auto& coordinator) {
            return coordinator.layout().slots == layout.slots;
        });
    }

    // Carries out the actions after it has released the lock, since their
    // handlers may be called at once and on this thread.
    template <class Event>
    void drive(Event event)
    {
        coordinator::actions actions;
        {
            const std::lock_guard lock(m_mutex);
            actions = event(m_coordinator);
        }
        for (auto& item : actions)
            std::visit([this](auto& action) { this->carry_out(action); }, item);
    }

    void carry_out(const coordinator::open_action& action)
    {
        m_gate.open(
            m_databases[action.database].address, action.connection,
            open_timeout,
            [self = this->shared_from_this(),
             number = action.connection](upstream::open_outcome outcome) {
                self->drive([&](auto& coordinator) {
                    return coordinator.on_opened(number, outcome,
                                                 core::steady::now());
                });
            });
    }

    void carry_out(const coordinator::close_action& action)
    {
        m_gate.close(action.connection);
    }

    void carry_out(const coordinator::run_action& action)
    {
        m_gate.run(action.connection, action.order, action.timeout,
                   [self = this->shared_from_this(),
                    number = action.connection](upstream::run_result result) {
                       self->drive([&](auto& coordinator) {
                           return coordinator.on_run(number, std::move(result),
                                                     core::steady::now());
                       });
                   });
    }

    void carry_out(const coordinator::poll_action& action)
    {
        upstream::control_order order;
        order.slot = std::max(0, action.slot);
        order.wait_for = action.wait_for;
        order.wait = action.wait;
        m_gate.control(
            m_databases[action.database].address, order, action.timeout,
            [self = this->shared_from_this(), database = action.database,
             slot = action.slot, sent = core::steady::now()](
                const upstream::control_result& result) {
                self->drive([&](auto& coordinator) {
                    return coordinator.on_poll(database, slot, result, sent,
                                               core::steady::now());
                });
            });
    }

    void carry_out(coordinator::answer_action& action)
    {
        pending request;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_pending.find(action.number);
            if (found == m_pending.end())
                return;
            request = std::move(found->second);
            m_pending.erase(found);
        }
        count(request, action.reply);
        request.handler(std::move(action.reply));
    }

    void carry_out(const coordinator::suspect_action& action)
    {
        m_on_suspect(action.database);
    }

    void carry_out(const coordinator::event_action& action)
    {
        m_telemetry.record(action.event);
    }

    void count(const pending& request, const coordinator::caller_reply& reply)
    {
        const auto klass = coordinator::request_class_names[request.klass];
        m_telemetry.metrics.observe(
            observe::measure::latency, request.tenant, klass,
            core::to_ms_exact(core::steady::now() - request.submitted_at));
        if (reply.error)
            return m_telemetry.metrics.count("errors",
                                             core::name_of(*reply.error));
        m_telemetry.metrics.count("done", klass);
        m_telemetry.metrics.observe(observe::measure::queue_time,
                                    request.tenant, klass, reply.queue_ms);
        m_telemetry.metrics.observe(observe::measure::confirmation_wait,
                                    request.tenant, klass,
                                    reply.confirmation_ms);
        if (!request.may_read_replica)
            return;
        m_telemetry.metrics.count("replica_reads_allowed",
                                  reply.from_replica ? "replica" : "primary");
        if (reply.from_replica)
            m_telemetry.metrics.observe(observe::measure::read_age,
                                        request.tenant, klass,
                                        static_cast<double>(reply.age_ms));
    }

    static constexpr core::millis open_timeout{1000};

    Gate& m_gate;
    telemetry m_telemetry;
    suspect_handler m_on_suspect;
    const std::vector<upstream::database_layout> m_databases;
    mutable std::mutex m_mutex;
    coordinator::service_coordinator m_coordinator;
    coordinator::request_number m_last_number{0};
    std::unordered_map<coordinator::request_number, pending> m_pending;
};

} // namespace plantainward::daemon
