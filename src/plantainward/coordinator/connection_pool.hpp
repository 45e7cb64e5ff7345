#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/upstream/gate.hpp>

#include <cstddef>
#include <optional>
#include <unordered_set>
#include <vector>

namespace plantainward::coordinator
{

/// Bounds of a pool.
struct pool_limits
{
    /// Most connections of this pool.
    std::size_t share{25};
    /// Connections kept open without demand.
    std::size_t warm{2};
    /// Connections that may be opening at once.
    std::size_t opening{8};
    core::millis first_backoff{20};
    core::millis longest_backoff{1000};
};

/// One proxy's connections to one database.
///
/// A failed opening stops further ones for a growing time, so that a database
/// that comes back meets no herd.
class connection_pool
{
public:
    explicit connection_pool(const pool_limits& limits) : m_limits(limits) {}

    void set_share(std::size_t share) { m_limits.share = share; }

    /// Takes an idle connection.
    std::optional<upstream::connection_number> take();

    /// Whether to open one more for this many waiting requests.
    bool should_open(std::size_t waiting, core::instant now) const;

    /// A connection begins to open.
    void opening(upstream::connection_number number);

    /// An opening has ended.
    void opened(upstream::connection_number number, upstream::open_outcome end,
                core::instant now);

    /// The database has answered on another way, so a new try is worth while.
    void database_answers();

    /// A taken connection is idle again. False when it is over the share or
    /// the pool is closing, and must be closed.
    bool give_back(upstream::connection_number number);

    /// A taken connection is gone.
    void drop(upstream::connection_number number);

    /// Forgets and returns the idle connections.
    std::vector<upstream::connection_number> take_all_idle();

    std::size_t idle() const { return m_idle.size(); }
    std::size_t in_use() const { return m_taken.size(); }
    std::size_t total() const
    {
        return m_idle.size() + m_taken.size() + m_opening.size();
    }

private:
    pool_limits m_limits;
    std::vector<upstream::connection_number> m_idle;
    std::unordered_set<upstream::connection_number> m_taken;
    std::unordered_set<upstream::connection_number> m_opening;
    /// Openings that failed in a row, and whether the last one was refused by
    /// the database's limit.
    std::size_t m_failures{0};
    bool m_refused_by_limit{false};
    core::instant m_not_before;
};

} // namespace plantainward::coordinator
