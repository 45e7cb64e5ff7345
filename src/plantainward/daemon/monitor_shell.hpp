#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/daemon/coordinator_shell.hpp>
#include <plantainward/failover/failover_monitor.hpp>
#include <plantainward/upstream/gate.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace plantainward::daemon
{

/// Sends an opinion to the other watchers of its service.
using opinion_sender = std::function<void(const failover::opinion&)>;

/// Called with the index of a database, its status as a probe or control order
/// returned it, and when that was sent.
using status_handler = std::function<void(
    std::size_t, const upstream::database_status&, core::instant)>;

/// Runs one service's failover monitor: locks it, passes it the time and
/// carries out its actions. May be used from any thread.
template <upstream::gate Gate>
class monitor_shell : public std::enable_shared_from_this<monitor_shell<Gate>>
{
public:
    monitor_shell(Gate& gate, telemetry outputs,
                  upstream::service_layout layout,
                  failover::failover_options options, opinion_sender on_opinion,
                  status_handler on_status)
        : m_gate(gate), m_telemetry(outputs),
          m_on_opinion(std::move(on_opinion)),
          m_on_status(std::move(on_status)), m_databases(layout.databases),
          m_monitor(std::move(layout), std::move(options), core::steady::now())
    {
    }

    /// Runs the timers of the monitor.
    void tick()
    {
        drive(
            [](auto& monitor) { return monitor.on_tick(core::steady::now()); });
    }

    /// Reports that a request had trouble with a database.
    void on_suspect_report(std::size_t database)
    {
        drive([&](auto& monitor) {
            return monitor.on_suspect_report(database, core::steady::now());
        });
    }

    /// Passes on the opinion of another watcher.
    void on_opinion(const std::string& watcher,
                    const failover::opinion& opinion)
    {
        drive([&](auto& monitor) {
            return monitor.on_opinion(watcher, opinion, core::steady::now());
        });
    }

    /// Sets the names of the watchers in rank order, and the own name.
    void set_watchers(std::vector<std::string> ranked, const std::string& self)
    {
        const std::lock_guard lock(m_mutex);
        m_monitor.set_watchers(std::move(ranked), self);
    }

    /// Applies a changed layout with the same databases.
    void set_layout(const upstream::service_layout& layout)
    {
        const std::lock_guard lock(m_mutex);
        m_monitor.set_layout(layout, core::steady::now());
    }

private:
    template <class Event>
    void drive(Event event)
    {
        failover::actions actions;
        {
            const std::lock_guard lock(m_mutex);
            actions = event(m_monitor);
        }
        for (const auto& item : actions)
            std::visit([this](const auto& action) { this->carry_out(action); },
                       item);
    }

    void carry_out(const failover::probe_action& action)
    {
        m_gate.control(m_databases[action.database].address, {}, action.timeout,
                       [self = this->shared_from_this(),
                        database = action.database, sent = core::steady::now()](
                           const upstream::control_result& result) {
                           self->drive([&](auto& monitor) {
                               return monitor.on_probe(database, result,
                                                       core::steady::now());
                           });
                           self->m_on_status(database, result.status, sent);
                       });
    }

    void carry_out(const failover::control_action& action)
    {
        m_gate.control(
            m_databases[action.database].address, action.order, action.timeout,
            [self = this->shared_from_this(), database = action.database,
             claim = action.claim, sent = core::steady::now()](
                const upstream::control_result& result) {
                self->drive([&](auto& monitor) {
                    return monitor.on_control(database, claim, result,
                                              core::steady::now());
                });
                self->m_on_status(database, result.status, sent);
            });
    }

    void carry_out(const failover::opinion_action& action)
    {
        m_on_opinion(action.own_opinion);
    }

    void carry_out(const failover::event_action& action)
    {
        m_telemetry.record(action.event);
    }

    Gate& m_gate;
    telemetry m_telemetry;
    opinion_sender m_on_opinion;
    status_handler m_on_status;
    const std::vector<upstream::database_layout> m_databases;
    std::mutex m_mutex;
    failover::failover_monitor m_monitor;
};

} // namespace plantainward::daemon
