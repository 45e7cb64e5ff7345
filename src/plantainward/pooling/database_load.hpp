#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

namespace plantainward::pooling
{

/// What this host has observed of the load of one database.
class database_load
{
public:
    /// The database has joined or returned: it gets a share of the work that
    /// grows from now on.
    void start(core::boot_instant now);

    /// A statement succeeded after this time.
    void record_success(core::millis time, core::boot_instant now);
    /// The database refused a statement or failed.
    void record_failure(core::boot_instant now);

    /// Time of one statement, in milliseconds. It halves with every half-life
    /// that passes without an observation, so that a database that was slow
    /// gets a statement which measures it again; at least the time of a fast
    /// statement.
    double observed_ms(core::boot_instant now) const;
    /// Share of recent statements that succeeded, above 0 and at most 1.
    double success_share() const { return m_success_share; }
    /// Share of its regular work that a starting database gets, at most 1.
    double start_share(core::boot_instant now) const;

private:
    core::boot_instant m_started_at{};
    core::boot_instant m_observed_at{};
    double m_ms{15};
    double m_success_share{1};
};

} // namespace plantainward::pooling
