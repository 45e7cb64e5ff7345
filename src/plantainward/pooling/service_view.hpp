#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/freshness/mark_log.hpp>
#include <plantainward/pooling/upstream_pool.hpp>

#include <map>
#include <optional>
#include <string>

namespace plantainward::pooling
{

/// The databases of one service and what is proved of them.
struct service_view
{
    std::map<std::string, upstream_pool> upstreams;
    freshness::mark_log marks;
    /// Recorded primary; empty when none may be used.
    std::string primary;
    /// Until when this host may use it.
    core::boot_instant primary_until{};

    bool has_primary(core::boot_instant now) const
    {
        return !primary.empty() && now < primary_until;
    }

    bool is_primary(const std::string& upstream, core::boot_instant now) const
    {
        return upstream == primary && has_primary(now);
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
