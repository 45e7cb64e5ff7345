#pragma once

#include <plantainward/coordinator/action.hpp>
#include <plantainward/coordinator/connection_pool.hpp>
#include <plantainward/coordinator/fair_queue.hpp>
#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/coordinator/poll_planner.hpp>
#include <plantainward/coordinator/request.hpp>
#include <plantainward/coordinator/retry_budget.hpp>
#include <plantainward/coordinator/transaction_table.hpp>
#include <plantainward/coordinator/work.hpp>
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

/// Bounds and policies of a coordinator.
struct coordinator_options
{
    /// Names this proxy and its incarnation in transaction handles.
    std::string instance;
    std::string secret;
    /// Connection numbers count up from here.
    upstream::connection_number first_connection{1};
    /// Longest wait for a connection while the group can run requests.
    core::millis queue_timeout{250};
    std::size_t queue_capacity{4096};
    /// Longest wait for a replica to catch up before the primary is asked.
    core::millis near_replica_timeout{75};
    /// Time after which a transaction without statements is rolled back.
    core::millis transaction_idle_timeout{10'000};
    std::size_t most_transactions{1000};
    core::millis run_timeout{2000};
    core::millis open_timeout{1000};
    /// Time that a leaving primary still gets work before its handover.
    core::millis leaving_grace{2000};
    pool_limits pool;
    poll_limits polls;
};

/// Coordinates the groups of one service: queues, routes, confirms.
///
/// It holds no socket, thread or clock: each event comes with the time, and
/// what is to be done is returned. Any number of hosts may coordinate the same
/// service at once; terms and log positions alone decide what is answered.
class service_coordinator
{
public:
    service_coordinator(upstream::service_layout layout,
                        coordinator_options options);

    /// A request has arrived; its answer comes as an action.
    actions submit(request_number number, caller_request request,
                   core::instant now);

    /// An opening has ended.
    actions on_opened(upstream::connection_number connection,
                      upstream::open_outcome end, core::instant now);

    /// A run order has ended.
    actions on_run(upstream::connection_number connection,
                   upstream::run_result result, core::instant now);

    /// A poll has ended.
    actions on_poll(std::size_t database, int slot,
                    const upstream::control_result& result,
                    core::instant sent_at, core::instant now);

    /// Statuses that somebody else on this host asked for.
    actions on_status(std::size_t database,
                      const upstream::database_status& status,
                      core::instant sent_at, core::instant now);

    /// Time has passed; to be called about every 10 ms.
    actions on_tick(core::instant now);

    /// Takes a changed layout of the same databases.
    actions set_layout(const upstream::service_layout& layout,
                       core::instant now);

    /// Sets this host's part of each database's connections, 0 to 1.
    void set_share(double share);

    /// Closes all idle connections.
    actions close_idle();

    /// Refuses new requests from now on.
    void start_drain() { m_draining = true; }

    /// When a request last arrived.
    core::instant last_request() const { return m_last_request; }

    /// Whether requests or transactions are unfinished.
    bool is_busy() const
    {
        return !m_works.empty() || m_transactions.size() > 0;
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
    std::size_t unfinished_requests() const { return m_works.size(); }

private:
    using work_map = std::unordered_map<request_number, work>;

    std::size_t index(int slot) const { return static_cast<std::size_t>(slot); }
    group_view& view_of(const work& one)
    {
        return m_views[index(one.request.slot)];
    }
    const group_view& view_of(const work& one) const
    {
        return m_views[index(one.request.slot)];
    }

    void submit_in_transaction(request_number number, work& one,
                               core::instant now);
    void place_read(request_number number, work& one, core::instant now);
    void enqueue(request_number number, work& one, stage line,
                 core::instant now);
    void move_to(request_number number, work& one, stage next);
    void requeue(request_number number, work& one, core::instant now);
    void retry_lost(request_number number, work& one, core::instant now);

    void pump(core::instant now);
    bool start_next_at_primary(std::size_t slot, core::instant now);
    bool start_next_at_replica(std::size_t slot, core::instant now);
    std::optional<std::size_t> pick_replica(const work& one,
                                            core::instant now) const;
    bool is_eligible(const work& one, std::size_t database,
                     core::instant now) const;
    std::optional<upstream::connection_number>
    take_connection(std::size_t database, std::size_t waiting,
                    core::instant now);
    void open_more(std::size_t database, std::size_t waiting,
                   core::instant now);
    bool takes_new_work(std::size_t database, bool as_primary,
                        core::instant now) const;
    void run(request_number number, work& one, std::size_t database,
             upstream::connection_number connection, core::instant now);

    void on_answered(request_number number, work& one,
                     upstream::run_answer answer, core::instant now);
    void on_refused(request_number number, work& one,
                    const upstream::run_result& result, core::instant now);
    void on_not_sent(request_number number, work& one, core::instant now);
    void on_lost(request_number number, work& one, core::instant now);
    void on_unreachable(std::size_t database);
    void release(work& one, bool in_transaction);
    void end_transaction(const std::string& handle, std::string reason);

    void check_confirming(core::instant now);
    void complete(request_number number, work& one, core::instant now);
    void check_catch_up(core::instant now);
    void on_term_change(std::size_t slot, core::instant now);
    void expire(core::instant now);
    void shed(core::instant now);

    void answer(request_number number, caller_reply reply);
    void fail(request_number number, const work& one, core::error_kind kind,
              std::string reason);
    void note(observe::event_kind kind, int slot, const std::string& trace,
              std::string reason);
    actions finish(core::instant now);

    upstream::service_layout m_layout;
    coordinator_options m_options;
    std::vector<group_view> m_views;
    std::vector<connection_pool> m_pools;
    std::vector<std::optional<core::instant>> m_leaving_since;
    std::vector<fair_queue> m_primary_lines;
    std::vector<fair_queue> m_replica_lines;
    poll_planner m_planner;
    transaction_table m_transactions;
    retry_budget m_retries;
    work_map m_works;
    std::unordered_set<request_number> m_confirming;
    std::unordered_set<request_number> m_catching_up;
    /// Something changed that waiting requests may depend on.
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
