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

/// Told that a database may be gone.
using suspect_handler = std::function<void(std::size_t)>;

/// Where shells record what happens.
struct observers
{
    observe::journal& events;
    observe::metrics& numbers;

    /// Records an event in the journal and the log.
    void record(const observe::event& what) const
    {
        const auto number = events.record(what);
        numbers.count("events", observe::event_names[what.kind]);
        const bool is_frequent =
            what.kind == observe::event_kind::replica_skipped ||
            what.kind == observe::event_kind::request_refused;
        observe::log(is_frequent ? observe::log_level::debug
                                 : observe::log_level::info,
                     what, number);
    }
};

/// Runs one service's coordinator: its lock, its clock and its input/output.
template <upstream::gate Gate>
class coordinator_shell
    : public std::enable_shared_from_this<coordinator_shell<Gate>>
{
public:
    coordinator_shell(Gate& gate, observers seen,
                      upstream::service_layout layout,
                      coordinator::coordinator_options options,
                      suspect_handler on_suspect)
        : m_gate(gate), m_seen(seen), m_on_suspect(std::move(on_suspect)),
          m_databases(layout.databases),
          m_coordinator(std::move(layout), std::move(options))
    {
    }

    /// Runs a request; the handler gets its reply.
    void submit(coordinator::caller_request request, reply_handler handler)
    {
        const auto now = core::steady::now();
        drive([&](auto& coordinator) {
            const auto number = ++m_last_number;
            m_pending.emplace(number,
                              pending{std::move(handler), now, request.tenant,
                                      request.klass, is_counted_read(request)});
            return coordinator.submit(number, std::move(request), now);
        });
    }

    void tick()
    {
        drive([](auto& coordinator) {
            return coordinator.on_tick(core::steady::now());
        });
    }

    void take_status(std::size_t database,
                     const upstream::database_status& status,
                     core::instant sent_at)
    {
        drive([&](auto& coordinator) {
            return coordinator.on_status(database, status, sent_at,
                                         core::steady::now());
        });
    }

    /// Takes a changed layout; false when it has other databases.
    bool set_layout(const upstream::service_layout& layout)
    {
        if (!has_same_databases(layout))
            return false;
        drive([&](auto& coordinator) {
            return coordinator.set_layout(layout, core::steady::now());
        });
        return true;
    }

    void set_share(double share)
    {
        const std::lock_guard lock(m_mutex);
        m_coordinator.set_share(share);
    }

    void start_drain()
    {
        const std::lock_guard lock(m_mutex);
        m_coordinator.start_drain();
    }

    /// Closes the idle connections of a coordinator that has ended.
    void close_connections()
    {
        drive([](auto& coordinator) { return coordinator.close_idle(); });
    }

    bool is_busy() const
    {
        const std::lock_guard lock(m_mutex);
        return m_coordinator.is_busy();
    }

    /// Calls a function with the coordinator, for reports.
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
        core::instant since;
        std::string tenant;
        coordinator::request_class klass;
        bool may_use_replica;
    };

    static bool is_counted_read(const coordinator::caller_request& request)
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

    // Actions are carried out after the lock is released, since their ends
    // may come at once and on this thread.
    template <class Event>
    void drive(Event event)
    {
        coordinator::actions todo;
        {
            const std::lock_guard lock(m_mutex);
            todo = event(m_coordinator);
        }
        for (auto& one : todo)
            std::visit([this](auto& action) { this->carry_out(action); }, one);
    }

    void carry_out(const coordinator::open_action& action)
    {
        m_gate.open(m_databases[action.database].address, action.connection,
                    open_timeout,
                    [self = this->shared_from_this(),
                     number = action.connection](upstream::open_outcome end) {
                        self->drive([&](auto& coordinator) {
                            return coordinator.on_opened(number, end,
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
        pending one;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_pending.find(action.number);
            if (found == m_pending.end())
                return;
            one = std::move(found->second);
            m_pending.erase(found);
        }
        count(one, action.reply);
        one.handler(std::move(action.reply));
    }

    void carry_out(const coordinator::suspect_action& action)
    {
        m_on_suspect(action.database);
    }

    void carry_out(const coordinator::event_action& action)
    {
        m_seen.record(action.event);
    }

    void count(const pending& one, const coordinator::caller_reply& reply)
    {
        const auto klass = coordinator::request_class_names[one.klass];
        m_seen.numbers.observe(
            observe::measure::latency, one.tenant, klass,
            core::to_ms_exact(core::steady::now() - one.since));
        if (reply.error)
            return m_seen.numbers.count("errors", core::name_of(*reply.error));
        m_seen.numbers.count("done", klass);
        m_seen.numbers.observe(observe::measure::queue_time, one.tenant, klass,
                               reply.queue_ms);
        m_seen.numbers.observe(observe::measure::confirmation_wait, one.tenant,
                               klass, reply.confirmation_ms);
        if (!one.may_use_replica)
            return;
        m_seen.numbers.count("replica_reads_allowed",
                             reply.from_replica ? "replica" : "primary");
        if (reply.from_replica)
            m_seen.numbers.observe(observe::measure::read_age, one.tenant,
                                   klass, static_cast<double>(reply.age_ms));
    }

    static constexpr core::millis open_timeout{1000};

    Gate& m_gate;
    observers m_seen;
    suspect_handler m_on_suspect;
    const std::vector<upstream::database_layout> m_databases;
    mutable std::mutex m_mutex;
    coordinator::service_coordinator m_coordinator;
    coordinator::request_number m_last_number{0};
    std::unordered_map<coordinator::request_number, pending> m_pending;
};

} // namespace plantainward::daemon
