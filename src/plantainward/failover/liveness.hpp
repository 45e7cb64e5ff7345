#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/failover/failover_options.hpp>
#include <plantainward/upstream/control_order.hpp>

#include <cstdint>

namespace plantainward::failover
{

/// State of a database, as its probes show it.
enum class verdict : std::uint8_t
{
    alive,
    /// It refused or reset the connections of at least two probes since its
    /// last answer.
    refusing,
    /// No probe was answered within `failover_options::silence_timeout`.
    silent
};

/// Detects by its probes whether a database is alive.
class liveness
{
public:
    explicit liveness(core::instant now) : m_last_answer(now) {}

    /// Whether a probe is due.
    bool is_probe_due(core::instant now, const failover_options& options) const;

    /// Called when a probe was sent.
    void on_probe_sent(core::instant now);

    /// Called when a probe has ended.
    void on_probe_ended(upstream::control_outcome end, core::instant now);

    /// Makes the next probe due at once, or as soon as the one in flight ends.
    void request_probe() { m_probe_requested = true; }

    /// Discards all evidence against the database.
    void reset_evidence(core::instant now);

    /// The state that the probes until now show.
    verdict evaluate(core::instant now, const failover_options& options) const;

private:
    static constexpr int refusals_needed = 2;

    core::instant m_last_answer;
    core::instant m_last_sent;
    bool m_probe_in_flight{false};
    bool m_probe_requested{true};
    int m_refusals{0};
};

} // namespace plantainward::failover
