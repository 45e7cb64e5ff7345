#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/observe/log_event.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace plantainward::observe
{

/// Limits the lines of each event to its budget in each second.
class line_budget
{
public:
    /// Counts one line; false when the budget of its event is used up.
    bool try_consume(log_event event, core::instant now);

    /// The number of suppressed lines of each event since the last call.
    std::vector<std::pair<log_event, std::uint64_t>> collect_suppressed();

private:
    struct window
    {
        core::instant started_at{};
        int written{0};
        std::uint64_t suppressed{0};
    };

    // One window for each event.
    std::array<window,
               static_cast<std::size_t>(log_event::lines_suppressed) + 1>
        m_windows{};
};

/// Writes a line to standard output; false when that would block, or the line
/// is longer than a pipe accepts at once.
bool write_without_blocking(const std::string& line);

/// Structured log: one JSON object on each line, limited in number, written
/// without blocking. Safe to use from several threads.
class event_log
{
public:
    /// Writes one line; false when the line was dropped.
    using writer = std::function<bool(const std::string&)>;

    explicit event_log(std::string host, writer write = write_without_blocking);

    /// Writes a line unless its event is over its budget; empty fields are left
    /// out.
    void write(log_event event, const std::vector<log_field>& fields);

    /// Writes the numbers of lines that were suppressed or dropped since the
    /// last call; to be called about once a second.
    void flush();

private:
    void write_line(log_event event, const std::vector<log_field>& fields);

    std::string m_host;
    writer m_write;
    std::mutex m_mutex;
    line_budget m_budget;
    std::uint64_t m_dropped{0};
};

} // namespace plantainward::observe
