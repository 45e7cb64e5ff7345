#include <plantainward/pooling/placement.hpp>

#include <plantainward/pooling/balancer.hpp>
#include <plantainward/pooling/connection_cost.hpp>

#include <algorithm>
#include <vector>

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

// The same where few hosts hold connections, for each statement in flight at
// the primary: reads avoid it while writes run or queue there, and may use it
// while it is idle.
constexpr double primary_load_cost_ms = 15;

/// The log point that a replica must have for a read; empty when no watermark
/// is recent enough, or the point of the session's own commit is not known.
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
    if (work.route.consistency != routes::read_consistency::session)
        return watermark->point;
    if (session.commits.may_lack(work.route.service, watermark->since))
        return std::nullopt;
    const auto commit = session.commits.last_at(work.route.service);
    if (!commit || commit->since < watermark->since)
        return watermark->point;
    // A watermark of a later term, taken after the session's commit was
    // acknowledged, either includes the commit or proves that it was rolled
    // back.
    const auto newest = service.watermarks.newest();
    if (newest && newest->since >= commit->since &&
        newest->point.term > commit->point.term)
        return newest->point;
    return std::max(watermark->point, commit->point);
}

bool is_usable(const upstream_pool& pool, const work& work,
               const session& session, core::boot_instant now)
{
    return !work.excluded.contains(pool.registration().id) &&
           !pool.is_withdrawn(now) && !pool.is_suspected(now) &&
           pool.has_capacity(session.workspace, now);
}

double domain_cost_ms(const upstream_pool& pool, const std::string& own_domain)
{
    return pool.registration().failure_domain == own_domain
               ? 0
               : other_domain_cost_ms;
}

std::optional<placement> place_at_primary(const service_view& service,
                                          const work& work,
                                          const session& session,
                                          core::boot_instant now)
{
    if (!service.has_primary(now))
        return std::nullopt;
    const auto found = service.upstreams.find(service.primary);
    if (found == service.upstreams.end() || found->second.refuses_writes(now) ||
        !is_usable(found->second, work, session, now))
        return std::nullopt;
    return placement{service.primary, std::nullopt};
}

// Whether a database may run a read that needs this log point.
bool may_run_read(const upstream_pool& pool, const work& work,
                  const session& session, const upstream::log_point& point,
                  bool is_primary, core::boot_instant now)
{
    return !pool.registration().leaving &&
           is_usable(pool, work, session, now) &&
           (is_primary || !pool.is_behind(point, now));
}

double added_cost_ms(const upstream_pool& pool,
                     const upstream::log_point& point, bool is_primary,
                     const std::string& own_domain)
{
    const auto cost_ms = domain_cost_ms(pool, own_domain);
    if (is_primary)
        return cost_ms + primary_cost_ms;
    return pool.known_point() < point ? cost_ms + behind_cost_ms : cost_ms;
}

read_candidate candidate_of(const upstream_pool& pool, const session& session,
                            const std::string& own_domain,
                            core::boot_instant now)
{
    read_candidate candidate;
    candidate.observed_ms = pool.load().observed_ms(now);
    candidate.success_share = pool.load().success_share();
    candidate.own_in_flight = pool.busy_count();
    candidate.reported_in_flight =
        pool.reports().mean_in_flight(now).value_or(1);
    candidate.extra_ms =
        domain_cost_ms(pool, own_domain) + connection_cost_ms(pool, session);
    candidate.is_in_own_domain =
        pool.registration().failure_domain == own_domain;
    candidate.start_share = pool.load().start_share(now);
    return candidate;
}

/// A number that differs between statements and is the same on every run.
std::uint64_t number_of(const work& work, const session& session)
{
    return session.id * 1'000'003 + work.attempts +
           static_cast<std::uint64_t>(work.received.time_since_epoch().count());
}

std::optional<placement>
place_shared_read(const service_view& service, const work& work,
                  const session& session, const upstream::log_point& point,
                  const std::string& own_domain, core::boot_instant now)
{
    std::vector<read_candidate> candidates;
    std::vector<std::string> ids;
    for (const auto& [id, pool] : service.upstreams)
    {
        const bool is_primary = id == service.primary;
        if ((is_primary && !service.has_primary(now)) ||
            !may_run_read(pool, work, session, point, is_primary, now) ||
            service.ejected.is_ejected(id, now))
            continue;
        auto candidate = candidate_of(pool, session, own_domain, now);
        if (is_primary)
            candidate.extra_ms +=
                primary_load_cost_ms * (static_cast<double>(pool.busy_count()) +
                                        candidate.reported_in_flight);
        else if (pool.known_point() < point)
            candidate.extra_ms += behind_cost_ms;
        candidates.push_back(candidate);
        ids.push_back(id);
    }
    const auto chosen = balancer::choose(candidates, number_of(work, session));
    if (!chosen)
        return std::nullopt;
    const auto& id = ids[*chosen];
    if (id == service.primary)
        return placement{id, std::nullopt};
    return placement{id, point};
}

} // namespace

std::optional<placement> place(const service_view& service, const work& work,
                               const session& session,
                               const std::string& own_domain,
                               core::boot_instant now)
{
    auto at_primary = place_at_primary(service, work, session, now);
    if (work.needs_primary)
        return at_primary;
    const auto point = required_point(service, work, session);
    if (!point)
        return at_primary;
    if (service.plan.is_shared)
        return place_shared_read(service, work, session, *point, own_domain,
                                 now);
    std::optional<placement> best;
    double lowest_cost_ms = 0;
    for (const auto& [id, pool] : service.upstreams)
    {
        const bool is_primary = id == service.primary;
        if (is_primary && !at_primary)
            continue;
        if (!may_run_read(pool, work, session, *point, is_primary, now))
            continue;
        const auto cost_ms =
            pool.expected_ms() * static_cast<double>(pool.busy_count() + 1) +
            added_cost_ms(pool, *point, is_primary, own_domain) +
            connection_cost_ms(pool, session);
        if (best && cost_ms >= lowest_cost_ms)
            continue;
        lowest_cost_ms = cost_ms;
        best = placement{id, is_primary ? std::nullopt : point};
    }
    return best;
}

} // namespace plantainward::pooling
