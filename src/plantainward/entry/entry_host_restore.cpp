// Records that a table service has lost, since it returned from a copy.

#include <plantainward/entry/entry_host.hpp>

#include <utility>

namespace plantainward::entry
{

namespace
{

// Restored rows are taken for the newest ones if nobody has written them again
// within this time: no majority may know newer ones any more. Longer than a
// voter needs to read the table, to hear from a majority and to write.
constexpr core::millis adoption_timeout{5000};

// Each further host in the order waits this much longer before it writes the
// same records; a conditional write and its announcement take about 20 ms.
constexpr core::millis rank_delay{200};

// Between attempts to write records again.
constexpr core::millis rewrite_interval{500};

} // namespace

bool entry_host::must_adopt(core::boot_instant now) const
{
    return m_records_lost_since &&
           now - *m_records_lost_since >= adoption_timeout;
}

// Whether a host that has just started waits for the present records. The voter
// set is the last row to be written again.
bool entry_host::awaits_rewrite(const record_table& table,
                                core::boot_instant now)
{
    if (!table.voters.is_restored)
        return false;
    if (!m_records_lost_since)
        m_records_lost_since = now;
    return !must_adopt(now);
}

// Takes restored records of services for which no newer record has shown up.
// The primary may have been replaced since the copy, so the record counts as
// claimed, and the service's databases are asked before one is used.
bool entry_host::adopt_restored(const record_table& table,
                                core::boot_instant now, entry_actions& out)
{
    if (!must_adopt(now))
        return false;
    bool changed = false;
    for (const auto& [service, restored] : table.restored)
    {
        if (succession_of(service).lease().record().version != 0)
            continue;
        auto record = restored;
        record.phase = succession::leadership_phase::claimed;
        record.promoting = true;
        changed = update_record(service, record, now, out) || changed;
    }
    return changed;
}

// Version of the row of a service, 0 for none, if the table has lost this
// host's record of the service; empty otherwise.
std::optional<std::uint64_t>
entry_host::lost_row_version(const record_table& table,
                             const std::string& service) const
{
    const auto version = m_successions.at(service).lease().record().version;
    const auto restored = table.restored.find(service);
    if (restored != table.restored.end())
        return version < restored->second.version
                   ? std::optional(restored->second.version)
                   : std::nullopt;
    const bool is_set_lost =
        table.voters.is_restored ||
        (table.voters.version == 0 && m_fleet.voters().version != 0);
    if (is_set_lost && version != 0 && !table.records.contains(service))
        return 0;
    return std::nullopt;
}

void entry_host::note_lost_records(const record_table& table,
                                   core::boot_instant read_at,
                                   core::boot_instant now)
{
    const auto known = std::exchange(m_lost_records, {});
    for (const auto& [service, service_succession] : m_successions)
    {
        const auto row_version = lost_row_version(table, service);
        if (!row_version)
            continue;
        auto& lost = m_lost_records[service];
        lost = {*row_version, table.voters.version, read_at};
        // Reading the same rows again must not delay the proof that is needed.
        const auto earlier = known.find(service);
        if (earlier != known.end() &&
            earlier->second.row_version == lost.row_version &&
            earlier->second.voters_row_version == lost.voters_row_version)
            lost.read_at = earlier->second.read_at;
    }
    if (m_lost_records.empty())
        m_records_lost_since.reset();
    else if (!m_records_lost_since)
        m_records_lost_since = now;
}

// Only a record that a quorum has proved since the table was read: a claim that
// is newer, and was lost with the table, is known to a majority of the voters,
// or it has not replaced the primary and never will, since its next write
// fails.
bool entry_host::may_rewrite(const std::string& service,
                             core::boot_instant now) const
{
    const auto version = m_successions.at(service).lease().record().version;
    const auto proved_at = m_fleet.quorum_instant(service, version, now);
    const auto& lost = m_lost_records.at(service);
    // Another host has written it again in the meantime.
    const bool is_rewritten =
        lost.row_version != 0 && version > lost.row_version;
    const auto due_at = *m_records_lost_since +
                        rank_delay * static_cast<int>(rank_for(service, now));
    return version != 0 && !is_rewritten && now >= due_at && proved_at &&
           *proved_at >= lost.read_at;
}

void entry_host::rewrite_lost_records(core::boot_instant now,
                                      entry_actions& out)
{
    if (m_lost_records.empty() || !m_fleet.is_voter() || !m_may_claim ||
        !is_registered() || now - m_last_rewrite < rewrite_interval)
        return;
    for (const auto& [service, lost] : m_lost_records)
    {
        if (!may_rewrite(service, now))
            continue;
        m_last_rewrite = now;
        write_record_action action;
        action.service = service;
        action.write.id = rewrite_id;
        action.write.expected = lost.row_version;
        action.write.record = m_successions.at(service).lease().record();
        action.write.record.version = 0;
        // The promotion of a claim may have been recorded after the copy.
        if (action.write.record.phase == succession::leadership_phase::claimed)
            action.write.record.promoting = true;
        report(observe::log_event::record_rewritten, service,
               std::string(succession::phase_names[action.write.record.phase]) +
                   ' ' + action.write.record.primary +
                   ", in place of version " + std::to_string(lost.row_version));
        out.control.emplace_back(std::move(action));
    }
}

} // namespace plantainward::entry
