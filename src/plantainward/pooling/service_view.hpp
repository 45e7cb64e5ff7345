#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/freshness/watermark_log.hpp>
#include <plantainward/pooling/upstream_pool.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::pooling
{

/// Who holds the connections to the databases of a service.
struct connection_plan
{
    /// Connections that this host may hold to each database.
    std::size_t share{1};
    /// Hosts that run this host's work, in order of preference; empty when it
    /// runs the work itself.
    std::vector<std::string> delegates;
    /// Hosts that may reach a primary that this host does not.
    std::vector<std::string> fallback_delegates;
};

/// The databases of one service and what is proved of them.
struct service_view
{
    connection_plan plan;
    std::map<std::string, upstream_pool> upstreams;
    freshness::watermark_log watermarks;
    /// Recorded primary; empty when none may be used.
    std::string primary;
    /// Until when this host may use it.
    core::boot_instant primary_until{};
    /// Term that it leads; 0: not known.
    upstream::term_number primary_term{0};
    /// The last database that was the primary here, and since when.
    std::string last_primary;
    core::boot_instant leads_since{};

    bool has_primary(core::boot_instant now) const
    {
        return !primary.empty() && now < primary_until;
    }

    bool is_primary(const std::string& upstream, core::boot_instant now) const
    {
        return upstream == primary && has_primary(now);
    }

    /// Whether a database is the primary and no other one was since `sent`.
    bool stayed_primary(const std::string& upstream, core::boot_instant sent,
                        core::boot_instant now) const
    {
        return is_primary(upstream, now) && sent >= leads_since;
    }

    void set_primary(const std::string& upstream, core::boot_instant until,
                     core::boot_instant now)
    {
        primary = upstream;
        primary_until = until;
        if (upstream.empty() || upstream == last_primary)
            return;
        last_primary = upstream;
        leads_since = now;
    }
};

/// Where a statement goes.
struct placement
{
    std::string upstream;
    /// Log point that the database must have first.
    std::optional<upstream::log_point> after;
};

} // namespace plantainward::pooling
