#include <plantainward/coordinator/connection_pool.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::coordinator
{

std::optional<upstream::connection_number> connection_pool::acquire()
{
    if (m_idle.empty())
        return std::nullopt;
    const auto number = m_idle.back();
    m_idle.pop_back();
    m_in_use.insert(number);
    return number;
}

bool connection_pool::should_open(std::size_t waiting, core::instant now) const
{
    if (total() >= m_limits.max_connections || now < m_backoff_until)
        return false;
    // After a failure a single connection tests whether the database accepts.
    const auto at_once =
        m_failed_openings > 0 ? std::size_t{1} : m_limits.max_opening;
    if (m_opening.size() >= at_once)
        return false;
    return m_opening.size() + m_idle.size() < waiting ||
           total() < m_limits.min_connections;
}

void connection_pool::on_opening(upstream::connection_number number)
{
    m_opening.insert(number);
}

void connection_pool::on_opened(upstream::connection_number number,
                                upstream::open_outcome end, core::instant now)
{
    m_opening.erase(number);
    if (end == upstream::open_outcome::opened)
    {
        m_failed_openings = 0;
        m_refused_by_limit = false;
        m_idle.push_back(number);
        return;
    }
    const auto doubled = m_limits.initial_backoff *
                         (1LL << std::min<std::size_t>(m_failed_openings, 10));
    m_backoff_until =
        now + std::min(m_limits.max_backoff, core::millis(doubled));
    ++m_failed_openings;
    m_refused_by_limit = end == upstream::open_outcome::refused_by_limit;
}

void connection_pool::on_database_answer()
{
    if (m_refused_by_limit)
        return;
    m_failed_openings = 0;
    m_backoff_until = {};
}

bool connection_pool::release(upstream::connection_number number)
{
    if (m_in_use.erase(number) == 0)
        return false;
    if (total() >= m_limits.max_connections)
        return false;
    m_idle.push_back(number);
    return true;
}

void connection_pool::drop(upstream::connection_number number)
{
    m_in_use.erase(number);
    std::erase(m_idle, number);
}

std::vector<upstream::connection_number> connection_pool::remove_all_idle()
{
    return std::exchange(m_idle, {});
}

} // namespace plantainward::coordinator
