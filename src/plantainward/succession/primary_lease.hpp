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
/// It is valid for `validity` after an instant at which the table service or a
/// quorum of the fleet proved the record current. A host that replaces the
/// primary waits that long, or until every member has acknowledged the claim.
class primary_lease
{
public:
    /// Longest use of a primary without a new proof: five heartbeat intervals,
    /// so that a few lost datagrams do not end it.
    static constexpr core::millis validity{1500};

    /// Replaces the record; ignores one that is not newer. True when the
    /// record has changed.
    bool update_record(const leadership& record)
    {
        if (record.version <= m_record.version)
            return false;
        m_record = record;
        m_proved_at.reset();
        return true;
    }

    /// Notes that the record of this version was current at `at` or later.
    void prove(std::uint64_t version, core::boot_instant at)
    {
        if (version != m_record.version)
            return;
        m_proved_at = m_proved_at ? std::max(*m_proved_at, at) : at;
    }

    const leadership& record() const { return m_record; }

    /// Latest instant at which the record was proved current.
    std::optional<core::boot_instant> proved_at() const { return m_proved_at; }

    /// Instant until which the primary may be used; empty when the record is
    /// claimed or not proved.
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
