#include <plantainward/entry/host_reports.hpp>

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/error_kind.hpp>

#include <utility>

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

// The state of the queue explains only statements that wait or are refused.
void add_queue_fields(const pooling::decision& decision,
                      std::vector<observe::log_field>& fields)
{
    if (decision.kind != pooling::decision_kind::queued &&
        decision.kind != pooling::decision_kind::refused)
        return;
    fields.emplace_back("priority", std::to_string(decision.priority));
    fields.emplace_back("queued_of_priority",
                        std::to_string(decision.queued_of_priority));
    fields.emplace_back("queued_of_workspace",
                        std::to_string(decision.queued_of_workspace));
    fields.emplace_back("window", std::to_string(decision.window));
    if (decision.kind == pooling::decision_kind::refused)
        fields.emplace_back(
            "cause", std::string(pooling::refusal_cause_names[decision.cause]));
}

} // namespace

void host_reports::report(log_event event, const std::string& subject,
                          const std::string& detail)
{
    m_log.write(event, {{"subject", subject}, {"detail", detail}});
    m_metrics.count("events", observe::row_of(event).name);
}

void host_reports::report(const host_event& event)
{
    std::vector<observe::log_field> fields{{"service", event.service},
                                           {"detail", event.detail}};
    fields.insert(fields.end(), event.inputs.begin(), event.inputs.end());
    m_log.write(event.event, fields);
    if (event.measure)
        m_metrics.observe(*event.measure, event.service, "all",
                          static_cast<double>(event.duration.count()));
    m_metrics.count("events", observe::row_of(event.event).name);
}

void host_reports::report(const pooling::decision& decision)
{
    std::vector<observe::log_field> fields{
        {"request", std::string(decision.request)},
        {"service", std::string(decision.service)},
        {"upstream", std::string(decision.upstream)},
        {"detail", decision.detail},
        {"attempt", std::to_string(decision.attempt)},
        {"waited_ms", std::to_string(decision.elapsed.count())},
        {"lease_left_ms", std::to_string(decision.lease_left.count())},
        {"mark_age_ms", std::to_string(decision.watermark_age.count())},
        {"routing", std::to_string(decision.routing_version)}};
    if (!decision.workspace.empty())
        fields.emplace_back("workspace", decision.workspace);
    add_queue_fields(decision, fields);
    m_log.write(event_of(decision.kind), fields);
    if (decision.kind == pooling::decision_kind::refused)
        m_metrics.count("refusal_causes",
                        pooling::refusal_cause_names[decision.cause]);
    if (decision.kind == pooling::decision_kind::queued)
    {
        m_metrics.count("queued_by_priority",
                        std::to_string(decision.priority));
        if (!decision.workspace.empty())
            m_metrics.count("queued_by_workspace", decision.workspace);
    }
    if (decision.kind != pooling::decision_kind::placed &&
        decision.kind != pooling::decision_kind::forwarded &&
        decision.kind != pooling::decision_kind::committed)
        m_metrics.count("events",
                        observe::row_of(event_of(decision.kind)).name);
}

void host_reports::report(const pooling::identity_refusal& refusal)
{
    const auto cause = pooling::identity_refusal_cause_names[refusal.cause];
    m_log.write(log_event::caller_refused,
                {{"cause", std::string(cause)},
                 {"workspace", std::string(refusal.workspace)},
                 {"routing", std::to_string(refusal.routing_version)},
                 {"proof_age_ms", std::to_string(refusal.proof_age.count())}});
    m_metrics.count("refused_callers", cause);
}

void host_reports::count(const pooling::finished_statement& statement)
{
    const auto rule = rule_names[statement.route.consistency];
    m_metrics.observe(observe::measure::latency, statement.route.service, rule,
                      static_cast<double>(statement.elapsed.count()));
    if (statement.error)
    {
        m_metrics.count("refusals", core::name_of(*statement.error));
        return;
    }
    m_metrics.count(statement.at_replica ? "at_replica" : "at_primary",
                    statement.route.service);
}

void host_reports::count_quotas(const pooling::pooler& pooler)
{
    auto counts = pooler.quota_counts();
    for (const auto& [workspace, count] : counts)
    {
        const auto label = pooler.workspace_labels().of(workspace);
        const auto& counted = m_quota_counts[workspace];
        // The counts of a workspace start again when its limit was removed.
        const auto add = [&](std::string_view name, std::uint64_t value,
                             std::uint64_t before) {
            const auto added = value < before ? value : value - before;
            if (added > 0)
                m_metrics.count(name, label, added);
        };
        add("quota_granted", count.granted, counted.granted);
        add("quota_returned", count.returned, counted.returned);
        add("quota_refused", count.over_quota, counted.over_quota);
        add("quota_no_owner", count.no_owner, counted.no_owner);
        add("quota_unanswered", count.unanswered, counted.unanswered);
        add("quota_requests", count.requests, counted.requests);
    }
    m_quota_counts = std::move(counts);
}

void host_reports::attach(entry_host& host)
{
    host.observe([this](const host_event& event) { report(event); });
    host.pooler().observe(
        [this](const pooling::decision& decision) { report(decision); },
        [this](const pooling::finished_statement& statement) {
            count(statement);
        });
    host.pooler().observe_refusals(
        [this](const pooling::identity_refusal& refusal) { report(refusal); });
    host.pooler().observe_openings(
        [this](std::string_view, pooling::opening_cause cause) {
            m_metrics.count("openings", pooling::opening_cause_names[cause]);
        });
}

} // namespace plantainward::entry
