#include <support/promotion_checker.hpp>

#include <algorithm>
#include <utility>

namespace support
{

namespace
{

std::string in_ms(plantainward::core::boot_instant when)
{
    return std::to_string(
        std::chrono::duration_cast<plantainward::core::millis>(
            when.time_since_epoch())
            .count());
}

} // namespace

std::string to_string(const promotion_seen& one)
{
    return one.host + " promotes " + one.upstream + " of " + one.service +
           ", token " + std::to_string(one.token) + ", sent " +
           in_ms(one.sent) + ", arrived " + in_ms(one.arrived);
}

void promotion_checker::begin_disturbance(const std::string& name,
                                          const std::string& why)
{
    m_open[name].insert(why);
}

void promotion_checker::end_disturbance(const std::string& name,
                                        const std::string& why, instant now)
{
    if (m_open[name].erase(why) > 0)
        disturb_until(name, now);
}

void promotion_checker::disturb_until(const std::string& name, instant end)
{
    auto& until = m_disturbed_until[name];
    until = std::max(until, end);
}

bool promotion_checker::was_calm(const std::string& name, instant since) const
{
    const auto open = m_open.find(name);
    if (open != m_open.end() && !open->second.empty())
        return false;
    const auto until = m_disturbed_until.find(name);
    return until == m_disturbed_until.end() || until->second < since;
}

bool promotion_checker::take_turns(const promotion_seen& first,
                                   const promotion_seen& second) const
{
    const auto since = first.arrived - calm_span;
    return second.arrived - first.arrived < turn_span &&
           was_calm(first.host, since) && was_calm(second.host, since) &&
           was_calm(m_store, since);
}

std::vector<std::string>
promotion_checker::on_arrival(const promotion_seen& one)
{
    std::vector<std::string> broken;
    const auto tell = [&](const char* what, const promotion_seen& earlier) {
        broken.push_back(std::string(what) + ": " + to_string(earlier) +
                         "; then " + to_string(one));
    };
    const promotion_seen* highest = nullptr;
    const promotion_seen* last = nullptr;
    for (const auto& earlier : m_calls)
    {
        if (earlier.token == one.token && earlier.host != one.host)
            tell("same token by two hosts", earlier);
        if (earlier.service != one.service)
            continue;
        if (highest == nullptr || earlier.token >= highest->token)
            highest = &earlier;
        if (earlier.host != one.host)
            last = &earlier;
    }
    if (one.token <= (highest == nullptr ? 0 : highest->token))
        tell("token out of order", highest == nullptr ? one : *highest);
    if (last != nullptr && take_turns(*last, one))
        tell("undisturbed hosts take turns", *last);
    m_calls.push_back(one);
    return broken;
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
    for (const auto& one : m_calls)
        lines += "  " + to_string(one) + '\n';
    return lines;
}

} // namespace support
