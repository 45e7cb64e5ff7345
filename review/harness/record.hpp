#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using steady = std::chrono::steady_clock;
using instant = steady::time_point;
using millis = std::chrono::milliseconds;

/// The record of one run: what was sent, answered and run, one line each.
class record
{
public:
    explicit record(const std::string& path) : m_file(path) {}

    /// Milliseconds since the start of the run.
    double at(instant when) const
    {
        return std::chrono::duration<double, std::milli>(when - m_start)
            .count();
    }

    void line(const std::string& text, instant when = steady::now())
    {
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ", at(when));
        const std::lock_guard lock(m_mutex);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    instant m_start{steady::now()};
};

} // namespace review
