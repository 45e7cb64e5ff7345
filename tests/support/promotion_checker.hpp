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

/// A promotion call as the platform sees it.
struct promotion_seen
{
    std::string service;
    std::string host;
    std::uint64_t token{0};
    std::string upstream;
    plantainward::core::boot_instant sent{};
    plantainward::core::boot_instant arrived{};
};

std::string to_string(const promotion_seen& one);

/// Judges promotions as a platform without fencing checks does.
///
/// Takes every call at its arrival, and who was disturbed when; returns one
/// line for each broken condition.
class promotion_checker
{
public:
    using instant = plantainward::core::boot_instant;
    using millis = plantainward::core::millis;

    /// Two hosts that promote for a service within this time take turns. The
    /// platform's own span is not known; this one is long.
    static constexpr millis turn_span{10'000};
    /// What was disturbed within this time is not judged for turns; longer
    /// than a claim of a silent writer is left alone.
    static constexpr millis calm_span{5000};

    /// A disturbance of a host or of the store; `why` tells them apart.
    void begin_disturbance(const std::string& name, const std::string& why);
    void end_disturbance(const std::string& name, const std::string& why,
                         instant now);
    /// A disturbance whose end is known.
    void disturb_until(const std::string& name, instant end);
    /// Without this component nobody is judged for turns.
    void set_store(std::string name) { m_store = std::move(name); }

    std::vector<std::string> on_arrival(const promotion_seen& one);

    /// A write committed while `leader` was the platform's last choice.
    void on_commit(const std::string& value, const std::string& database,
                   const std::string& leader, instant now);
    /// A caller was told that the write is done.
    std::optional<std::string> on_acknowledged(const std::string& value,
                                               const std::string& host) const;

    const std::vector<promotion_seen>& calls() const { return m_calls; }
    /// All calls, one line each.
    std::string trace() const;

private:
    bool was_calm(const std::string& name, instant since) const;
    bool take_turns(const promotion_seen& first,
                    const promotion_seen& second) const;

    std::string m_store;
    std::map<std::string, std::set<std::string>> m_open;
    std::map<std::string, instant> m_disturbed_until;
    std::vector<promotion_seen> m_calls;
    /// Where and when a value was written at a replaced primary.
    std::map<std::string, std::string> m_late_commits;
};

} // namespace support
