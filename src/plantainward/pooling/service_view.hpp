#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/freshness/watermark_log.hpp>
#include <plantainward/pooling/admission.hpp>
#include <plantainward/pooling/delegation.hpp>
#include <plantainward/pooling/ejector.hpp>
#include <plantainward/pooling/retry_budget.hpp>
#include <plantainward/pooling/upstream_pool.hpp>
#include <plantainward/pooling/workspace_shares.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::pooling
{

/// How the connections to the databases of a service are divided among hosts.
struct connection_plan
{
    /// Largest number of connections that this host may hold to each database.
    std::size_t share{1};
    /// Hosts that run this host's statements, in order of preference; empty
    /// when it runs them itself.
    std::vector<std::string> delegates{};
    /// Hosts that run statements for the primary while this host can't reach
    /// it, in order of preference.
    std::vector<std::string> fallback_delegates{};
    /// Takes precedence for statements that have a workspace.
    workspace_delegations by_workspace{};
    /// The connections are divided among a few hosts.
    bool is_shared{false};
};

/// The databases of one service, with its primary and the proofs of freshness.
struct service_view
{
    connection_plan plan;
    std::map<std::string, upstream_pool> upstreams;
    /// Databases that get no reads; used where few hosts hold connections.
    ejector ejected;
    freshness::watermark_log watermarks;
    /// Admission of statements that only the primary can run, and of others.
    admission primary_admission{};
    admission read_admission{};
    /// Slot time of the workspaces at all databases of the service.
    workspace_shares shares{};
    retry_budget retries{};
    /// Id of the recorded primary; empty when none may be used.
    std::string primary;
    /// End of the lease under which this host may use the primary.
    core::boot_instant primary_until{};
    /// Term that the primary leads; 0 when it is not known.
    upstream::term_number primary_term{0};
    /// The last database that this host knew as the primary, and since when it
    /// is the last one.
    std::string last_primary;
    core::boot_instant primary_since{};

    /// Whether this host decides on the admission of statements: it runs them
    /// on connections that are divided among a few hosts.
    bool has_admission() const
    {
        return plan.is_shared && plan.delegates.empty();
    }

    /// Whether this host may use a primary now.
    bool has_primary(core::boot_instant now) const
    {
        return !primary.empty() && now < primary_until;
    }

    /// Whether a database is the primary that this host may use now.
    bool is_primary(const std::string& upstream, core::boot_instant now) const
    {
        return upstream == primary && has_primary(now);
    }

    /// Whether a database is the primary and no other database was the primary
    /// since `sent`.
    bool stayed_primary(const std::string& upstream, core::boot_instant sent,
                        core::boot_instant now) const
    {
        return is_primary(upstream, now) && sent >= primary_since;
    }

    /// Sets the primary, empty for none, and the end of the lease on it.
    /// Setting the last primary again does not change `primary_since`.
    void set_primary(const std::string& upstream, core::boot_instant until,
                     core::boot_instant now)
    {
        primary = upstream;
        primary_until = until;
        if (upstream.empty() || upstream == last_primary)
            return;
        last_primary = upstream;
        primary_since = now;
    }
};

/// The database that runs a statement.
struct placement
{
    std::string upstream;
    /// Log point that the database must have before it runs the statement.
    std::optional<upstream::log_point> after;
};

} // namespace plantainward::pooling
