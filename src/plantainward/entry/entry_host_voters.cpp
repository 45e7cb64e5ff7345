// The shared voter set: reading, changing and repairing it.

#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>

namespace plantainward::entry
{

namespace
{

// Hosts that start together read the records this long after their first list
// of hosts. The first of them creates the voter set meanwhile, so that one read
// of each host is enough.
constexpr core::millis first_read_delay{300};

// Age of the records from which a voter reads them again, so that it may
// continue to confirm them; an outage of the table service that begins then
// ends before the limit.
constexpr core::millis record_refresh_interval{5000};

// Between such reads while they fail.
constexpr core::millis record_retry_interval{2000};

// Within this time a host that does not vote gets a changed set from a voter.
constexpr core::millis voters_update_time{1000};

// Between writes of the set by one host, as while the table service refuses
// them.
constexpr core::millis voters_write_interval{1000};

std::string description_of(const fleet::voter_set& voters)
{
    return std::to_string(voters.names.size()) + " voters" +
           (voters.is_joint()
                ? ", replacing " + std::to_string(voters.previous.size())
                : std::string()) +
           (voters.needs_recent_reads ? ", with recent reads only" : "");
}

} // namespace

table_source entry_host::choose_table_source() const
{
    if (m_members_version == 0)
        return table_source::first_list;
    if (m_fleet.voters().version == 0)
        return table_source::none;
    return m_fleet.is_voter() ? table_source::table_service
                              : table_source::voters;
}

void entry_host::read_records(core::boot_instant now, entry_actions& out)
{
    m_last_record_read = now;
    out.control.emplace_back(read_records_action{});
}

void entry_host::set_voters(const fleet::voter_set& voters)
{
    if (voters.version <= m_fleet.voters().version)
        return;
    m_fleet.set_voters(voters);
    report(observe::log_event::voters_in_force, {},
           description_of(voters) + ", version " +
               std::to_string(voters.version));
    plan_connections();
}

// The owners of quotas are chosen among the voters. Owners that continue keep
// their buckets.
void entry_host::update_quotas(core::boot_instant now)
{
    if (!m_pooler.has_quotas() || m_fleet.voters().version == 0)
        return;
    quota::voter_domains domains;
    for (const auto& name : m_fleet.voters().names)
        if (const auto known = m_known_domains.find(name);
            known != m_known_domains.end())
            domains.insert(*known);
    const bool has_all_domains =
        domains.size() == m_fleet.voters().names.size();
    m_pooler.set_quota_voters(m_fleet.voters().version, domains,
                              has_all_domains, now);
    if (const auto at = m_fleet.majority_instant(now))
        m_pooler.set_quota_majority_at(*at, now);
}

void entry_host::update_voters(const fleet::voter_row& row,
                               core::boot_instant read_at,
                               core::boot_instant now)
{
    m_voters_row_version = row.version;
    m_is_voters_row_restored = row.is_restored;
    // A restored set may be older than the one in force. It is needed where
    // hosts that have restarted know no other, and no set has a quorum.
    if (row.is_restored && m_knows_records && !must_adopt(now))
        return;
    if (row.voters)
        set_voters(*row.voters);
    m_fleet.note_records_read(row.voters ? row.version : 0, read_at);
}

// Position of this host in the order in which hosts create the voter set.
std::size_t entry_host::rank_for_voters() const
{
    const auto weight = [](const std::string& name) {
        return core::placement_hash("voters", name);
    };
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& entry) {
            return weight(entry.first) > weight(m_identity.name);
        }));
}

// Whether the records must be read because of the voter set.
bool entry_host::must_read_voters(core::boot_instant now) const
{
    const auto version = m_fleet.voters().version;
    if (!m_knows_records || version == 0)
        return m_members_version > 0 &&
               (rank_for_voters() == 0 ||
                now - m_members_known_at >= first_read_delay);
    // The other hosts usually get a change from a voter. One that has become a
    // voter must learn of it also when its sources are lost.
    if (!m_fleet.is_voter())
        return m_fleet.newest_voters_version() > version &&
               now - m_fleet.newest_voters_shown_at() > voters_update_time &&
               now - m_last_record_read > record_retry_interval;
    if (!m_lost_records.empty())
        return true;
    const bool is_behind = std::max(version, m_fleet.newest_voters_version()) >
                           m_fleet.read_voters_version();
    return is_behind ||
           (now - m_fleet.records_read_at() > record_refresh_interval &&
            now - m_last_record_read > record_retry_interval);
}

void entry_host::change_voters(core::boot_instant now, entry_actions& out)
{
    const auto& voters = m_fleet.voters();
    const bool is_without_voters = m_fleet.is_without_voters(now) &&
                                   voters.version == m_voters_row_version;
    const bool may_change =
        voters.version == 0 || m_fleet.is_voter() || is_without_voters;
    // A host that starts takes the records of a present voter set for present
    // ones, so the set is the last row to be written again.
    if (!m_knows_records || m_is_writing_voters || !m_may_claim ||
        !is_registered() || !may_change || !m_lost_records.empty())
        return;
    const auto rank = voters.version == 0 || is_without_voters
                          ? rank_for_voters()
                          : rank_for(std::string(voters_key), now);
    const auto live = m_fleet.live_voters(now);
    const auto due = m_voter_change.tick(
        {voters,
         m_is_voters_row_restored ? 0 : m_voters_row_version,
         m_members,
         m_fleet.heard_members(now),
         m_fleet.absent_voters(now),
         m_fleet.previous_voters_informed(),
         rank,
         m_identity.name,
         {live.begin(), live.end()},
         m_fleet.contact(),
         m_fleet.urgently_absent_voters(now),
         is_without_voters},
        now);
    if (!due || now - m_last_voters_write < voters_write_interval)
        return;
    m_last_voters_write = now;
    m_is_writing_voters = true;
    m_fleet.note_voters_write();
    report(observe::log_event::voters_write, {},
           description_of(*due) + ", after version " +
               std::to_string(m_voters_row_version));
    out.control.emplace_back(write_voters_action{m_voters_row_version, *due});
}

entry_actions entry_host::on_voters_written(core::boot_instant now)
{
    entry_actions out;
    m_is_writing_voters = false;
    read_records(now, out);
    return out;
}

} // namespace plantainward::entry
