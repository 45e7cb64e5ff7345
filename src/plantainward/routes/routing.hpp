#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace plantainward::routes
{

/// Consistency of the reads of a route: the commits that a read must include.
enum class read_consistency : std::uint8_t
{
    /// Every commit that was acknowledged before the read began.
    latest,
    /// Every commit that was acknowledged longer ago than the route's
    /// `max_age`.
    bounded_age,
    /// As `bounded_age`, and all commits of the reading session.
    session
};

/// The operators' settings for one database name.
struct route
{
    /// Database name that callers use.
    std::string database;
    /// Service whose databases run the statements.
    std::string service;
    read_consistency consistency{read_consistency::latest};
    /// Time limit of one statement.
    core::millis timeout{800};
    /// Latency objective of an operation.
    core::millis target_latency{250};
    /// Waiting statements with a lower number are served first.
    int priority{0};
    /// Largest age of the data that reads return; unused by `latest`.
    core::millis max_age{0};
};

/// Limits that apply to each database of a service.
struct service_limits
{
    /// Connections that one database accepts from all hosts together.
    std::size_t max_connections{1};
};

/// One accepted version of the operators' routing.
struct routing
{
    std::uint64_t version{0};
    /// Routes by database name.
    std::map<std::string, route> routes;
    /// Limits by service name.
    std::map<std::string, service_limits> services;
    /// Idle time after which an open transaction is rolled back.
    core::millis transaction_idle_timeout{3000};

    /// The route of a database name; null when there is none.
    const route* find(const std::string& database) const;
};

/// A database process, as it registered itself.
struct upstream
{
    std::string id;
    std::string service;
    core::address address;
    std::string failure_domain;
    /// The database is about to shut down as planned and accepts no new work.
    bool leaving{false};
    /// The database reports that it is the primary.
    bool claims_primary{false};
    /// Wall-clock time at which the process started, in Unix milliseconds;
    /// distinguishes restarts of a database.
    std::uint64_t started_at_ms{0};

    bool operator==(const upstream&) const = default; // NOLINT
};

} // namespace plantainward::routes
