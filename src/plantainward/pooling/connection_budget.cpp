#include <plantainward/pooling/connection_budget.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <string>

namespace plantainward::pooling
{

namespace
{

/// Range of the pause after a refused opening, before jitter.
struct pause_range
{
    core::millis first;
    core::millis longest;
};

// A host without a connection serves nothing, and the opening also tests
// whether the database is back: a restart must be noticed within a second.
constexpr pause_range without_connections{core::millis(300), core::millis(600)};

// A host with a connection goes on serving. Databases drop the connections of a
// lost host after 3 s, so shorter pauses only meet the same full database.
constexpr pause_range with_connections{core::millis(1500), core::millis(3000)};

// Largest part of the pause that is added as jitter, in per cent.
constexpr std::uint64_t max_jitter_percent = 25;

// Refusals above this number do not lengthen the pause or the slow growth.
constexpr std::size_t max_refusals = 4;

} // namespace

connection_budget::connection_budget(std::string_view host,
                                     std::string_view database)
    : m_seed(core::placement_hash(host, database))
{
}

bool connection_budget::may_open(std::size_t open, std::size_t opening,
                                 core::boot_instant now) const
{
    if (now < m_no_open_before)
        return false;
    if (m_refusals > 0)
        return opening == 0;
    return !m_has_slow_start || opening < std::max<std::size_t>(1, open);
}

void connection_budget::record_opened()
{
    if (m_refusals > 0)
        --m_refusals;
}

void connection_budget::record_refused(std::size_t open,
                                       core::boot_instant sent,
                                       core::boot_instant now)
{
    const bool is_of_same_burst = m_refusals > 0 && sent <= m_refused_at;
    if (!is_of_same_burst)
        m_refusals = std::min(m_refusals + 1, max_refusals);
    m_refused_at = now;
    m_no_open_before = std::max(m_no_open_before, now + pause(open));
}

core::millis connection_budget::pause(std::size_t open) const
{
    const auto& range = open == 0 ? without_connections : with_connections;
    const auto length = std::min(
        range.first * (1 << (std::max<std::size_t>(m_refusals, 1) - 1)),
        range.longest);
    const auto jitter_percent =
        core::placement_hash(std::to_string(m_seed),
                             std::to_string(m_refusals)) %
        (max_jitter_percent + 1);
    return length + length * static_cast<int>(jitter_percent) / 100;
}

} // namespace plantainward::pooling
