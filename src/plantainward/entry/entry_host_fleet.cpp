// What a host tells other hosts, takes from them, and proves with them.

#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_reason.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::entry
{

namespace
{

// A lease that would run out within this time is renewed from the table
// service, since the fleet's quorum has not renewed it.
constexpr core::millis renew_ahead{500};

// Between reads of the records while the quorum fails.
constexpr core::millis record_read_interval{500};

// Between reads of the records while one is claimed or does not exist yet.
constexpr core::millis unsettled_read_interval{3000};

// A feed delivers within this time; a peer that knows more after it shows that
// the feed of this host fails.
constexpr core::millis feed_patience{500};

// Between reads of tables because of a peer's newer version.
constexpr core::millis table_read_interval{500};

// Changes of a table are gathered for up to 1.5 s; a host that is behind for
// longer does not hear of a primary that leaves.
constexpr core::millis longest_behind{2000};

// Between removals of lost members, so that news of one arrives first.
constexpr core::millis removal_interval{1000};

// A lease that is proved late by this much is no isolation; a few heartbeats.
constexpr core::millis isolation_patience{400};

// Age up to which marks and proofs are told to peers, in milliseconds; above
// the largest age that routes state.
constexpr std::int64_t largest_told_age_ms = 3000;

/// Age for a heartbeat, rounded up; negative when it is too old to be of use.
std::int16_t age_in_ms(core::boot_instant now, core::boot_instant since)
{
    const auto age = core::to_ms(now - since) + 1;
    return age > largest_told_age_ms ? std::int16_t{-1}
                                     : static_cast<std::int16_t>(age);
}

} // namespace

// The feeds bring changes first; a peer that knows more after some time shows
// that a feed of this host has gone silent.
void entry_host::read_what_peers_know(const fleet::heartbeat& got,
                                      core::boot_instant now,
                                      entry_actions& out)
{
    // A peer that is as far behind does not show that this host is not.
    m_told_routing = std::max(m_told_routing, got.routing_version);
    m_told_upstreams = std::max(m_told_upstreams, got.upstreams_version);
    const bool routing_behind = m_told_routing > m_pooler.routing().version;
    const bool upstreams_behind = m_told_upstreams > m_upstreams_version;
    if (!routing_behind && !upstreams_behind)
    {
        m_behind_since.reset();
        return;
    }
    if (!m_behind_since)
        m_behind_since = now;
    if (now - *m_behind_since < feed_patience ||
        now - m_last_table_read < table_read_interval)
        return;
    m_last_table_read = now;
    if (routing_behind)
        out.control.emplace_back(read_routing_action{});
    if (!upstreams_behind)
        return;
    m_wanted_upstreams = m_told_upstreams;
    out.control.emplace_back(read_upstreams_action{});
}

fleet::service_status
entry_host::service_status_of(const std::string& service,
                              core::boot_instant now) const
{
    fleet::service_status made;
    const auto& one = m_successions.at(service);
    const auto& record = one.lease().record();
    made.record_version = record.version;
    made.watches_primary = watches(service);
    const bool is_behind =
        m_behind_since && now - *m_behind_since > longest_behind;
    made.cannot_write = one.has_unanswered_request() ||
                        ((!m_claims || is_behind) && !one.running_claim());
    made.suspects_primary = m_pooler.is_doubted(service, record.primary, now);
    if (const auto proved = one.lease().proved_at())
        made.proof_age_ms = age_in_ms(now, *proved);
    const auto mark = m_pooler.newest_mark(service);
    if (!mark)
        return made;
    made.watermark = mark->point;
    made.watermark_age_ms = age_in_ms(now, mark->since);
    return made;
}

// Beside the peers of every round: hosts whose agreement a claim of this host
// waits for, and hosts that wait for the agreement of this one.
std::set<std::string>
entry_host::heartbeat_targets(core::boot_instant now) const
{
    const auto usual = m_fleet.targets(now);
    std::set<std::string> names{usual.begin(), usual.end()};
    for (const auto& [service, one] : m_successions)
    {
        if (!one.running_claim())
            continue;
        const auto unacknowledged =
            m_fleet.unacknowledged(service, one.lease().record().version, now);
        names.insert(unacknowledged.begin(), unacknowledged.end());
    }
    for (const auto& name : m_awaiting)
        if (m_fleet.peers().contains(name))
            names.insert(name);
    return names;
}

void entry_host::send_heartbeat(
    const std::string& peer,
    const std::map<std::string, fleet::service_status>& news,
    entry_actions& out)
{
    auto made = m_fleet.make_heartbeat(peer);
    made.knows_records = m_knows_records;
    made.routing_version = m_pooler.routing().version;
    made.upstreams_version = m_upstreams_version;
    for (const auto& [service, one] : news)
    {
        const bool has_record =
            m_fleet.version_known_by(peer, service) < one.record_version;
        const bool is_asked = m_awaiting.contains(peer);
        // Others hear only of services that they or this host serve.
        const bool is_of_use = m_fleet.is_voter()
                                   ? m_fleet.is_interested_in(peer, service)
                                   : watches(service);
        if (!is_of_use && !is_asked && !(m_fleet.is_voter() && has_record))
            continue;
        auto& told = made.services[fleet::key_of(service)];
        told = one;
        if (has_record)
            told.record = m_successions.at(service).lease().record();
    }
    if (const auto where = m_fleet.address_of(peer))
        out.control.emplace_back(heartbeat_action{*where, fleet::encode(made)});
}

void entry_host::send_heartbeats(core::boot_instant now, entry_actions& out)
{
    m_last_round = now;
    m_fleet.start_round(now);
    const auto targets = heartbeat_targets(now);
    if (targets.empty())
        return;
    std::map<std::string, fleet::service_status> services;
    for (const auto& [service, one] : m_successions)
        services.emplace(service, service_status_of(service, now));
    for (const auto& name : targets)
        send_heartbeat(name, services, out);
    m_awaiting.clear();
}

entry_actions entry_host::on_heartbeat(std::string_view bytes,
                                       core::boot_instant now)
{
    entry_actions out;
    const auto got = fleet::decode_heartbeat(bytes);
    if (!got)
    {
        tell(observe::log_event::heartbeat_refused, {},
             core::last_reason().text);
        return out;
    }
    if (!m_fleet.on_heartbeat(*got, now))
        return out;
    const auto& peer = m_fleet.peers().at(got->host);
    bool changed = false;
    for (const auto& [key, news] : got->services)
    {
        const auto known = m_service_keys.find(key);
        if (known == m_service_keys.end())
            continue;
        const auto& service = known->second;
        if (news.record)
        {
            changed = take_record(service, *news.record, now, out) || changed;
            // The sender doesn't know yet that this host knows the record.
            m_awaiting.insert(got->host);
        }
        const bool has_mark = news.watermark_age_ms >= 0 &&
                              peer.confirmed_at != core::boot_instant{};
        if (has_mark)
            m_pooler.add_mark(service, {peer.confirmed_at -
                                            core::millis(news.watermark_age_ms),
                                        news.watermark});
    }
    read_what_peers_know(*got, now, out);
    if (changed)
        send_heartbeats(now, out);
    return out;
}

std::size_t entry_host::rank_for(const std::string& service,
                                 core::boot_instant now) const
{
    const auto weight = [&](const std::string& name) {
        return core::placement_hash(service, name);
    };
    const auto own = weight(m_identity.name);
    std::size_t rank = 0;
    for (const auto& name : m_fleet.live_voters(now))
        rank += weight(name) > own ? 1 : 0;
    return rank;
}

void entry_host::renew_leases(core::boot_instant now, entry_actions& out)
{
    bool runs_out = !m_knows_records;
    for (auto& [service, one] : m_successions)
    {
        const auto version = one.lease().record().version;
        if (m_knows_records && is_registered())
            if (const auto at = m_fleet.proof_instant(service, version, now))
                one.prove(version, *at);
        update_primary(one, now, out);
        // A host without connections to the databases needs no lease.
        if (!watches(service))
            continue;
        const auto until = one.lease().valid_until();
        const bool settled =
            one.lease().record().phase == succession::leadership_phase::settled;
        // News of a claim comes from its writer first.
        const bool is_late =
            settled ? !until || *until - now < renew_ahead
                    : now - m_last_record_read > unsettled_read_interval;
        runs_out = runs_out || is_late;
    }
    if (!runs_out || now - m_last_record_read < record_read_interval)
        return;
    m_last_record_read = now;
    // Hosts that start together read the list once all have registered.
    if (m_members_version > 0)
        out.control.emplace_back(read_members_action{});
    out.control.emplace_back(read_records_action{});
}

void entry_host::remove_lost_members(core::boot_instant now, entry_actions& out)
{
    // Only voters hear from all voters.
    if (!m_fleet.is_voter() || !m_knows_records ||
        now - m_last_removal < removal_interval)
        return;
    const auto lost = m_fleet.lost_voters(now);
    if (lost.empty() || rank_for(lost.front(), now) != 0)
        return;
    m_last_removal = now;
    tell(observe::log_event::member_removed, {}, lost.front());
    out.control.emplace_back(remove_member_action{lost.front()});
}

std::size_t entry_host::doubted_services(core::boot_instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_successions.begin(), m_successions.end(), [&](const auto& one) {
            return m_pooler.is_doubted(
                one.first, one.second.lease().record().primary, now);
        }));
}

// A host that can't prove a settled record has lost both the fleet and the
// table service; nothing that needs a primary can be served here.
void entry_host::watch_isolation(core::boot_instant now)
{
    const bool lacks_proof = std::any_of(
        m_successions.begin(), m_successions.end(), [&](const auto& one) {
            const auto& lease = one.second.lease();
            const auto until = lease.valid_until();
            return watches(one.first) &&
                   lease.record().phase ==
                       succession::leadership_phase::settled &&
                   (!until || *until <= now);
        });
    if (!lacks_proof)
    {
        if (m_isolated_since)
            tell(observe::log_event::isolation_over, {},
                 "leases are proved again");
        m_isolated_since.reset();
        m_pooler.set_isolated(false);
        return;
    }
    if (!m_isolated_since)
    {
        m_isolated_since = now;
        tell(observe::log_event::isolated, {},
             "no quorum and no table service for a lease");
    }
    m_pooler.set_isolated(now - *m_isolated_since > isolation_patience);
}

} // namespace plantainward::entry
