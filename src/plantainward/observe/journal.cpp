#include <plantainward/observe/journal.hpp>

#include <utility>

namespace plantainward::observe
{

std::uint64_t journal::record(event what)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(
        {++m_last_number, std::chrono::system_clock::now(), std::move(what)});
    if (m_entries.size() > m_capacity)
        m_entries.pop_front();
    return m_last_number;
}

std::vector<journal_entry> journal::find(std::string_view text) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<journal_entry> found;
    for (const auto& entry : m_entries)
    {
        const auto& what = entry.details;
        const bool matches = text.empty() || what.trace == text ||
                             what.subject == text ||
                             event_names[what.kind] == text;
        if (!matches)
            continue;
        found.push_back(entry);
    }
    return found;
}

} // namespace plantainward::observe
