#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace plantainward::routes
{

/// How fresh the reads of a route must be.
enum class read_consistency : std::uint8_t
{
    /// Every commit acknowledged before the read.
    latest,
    /// Every commit that is older than the stated age.
    bounded_age,
    /// As `bounded_age`, and the session's own commits.
    session
};

/// What the operators want for one database name.
struct route
{
    std::string database;
    std::string service;
    read_consistency consistency{read_consistency::latest};
    /// Limit of one statement.
    core::millis timeout{800};
    /// Latency objective of an operation.
    core::millis target_latency{250};
    /// 0 is served first.
    int priority{0};
    /// Age that reads may have; unused by `latest`.
    core::millis max_age{0};
};

/// Limits that all databases of a service share.
struct service_limits
{
    /// Connections that one database accepts from all hosts together.
    std::size_t max_connections{1};
};

/// One accepted version of the operators' routing.
struct routing
{
    std::uint64_t version{0};
    /// By database name.
    std::map<std::string, route> routes;
    /// By service name.
    std::map<std::string, service_limits> services;
    /// Idle time after which a transaction may be ended.
    core::millis transaction_idle_timeout{3000};

    /// The route of a database; null when there is none.
    const route* find(const std::string& database) const;
};

/// One database process as it registered itself.
struct upstream
{
    std::string id;
    std::string service;
    core::address address;
    std::string failure_domain;
    /// Announces its planned end; takes no new work.
    bool leaving{false};
    /// Holds the primary role by its own account.
    bool claims_primary{false};
    /// Wall-clock start in Unix milliseconds; tells incarnations apart.
    std::uint64_t started_at_ms{0};

    bool operator==(const upstream&) const = default; // NOLINT
};

} // namespace plantainward::routes
