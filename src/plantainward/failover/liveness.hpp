#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/failover/failover_options.hpp>
#include <plantainward/upstream/control_order.hpp>

#include <cstdint>

namespace plantainward::failover
{

/// Verdict on one database.
enum class verdict : std::uint8_t
{
    alive,
    /// It refuses or resets connections.
    refusing,
    /// It has not answered for too long.
    silent
};

/// Judges one database by the answers to its probes.
class liveness
{
public:
    explicit liveness(core::instant now) : m_last_answer(now) {}

    /// Whether a probe is due.
    bool is_probe_due(core::instant now, const failover_options& options) const;

    /// A probe was sent.
    void sent(core::instant now);

    /// A probe has ended.
    void ended(upstream::control_outcome end, core::instant now);

    /// Makes the next probe due at once.
    void hurry() { m_hurry = true; }

    /// Forgets all evidence against the database.
    void forgive(core::instant now);

    verdict judge(core::instant now, const failover_options& options) const;

private:
    static constexpr int refusals_needed = 2;

    core::instant m_last_answer;
    core::instant m_last_sent;
    bool m_under_way{false};
    bool m_hurry{true};
    int m_refusals{0};
};

} // namespace plantainward::failover
