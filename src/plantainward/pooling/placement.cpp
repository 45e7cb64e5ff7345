#include <plantainward/pooling/placement.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Kept below the stated age for the way to the database and late timers.
constexpr core::millis age_margin{150};

// Added to the expected time of a database in another failure domain, in
// milliseconds: a round trip there costs this much more.
constexpr double other_domain_ms = 3;

// Added to the expected time of a replica that may lack the log point.
constexpr double behind_ms = 12;

// Added to the expected time of the primary for a read that a replica could
// serve: its slots are the only ones that take writes.
constexpr double primary_ms = 15;

/// The log point that a read at a replica must wait for; empty when no proof
/// is young enough.
std::optional<upstream::log_point> required_point(const service_view& service,
                                                  const work& what,
                                                  const session& who)
{
    const auto since = who.transaction ? who.transaction->began : what.received;
    const auto watermark = service.watermarks.oldest_since(
        since - what.route.max_age + age_margin);
    if (!watermark)
        return std::nullopt;
    auto point = watermark->point;
    const bool needs_own =
        what.route.consistency == routes::read_consistency::session &&
        who.own_commit && who.own_commit->since >= watermark->since;
    if (!needs_own)
        return point;
    // A watermark of a later term than the own commit's that began after it was
    // acknowledged covers the commit, or the commit was rolled back.
    const auto newest = service.watermarks.newest();
    if (newest && newest->since >= who.own_commit->since &&
        newest->point.term > who.own_commit->point.term)
        return newest->point;
    return std::max(point, who.own_commit->point);
}

bool is_usable(const upstream_pool& pool, const work& what,
               core::boot_instant now)
{
    return !what.excluded.contains(pool.what().id) && !pool.is_suspected(now) &&
           pool.has_room(now);
}

double distance_ms(const upstream_pool& pool, const std::string& own_domain)
{
    return pool.what().failure_domain == own_domain ? 0 : other_domain_ms;
}

std::optional<placement> place_at_primary(const service_view& service,
                                          const work& what,
                                          core::boot_instant now)
{
    if (!service.has_primary(now))
        return std::nullopt;
    const auto found = service.upstreams.find(service.primary);
    if (found == service.upstreams.end() ||
        !is_usable(found->second, what, now))
        return std::nullopt;
    return placement{service.primary, std::nullopt};
}

} // namespace

std::optional<placement> place(const service_view& service, const work& what,
                               const session& who,
                               const std::string& own_domain,
                               core::boot_instant now)
{
    auto at_primary = place_at_primary(service, what, now);
    if (what.needs_primary)
        return at_primary;
    const auto point = required_point(service, what, who);
    if (!point)
        return at_primary;
    std::optional<placement> best;
    double least = 0;
    for (const auto& [id, pool] : service.upstreams)
    {
        const bool is_primary = id == service.primary;
        if (is_primary && !at_primary)
            continue;
        if (pool.what().leaving || !is_usable(pool, what, now))
            continue;
        if (!is_primary && pool.is_behind(*point, now))
            continue;
        auto cost = pool.expected_ms() * static_cast<double>(pool.busy() + 1) +
                    distance_ms(pool, own_domain);
        if (is_primary)
            cost += primary_ms;
        else if (pool.known_point() < *point)
            cost += behind_ms;
        if (best && cost >= least)
            continue;
        least = cost;
        best = placement{id, is_primary ? std::nullopt : point};
    }
    return best;
}

} // namespace plantainward::pooling
