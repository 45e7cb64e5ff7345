#include <support/history_checker.hpp>

#include <algorithm>
#include <set>

namespace support
{

using core::effect;

namespace
{

bool is_done(const counter_event& event)
{
    return event.ran == effect::done;
}

// Whether a read must reflect an earlier event that was answered.
bool must_show(const counter_event& read, const counter_event& earlier)
{
    using kind = counter_event::kind;
    if (earlier.answered > read.started)
        return false;
    if (read.session == earlier.session)
        return true;
    if (read.operation == kind::latest_read || read.operation == kind::add)
        return true;
    return read.operation == kind::aged_read &&
           earlier.answered <= read.answered - read.max_age;
}

const char* name_of(counter_event::kind operation)
{
    switch (operation)
    {
    case counter_event::kind::add:
        return "add";
    case counter_event::kind::latest_read:
        return "latest read";
    case counter_event::kind::session_read:
        return "session read";
    case counter_event::kind::aged_read:
        return "aged read";
    }
    return "";
}

} // namespace

std::size_t history_checker::done() const
{
    return static_cast<std::size_t>(
        std::count_if(m_events.begin(), m_events.end(), is_done));
}

void history_checker::check_applied(const std::map<std::string, int>& applied,
                                    std::vector<std::string>& faults) const
{
    std::map<std::string, std::set<effect>> answers;
    for (const auto& event : m_events)
        if (event.operation == counter_event::kind::add && event.ran)
            answers[event.id].insert(*event.ran);
    for (const auto& [id, seen] : answers)
    {
        const auto found = applied.find(id);
        const int times = found == applied.end() ? 0 : found->second;
        if (times > 1)
            faults.push_back(id + " ran " + std::to_string(times) + " times");
        if (seen.contains(effect::done) && times == 0)
            faults.push_back(id + " was acknowledged but is lost");
        if (seen == std::set{effect::not_run} && times > 0)
            faults.push_back(id + " was reported as not run but ran");
    }
}

void history_checker::check_visible(std::vector<std::string>& faults) const
{
    std::map<std::string, std::vector<const counter_event*>> by_counter;
    for (const auto& event : m_events)
        if (is_done(event))
            by_counter[event.counter].push_back(&event);
    for (const auto& [counter, events] : by_counter)
        for (const auto* later : events)
            for (const auto* earlier : events)
            {
                if (earlier == later || earlier->value <= later->value ||
                    !must_show(*later, *earlier))
                    continue;
                // A replayed add returns the value of its first run.
                if (later->operation == counter_event::kind::add)
                    continue;
                faults.push_back(
                    counter + ": " + name_of(later->operation) +
                    " of session " + std::to_string(later->session) +
                    " shows " + std::to_string(later->value) + " after " +
                    std::to_string(earlier->value) + " was seen by session " +
                    std::to_string(earlier->session));
            }
}

void history_checker::check_finals(
    const std::map<std::string, std::int64_t>& finals,
    std::vector<std::string>& faults) const
{
    for (const auto& event : m_events)
    {
        if (!is_done(event))
            continue;
        const auto found = finals.find(event.counter);
        const auto last = found == finals.end() ? 0 : found->second;
        if (event.value > last)
            faults.push_back(event.counter + ": " + name_of(event.operation) +
                             " returned " + std::to_string(event.value) +
                             " and the last value is " + std::to_string(last));
    }
    std::map<std::pair<std::string, std::int64_t>, std::string> owners;
    for (const auto& event : m_events)
    {
        if (!is_done(event) || event.operation != counter_event::kind::add)
            continue;
        const auto [owner, is_new] =
            owners.try_emplace({event.counter, event.value}, event.id);
        if (!is_new && owner->second != event.id)
            faults.push_back(event.id + " and " + owner->second +
                             " got the same value");
    }
}

std::vector<std::string>
history_checker::check(const std::map<std::string, int>& applied,
                       const std::map<std::string, std::int64_t>& finals) const
{
    std::vector<std::string> faults;
    check_applied(applied, faults);
    check_visible(faults);
    check_finals(finals, faults);
    return faults;
}

} // namespace support
