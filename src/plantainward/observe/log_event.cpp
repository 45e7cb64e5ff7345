#include <plantainward/observe/log_event.hpp>

#include <array>

namespace plantainward::observe
{

namespace
{

using enum log_event;

// Budgets of lines a second. State changes come in bursts of one line for each
// database or service; a host handles about 30 requests a second today.
constexpr int rare_per_s = 20;
constexpr int state_change_per_s = 100;
constexpr int failure_per_s = 100;
constexpr int request_per_s = 40;

constexpr std::array<log_event_row, 42> table{{
    {started, "started", rare_per_s, "the process listens"},
    {stopped, "stopped", rare_per_s,
     "the process ends after a graceful shutdown"},
    {draining, "draining", rare_per_s,
     "a stop was requested; the requests under way are finished"},
    {work_ended, "work_ended", rare_per_s,
     "the grace period is nearly over; the requests that still run are "
     "answered "
     "without their result"},
    {settings_reloaded, "settings_reloaded", rare_per_s,
     "the settings file was read again"},
    {ready, "ready", rare_per_s, "callers can be directed to this host"},
    {not_ready, "not_ready", rare_per_s,
     "callers should be directed to other hosts"},
    {dependency_lost, "dependency_lost", rare_per_s,
     "calls to the table service fail"},
    {dependency_regained, "dependency_regained", rare_per_s,
     "calls to the table service work again"},
    {store_restored, "store_restored", rare_per_s,
     "the table service has returned from a copy and may have lost changes; "
     "all "
     "tables are read again"},
    {routing_in_force, "routing_in_force", rare_per_s,
     "a newer routing is in force; with its source and how long this host has "
     "known that another host has it"},
    {routing_rejected, "routing_rejected", rare_per_s,
     "a routing could not be decoded; the previous one stays in force"},
    {upstream_known, "upstream_known", state_change_per_s,
     "a database is registered or its registration has changed; with the "
     "version of the list"},
    {upstream_unregistered, "upstream_unregistered", state_change_per_s,
     "a database's registration has ended"},
    {leaving_primary, "leaving_primary", rare_per_s,
     "a primary that is leaving has not been replaced for some time; with what "
     "a claim depends on"},
    {tables_behind, "tables_behind", rare_per_s,
     "another host has had newer tables for some time; this host reads them; "
     "with the number of tables whose feeds fail"},
    {registration_rejected, "registration_rejected", rare_per_s,
     "a registration is damaged and names no database"},
    {row_rejected, "row_rejected", rare_per_s,
     "a row of a host or of a primary is damaged and is ignored"},
    {primary_record, "primary_record", state_change_per_s,
     "a newer record of a service's primary is known"},
    {record_write, "record_write", state_change_per_s,
     "this host's conditional write of a record has ended"},
    {record_rewritten, "record_rewritten", state_change_per_s,
     "this host writes a record again that the table service has lost"},
    {claim_started, "claim_started", state_change_per_s,
     "this host starts to replace a primary; with the cause"},
    {claim_ended, "claim_ended", state_change_per_s,
     "this host has stopped replacing a primary; with the reason, the last "
     "stage, and the newest record that it knows"},
    {promotion_sent, "promotion_sent", state_change_per_s,
     "the promotion call starts; with its fencing token and the time since "
     "the conditional write that gave the token"},
    {promotion, "promotion", state_change_per_s,
     "the promotion call has ended; with its token, the time under way, and "
     "the version of the record that this host knows now"},
    {member_removed, "member_removed", rare_per_s,
     "a silent host's registration is removed"},
    {voters_in_force, "voters_in_force", rare_per_s,
     "a newer set of voters is known; with its size and version, the number "
     "of voters that it replaces, and whether all need recent reads (no "
     "majority was heard, or not all voters were)"},
    {voters_write, "voters_write", rare_per_s,
     "this host creates, changes or repairs the set of voters"},
    {isolated, "isolated", rare_per_s,
     "this host can no longer prove any lease"},
    {isolation_over, "isolation_over", rare_per_s,
     "this host can prove leases again"},
    {heartbeat_refused, "heartbeat_refused", rare_per_s,
     "a datagram is not a valid heartbeat"},
    {peer_message_refused, "peer_message_refused", rare_per_s,
     "a message of another host could not be decoded"},
    {request_placed, "request_placed", request_per_s,
     "a statement is sent to a database; with the age of the watermark, the "
     "remaining time of the lease, and the attempt"},
    {request_forwarded, "request_forwarded", request_per_s,
     "another host runs the statement on its connections; its lines carry the "
     "same id"},
    {request_queued, "request_queued", failure_per_s,
     "no database can run the statement now; it waits"},
    {request_retried, "request_retried", failure_per_s,
     "a database refused the statement, which has not run"},
    {request_lost, "request_lost", failure_per_s,
     "the connection was lost; the stage tells whether the statement may have "
     "run"},
    {request_timed_out, "request_timed_out", failure_per_s,
     "the time limit of the request has passed; with whether it was sent"},
    {request_refused, "request_refused", failure_per_s,
     "the caller receives an error; with its kind and reason"},
    {caller_refused, "caller_refused", failure_per_s,
     "a session or a statement is refused because of the caller's key or of "
     "the routing's age; with the cause, the workspace, the version of the "
     "routing and the age of the proof that it is current"},
    {request_committed, "request_committed", request_per_s,
     "a write is acknowledged to the caller; with the remaining time of the "
     "lease on the database that ran it"},
    {lines_suppressed, "lines_suppressed", rare_per_s,
     "lines of an event were over its budget and were not written"},
}};

constexpr bool is_in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i)
        if (static_cast<std::size_t>(table[i].event) != i)
            return false;
    return table.back().event == lines_suppressed;
}

static_assert(is_in_order(), "the table follows the order of log_event");

} // namespace

std::span<const log_event_row> log_event_table()
{
    return table;
}

const log_event_row& row_of(log_event event)
{
    return table.at(static_cast<std::size_t>(event));
}

std::string log_event_page()
{
    std::string page = "| event | lines a second | meaning |\n"
                       "| --- | --- | --- |\n";
    for (const auto& row : table)
        page += "| `" + std::string(row.name) + "` | " +
                std::to_string(row.budget_per_s) + " | " +
                std::string(row.meaning) + " |\n";
    return page;
}

} // namespace plantainward::observe
