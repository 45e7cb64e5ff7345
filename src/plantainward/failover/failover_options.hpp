#pragma once

#include <plantainward/core/time.hpp>

#include <string>

namespace plantainward::failover
{

/// Timing of detection and promotion.
struct failover_options
{
    /// Name of this proxy and its incarnation, unique among claimants.
    std::string claimant;
    /// Between probes of a database.
    core::millis probe_interval{100};
    /// Before a refused probe is repeated.
    core::millis refused_retry{15};
    core::millis probe_timeout{300};
    /// Silence after which a database counts as gone.
    core::millis silence_timeout{400};
    /// Time without contact between a live primary and every replica after
    /// which the primary counts as cut off.
    core::millis isolation{400};
    /// Time without a primary before one is elected.
    core::millis vacancy{150};
    /// Age at which another watcher's opinion is forgotten.
    core::millis opinion_age{500};
    /// Wait before a claim, for each place behind the first watcher.
    core::millis rank_backoff{200};
    /// Wait for the last grants after a majority has granted.
    core::millis grant_linger{20};
    core::millis claim_timeout{600};
    /// Age of a leaving mark at which the primary role is handed over.
    core::millis handover_after{500};
    /// Lateness of its own loop at which a watcher distrusts its view.
    core::millis own_lateness{150};
};

} // namespace plantainward::failover
