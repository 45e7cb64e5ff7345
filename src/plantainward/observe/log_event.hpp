#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainward::observe
{

/// Every kind of line in a host's structured log.
enum class log_event : std::uint8_t
{
    started,
    stopped,
    draining,
    settings_reloaded,
    ready,
    not_ready,
    dependency_lost,
    dependency_regained,
    routing_in_force,
    routing_rejected,
    upstream_known,
    upstream_unregistered,
    registration_rejected,
    row_rejected,
    primary_record,
    record_write,
    claim_started,
    claim_ended,
    promotion_sent,
    promotion,
    member_removed,
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
    request_committed,
    lines_suppressed
};

/// What a kind of line means, and how many of them a host writes.
struct log_event_row
{
    log_event event;
    std::string_view name;
    /// Lines a second; more are counted and told as suppressed.
    int budget_per_s;
    std::string_view meaning;
};

/// The closed table of kinds, in the order of the enumeration.
std::span<const log_event_row> log_event_table();

/// The row of one kind.
const log_event_row& row_of(log_event event);

/// A field of a line.
using log_field = std::pair<std::string_view, std::string>;

/// The table as a page of the documentation.
std::string log_event_page();

} // namespace plantainward::observe
