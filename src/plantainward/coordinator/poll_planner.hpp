#pragma once

#include <plantainward/coordinator/action.hpp>
#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace plantainward::coordinator
{

/// Intervals of the status polls.
struct poll_limits
{
    /// Between polls of a database while requests flow.
    core::millis busy_interval{100};
    /// Between polls of a database without requests.
    core::millis idle_interval{500};
    /// Least time between polls that were asked for.
    core::millis least_interval{1};
    core::millis timeout{500};
    /// Longest wait of a poll for a log point.
    core::millis longest_wait{200};
};

/// Decides when to ask the databases for their status.
///
/// One poll without a wait is under way for each database, and one that waits
/// for a log point for each database and slot; many requests share each.
class poll_planner
{
public:
    poll_planner(std::size_t databases, int slots, const poll_limits& limits);

    /// A request needs statuses that are sent at or after this instant.
    void want_fresh(core::instant since);

    /// Requests wait for this log point on the replicas of a slot.
    void want_point(int slot, const upstream::log_point& point);

    /// The waits under way on a slot are for points of an ended term.
    void forget_waits(int slot);

    /// A poll has ended.
    void finished(std::size_t database, int slot);

    /// The polls to send now.
    void plan(core::instant now, bool is_busy,
              const std::vector<group_view>& views, actions& out);

private:
    struct database_polls
    {
        bool fresh_under_way{false};
        core::instant fresh_sent;
        std::vector<bool> wait_under_way;
    };

    void plan_fresh(core::instant now, bool is_busy, std::size_t database,
                    actions& out);
    void plan_waits(const std::vector<group_view>& views, std::size_t database,
                    actions& out);

    poll_limits m_limits;
    std::optional<core::instant> m_fresh_since;
    std::vector<std::optional<upstream::log_point>> m_points;
    std::vector<database_polls> m_databases;
};

} // namespace plantainward::coordinator
