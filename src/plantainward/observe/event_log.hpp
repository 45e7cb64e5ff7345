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

/// Counts the lines of each kind against its budget.
class line_budget
{
public:
    /// Whether one more line of this kind may be written now.
    bool take(log_event event, core::instant now);

    /// Lines of each kind that were not written since the last call.
    std::vector<std::pair<log_event, std::uint64_t>> take_suppressed();

private:
    struct window
    {
        core::instant since{};
        int written{0};
        std::uint64_t suppressed{0};
    };

    // One window for each kind of line.
    std::array<window,
               static_cast<std::size_t>(log_event::lines_suppressed) + 1>
        m_windows{};
};

/// Writes a line to standard output if that doesn't block; false otherwise.
bool write_without_blocking(const std::string& line);

/// Writes one JSON object a line, bounded in number, without blocking.
class event_log
{
public:
    using writer = std::function<bool(const std::string&)>;

    explicit event_log(std::string host, writer write = write_without_blocking);

    /// Writes a line unless its kind is over its budget.
    void write(log_event event, const std::vector<log_field>& fields);

    /// Tells what was suppressed or dropped; to be called every second or so.
    void flush();

private:
    void put(log_event event, const std::vector<log_field>& fields);

    std::string m_host;
    writer m_write;
    std::mutex m_mutex;
    line_budget m_budget;
    std::uint64_t m_dropped{0};
};

} // namespace plantainward::observe
