#pragma once

#include <plantainward/observe/event.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <vector>

namespace plantainward::observe
{

/// An event with its number and its wall-clock time.
struct journal_entry
{
    std::uint64_t number{0};
    std::chrono::system_clock::time_point recorded_at;
    event details;
};

/// The newest events of a proxy, limited in number. Safe to use from several
/// threads.
class journal
{
public:
    explicit journal(std::size_t capacity) : m_capacity(capacity) {}

    /// Records an event and returns its number, which counts up from 1.
    std::uint64_t record(event details);

    /// Entries whose trace, subject or kind equals the text; all when empty.
    std::vector<journal_entry> find(std::string_view text) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::uint64_t m_last_number{0};
    std::deque<journal_entry> m_entries;
};

} // namespace plantainward::observe
