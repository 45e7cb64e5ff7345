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
#include <string>
#include <variant>
#include <vector>

namespace plantainward::succession
{

/// Why a primary is replaced.
enum class claim_cause : std::uint8_t
{
    /// No record exists yet.
    unset,
    /// The host that was replacing the primary does not go on.
    abandoned,
    /// Most hosts get no answer from the primary.
    lost,
    /// The primary announces its end.
    leaving,
    /// The primary is no longer registered.
    gone,
    /// The primary has restarted.
    restarted
};

/// Names of the causes in logs.
inline constexpr core::enum_names<claim_cause, 6> cause_names{
    {"unset", "abandoned", "lost", "leaving", "gone", "restarted"}};

/// Writes the record if its version is still `expected`.
struct write_action
{
    /// Tells the answer to this write from late ones to earlier writes.
    std::uint64_t id{0};
    std::uint64_t expected{0};
    leadership record;
};

/// Asks a database for its status.
struct status_action
{
    std::string upstream;
};

/// Makes a primary below this term a replica.
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
    /// When the conditional write that gave the token was sent.
    core::boot_instant written{};
    /// The call must not reach the platform later.
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
    unknown
};

/// Names of the ends of promotion calls in logs.
inline constexpr core::enum_names<promotion_outcome, 3> promote_end_names{
    {"accepted", "rejected", "not known"}};

/// What a claim knows of the world at one step.
struct claim_view
{
    /// Databases of the service that are registered.
    std::vector<routes::upstream> upstreams;
    /// Voting hosts, this one included.
    std::size_t members{1};
    /// Voting hosts that have given up the primary of before the claim.
    std::function<std::size_t(std::uint64_t version, core::boot_instant since)>
        aware;
    /// Whether every host that may hold a lease has given it up: all that were
    /// registered at `since` or later, voters and others.
    std::function<bool(std::uint64_t version, core::boot_instant since)>
        all_aware;
};

/// Stage of a claim.
enum class claim_stage : std::uint8_t
{
    writing,
    gathering,
    confirming,
    promoting,
    settling,
    finished
};

/// Names of the stages in logs.
inline constexpr core::enum_names<claim_stage, 6> stage_names{
    {"writing", "gathering", "confirming", "promoting", "settling",
     "finished"}};

/// Why a claim has ended.
enum class claim_end : std::uint8_t
{
    /// The record names a primary again.
    settled,
    /// The record was changed by another host before this one wrote it.
    conflict,
    /// A conditional write had no answer.
    write_unknown,
    /// The answer to the conditional write came too late for its promotion.
    too_late,
    /// Another host has written a newer record.
    superseded,
    /// The platform did not answer this host's promotion calls.
    unanswered
};

/// Names of the reasons in logs.
inline constexpr core::enum_names<claim_end, 6> end_names{
    {"settled", "conflict", "write_unknown", "too_late", "superseded",
     "unanswered"}};

/// One attempt of this host to replace the primary of a service.
///
/// The record is claimed by a conditional write, then every use of the old
/// primary ends: all hosts agree, or the leases of those that don't run out.
/// Only then the longest log among the databases is promoted, and the record
/// is settled. Any step may be the last; another host claims the record then.
class claim
{
public:
    claim(std::string self, leadership before, claim_cause cause,
          core::boot_instant now);

    /// The first action.
    claim_actions start();

    claim_actions on_write(write_outcome end, std::uint64_t version,
                           core::boot_instant now);
    void on_status(const std::string& upstream, core::boot_instant asked,
                   const sql::status_answer& status);
    void on_promote(promotion_outcome end, core::boot_instant now);
    claim_actions tick(const claim_view& view, core::boot_instant now);

    claim_stage stage() const { return m_stage; }
    /// Last stage before the end.
    claim_stage reached() const { return m_reached; }
    /// Why it has finished.
    claim_end end() const { return m_end; }
    claim_cause cause() const { return m_cause; }
    /// The record as this claim last wrote it.
    const leadership& record() const { return m_record; }
    core::boot_instant started() const { return m_started; }

private:
    struct answer
    {
        core::boot_instant asked;
        sql::database_status status;
    };

    void ask_all(const claim_view& view, core::boot_instant now,
                 claim_actions& out);
    claim_actions finish(claim_end end);
    bool is_fenced(const claim_view& view, core::boot_instant now);
    std::optional<std::string> standing_primary(const claim_view& view,
                                                core::boot_instant now) const;
    std::optional<std::string> best_candidate(const claim_view& view) const;
    bool has_everything(const claim_view& view, core::boot_instant now) const;
    void gather(const claim_view& view, core::boot_instant now,
                claim_actions& out);
    bool demote_old_primary(const claim_view& view, claim_actions& out);
    void write(leadership wanted, claim_stage stage, core::boot_instant now,
               claim_actions& out);
    void settle(const claim_view& view, const std::string& upstream,
                core::boot_instant now, claim_actions& out);
    std::optional<std::string> promoted_before(const claim_view& view) const;
    const answer* answer_of(const std::string& upstream) const;
    bool waits_for_newer_log(const claim_view& view, const std::string& best,
                             core::boot_instant now) const;
    bool has_promoted(const answer& chosen) const;

    std::string m_self;
    leadership m_before;
    leadership m_record;
    leadership m_wanted;
    claim_cause m_cause;
    claim_stage m_stage{claim_stage::writing};
    claim_stage m_reached{claim_stage::writing};
    claim_end m_end{claim_end::settled};
    core::boot_instant m_started;
    core::boot_instant m_last_sent{};
    core::boot_instant m_claimed_at{};
    std::optional<core::boot_instant> m_majority_at;
    std::optional<core::boot_instant> m_fenced_at;
    std::optional<core::boot_instant> m_demoted_at;
    core::boot_instant m_last_asked{};
    core::boot_instant m_promoted_at{};
    std::optional<core::boot_instant> m_accepted_at;
    int m_unanswered{0};
    /// An earlier promotion may have been asked for than the one under way.
    bool m_promoted_before{false};
    std::map<std::string, answer> m_answers;
    /// Databases that don't run, with the instant of the question.
    std::map<std::string, core::boot_instant> m_down_at;
    std::map<std::string, core::boot_instant> m_rejected;
};

} // namespace plantainward::succession
