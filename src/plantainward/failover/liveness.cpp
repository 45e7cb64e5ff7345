#include <plantainward/failover/liveness.hpp>

namespace plantainward::failover
{

bool liveness::is_probe_due(core::instant now,
                            const failover_options& options) const
{
    if (m_probe_in_flight)
        return false;
    if (m_probe_requested)
        return true;
    const auto interval = m_refusals == 1 ? options.refused_retry_interval
                                          : options.probe_interval;
    return now - m_last_sent >= interval;
}

void liveness::on_probe_sent(core::instant now)
{
    m_last_sent = now;
    m_probe_in_flight = true;
    m_probe_requested = false;
}

void liveness::on_probe_ended(upstream::control_outcome end, core::instant now)
{
    m_probe_in_flight = false;
    if (end == upstream::control_outcome::unreachable)
    {
        ++m_refusals;
        return;
    }
    if (end == upstream::control_outcome::timed_out)
        return;
    m_refusals = 0;
    m_last_answer = now;
}

void liveness::reset_evidence(core::instant now)
{
    m_last_answer = now;
    m_refusals = 0;
}

verdict liveness::evaluate(core::instant now,
                           const failover_options& options) const
{
    if (m_refusals >= refusals_needed)
        return verdict::refusing;
    if (now - m_last_answer >= options.silence_timeout)
        return verdict::silent;
    return verdict::alive;
}

} // namespace plantainward::failover
