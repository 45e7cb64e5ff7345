#pragma once

#include <plantainward/coordinator/action.hpp>
#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace plantainward::coordinator
{

/// Intervals and time-outs of the status polls.
struct poll_limits
{
    /// Time between polls of a database while requests are unfinished.
    core::millis busy_interval{100};
    /// Time between polls of a database while there are no requests.
    core::millis idle_interval{500};
    /// Shortest time between polls of a database that requests need.
    core::millis min_interval{1};
    core::millis timeout{500};
    /// Longest time that a database holds back its status until its log reaches
    /// the requested point.
    core::millis max_wait{200};
};

/// Decides when to poll the databases for their status.
///
/// At most one poll without a wait is in flight for each database, and at most
/// one that waits for a log point for each database and slot. All requests that
/// need a status share these polls.
class poll_planner
{
public:
    poll_planner(std::size_t databases, int slots, const poll_limits& limits);

    /// Asks for statuses whose polls are sent at or after this instant.
    void request_poll(core::instant since);

    /// Asks for statuses of a slot's replicas once they reach this log point.
    /// Holds for the next `plan()` only.
    void request_wait(int slot, const upstream::log_point& point);

    /// Forgets the waits on a slot, whose points belong to an ended term.
    void reset_waits(int slot);

    /// Called when a poll has ended, with a status or without.
    void on_finished(std::size_t database, int slot);

    /// Appends the polls that are to be sent now.
    void plan(core::instant now, bool is_busy,
              const std::vector<group_view>& views, actions& out);

private:
    struct database_polls
    {
        bool poll_in_flight{false};
        core::instant poll_sent_at;
        std::vector<bool> waits_in_flight;
    };

    void plan_poll(core::instant now, bool is_busy, std::size_t database,
                   actions& out);
    void plan_waits(const std::vector<group_view>& views, std::size_t database,
                    actions& out);

    poll_limits m_limits;
    std::optional<core::instant> m_needed_since;
    std::vector<std::optional<upstream::log_point>> m_wait_points;
    std::vector<database_polls> m_databases;
};

} // namespace plantainward::coordinator
