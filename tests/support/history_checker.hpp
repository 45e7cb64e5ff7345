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

/// One request to a counter, as its caller observed it.
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
    /// Whether the request ran, according to the reply; empty without a reply.
    std::optional<core::effect> ran;
    /// The value that the add or the read returned.
    std::int64_t value{0};
    core::millis max_age{0};
};

/// Checks the consistency guarantees against what the callers of a run
/// observed.
///
/// Counters only grow, so a value below one that must be visible reveals a
/// stale read or a lost write.
class history_checker
{
public:
    void record(const counter_event& event) { m_events.push_back(event); }

    /// Returns one line for each violation. `applied` maps the id of each add
    /// to the number of times that it stands in the surviving log, `finals`
    /// each counter to its last value.
    std::vector<std::string>
    check(const std::map<std::string, int>& applied,
          const std::map<std::string, std::int64_t>& finals) const;

    std::size_t size() const { return m_events.size(); }
    /// Number of requests that were answered with success.
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
