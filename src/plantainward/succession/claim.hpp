#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/routes/routing.hpp>
#include <plantainward/sql/upstream_message.hpp>
#include <plantainward/succession/leadership.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plantainward::succession
{

/// Why a primary is replaced.
enum class claim_trigger : std::uint8_t
{
    /// No record exists yet.
    unset,
    /// The host that was replacing the primary has stopped doing so.
    abandoned,
    /// Most hosts get no answer from the primary.
    lost,
    /// The primary has announced that it shuts down.
    leaving,
    /// The primary is no longer registered.
    gone,
    /// The primary has restarted.
    restarted
};

/// Names of the triggers in logs.
inline constexpr core::enum_names<claim_trigger, 6> trigger_names{
    {"unset", "abandoned", "lost", "leaving", "gone", "restarted"}};

/// Writes the record if its version is still `expected`.
struct write_action
{
    /// Matches an answer to its write; an answer to an earlier one is late.
    std::uint64_t id{0};
    std::uint64_t expected{0};
    leadership record;
    /// The write begins a claim. It must fail when the set of voters has
    /// changed, so that the claim waits for a majority of the right voters.
    bool begins_claim{false};
};

/// Requests the status of a database.
struct status_action
{
    std::string upstream;
};

/// Makes a primary with a term below `term` a replica.
struct demote_action
{
    std::string upstream;
    upstream::term_number term{0};
};

/// Makes a database the primary; `token` grows with each claim.
struct promote_action
{
    std::string upstream;
    std::uint64_t token{0};
    /// When the conditional write that returned the token was sent.
    core::boot_instant write_sent_at{};
    /// The call must not reach the platform after this instant.
    core::boot_instant deadline{};
};

using claim_action =
    std::variant<write_action, status_action, demote_action, promote_action>;
using claim_actions = std::vector<claim_action>;

/// How a conditional write of the record ended.
enum class write_outcome : std::uint8_t
{
    written,
    /// The record has another version.
    conflict,
    /// It may or may not have been written.
    unknown
};

/// How a promotion call ended.
enum class promotion_outcome : std::uint8_t
{
    accepted,
    /// The database is not running.
    rejected,
    /// It may or may not take effect.
    unknown,
    /// The platform was not reached; another host may reach it.
    not_sent
};

/// Names of the outcomes of promotion calls in logs.
inline constexpr core::enum_names<promotion_outcome, 4> promotion_outcome_names{
    {"accepted", "rejected", "not known", "not sent"}};

/// The state of the service and the fleet that a claim decides on.
struct claim_view
{
    /// Registered databases of the service.
    std::vector<routes::upstream> upstreams;
    /// Replicas that have received a commit when it is acknowledged. If there
    /// are any, a promotion must include every acknowledged commit.
    std::size_t sync_replicas{0};
    /// Databases whose registration has ended and has not come back in time.
    std::set<std::string> gone;
    /// Whether enough voters know the record of this version that no quorum can
    /// prove an older one any more.
    std::function<bool(std::uint64_t version)> majority_acknowledged;
    /// Whether every host that may hold a lease, voter or not, has confirmed
    /// the same: all hosts that were registered at `since` or later.
    std::function<bool(std::uint64_t version, core::boot_instant since)>
        all_acknowledged;
};

/// Stage of a claim.
enum class claim_stage : std::uint8_t
{
    /// The record is being claimed by a conditional write.
    writing,
    /// The old primary's users are waited for and the logs are compared.
    gathering,
    /// The candidate is being recorded by a conditional write.
    confirming,
    /// A promotion has been called for and has not taken effect yet.
    promoting,
    /// The new primary is being recorded by a conditional write.
    settling,
    finished
};

/// Names of the stages in logs.
inline constexpr core::enum_names<claim_stage, 6> stage_names{
    {"writing", "gathering", "confirming", "promoting", "settling",
     "finished"}};

/// How a claim has ended.
enum class claim_outcome : std::uint8_t
{
    /// The record names a primary again.
    settled,
    /// Another host changed the record before this one wrote it.
    conflict,
    /// A conditional write got no answer.
    write_unknown,
    /// The answer to the conditional write came too late to promote.
    too_late,
    /// Another host has written a newer record.
    superseded,
    /// The platform did not answer this host's promotion calls.
    unanswered,
    /// The record names the leaving primary again, since no database that stays
    /// has all that must be kept.
    not_caught_up
};

/// Names of the outcomes of claims in logs.
inline constexpr core::enum_names<claim_outcome, 7> claim_outcome_names{
    {"settled", "conflict", "write_unknown", "too_late", "superseded",
     "unanswered", "not_caught_up"}};

/// One attempt of this host to replace the primary of a service.
///
/// A conditional write claims the record. The claim then waits until no host
/// uses the old primary any more: all hosts have confirmed it, or the leases
/// of those that have not are over. Only then it promotes the database with
/// the longest log and settles the record. A claim may end at any step;
/// another host then claims the record.
class claim
{
public:
    claim(std::string self, leadership initial_record, claim_trigger trigger,
          core::boot_instant now);

    /// The first action: the write that claims the record.
    claim_actions start();

    /// Handles the answer to the last conditional write; `version` is that of
    /// the written record.
    claim_actions on_write(write_outcome outcome, std::uint64_t version,
                           core::boot_instant now);
    /// Handles the answer to a status request that was sent at `requested_at`.
    void on_status(const std::string& upstream, core::boot_instant requested_at,
                   const sql::status_answer& status);
    /// Handles the outcome of the promotion call.
    void on_promote(promotion_outcome outcome, core::boot_instant now);
    /// Advances the claim as far as the view allows.
    claim_actions tick(const claim_view& view, core::boot_instant now);

    claim_stage stage() const { return m_stage; }
    /// Whether the claim waits until no host uses the old primary any more. A
    /// service without a record has none.
    bool awaits_fence() const
    {
        return m_stage == claim_stage::gathering && !m_fenced_at &&
               m_trigger != claim_trigger::unset;
    }
    /// The stage before it finished.
    claim_stage last_stage() const { return m_last_stage; }
    /// How it has ended; only valid once it has finished.
    claim_outcome outcome() const { return m_outcome; }
    claim_trigger trigger() const { return m_trigger; }
    /// The record as this claim last wrote it.
    const leadership& record() const { return m_record; }
    core::boot_instant started() const { return m_started; }

private:
    struct status_report
    {
        core::boot_instant requested_at;
        sql::database_status status;
    };

    void request_statuses(const claim_view& view, core::boot_instant now,
                          claim_actions& out);
    claim_actions finish(claim_outcome outcome);
    bool is_fenced(const claim_view& view, core::boot_instant now);
    std::optional<std::string> surviving_primary(const claim_view& view,
                                                 core::boot_instant now) const;
    std::optional<std::string> best_candidate(const claim_view& view) const;
    bool has_all_statuses(const claim_view& view, core::boot_instant now) const;
    core::boot_instant logs_fixed_at() const;
    bool knows_recorded_log(const claim_view& view) const;
    std::size_t count_unknown_logs(const claim_view& view) const;
    bool may_lack_acknowledged_commits(const claim_view& view) const;
    bool may_be_promoted(const claim_view& view,
                         const routes::upstream& upstream) const;
    bool has_acknowledged_commits(const claim_view& view,
                                  const sql::database_status& status) const;
    bool is_caught_up(const claim_view& view,
                      const sql::database_status& primary) const;
    void gather(const claim_view& view, core::boot_instant now,
                claim_actions& out);
    bool demote_old_primary(const claim_view& view, core::boot_instant now,
                            claim_actions& out);
    void write(leadership new_record, claim_stage stage, core::boot_instant now,
               claim_actions& out);
    void settle(const claim_view& view, const std::string& upstream,
                core::boot_instant now, claim_actions& out);
    std::optional<std::string> already_promoted(const claim_view& view) const;
    const status_report* status_of(const std::string& upstream) const;
    bool awaits_newer_log(const claim_view& view, const std::string& best,
                          core::boot_instant now) const;
    bool has_promoted(const status_report& candidate) const;

    std::string m_self;
    leadership m_initial_record;
    leadership m_record;
    leadership m_pending_record;
    claim_trigger m_trigger;
    claim_stage m_stage{claim_stage::writing};
    claim_stage m_last_stage{claim_stage::writing};
    claim_outcome m_outcome{claim_outcome::settled};
    core::boot_instant m_started;
    core::boot_instant m_write_sent_at{};
    core::boot_instant m_claimed_at{};
    std::optional<core::boot_instant> m_majority_at;
    std::optional<core::boot_instant> m_fenced_at;
    std::optional<core::boot_instant> m_demoted_at;
    core::boot_instant m_status_requested_at{};
    core::boot_instant m_promotion_sent_at{};
    std::optional<core::boot_instant> m_accepted_at;
    int m_unanswered_calls{0};
    int m_unsent_calls{0};
    /// Log that the leaving primary had when a database that stays had caught
    /// up with it.
    std::optional<upstream::log_point> m_caught_up_with;
    /// The record is settled on a leaving primary.
    bool m_keeps_leaving_primary{false};
    /// A promotion before the present one may have been called for.
    bool m_may_have_promoted{false};
    std::map<std::string, status_report> m_statuses;
    /// Databases that are not running, with the instant of the request that
    /// showed it.
    std::map<std::string, core::boot_instant> m_down_at;
    std::map<std::string, core::boot_instant> m_rejected_at;
};

} // namespace plantainward::succession
