#include <plantainward/pooling/load_reports.hpp>

#include <cmath>

namespace plantainward::pooling
{

namespace
{

// Age at which a report counts half.
constexpr double half_life_ms = 1000;

// Weight of a host's latest report against its earlier ones. A report shows
// statements that have ended when it arrives, so only an average over several
// reports says something about the present.
constexpr double report_weight = 0.5;

// A host that has not reported for this time has left or is cut off.
constexpr core::millis max_age{3000};

} // namespace

void load_reports::add(const std::string& host, std::size_t in_flight,
                       core::boot_instant at)
{
    const auto value = static_cast<double>(in_flight);
    const auto [found, is_new] =
        m_reports.try_emplace(host, host_report{value, at});
    auto& last = found->second;
    if (is_new || at <= last.at)
        return;
    const bool is_expired = at - last.at > max_age;
    last.in_flight +=
        (is_expired ? 1 : report_weight) * (value - last.in_flight);
    last.at = at;
}

std::optional<double> load_reports::mean_in_flight(core::boot_instant now) const
{
    double sum = 0;
    double weights = 0;
    for (const auto& [host, report] : m_reports)
    {
        if (now - report.at > max_age)
            continue;
        const auto age_ms =
            std::chrono::duration<double, std::milli>(now - report.at).count();
        const auto weight = std::exp2(-age_ms / half_life_ms);
        sum += report.in_flight * weight;
        weights += weight;
    }
    if (weights == 0)
        return std::nullopt;
    return sum / weights;
}

std::optional<core::millis>
load_reports::oldest_age(core::boot_instant now) const
{
    std::optional<core::millis> oldest;
    for (const auto& [host, report] : m_reports)
    {
        const auto age =
            std::chrono::duration_cast<core::millis>(now - report.at);
        if (age <= max_age && (!oldest || age > *oldest))
            oldest = age;
    }
    return oldest;
}

} // namespace plantainward::pooling
