#pragma once

#include <plantainward/entry/entry_host.hpp>
#include <plantainward/observe/event_log.hpp>
#include <plantainward/observe/metrics.hpp>

#include <string>

namespace plantainward::entry
{

/// The log lines and metrics of one host.
class host_reports
{
public:
    explicit host_reports(std::string host) : m_log(std::move(host)) {}

    /// A change of the process or of what it depends on.
    void report(observe::log_event event, const std::string& subject = {},
                const std::string& detail = {});
    void report(const belief& one);
    void report(const pooling::decision& one);
    void count(const pooling::finished_statement& one);

    /// Makes a host's decisions report here.
    void attach(entry_host& host);

    /// Tells of suppressed lines; to be called every second or so.
    void flush() { m_log.flush(); }

    /// All metrics in the text format that usual scrapers read.
    std::string metrics_page() const { return m_metrics.page(); }

private:
    observe::event_log m_log;
    observe::metrics m_metrics;
};

} // namespace plantainward::entry
