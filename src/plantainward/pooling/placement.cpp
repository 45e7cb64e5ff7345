#include <plantainward/pooling/placement.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Subtracted from the stated age, for the time of the message to the database
// and for late timers.
constexpr core::millis age_margin{150};

// Added to the expected time of a database in another failure domain: a round
// trip there takes this much longer.
constexpr double other_domain_cost_ms = 3;

// Added to the expected time of a replica that may lack the log point.
constexpr double behind_cost_ms = 12;

// Added to the expected time of the primary for a read that a replica could
// run: only the primary's slots run writes.
constexpr double primary_cost_ms = 15;

/// The log point that a replica must have for a read; empty when no watermark
/// is recent enough.
std::optional<upstream::log_point> required_point(const service_view& service,
                                                  const work& work,
                                                  const session& session)
{
    const auto since =
        session.transaction ? session.transaction->began_at : work.received;
    const auto watermark = service.watermarks.oldest_since(
        since - work.route.max_age + age_margin);
    if (!watermark)
        return std::nullopt;
    auto point = watermark->point;
    const bool needs_own =
        work.route.consistency == routes::read_consistency::session &&
        session.own_commit && session.own_commit->since >= watermark->since;
    if (!needs_own)
        return point;
    // A watermark of a later term, taken after the session's commit was
    // acknowledged, either includes the commit or proves that it was rolled
    // back.
    const auto newest = service.watermarks.newest();
    if (newest && newest->since >= session.own_commit->since &&
        newest->point.term > session.own_commit->point.term)
        return newest->point;
    return std::max(point, session.own_commit->point);
}

bool is_usable(const upstream_pool& pool, const work& work,
               core::boot_instant now)
{
    return !work.excluded.contains(pool.registration().id) &&
           !pool.is_withdrawn(now) && !pool.is_suspected(now) &&
           pool.has_capacity(now);
}

double domain_cost_ms(const upstream_pool& pool, const std::string& own_domain)
{
    return pool.registration().failure_domain == own_domain
               ? 0
               : other_domain_cost_ms;
}

std::optional<placement> place_at_primary(const service_view& service,
                                          const work& work,
                                          core::boot_instant now)
{
    if (!service.has_primary(now))
        return std::nullopt;
    const auto found = service.upstreams.find(service.primary);
    if (found == service.upstreams.end() || found->second.refuses_writes(now) ||
        !is_usable(found->second, work, now))
        return std::nullopt;
    return placement{service.primary, std::nullopt};
}

} // namespace

std::optional<placement> place(const service_view& service, const work& work,
                               const session& session,
                               const std::string& own_domain,
                               core::boot_instant now)
{
    auto at_primary = place_at_primary(service, work, now);
    if (work.needs_primary)
        return at_primary;
    const auto point = required_point(service, work, session);
    if (!point)
        return at_primary;
    std::optional<placement> best;
    double lowest_cost_ms = 0;
    for (const auto& [id, pool] : service.upstreams)
    {
        const bool is_primary = id == service.primary;
        if (is_primary && !at_primary)
            continue;
        if (pool.registration().leaving || !is_usable(pool, work, now))
            continue;
        if (!is_primary && pool.is_behind(*point, now))
            continue;
        auto cost_ms =
            pool.expected_ms() * static_cast<double>(pool.busy_count() + 1) +
            domain_cost_ms(pool, own_domain);
        if (is_primary)
            cost_ms += primary_cost_ms;
        else if (pool.known_point() < *point)
            cost_ms += behind_cost_ms;
        if (best && cost_ms >= lowest_cost_ms)
            continue;
        lowest_cost_ms = cost_ms;
        best = placement{id, is_primary ? std::nullopt : point};
    }
    return best;
}

} // namespace plantainward::pooling
