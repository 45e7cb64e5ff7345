#pragma once

#include <plantainward/entry/entry_host.hpp>
#include <plantainward/observe/event_log.hpp>
#include <plantainward/observe/metrics.hpp>

#include <map>
#include <string>

namespace plantainward::entry
{

/// Writes the log lines and counts the metrics of one host.
class host_reports
{
public:
    explicit host_reports(std::string host) : m_log(std::move(host)) {}

    /// Reports a change of the process or of a dependency.
    void report(observe::log_event event, const std::string& subject = {},
                const std::string& detail = {});
    void report(const host_event& event);
    void report(const pooling::decision& decision);
    void report(const pooling::identity_refusal& refusal);
    void count(const pooling::finished_statement& statement);

    /// Adds what has happened with quotas since the last call.
    void count_quotas(const pooling::pooler& pooler);

    /// Registers as the observer of a host's decisions.
    void attach(entry_host& host);

    /// Logs how many lines were suppressed; to be called about once a second.
    void flush() { m_log.flush(); }

    /// All metrics in the text exposition format that scrapers read.
    std::string metrics_page() const { return m_metrics.page(); }

private:
    observe::event_log m_log;
    observe::metrics m_metrics;
    /// Counts that the metrics include.
    std::map<std::string, quota::quota_counts> m_quota_counts;
};

} // namespace plantainward::entry
