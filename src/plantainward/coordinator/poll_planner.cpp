#include <plantainward/coordinator/poll_planner.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

poll_planner::poll_planner(std::size_t databases, int slots,
                           const poll_limits& limits)
    : m_limits(limits), m_points(static_cast<std::size_t>(slots)),
      m_databases(databases)
{
    for (auto& one : m_databases)
        one.wait_under_way.resize(static_cast<std::size_t>(slots), false);
}

void poll_planner::want_fresh(core::instant since)
{
    m_fresh_since = m_fresh_since ? std::max(*m_fresh_since, since) : since;
}

void poll_planner::want_point(int slot, const upstream::log_point& point)
{
    auto& wanted = m_points.at(static_cast<std::size_t>(slot));
    wanted =
        wanted && wanted->term == point.term ? std::min(*wanted, point) : point;
}

void poll_planner::forget_waits(int slot)
{
    const auto index = static_cast<std::size_t>(slot);
    m_points[index].reset();
    for (auto& one : m_databases)
        one.wait_under_way[index] = false;
}

void poll_planner::finished(std::size_t database, int slot)
{
    auto& one = m_databases.at(database);
    if (slot == no_wait_slot)
        one.fresh_under_way = false;
    else
        one.wait_under_way.at(static_cast<std::size_t>(slot)) = false;
}

void poll_planner::plan(core::instant now, bool is_busy,
                        const std::vector<group_view>& views, actions& out)
{
    for (std::size_t database = 0; database < m_databases.size(); ++database)
    {
        plan_fresh(now, is_busy, database, out);
        plan_waits(views, database, out);
    }
    // Whoever still waits for a point asks again.
    std::fill(m_points.begin(), m_points.end(), std::nullopt);
}

void poll_planner::plan_fresh(core::instant now, bool is_busy,
                              std::size_t database, actions& out)
{
    auto& one = m_databases[database];
    if (one.fresh_under_way)
        return;
    const auto interval =
        is_busy ? m_limits.busy_interval : m_limits.idle_interval;
    const bool due = now - one.fresh_sent >= interval;
    const bool wanted = m_fresh_since && *m_fresh_since > one.fresh_sent &&
                        now - one.fresh_sent >= m_limits.least_interval;
    if (!due && !wanted)
        return;
    one.fresh_under_way = true;
    one.fresh_sent = now;
    out.emplace_back(poll_action{
        database, no_wait_slot, {}, core::millis(0), m_limits.timeout});
}

void poll_planner::plan_waits(const std::vector<group_view>& views,
                              std::size_t database, actions& out)
{
    auto& one = m_databases[database];
    for (std::size_t slot = 0; slot < m_points.size(); ++slot)
    {
        const auto& point = m_points[slot];
        const auto& view = views[slot];
        if (!point || one.wait_under_way[slot] || view.primary() == database)
            continue;
        if (view.status(database).last >= *point)
            continue;
        one.wait_under_way[slot] = true;
        out.emplace_back(poll_action{database, static_cast<int>(slot), *point,
                                     m_limits.longest_wait, m_limits.timeout});
    }
}

} // namespace plantainward::coordinator
