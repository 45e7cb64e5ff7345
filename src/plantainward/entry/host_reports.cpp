#include <plantainward/entry/host_reports.hpp>

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/error_kind.hpp>

namespace plantainward::entry
{

namespace
{

using observe::log_event;

constexpr core::enum_names<routes::read_consistency, 3> rule_names{
    {"latest", "bounded_age", "session"}};

log_event event_of(pooling::decision_kind kind)
{
    switch (kind)
    {
    case pooling::decision_kind::placed:
        return log_event::request_placed;
    case pooling::decision_kind::forwarded:
        return log_event::request_forwarded;
    case pooling::decision_kind::queued:
        return log_event::request_queued;
    case pooling::decision_kind::retried:
        return log_event::request_retried;
    case pooling::decision_kind::lost:
        return log_event::request_lost;
    case pooling::decision_kind::timed_out:
        return log_event::request_timed_out;
    case pooling::decision_kind::committed:
        return log_event::request_committed;
    default:
        return log_event::request_refused;
    }
}

} // namespace

void host_reports::report(log_event event, const std::string& subject,
                          const std::string& detail)
{
    m_log.write(event, {{"subject", subject}, {"detail", detail}});
    m_metrics.count("events", observe::row_of(event).name);
}

void host_reports::report(const belief& one)
{
    std::vector<observe::log_field> fields{{"service", one.service},
                                           {"detail", one.detail}};
    fields.insert(fields.end(), one.inputs.begin(), one.inputs.end());
    m_log.write(one.event, fields);
    if (one.took)
        m_metrics.observe(*one.took, one.service, "all",
                          static_cast<double>(one.time.count()));
    m_metrics.count("events", observe::row_of(one.event).name);
}

void host_reports::report(const pooling::decision& one)
{
    m_log.write(event_of(one.kind),
                {{"request", std::string(one.request)},
                 {"service", std::string(one.service)},
                 {"upstream", std::string(one.upstream)},
                 {"detail", one.detail},
                 {"attempt", std::to_string(one.attempt)},
                 {"waited_ms", std::to_string(one.elapsed.count())},
                 {"lease_left_ms", std::to_string(one.lease_left.count())},
                 {"mark_age_ms", std::to_string(one.watermark_age.count())},
                 {"routing", std::to_string(one.routing_version)}});
    if (one.kind != pooling::decision_kind::placed &&
        one.kind != pooling::decision_kind::forwarded &&
        one.kind != pooling::decision_kind::committed)
        m_metrics.count("events", observe::row_of(event_of(one.kind)).name);
}

void host_reports::count(const pooling::finished_statement& one)
{
    const auto rule = rule_names[one.route.consistency];
    m_metrics.observe(observe::measure::latency, one.route.service, rule,
                      static_cast<double>(one.elapsed.count()));
    if (one.error)
    {
        m_metrics.count("refusals", core::name_of(*one.error));
        return;
    }
    m_metrics.count(one.at_replica ? "at_replica" : "at_primary",
                    one.route.service);
}

void host_reports::attach(entry_host& host)
{
    host.observe([this](const belief& one) { report(one); });
    host.pooler().observe(
        [this](const pooling::decision& one) { report(one); },
        [this](const pooling::finished_statement& one) { count(one); });
}

} // namespace plantainward::entry
