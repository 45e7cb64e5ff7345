#include <plantainward/coordinator/poll_planner.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

poll_planner::poll_planner(std::size_t databases, int slots,
                           const poll_limits& limits)
    : m_limits(limits), m_wait_points(static_cast<std::size_t>(slots)),
      m_databases(databases)
{
    for (auto& polls : m_databases)
        polls.waits_in_flight.resize(static_cast<std::size_t>(slots), false);
}

void poll_planner::request_poll(core::instant since)
{
    m_needed_since = m_needed_since ? std::max(*m_needed_since, since) : since;
}

void poll_planner::request_wait(int slot, const upstream::log_point& point)
{
    auto& wanted = m_wait_points.at(static_cast<std::size_t>(slot));
    wanted =
        wanted && wanted->term == point.term ? std::min(*wanted, point) : point;
}

void poll_planner::reset_waits(int slot)
{
    const auto index = static_cast<std::size_t>(slot);
    m_wait_points[index].reset();
    for (auto& polls : m_databases)
        polls.waits_in_flight[index] = false;
}

void poll_planner::on_finished(std::size_t database, int slot)
{
    auto& polls = m_databases.at(database);
    if (slot == no_wait_slot)
        polls.poll_in_flight = false;
    else
        polls.waits_in_flight.at(static_cast<std::size_t>(slot)) = false;
}

void poll_planner::plan(core::instant now, bool is_busy,
                        const std::vector<group_view>& views, actions& out)
{
    for (std::size_t database = 0; database < m_databases.size(); ++database)
    {
        plan_poll(now, is_busy, database, out);
        plan_waits(views, database, out);
    }
    // Requests that still wait for a point ask for it again before the next
    // call.
    std::fill(m_wait_points.begin(), m_wait_points.end(), std::nullopt);
}

void poll_planner::plan_poll(core::instant now, bool is_busy,
                             std::size_t database, actions& out)
{
    auto& polls = m_databases[database];
    if (polls.poll_in_flight)
        return;
    const auto interval =
        is_busy ? m_limits.busy_interval : m_limits.idle_interval;
    const bool due = now - polls.poll_sent_at >= interval;
    const bool wanted = m_needed_since &&
                        *m_needed_since > polls.poll_sent_at &&
                        now - polls.poll_sent_at >= m_limits.min_interval;
    if (!due && !wanted)
        return;
    polls.poll_in_flight = true;
    polls.poll_sent_at = now;
    out.emplace_back(poll_action{
        database, no_wait_slot, {}, core::millis(0), m_limits.timeout});
}

void poll_planner::plan_waits(const std::vector<group_view>& views,
                              std::size_t database, actions& out)
{
    auto& polls = m_databases[database];
    for (std::size_t slot = 0; slot < m_wait_points.size(); ++slot)
    {
        const auto& point = m_wait_points[slot];
        const auto& view = views[slot];
        if (!point || polls.waits_in_flight[slot] || view.primary() == database)
            continue;
        if (view.status(database).last >= *point)
            continue;
        polls.waits_in_flight[slot] = true;
        out.emplace_back(poll_action{database, static_cast<int>(slot), *point,
                                     m_limits.max_wait, m_limits.timeout});
    }
}

} // namespace plantainward::coordinator
