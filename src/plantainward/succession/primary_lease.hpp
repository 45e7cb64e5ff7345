#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/succession/leadership.hpp>

#include <algorithm>
#include <optional>

namespace plantainward::succession
{

/// The right of this host to use the recorded primary of one service.
///
/// It holds for `validity` after an instant at which the record was proved
/// current: by the table service, or by a quorum of the fleet. Whoever
/// replaces the primary waits that long, or until every member has agreed.
class primary_lease
{
public:
    /// Longest use of a primary without a new proof. Five heartbeats fit in.
    static constexpr core::millis validity{1500};

    /// Takes a record; older ones than the known one are dropped.
    /// True when it changed what is known.
    bool take(const leadership& record)
    {
        if (record.version <= m_record.version)
            return false;
        m_record = record;
        m_proved_at.reset();
        return true;
    }

    /// The record of this version was current at this instant or later.
    void prove(std::uint64_t version, core::boot_instant at)
    {
        if (version != m_record.version)
            return;
        m_proved_at = m_proved_at ? std::max(*m_proved_at, at) : at;
    }

    const leadership& record() const { return m_record; }

    /// Latest instant at which the record was proved current.
    std::optional<core::boot_instant> proved_at() const { return m_proved_at; }

    /// Until when the primary may be used; empty when it may not.
    std::optional<core::boot_instant> valid_until() const
    {
        if (m_record.phase != leadership_phase::settled || !m_proved_at)
            return std::nullopt;
        return *m_proved_at + validity;
    }

private:
    leadership m_record;
    std::optional<core::boot_instant> m_proved_at;
};

} // namespace plantainward::succession
