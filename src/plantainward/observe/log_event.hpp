#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainward::observe
{

/// Events of the structured log of a host.
enum class log_event : std::uint8_t
{
    started,
    stopped,
    draining,
    work_ended,
    settings_reloaded,
    ready,
    not_ready,
    dependency_lost,
    dependency_regained,
    store_restored,
    routing_in_force,
    routing_rejected,
    upstream_known,
    upstream_unregistered,
    leaving_primary,
    tables_behind,
    registration_rejected,
    row_rejected,
    primary_record,
    record_write,
    record_rewritten,
    claim_started,
    claim_ended,
    promotion_sent,
    promotion,
    member_removed,
    voters_in_force,
    voters_write,
    isolated,
    isolation_over,
    heartbeat_refused,
    peer_message_refused,
    request_placed,
    request_forwarded,
    request_queued,
    request_retried,
    request_lost,
    request_timed_out,
    request_refused,
    caller_refused,
    request_committed,
    lines_suppressed
};

/// Name, budget and meaning of one event.
struct log_event_row
{
    log_event event;
    std::string_view name;
    /// Most lines in a second; further ones are counted and reported as
    /// suppressed.
    int budget_per_s;
    std::string_view meaning;
};

/// One row for each event, in the order of the enumeration.
std::span<const log_event_row> log_event_table();

/// The row of one event.
const log_event_row& row_of(log_event event);

/// Name and value of a field of a line.
using log_field = std::pair<std::string_view, std::string>;

/// The table of events in `docs/OPERATIONS.md`.
std::string log_event_page();

} // namespace plantainward::observe
