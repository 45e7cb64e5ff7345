#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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
    /// Callers need no key.
    bool is_public{false};
};

/// Limit on the operations of one workspace, over all hosts together.
struct quota_limit
{
    /// Operations a second.
    double rate_per_s{0};
    /// Operations that may come at once beyond the rate.
    double burst{0};

    bool operator==(const quota_limit&) const = default; // NOLINT
};

/// A group of callers with keys of its own.
struct workspace
{
    std::string name;
    int priority{0};
    /// Empty: its operations are not limited.
    std::optional<quota_limit> quota;
};

/// Limits that apply to each database of a service.
struct service_limits
{
    /// Connections that one database accepts from all hosts together.
    std::size_t max_connections{1};
    /// Replicas that have received a commit when the database acknowledges it.
    /// If there are any, a promotion must not lose an acknowledged commit.
    std::size_t sync_replicas{0};
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
    /// Whether callers need keys on routes that are not public.
    bool has_workspaces{false};
    /// Workspaces by name.
    std::map<std::string, workspace> workspaces;
    /// Name of the workspace that holds a key, by the SHA-256 digest of the
    /// key. The keys themselves are not kept.
    std::map<std::string, std::string, std::less<>> workspace_by_key_digest;

    /// The route of a database name; null when there is none.
    const route* find(const std::string& database) const;

    /// The workspace that holds the key with this digest; null when no
    /// workspace does.
    const workspace* find_workspace(std::string_view key_digest) const;
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
