#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/pooling/connection.hpp>
#include <plantainward/routes/routing.hpp>

#include <cstddef>
#include <map>
#include <optional>

namespace plantainward::pooling
{

/// The connections of this host to one database, and what they show of it.
class upstream_pool
{
public:
    explicit upstream_pool(routes::upstream what) : m_what(std::move(what)) {}

    const routes::upstream& what() const { return m_what; }
    void set_what(const routes::upstream& what) { m_what = what; }

    /// Connections that this host may hold.
    void set_share(std::size_t share) { m_share = share; }
    std::size_t share() const { return m_share; }

    std::map<connection_id, connection>& connections() { return m_connections; }
    const std::map<connection_id, connection>& connections() const
    {
        return m_connections;
    }
    connection* find(connection_id id);

    /// An idle connection, if possible one that holds these values.
    connection* idle_connection(const session_values& values);

    /// Whether one more connection may be opened now.
    bool may_open(core::boot_instant now) const;

    /// Whether a statement could start here now.
    bool has_room(core::boot_instant now) const;

    connection& add(connection_id id, core::boot_instant now);
    void erase(connection_id id) { m_connections.erase(id); }

    /// Bytes came from the database.
    void heard(core::boot_instant now);
    /// A connection was refused, reset or timed out.
    void failed(core::boot_instant now);
    /// The database has no room for a connection of ours.
    void crowded(core::boot_instant now);
    /// All slots of the database were taken; fewer statements are sent to it
    /// at a time, one of them after a pause.
    void was_busy(core::boot_instant now);

    /// A connection was given up because the database was silent; it is doubted
    /// until it is heard again.
    void left_silent() { m_left_silent = true; }

    /// Whether the database seems not to answer this host.
    bool is_suspected(core::boot_instant now) const;

    /// Whether a question should be asked to see if the database answers.
    bool wants_probe(core::boot_instant now) const;

    /// Statements that run or are being prepared.
    std::size_t busy() const;

    /// Last known end of the log that reads see here.
    const upstream::log_point& known_point() const { return m_known_point; }
    void saw_point(const upstream::log_point& point);

    /// The database lacked this log point.
    void was_behind(const upstream::log_point& point, core::boot_instant now);
    /// It has run a read that needed a log point.
    void kept_up() { m_behind_memory = {}; }
    /// Whether it has lately lacked this point or an earlier one.
    bool is_behind(const upstream::log_point& point,
                   core::boot_instant now) const;

    /// A statement that was sent at this instant has been answered.
    void overtake(core::boot_instant sent);

    /// Connections whose answer seems to be lost: others were answered
    /// meanwhile, or the database is silent.
    std::vector<connection_id> without_answer(core::boot_instant now) const;

    /// Takes how long a statement took.
    void took(core::millis time);
    /// Expected time of one statement, in milliseconds.
    double expected_ms() const { return m_expected_ms; }

private:
    std::optional<core::boot_instant> oldest_unanswered() const;

    routes::upstream m_what;
    std::size_t m_share{1};
    std::map<connection_id, connection> m_connections;
    core::boot_instant m_heard_at{};
    std::optional<core::boot_instant> m_first_failure;
    std::size_t m_failures{0};
    bool m_left_silent{false};
    core::boot_instant m_no_open_before{};
    upstream::log_point m_known_point;
    upstream::log_point m_lacked_point;
    core::boot_instant m_lacked_at{};
    /// For how long it is taken to lack the point still.
    core::millis m_behind_memory{0};
    /// Statements that may run at a time; 0: as many as there are connections.
    double m_send_limit{0};
    core::boot_instant m_no_send_before{};
    double m_expected_ms{15};
};

} // namespace plantainward::pooling
