#include <plantainward/observe/journal.hpp>

#include <utility>

namespace plantainward::observe
{

std::uint64_t journal::record(event details)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back({++m_last_number, std::chrono::system_clock::now(),
                         std::move(details)});
    if (m_entries.size() > m_capacity)
        m_entries.pop_front();
    return m_last_number;
}

std::vector<journal_entry> journal::find(std::string_view text) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<journal_entry> entries;
    for (const auto& entry : m_entries)
    {
        const auto& details = entry.details;
        const bool matches = text.empty() || details.trace == text ||
                             details.subject == text ||
                             event_names[details.kind] == text;
        if (!matches)
            continue;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace plantainward::observe
