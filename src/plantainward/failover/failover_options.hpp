#pragma once

#include <plantainward/core/time.hpp>

#include <string>

namespace plantainward::failover
{

/// Intervals and time-outs of failure detection and promotion.
struct failover_options
{
    /// Name and incarnation of this proxy; unique among claimants.
    std::string claimant;
    /// Time between probes of a database.
    core::millis probe_interval{100};
    /// Time until a probe is repeated after the first refused connection.
    core::millis refused_retry_interval{15};
    core::millis probe_timeout{300};
    /// Time without an answer after which a database counts as failed.
    core::millis silence_timeout{400};
    /// Time without contact between a primary and all its replicas after which
    /// the primary counts as cut off, although it answers this host.
    core::millis isolation_timeout{400};
    /// Time that a group may be without a primary before one is promoted.
    core::millis vacancy_timeout{150};
    /// Age from which on the opinion of another watcher no longer counts.
    core::millis max_opinion_age{500};
    /// Delay of a claim for each rank below the first watcher, so that watchers
    /// don't compete.
    core::millis rank_backoff{200};
    /// Time to wait for further grants once a majority has granted: a later one
    /// may come from a database with a higher log.
    core::millis late_grant_timeout{20};
    core::millis claim_timeout{600};
    /// Time between a primary being marked as leaving and the handover of its
    /// role.
    core::millis handover_delay{500};
    /// Gap between two ticks from which on a watcher concludes that it was
    /// paused itself, and discards its evidence against the databases.
    core::millis max_own_pause{150};
};

} // namespace plantainward::failover
