#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/upstream/gate.hpp>

#include <cstddef>
#include <optional>
#include <unordered_set>
#include <vector>

namespace plantainward::coordinator
{

/// Limits of a pool.
struct pool_limits
{
    /// Open and opening connections together.
    std::size_t max_connections{25};
    /// Connections that are kept open while no request waits.
    std::size_t min_connections{2};
    /// Connections that may be opening at the same time.
    std::size_t max_opening{8};
    /// Delay after the first failed attempt to open; it doubles with each
    /// further failure up to `max_backoff`.
    core::millis initial_backoff{20};
    core::millis max_backoff{1000};
};

/// The connections of one proxy to one database.
///
/// After a failed attempt to open a connection, further attempts wait for an
/// exponential backoff, so that a database that comes back isn't flooded with
/// connections.
class connection_pool
{
public:
    explicit connection_pool(const pool_limits& limits) : m_limits(limits) {}

    void set_max_connections(std::size_t max_connections)
    {
        m_limits.max_connections = max_connections;
    }

    /// Returns an idle connection and marks it as in use; empty when none is
    /// idle.
    std::optional<upstream::connection_number> acquire();

    /// Whether to open one more connection for this number of waiting requests.
    bool should_open(std::size_t waiting, core::instant now) const;

    /// Called when a connection starts to open.
    void on_opening(upstream::connection_number number);

    /// Called when an attempt to open a connection has succeeded or failed.
    void on_opened(upstream::connection_number number,
                   upstream::open_outcome end, core::instant now);

    /// Called when the database has answered a status poll: ends the backoff,
    /// unless the last attempt was refused by the database's connection limit.
    void on_database_answer();

    /// Returns a connection that was in use to the idle ones. False when the
    /// pool has no capacity for it or doesn't know it; the caller must then
    /// close it.
    bool release(upstream::connection_number number);

    /// Forgets a connection that was lost or is being closed.
    void drop(upstream::connection_number number);

    /// Forgets and returns the idle connections.
    std::vector<upstream::connection_number> remove_all_idle();

    std::size_t idle() const { return m_idle.size(); }
    std::size_t in_use() const { return m_in_use.size(); }
    std::size_t total() const
    {
        return m_idle.size() + m_in_use.size() + m_opening.size();
    }

private:
    pool_limits m_limits;
    std::vector<upstream::connection_number> m_idle;
    std::unordered_set<upstream::connection_number> m_in_use;
    std::unordered_set<upstream::connection_number> m_opening;
    /// Consecutive failed attempts to open, and whether the last one was
    /// refused by the connection limit of the database.
    std::size_t m_failed_openings{0};
    bool m_refused_by_limit{false};
    core::instant m_backoff_until;
};

} // namespace plantainward::coordinator
