#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainward::pooling
{

/// How many connections one host may open to one database, from the openings
/// that the database refused.
///
/// A refused opening stops all openings for a pause, which only time ends: an
/// answer on an open connection says nothing about room for another one. After
/// the pause, connections are opened one at a time until as many succeeded as
/// were refused in a row.
class connection_budget
{
public:
    /// `host` and `database` spread the pauses of hosts; the same names always
    /// give the same pauses.
    connection_budget(std::string_view host, std::string_view database);

    /// Limits the first openings to the number of open connections (at least
    /// one), so that a new process finds a full database with one opening
    /// instead of one for each waiting statement.
    void set_slow_start(bool enabled) { m_has_slow_start = enabled; }

    /// Whether another connection may be opened now, with this many open ones
    /// and this many openings under way.
    bool may_open(std::size_t open, std::size_t opening,
                  core::boot_instant now) const;

    /// A connection was opened.
    void record_opened();

    /// An opening that was requested at `sent` was refused or reset, while
    /// `open` other connections were open. Openings that were under way at the
    /// last refusal count as one with it.
    void record_refused(std::size_t open, core::boot_instant sent,
                        core::boot_instant now);

    /// Refusals in a row, less the openings that succeeded since.
    std::size_t refusals() const { return m_refusals; }

    /// Until when nothing is opened.
    core::boot_instant no_open_before() const { return m_no_open_before; }

    /// Spreads the pauses of hosts.
    std::uint64_t seed() const { return m_seed; }

private:
    core::millis pause(std::size_t open) const;

    std::uint64_t m_seed;
    bool m_has_slow_start{false};
    std::size_t m_refusals{0};
    core::boot_instant m_refused_at{};
    core::boot_instant m_no_open_before{};
};

} // namespace plantainward::pooling
