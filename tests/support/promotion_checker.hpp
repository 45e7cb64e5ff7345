#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace support
{

/// A promotion call that has reached the platform.
struct observed_promotion
{
    std::string service;
    std::string host;
    std::uint64_t token{0};
    std::string upstream;
    plantainward::core::boot_instant sent{};
    plantainward::core::boot_instant arrived{};
};

std::string to_string(const observed_promotion& promotion);

/// Checks promotions on behalf of a platform that does not check fencing
/// tokens.
///
/// It is passed every call at its arrival and every disturbance, and returns
/// one line for each violated condition.
class promotion_checker
{
public:
    using instant = plantainward::core::boot_instant;
    using millis = plantainward::core::millis;

    /// Two hosts that promote for the same service within this time take turns,
    /// which counts as a fault. The platform's own limit is not known; this one
    /// is long.
    static constexpr millis turn_span{10'000};
    /// A host that was disturbed within this time before a call may take turns;
    /// longer than the time after which a claim of a silent writer is taken
    /// over.
    static constexpr millis undisturbed_span{5000};

    /// Starts a disturbance of a host or of the store; `reason` identifies it.
    void begin_disturbance(const std::string& name, const std::string& reason);
    void end_disturbance(const std::string& name, const std::string& reason,
                         instant now);
    /// Adds a disturbance that ends at a known instant.
    void disturb_until(const std::string& name, instant end);
    /// Names the store: while it is disturbed, all hosts may take turns.
    void set_store(std::string name) { m_store = std::move(name); }

    /// Checks a call at its arrival; returns one line for each fault.
    std::vector<std::string> on_arrival(const observed_promotion& promotion);

    /// Notes a write that was committed while `leader` was the platform's
    /// primary.
    void on_commit(const std::string& value, const std::string& database,
                   const std::string& leader, instant now);
    /// Checks a write that was acknowledged to a caller; returns a fault if it
    /// was committed at a replaced primary.
    std::optional<std::string> on_acknowledged(const std::string& value,
                                               const std::string& host) const;

    const std::vector<observed_promotion>& calls() const { return m_calls; }
    /// All calls, one line each.
    std::string trace() const;

    /// Whether a host or the store had no disturbance since an instant.
    bool was_undisturbed(const std::string& name, instant since) const;

private:
    bool take_turns(const observed_promotion& first,
                    const observed_promotion& second) const;

    std::string m_store;
    std::map<std::string, std::set<std::string>> m_open_disturbances;
    std::map<std::string, instant> m_disturbed_until;
    std::vector<observed_promotion> m_calls;
    /// Descriptions of the writes at replaced primaries, by value.
    std::map<std::string, std::string> m_late_commits;
};

} // namespace support
