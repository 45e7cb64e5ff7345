#include "checker.hpp"

#include "statement_text.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace soak
{

namespace
{

constexpr std::array<std::string_view, 6> promises{
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

std::string time_text(instant when)
{
    return when == never ? "-" : std::to_string(when / 1000) + " ms";
}

std::string values_text(const std::map<std::string, std::string>& values)
{
    std::string text;
    for (const auto& [name, value] : values)
        text.append(" ").append(name).append("=").append(value);
    return text.empty() ? " none" : text;
}

std::string run_text(const run& item)
{
    return time_text(item.arrived) + " " + item.database + " (" + item.service +
           ") connection " + std::to_string(item.connection) + " of " +
           item.sender + " transaction " + std::to_string(item.transaction) +
           ": " + item.id + " " +
           (item.after.empty() ? "" : "AFTER " + item.after + " ") + item.text +
           ", started " + time_text(item.started) + ", ended " +
           time_text(item.ended) + " " +
           (item.code.empty() ? "without error" : item.code) + ", values" +
           values_text(item.values);
}

} // namespace

void checker::check_effects()
{
    std::unordered_map<std::string, std::vector<const commit*>> effects;
    for (const auto& item : m_history.commits)
        for (const auto& id : item.writes)
            effects[id].push_back(&item);
    for (const auto& [id, commits] : effects)
    {
        const auto asked = m_requests.find(id);
        if (commits.size() > 1 && asked != m_requests.end())
        {
            const auto kept =
                std::count_if(commits.begin(), commits.end(),
                              [](const commit* item) { return item->is_kept; });
            report(kept > 1 ? "TWICE"
                            : "TWICE (once in a log that was dropped)",
                   "write " + id + " took effect " +
                       std::to_string(commits.size()) +
                       " times: " + transaction_story(*asked->second));
        }
        if (asked != m_requests.end())
            check_promise(*asked->second);
    }
}

// The write of this request was committed.
void checker::check_promise(const request& asked)
{
    for (const auto* other : m_attempts.at(asked.attempt))
    {
        const bool is_promise = std::find(promises.begin(), promises.end(),
                                          other->code) != promises.end();
        if (other->answered == never || !is_promise ||
            other->transaction != asked.transaction)
            continue;
        return report("REFUSED", "write " + asked.id +
                                     " is committed, its caller got " +
                                     other->code + " for " + other->id + ": " +
                                     transaction_story(asked));
    }
}

std::string checker::story(const std::string& what, const run& item,
                           const request* asked) const
{
    std::string text = what + "\n      " + run_text(item);
    if (asked != nullptr)
        text += transaction_story(*asked);
    const auto neighbours = m_pinned.find(item.transaction);
    if (item.transaction == 0 || neighbours == m_pinned.end())
        return text;
    text += "\n      all of this transaction of the database:";
    for (const auto* other : neighbours->second)
        text += "\n        " + run_text(*other);
    return text;
}

std::string checker::transaction_story(const request& asked) const
{
    std::string text = "\n      session " + std::to_string(asked.session) +
                       " at host " + std::to_string(asked.host) +
                       ", database " + asked.database + ", transaction " +
                       std::to_string(asked.transaction) + ", values" +
                       values_text(asked.values);
    const auto& requests = m_attempts.at(asked.attempt);
    for (const auto* other : requests)
    {
        if (other->transaction != asked.transaction)
            continue;
        text += "\n        " + time_text(other->sent) + " sends " + other->id +
                " " + other->text + "; " + time_text(other->answered) +
                " gets " +
                (other->answered == never ? "nothing"
                 : other->code.empty()    ? "DONE " + other->signature
                                          : other->code);
        const auto runs = m_runs.find(other->id);
        if (runs == m_runs.end())
            continue;
        for (const auto* item : runs->second)
            text += "\n          " + run_text(*item);
    }
    return text;
}

} // namespace soak
