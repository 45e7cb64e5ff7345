#include <plantainward/observe/log_event.hpp>

#include <array>

namespace plantainward::observe
{

namespace
{

using enum log_event;

// Budgets: what changes beliefs comes in bursts of one line for each database
// or service; requests are about 30 a second on a host of today.
constexpr int rare = 20;
constexpr int belief = 100;
constexpr int failing = 100;
constexpr int ordinary = 40;

constexpr std::array<log_event_row, 34> table{{
    {started, "started", rare, "the process listens"},
    {stopped, "stopped", rare, "the process ends after a graceful shutdown"},
    {draining, "draining", rare, "a stop was asked for"},
    {settings_reloaded, "settings_reloaded", rare,
     "the settings file was read again"},
    {ready, "ready", rare, "callers may be sent here"},
    {not_ready, "not_ready", rare, "callers should go to other hosts"},
    {dependency_lost, "dependency_lost", rare,
     "calls to the table service fail"},
    {dependency_regained, "dependency_regained", rare,
     "calls to the table service work again"},
    {routing_in_force, "routing_in_force", rare,
     "a newer routing is used from now on"},
    {routing_rejected, "routing_rejected", rare,
     "a routing could not be decoded; the older one stays"},
    {upstream_known, "upstream_known", belief,
     "a database is registered or its registration has changed"},
    {upstream_unregistered, "upstream_unregistered", belief,
     "a database's registration has ended"},
    {registration_rejected, "registration_rejected", rare,
     "a registration is damaged and names no database"},
    {row_rejected, "row_rejected", rare,
     "a row of a host or of a primary is damaged and is left out"},
    {primary_record, "primary_record", belief,
     "a newer record of a service's primary is known"},
    {record_write, "record_write", belief,
     "this host's conditional write of a record has ended"},
    {claim_started, "claim_started", belief,
     "this host begins to replace a primary; the cause is told"},
    {claim_ended, "claim_ended", belief,
     "this host has stopped replacing a primary; with the reason, the last "
     "stage, and the record that it knows now"},
    {promotion_sent, "promotion_sent", belief,
     "the promotion call starts; with its fencing token and the time since "
     "the conditional write that gave the token"},
    {promotion, "promotion", belief,
     "the promotion call has ended; with its token, the time under way, and "
     "the version of the record that this host knows now"},
    {member_removed, "member_removed", rare,
     "a silent host's registration is removed"},
    {isolated, "isolated", rare, "no lease can be proved any more"},
    {isolation_over, "isolation_over", rare, "leases are proved again"},
    {heartbeat_refused, "heartbeat_refused", rare,
     "a datagram is no heartbeat"},
    {peer_message_refused, "peer_message_refused", rare,
     "a message of another host could not be decoded"},
    {request_placed, "request_placed", ordinary,
     "a statement goes to a database; with the age of the mark, what is left "
     "of the lease, and the attempt"},
    {request_forwarded, "request_forwarded", ordinary,
     "another host runs the statement on its connections; its lines carry the "
     "same id"},
    {request_queued, "request_queued", failing,
     "no database can take the statement now"},
    {request_retried, "request_retried", failing,
     "a database refused the statement, which has not run"},
    {request_lost, "request_lost", failing,
     "the connection was lost; the stage tells whether it may have run"},
    {request_timed_out, "request_timed_out", failing,
     "the time limit has passed; with whether it was sent"},
    {request_refused, "request_refused", failing,
     "the caller is told an error; with its kind and reason"},
    {request_committed, "request_committed", ordinary,
     "the caller is told that a write is kept; with what is left of the lease "
     "on the database that took it"},
    {lines_suppressed, "lines_suppressed", rare,
     "lines of a kind that were over its budget"},
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
