#pragma once

#include <plantainward/coordinator/action.hpp>
#include <plantainward/coordinator/connection_pool.hpp>
#include <plantainward/coordinator/fair_queue.hpp>
#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/coordinator/pending_request.hpp>
#include <plantainward/coordinator/poll_planner.hpp>
#include <plantainward/coordinator/request.hpp>
#include <plantainward/coordinator/retry_budget.hpp>
#include <plantainward/coordinator/transaction_table.hpp>
#include <plantainward/upstream/service_layout.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainward::coordinator
{

/// Limits and time-outs of a coordinator.
struct coordinator_options
{
    /// Name and incarnation of this proxy, as in transaction handles.
    std::string instance;
    /// Key of the HMAC in transaction handles.
    std::string secret;
    /// Number of the first connection; the numbers count up.
    upstream::connection_number first_connection{1};
    /// Longest wait for a connection while the group can run requests; then the
    /// request is refused as overloaded.
    core::millis queue_timeout{250};
    /// Requests in each queue; every slot has one for the primary and one for
    /// the replicas.
    std::size_t queue_capacity{4096};
    /// Longest wait for a replica to catch up before the read goes to the
    /// primary.
    core::millis near_replica_timeout{75};
    /// Time without statements after which a transaction is rolled back.
    core::millis transaction_idle_timeout{10'000};
    std::size_t max_open_transactions{1000};
    core::millis run_timeout{2000};
    core::millis open_timeout{1000};
    /// Time during which a leaving primary still gets new work, until its role
    /// is handed over.
    core::millis leaving_grace{2000};
    pool_limits pool;
    poll_limits polls;
};

/// Coordinates the requests to one service: queues them, chooses the database,
/// and confirms the answers.
///
/// It has no sockets, threads or clock: each call passes the current time and
/// returns the actions that the host is to carry out. Any number of hosts may
/// coordinate the same service at the same time: only terms and log positions
/// decide which answers are sent.
class service_coordinator
{
public:
    service_coordinator(upstream::service_layout layout,
                        coordinator_options options);

    /// Accepts a request. Its reply comes as an `answer_action`, from this call
    /// or a later one, also when the request is refused.
    actions submit(request_number number, caller_request request,
                   core::instant now);

    /// Called when an attempt to open a connection has succeeded or failed.
    actions on_opened(upstream::connection_number connection,
                      upstream::open_outcome end, core::instant now);

    /// Called when the order on a connection was answered or has failed.
    actions on_run(upstream::connection_number connection,
                   upstream::run_result result, core::instant now);

    /// Called when a poll has ended; `sent_at` is when it was sent.
    actions on_poll(std::size_t database, int slot,
                    const upstream::control_result& result,
                    core::instant sent_at, core::instant now);

    /// Called with a status that another part of this host has requested.
    actions on_status(std::size_t database,
                      const upstream::database_status& status,
                      core::instant sent_at, core::instant now);

    /// Checks deadlines and time-outs; to be called about every 10 ms.
    actions on_tick(core::instant now);

    /// Replaces the layout by a changed one of the same databases.
    actions set_layout(const upstream::service_layout& layout,
                       core::instant now);

    /// Sets the fraction of each database's connections that this host may
    /// open, 0 to 1; it may always open one.
    void set_share(double share);

    /// Closes all idle connections.
    actions close_idle();

    /// Refuses new requests from now on; open transactions may continue.
    void start_drain() { m_draining = true; }

    /// When the last request arrived.
    core::instant last_request() const { return m_last_request; }

    /// Whether there are unanswered requests or open transactions.
    bool is_busy() const
    {
        return !m_pending.empty() || m_transactions.size() > 0;
    }

    const upstream::service_layout& layout() const { return m_layout; }
    const group_view& view(int slot) const
    {
        return m_views.at(static_cast<std::size_t>(slot));
    }
    std::size_t connections(std::size_t database) const
    {
        return m_pools.at(database).total();
    }
    std::size_t unfinished_requests() const { return m_pending.size(); }

private:
    using request_map = std::unordered_map<request_number, pending_request>;

    std::size_t index(int slot) const { return static_cast<std::size_t>(slot); }
    group_view& view_of(const pending_request& pending)
    {
        return m_views[index(pending.request.slot)];
    }
    const group_view& view_of(const pending_request& pending) const
    {
        return m_views[index(pending.request.slot)];
    }

    void submit_in_transaction(request_number number, pending_request& pending,
                               core::instant now);
    void route_read(request_number number, pending_request& pending,
                    core::instant now);
    void enqueue(request_number number, pending_request& pending, stage next,
                 core::instant now);
    void move_to(request_number number, pending_request& pending, stage next);
    void requeue(request_number number, pending_request& pending,
                 core::instant now);
    void retry_lost(request_number number, pending_request& pending,
                    core::instant now);

    void start_queued(core::instant now);
    bool start_next_at_primary(std::size_t slot, core::instant now);
    bool start_next_at_replica(std::size_t slot, core::instant now);
    std::optional<std::size_t> pick_replica(const pending_request& pending,
                                            core::instant now) const;
    bool is_eligible(const pending_request& pending, std::size_t database,
                     core::instant now) const;
    std::optional<upstream::connection_number>
    take_connection(std::size_t database, std::size_t waiting,
                    core::instant now);
    void open_more(std::size_t database, std::size_t waiting,
                   core::instant now);
    bool accepts_new_work(std::size_t database, bool as_primary,
                          core::instant now) const;
    void run(request_number number, pending_request& pending,
             std::size_t database, upstream::connection_number connection,
             core::instant now);

    void on_answered(request_number number, pending_request& pending,
                     upstream::run_answer answer, core::instant now);
    void on_refused(request_number number, pending_request& pending,
                    const upstream::run_result& result, core::instant now);
    void on_not_sent(request_number number, pending_request& pending,
                     core::instant now);
    void on_lost(request_number number, pending_request& pending,
                 core::instant now);
    void on_unreachable(std::size_t database);
    void release(pending_request& pending, bool in_transaction);
    void end_transaction(const std::string& handle, std::string reason);

    void check_confirming(core::instant now);
    void complete(request_number number, pending_request& pending,
                  core::instant now);
    void check_catch_up(core::instant now);
    void on_term_change(std::size_t slot, core::instant now);
    void fail_expired(core::instant now);
    void shed_overdue(core::instant now);

    void answer(request_number number, caller_reply reply);
    void fail(request_number number, const pending_request& pending,
              core::error_kind kind, std::string reason);
    void record_event(observe::event_kind kind, int slot,
                      const std::string& trace, std::string reason);
    actions finish(core::instant now);

    upstream::service_layout m_layout;
    coordinator_options m_options;
    std::vector<group_view> m_views;
    std::vector<connection_pool> m_pools;
    std::vector<std::optional<core::instant>> m_leaving_since;
    std::vector<fair_queue> m_primary_queues;
    std::vector<fair_queue> m_replica_queues;
    poll_planner m_planner;
    transaction_table m_transactions;
    retry_budget m_retry_budget;
    request_map m_pending;
    std::unordered_set<request_number> m_confirming;
    std::unordered_set<request_number> m_catching_up;
    /// Something has changed that waiting requests may depend on.
    bool m_recheck{false};
    std::unordered_map<upstream::connection_number, request_number> m_running;
    std::unordered_map<upstream::connection_number, std::size_t> m_opening;
    upstream::connection_number m_next_connection;
    double m_share{1};
    std::size_t m_first_slot{0};
    core::instant m_last_request;
    bool m_draining{false};
    actions m_out;
};

} // namespace plantainward::coordinator
