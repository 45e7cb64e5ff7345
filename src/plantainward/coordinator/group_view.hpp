#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace plantainward::coordinator
{

/// What one proxy knows about the databases of a group, and what that proves.
///
/// All knowledge comes from the databases' statuses. Each status is dated by
/// the instant at which its request was sent: what it reports was true then or
/// later.
class group_view
{
public:
    explicit group_view(std::size_t members);

    /// Records the status of a member, unless a newer one is known; true when
    /// the term or the primary changed.
    bool record_status(std::size_t member, const upstream::slot_status& status,
                       core::instant sent_at);

    /// Records the log point that a read or commit at the primary saw as a
    /// watermark.
    void record_primary_point(const upstream::log_point& point,
                              core::instant sent_at);

    /// Routes no reads to a member until its next status arrives.
    void set_unreachable(std::size_t member);

    /// Stops routing to the primary until a database reports itself as primary
    /// in a status requested after this instant or at a newer term.
    void invalidate_primary(core::instant now);

    /// The member that is primary of the newest term; empty when none is known
    /// or it was invalidated.
    std::optional<std::size_t> primary() const;

    /// The newest term for which a primary is known; 0 when there is none.
    upstream::term_number term() const { return m_term; }

    /// The newest status of a member; a default one before the first arrives.
    const upstream::slot_status& status(std::size_t member) const;

    /// Whether every possible promotion keeps this log point: enough replicas
    /// hold it, judged by those whose last entry is of the same term. The
    /// replica that showed the point in its answer counts without its status.
    bool is_confirmed(const upstream::log_point& point,
                      std::optional<std::size_t> answering_replica = {}) const;

    /// Whether it is proved that the primary had not been replaced at this
    /// instant: enough replicas reported its term in statuses requested later.
    bool is_primary_proved_at(core::instant when) const;

    /// Whether a member is known to be a replica whose data includes this
    /// point.
    bool replica_serves(std::size_t member,
                        const upstream::log_point& at_least) const;

    /// The newest instant for which it is proved that all data committed until
    /// then is included in this log point; empty when nothing is proved.
    std::optional<core::instant>
    data_proved_until(const upstream::log_point& point) const;

private:
    struct member_state
    {
        upstream::slot_status status;
        core::instant sent_at;
        bool known{false};
        bool reachable{false};
    };

    /// Proof that the primary's log ended at this point or before it at this
    /// instant.
    struct watermark
    {
        core::instant when;
        upstream::log_point point;
    };

    std::size_t confirmations_needed() const { return m_members.size() / 2; }
    void add_watermark(const watermark& mark);

    std::vector<member_state> m_members;
    std::deque<watermark> m_watermarks;
    upstream::term_number m_term{0};
    std::optional<std::size_t> m_primary;
    std::optional<core::instant> m_invalidated_at;
};

} // namespace plantainward::coordinator
