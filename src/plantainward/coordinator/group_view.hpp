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

/// What one proxy knows of a group, and what follows from it.
///
/// Knowledge comes from statuses alone. Each is dated by the instant at which
/// its request was sent: what it reports held at that instant or later.
class group_view
{
public:
    explicit group_view(std::size_t members);

    /// Takes a member's status; true when the term or the primary changed.
    bool observe(std::size_t member, const upstream::slot_status& status,
                 core::instant sent_at);

    /// Takes what a read or commit at the primary saw as a mark of age.
    void observe_primary_point(const upstream::log_point& point,
                               core::instant sent_at);

    /// Takes no reads at a member until its next status.
    void set_unreachable(std::size_t member);

    /// Stops routing to the primary until a newer status supports it.
    void doubt(core::instant now);

    /// The member that is primary of the newest term, unless doubted.
    std::optional<std::size_t> primary() const;

    /// The newest term in which a primary was seen.
    upstream::term_number term() const { return m_term; }

    /// The last known status of a member.
    const upstream::slot_status& status(std::size_t member) const;

    /// Whether any promotion must include this point, by members whose last
    /// entry is of the point's term. One replica may vouch by its own answer.
    bool is_confirmed(const upstream::log_point& point,
                      std::optional<std::size_t> vouching = {}) const;

    /// Whether the primary was not yet replaced at this instant.
    bool is_primary_proved_at(core::instant when) const;

    /// Whether a replica is known to serve reads at this point.
    bool replica_serves(std::size_t member,
                        const upstream::log_point& at_least) const;

    /// The newest instant whose whole data is included in this log point.
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

    /// At this instant the primary's log ended at this point or before it.
    struct age_mark
    {
        core::instant when;
        upstream::log_point point;
    };

    std::size_t confirmations_needed() const { return m_members.size() / 2; }
    void add_mark(const age_mark& mark);

    std::vector<member_state> m_members;
    std::deque<age_mark> m_marks;
    upstream::term_number m_term{0};
    std::optional<std::size_t> m_primary;
    std::optional<core::instant> m_doubted_at;
};

} // namespace plantainward::coordinator
