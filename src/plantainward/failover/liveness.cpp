#include <plantainward/failover/liveness.hpp>

namespace plantainward::failover
{

bool liveness::is_probe_due(core::instant now,
                            const failover_options& options) const
{
    if (m_under_way)
        return false;
    if (m_hurry)
        return true;
    const auto interval =
        m_refusals == 1 ? options.refused_retry : options.probe_interval;
    return now - m_last_sent >= interval;
}

void liveness::sent(core::instant now)
{
    m_last_sent = now;
    m_under_way = true;
    m_hurry = false;
}

void liveness::ended(upstream::control_outcome end, core::instant now)
{
    m_under_way = false;
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

void liveness::forgive(core::instant now)
{
    m_last_answer = now;
    m_refusals = 0;
}

verdict liveness::judge(core::instant now,
                        const failover_options& options) const
{
    if (m_refusals >= refusals_needed)
        return verdict::refusing;
    if (now - m_last_answer >= options.silence_timeout)
        return verdict::silent;
    return verdict::alive;
}

} // namespace plantainward::failover
