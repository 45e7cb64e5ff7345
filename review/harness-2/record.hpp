#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

/// What was sent, answered and run, with the time since the start.
class record
{
public:
    explicit record(const std::string& path) : m_file(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<ms>(steady::now() - m_start);
        m_file << at.count() << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start{steady::now()};
};

} // namespace review
