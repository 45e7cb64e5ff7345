#include <plantainward/coordinator/connection_pool.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::coordinator
{

std::optional<upstream::connection_number> connection_pool::take()
{
    if (m_idle.empty())
        return std::nullopt;
    const auto number = m_idle.back();
    m_idle.pop_back();
    m_taken.insert(number);
    return number;
}

bool connection_pool::should_open(std::size_t waiting, core::instant now) const
{
    if (total() >= m_limits.share || now < m_not_before)
        return false;
    // After a failure one connection tries alone.
    const auto at_once = m_failures > 0 ? std::size_t{1} : m_limits.opening;
    if (m_opening.size() >= at_once)
        return false;
    return m_opening.size() + m_idle.size() < waiting ||
           total() < m_limits.warm;
}

void connection_pool::opening(upstream::connection_number number)
{
    m_opening.insert(number);
}

void connection_pool::opened(upstream::connection_number number,
                             upstream::open_outcome end, core::instant now)
{
    m_opening.erase(number);
    if (end == upstream::open_outcome::opened)
    {
        m_failures = 0;
        m_refused_by_limit = false;
        m_idle.push_back(number);
        return;
    }
    const auto doubled =
        m_limits.first_backoff * (1LL << std::min<std::size_t>(m_failures, 10));
    m_not_before =
        now + std::min(m_limits.longest_backoff, core::millis(doubled));
    ++m_failures;
    m_refused_by_limit = end == upstream::open_outcome::refused_by_limit;
}

void connection_pool::database_answers()
{
    if (m_refused_by_limit)
        return;
    m_failures = 0;
    m_not_before = {};
}

bool connection_pool::give_back(upstream::connection_number number)
{
    if (m_taken.erase(number) == 0)
        return false;
    if (total() >= m_limits.share)
        return false;
    m_idle.push_back(number);
    return true;
}

void connection_pool::drop(upstream::connection_number number)
{
    m_taken.erase(number);
    std::erase(m_idle, number);
}

std::vector<upstream::connection_number> connection_pool::take_all_idle()
{
    return std::exchange(m_idle, {});
}

} // namespace plantainward::coordinator
