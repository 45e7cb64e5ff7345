#pragma once

#include <plantainward/core/error_kind.hpp>
#include <plantainward/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace support
{

namespace core = plantainward::core;

/// One request to a counter, as its caller saw it.
struct counter_event
{
    enum class kind : std::uint8_t
    {
        add,
        latest_read,
        session_read,
        aged_read
    };

    kind operation{kind::add};
    int session{0};
    std::string counter;
    /// Idempotency id of an add; empty when it has none.
    std::string id;
    core::instant started;
    core::instant answered;
    /// Empty when the caller got no answer.
    std::optional<core::effect> ran;
    /// Value after the add, or the value read.
    std::int64_t value{0};
    core::millis max_age{0};
};

/// Checks the promises on what the callers of a run saw.
///
/// Counters only grow, so a smaller value than one that must be visible shows
/// a stale read or a lost write.
class history_checker
{
public:
    void record(const counter_event& one) { m_events.push_back(one); }

    /// The faults found; `applied` counts, for each add by its label, how often
    /// the surviving log ran it, and `finals` gives each counter's last value.
    std::vector<std::string>
    check(const std::map<std::string, int>& applied,
          const std::map<std::string, std::int64_t>& finals) const;

    std::size_t size() const { return m_events.size(); }
    std::size_t done() const;

private:
    void check_applied(const std::map<std::string, int>& applied,
                       std::vector<std::string>& faults) const;
    void check_visible(std::vector<std::string>& faults) const;
    void check_finals(const std::map<std::string, std::int64_t>& finals,
                      std::vector<std::string>& faults) const;

    std::vector<counter_event> m_events;
};

} // namespace support
