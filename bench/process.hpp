#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace bench
{

/// What a process has used, from the kernel's accounts.
struct process_usage
{
    double cpu_seconds{0};
    double rss_mb{0};
};

/// A child process that ends with its owner.
class process
{
public:
    /// Starts a program; its output goes to a log file.
    static std::optional<process> start(const std::vector<std::string>& words,
                                        const std::string& log);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    void send(int signal) const;

    /// Waits for the end; the exit code, or 128 and the signal.
    int wait();

    /// Kills and waits.
    void kill();

    pid_t id() const { return m_id; }
    process_usage usage() const { return usage_of(m_id); }

    /// What any process has used.
    static process_usage usage_of(pid_t id);

private:
    explicit process(pid_t id) : m_id(id) {}

    pid_t m_id{0};
};

} // namespace bench
