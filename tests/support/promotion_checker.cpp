#include <support/promotion_checker.hpp>

#include <algorithm>
#include <utility>

namespace support
{

namespace
{

std::string in_ms(plantainward::core::boot_instant instant)
{
    return std::to_string(
        std::chrono::duration_cast<plantainward::core::millis>(
            instant.time_since_epoch())
            .count());
}

} // namespace

std::string to_string(const observed_promotion& promotion)
{
    return promotion.host + " promotes " + promotion.upstream + " of " +
           promotion.service + ", token " + std::to_string(promotion.token) +
           ", sent " + in_ms(promotion.sent) + ", arrived " +
           in_ms(promotion.arrived);
}

void promotion_checker::begin_disturbance(const std::string& name,
                                          const std::string& reason)
{
    m_open_disturbances[name].insert(reason);
}

void promotion_checker::end_disturbance(const std::string& name,
                                        const std::string& reason, instant now)
{
    if (m_open_disturbances[name].erase(reason) > 0)
        disturb_until(name, now);
}

void promotion_checker::disturb_until(const std::string& name, instant end)
{
    auto& until = m_disturbed_until[name];
    until = std::max(until, end);
}

bool promotion_checker::was_undisturbed(const std::string& name,
                                        instant since) const
{
    const auto open = m_open_disturbances.find(name);
    if (open != m_open_disturbances.end() && !open->second.empty())
        return false;
    const auto until = m_disturbed_until.find(name);
    return until == m_disturbed_until.end() || until->second < since;
}

bool promotion_checker::take_turns(const observed_promotion& first,
                                   const observed_promotion& second) const
{
    const auto since = first.arrived - undisturbed_span;
    return second.arrived - first.arrived < turn_span &&
           was_undisturbed(first.host, since) &&
           was_undisturbed(second.host, since) &&
           was_undisturbed(m_store, since);
}

std::vector<std::string>
promotion_checker::on_arrival(const observed_promotion& promotion)
{
    std::vector<std::string> faults;
    const auto add_fault = [&](const char* problem,
                               const observed_promotion& earlier) {
        faults.push_back(std::string(problem) + ": " + to_string(earlier) +
                         "; then " + to_string(promotion));
    };
    const observed_promotion* highest = nullptr;
    const observed_promotion* last = nullptr;
    for (const auto& earlier : m_calls)
    {
        if (earlier.token == promotion.token && earlier.host != promotion.host)
            add_fault("same token by two hosts", earlier);
        if (earlier.service != promotion.service)
            continue;
        if (highest == nullptr || earlier.token >= highest->token)
            highest = &earlier;
        if (earlier.host != promotion.host)
            last = &earlier;
    }
    if (promotion.token <= (highest == nullptr ? 0 : highest->token))
        add_fault("token out of order",
                  highest == nullptr ? promotion : *highest);
    if (last != nullptr && take_turns(*last, promotion))
        add_fault("undisturbed hosts take turns", *last);
    m_calls.push_back(promotion);
    return faults;
}

void promotion_checker::on_commit(const std::string& value,
                                  const std::string& database,
                                  const std::string& leader, instant now)
{
    if (database != leader)
        m_late_commits[value] =
            database + " at " + in_ms(now) + ", replaced by " + leader;
}

std::optional<std::string>
promotion_checker::on_acknowledged(const std::string& value,
                                   const std::string& host) const
{
    const auto found = m_late_commits.find(value);
    if (found == m_late_commits.end())
        return std::nullopt;
    return "a write at a replaced primary was acknowledged through " + host +
           ": " + value + " ran at " + found->second;
}

std::string promotion_checker::trace() const
{
    std::string lines;
    for (const auto& call : m_calls)
        lines += "  " + to_string(call) + '\n';
    return lines;
}

} // namespace support
