#pragma once

#include "history.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>

namespace soak
{

/// The history of the run that is being recorded, and its file. Everything runs
/// on one thread, so the order of the entries is that of the events.
class recorder
{
public:
    explicit recorder(const std::string& path)
    {
        if (!path.empty())
            m_file.open(path);
    }

    instant now() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now() - m_start)
            .count();
    }

    void line(const std::string& text)
    {
        if (!m_file.is_open())
            return;
        char time[32];
        std::snprintf(time, sizeof time, "%11.3f ",
                      static_cast<double>(now()) / 1000);
        m_file << time << text << '\n';
    }

    void flush() { m_file.flush(); }

    history& events() { return m_history; }

private:
    std::chrono::steady_clock::time_point m_start{
        std::chrono::steady_clock::now()};
    std::ofstream m_file;
    history m_history;
};

/// Random choices of one part of a run.
class dice
{
public:
    dice(std::uint64_t seed, std::uint64_t stream)
    {
        std::seed_seq sequence{seed, stream};
        m_engine.seed(sequence);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_engine) < share;
    }
    /// A number from 0 to `count` - 1.
    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(m_engine);
    }
    std::chrono::microseconds spread(double mean_ms, double max_ms)
    {
        const auto ms =
            std::exponential_distribution<double>(1 / mean_ms)(m_engine);
        return std::chrono::microseconds(
            static_cast<std::int64_t>(std::min(ms, max_ms) * 1000));
    }
    std::chrono::milliseconds between(std::int64_t from_ms, std::int64_t to_ms)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(from_ms,
                                                        to_ms)(m_engine));
    }
    std::string hex(int digits)
    {
        std::string text;
        for (int i = 0; i < digits; ++i)
            text += "0123456789abcdef"[below(16)];
        return text;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace soak
