#include <plantainward/observe/event_log.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::observe
{

namespace
{

// A pipe that poll() reports as writable accepts this many bytes without
// blocking (PIPE_BUF).
constexpr std::size_t max_line_bytes = 4096;

constexpr core::millis budget_window{1000};

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<core::millis>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

bool line_budget::try_consume(log_event event, core::instant now)
{
    auto& usage = m_windows.at(static_cast<std::size_t>(event));
    if (now - usage.started_at >= budget_window)
    {
        usage.started_at = now;
        usage.written = 0;
    }
    if (usage.written >= row_of(event).budget_per_s)
    {
        ++usage.suppressed;
        return false;
    }
    ++usage.written;
    return true;
}

std::vector<std::pair<log_event, std::uint64_t>>
line_budget::collect_suppressed()
{
    std::vector<std::pair<log_event, std::uint64_t>> suppressed_lines;
    for (const auto& row : log_event_table())
    {
        auto& usage = m_windows.at(static_cast<std::size_t>(row.event));
        if (const auto count = std::exchange(usage.suppressed, 0); count > 0)
            suppressed_lines.emplace_back(row.event, count);
    }
    return suppressed_lines;
}

bool write_without_blocking(const std::string& line)
{
    if (line.size() > max_line_bytes)
        return false;
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
}

event_log::event_log(std::string host, writer write)
    : m_host(std::move(host)), m_write(std::move(write))
{
}

void event_log::write(log_event event, const std::vector<log_field>& fields)
{
    const std::lock_guard lock(m_mutex);
    if (m_budget.try_consume(event, core::steady::now()))
        write_line(event, fields);
}

void event_log::write_line(log_event event,
                           const std::vector<log_field>& fields)
{
    boost::json::object line{{"at_ms", wall_clock_ms()},
                             {"host", m_host},
                             {"event", row_of(event).name}};
    for (const auto& [name, value] : fields)
        if (!value.empty())
            line[name] = value;
    if (!m_write(boost::json::serialize(line) + "\n"))
        ++m_dropped;
}

void event_log::flush()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [event, count] : m_budget.collect_suppressed())
        write_line(log_event::lines_suppressed,
                   {{"of", std::string(row_of(event).name)},
                    {"lines", std::to_string(count)}});
    if (m_dropped == 0)
        return;
    const auto dropped = std::exchange(m_dropped, 0);
    write_line(log_event::lines_suppressed,
               {{"of", "all"},
                {"lines", std::to_string(dropped)},
                {"reason", "standard output was full"}});
}

} // namespace plantainward::observe
