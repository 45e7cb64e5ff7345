#pragma once

#include <algorithm>

namespace plantainward::coordinator
{

/// Limits retries to a fraction of the successful requests, with a reserve for
/// bursts.
class retry_budget
{
public:
    /// `share` is the number of retries that each success adds; `reserve` is
    /// the largest number of retries that is kept.
    constexpr retry_budget(double share, double reserve)
        : m_share(share), m_reserve(reserve), m_available(reserve)
    {
    }

    /// Called when a request has succeeded.
    void on_success()
    {
        m_available = std::min(m_reserve, m_available + m_share);
    }

    /// Spends one retry; false when the budget is used up.
    bool try_spend()
    {
        if (m_available < 1 - rounding)
            return false;
        m_available -= 1;
        return true;
    }

private:
    /// Sums of fractions such as 0.2 may fall just short of a whole retry.
    static constexpr double rounding = 1e-6;

    double m_share;
    double m_reserve;
    double m_available;
};

} // namespace plantainward::coordinator
