// Heartbeats: sending and receiving them, and proving leases with them.

#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::entry
{

namespace
{

// A lease that ends within this time is renewed by a read of the table service,
// since the quorum of the fleet has not renewed it.
constexpr core::millis renewal_margin{500};

// Interval between reads of the records while there is no quorum.
constexpr core::millis record_read_interval{500};

// Interval between reads of the records while one is claimed or does not exist
// yet.
constexpr core::millis unsettled_read_interval{3000};

// A feed delivers a change within this time. If a peer has had newer tables for
// longer, the feed of this host has failed.
constexpr core::millis feed_timeout{500};

// Interval between reads of tables because of a peer's newer version.
constexpr core::millis table_read_interval{500};

// Changes of a table are batched for up to 1.5 s. A host that has been behind
// for longer may not know that the primary is leaving.
constexpr core::millis max_behind_time{2000};

// Interval between removals of lost members, so that the hosts learn of one
// removal before the next.
constexpr core::millis removal_interval{1000};

// Each further host in the order waits this much longer before it removes the
// same member.
constexpr core::millis rank_delay{200};

// A lease may be renewed this late, by a few heartbeats, before the host counts
// as isolated.
constexpr core::millis isolation_timeout{400};

// Maximal age of watermarks and proofs in heartbeats; larger than any age that
// a route allows.
constexpr std::int64_t max_reported_age_ms = 3000;

/// Age for a heartbeat, rounded up; negative when it exceeds the maximum.
std::int16_t age_in_ms(core::boot_instant now, core::boot_instant since)
{
    const auto age = core::to_ms(now - since) + 1;
    return age > max_reported_age_ms ? std::int16_t{-1}
                                     : static_cast<std::int16_t>(age);
}

} // namespace

// Feeds usually deliver changes before a peer's heartbeat shows them. If a peer
// is still ahead after some time, a feed of this host has failed and the table
// is read.
void entry_host::request_newer_tables(const fleet::heartbeat& heartbeat,
                                      core::boot_instant now,
                                      entry_actions& out)
{
    if (heartbeat.routing_version >= m_peer_routing_version)
        m_newest_routing_host = heartbeat.host;
    // The newest versions count: a heartbeat of a peer that is as far behind
    // does not show that this host is up to date.
    m_peer_routing_version =
        std::max(m_peer_routing_version, heartbeat.routing_version);
    m_peer_upstreams_version =
        std::max(m_peer_upstreams_version, heartbeat.upstreams_version);
    const bool routing_behind =
        m_peer_routing_version > m_pooler.routing().version;
    const bool upstreams_behind =
        m_peer_upstreams_version > m_upstreams_version;
    if (!routing_behind && !upstreams_behind)
    {
        m_behind_since.reset();
        return;
    }
    if (!m_behind_since)
        m_behind_since = now;
    if (now - *m_behind_since < feed_timeout ||
        now - m_last_table_read < table_read_interval)
        return;
    m_last_table_read = now;
    report(
        {observe::log_event::tables_behind,
         {},
         heartbeat.host,
         {{"routing", std::to_string(m_pooler.routing().version)},
          {"peer_routing", std::to_string(m_peer_routing_version)},
          {"list_version", std::to_string(m_upstreams_version)},
          {"peer_list_version", std::to_string(m_peer_upstreams_version)},
          {"unreachable_tables", std::to_string(m_unreachable_tables.size())},
          {"behind_ms", std::to_string(core::to_ms(now - *m_behind_since))}}});
    if (routing_behind)
        out.control.emplace_back(read_routing_action{});
    // One read of the table service has had time to succeed.
    const auto source = address_of(m_newest_routing_host);
    if (routing_behind && source &&
        now - *m_behind_since >= feed_timeout + table_read_interval)
        out.control.emplace_back(fetch_routing_action{*source});
    if (!upstreams_behind)
        return;
    m_requested_upstreams_version = m_peer_upstreams_version;
    m_upstreams_requested_at = now;
    out.control.emplace_back(read_upstreams_action{});
}

fleet::service_status
entry_host::service_status_of(const std::string& service,
                              core::boot_instant now) const
{
    fleet::service_status status;
    const auto& service_succession = m_successions.at(service);
    const auto& record = service_succession.lease().record();
    status.record_version = record.version;
    status.watches_primary = watches(service);
    const bool is_behind =
        m_behind_since && now - *m_behind_since > max_behind_time;
    status.cannot_write =
        service_succession.has_unanswered_request() ||
        ((!m_may_claim || is_behind) && !service_succession.running_claim());
    status.suspects_primary =
        m_pooler.is_suspected(service, record.primary, now);
    status.in_flight = m_pooler.in_flight_by_database(service);
    if (status.in_flight.size() > fleet::max_reported_databases)
        status.in_flight.clear();
    if (const auto proved_at = service_succession.lease().proved_at())
        status.proof_age_ms = age_in_ms(now, *proved_at);
    const auto watermark = m_pooler.newest_watermark(service);
    if (!watermark)
        return status;
    status.watermark = watermark->point;
    status.watermark_age_ms = age_in_ms(now, watermark->since);
    return status;
}

// The targets of every round, and in addition the hosts whose acknowledgement a
// claim of this host waits for and those that wait for one of this host.
std::set<std::string>
entry_host::heartbeat_targets(core::boot_instant now) const
{
    const auto regular = m_fleet.targets(now);
    std::set<std::string> names{regular.begin(), regular.end()};
    for (const auto& [service, service_succession] : m_successions)
    {
        const auto& claim = service_succession.running_claim();
        if (!claim || !claim->awaits_fence())
            continue;
        const auto unacknowledged = m_fleet.unacknowledged(
            service, service_succession.lease().record().version, now);
        names.insert(unacknowledged.begin(), unacknowledged.end());
    }
    for (const auto& [name, services] : m_awaiting_acknowledgement)
        if (m_fleet.peers().contains(name))
            names.insert(name);
    return names;
}

// Whether a heartbeat to the peer includes a service. Members that do not vote
// get only the services that they use, and those whose claims wait for them;
// they send only the services that they use themselves.
bool entry_host::must_report(const std::string& service,
                             const std::string& peer) const
{
    const bool is_interested = m_fleet.is_voter()
                                   ? m_fleet.is_interested_in(peer, service)
                                   : watches(service);
    const auto awaiting = m_awaiting_acknowledgement.find(peer);
    if (is_interested || (awaiting != m_awaiting_acknowledgement.end() &&
                          awaiting->second.contains(fleet::key_of(service))))
        return true;
    const auto& service_succession = m_successions.at(service);
    const auto& claim = service_succession.running_claim();
    return claim && claim->awaits_fence() &&
           m_fleet.version_known_by(peer, service) <
               service_succession.lease().record().version;
}

// Whether this host and the peer both run statements of a service whose
// connections few hosts hold.
bool entry_host::exchanges_load(const std::string& service,
                                const std::string& peer) const
{
    const auto found = m_holders.find(service);
    return found != m_holders.end() && !found->second.all_hosts_hold &&
           found->second.is_holder(m_identity.name) &&
           found->second.is_holder(peer);
}

void entry_host::send_heartbeat(
    const std::string& peer,
    const std::map<std::string, fleet::service_status>& statuses,
    entry_actions& out)
{
    auto message = m_fleet.make_heartbeat(peer, m_last_round);
    message.knows_records = m_knows_records;
    message.routing_version = m_pooler.routing().version;
    message.upstreams_version = m_upstreams_version;
    report_routing_proof(message, m_last_round);
    for (const auto& [service, status] : statuses)
    {
        const bool has_record =
            m_fleet.version_known_by(peer, service) < status.record_version;
        if (!must_report(service, peer))
            continue;
        auto& sent_status = message.services[fleet::key_of(service)];
        sent_status = status;
        if (!exchanges_load(service, peer))
            sent_status.in_flight.clear();
        if (has_record)
            sent_status.record = m_successions.at(service).lease().record();
    }
    if (const auto address = m_fleet.address_of(peer))
        out.control.emplace_back(
            heartbeat_action{*address, fleet::encode(message)});
}

void entry_host::send_heartbeats(core::boot_instant now, entry_actions& out)
{
    m_last_round = now;
    m_fleet.start_round(now);
    const auto targets = heartbeat_targets(now);
    if (targets.empty())
        return;
    std::map<std::string, fleet::service_status> statuses;
    for (const auto& [service, service_succession] : m_successions)
        statuses.emplace(service, service_status_of(service, now));
    for (const auto& name : targets)
        send_heartbeat(name, statuses, out);
    m_awaiting_acknowledgement.clear();
}

entry_actions entry_host::on_heartbeat(std::string_view bytes,
                                       core::boot_instant now)
{
    entry_actions out;
    const auto heartbeat = fleet::decode_heartbeat(bytes);
    if (!heartbeat)
    {
        report(observe::log_event::heartbeat_refused, {},
               core::last_error().text);
        return out;
    }
    if (!m_fleet.on_heartbeat(*heartbeat, now))
        return out;
    take_routing_proof(*heartbeat);
    const auto& peer = m_fleet.peers().at(heartbeat->host);
    bool changed = false;
    for (const auto& [key, status] : heartbeat->services)
    {
        const auto found = m_service_keys.find(key);
        if (found == m_service_keys.end())
            continue;
        const auto& service = found->second;
        if (status.record)
        {
            changed =
                update_record(service, *status.record, now, out) || changed;
            // The sender does not know yet that this host has the record.
            m_awaiting_acknowledgement[heartbeat->host].insert(key);
        }
        // The order of the databases is the same only with the same list.
        if (!status.in_flight.empty() &&
            peer.confirmed_at != core::boot_instant{} &&
            heartbeat->upstreams_version == m_upstreams_version &&
            exchanges_load(service, heartbeat->host))
            m_pooler.add_load_report(service, heartbeat->host, status.in_flight,
                                     peer.confirmed_at);
        // Hosts that run statements notice a lost primary first; the others
        // would notice it only at their next idle probe.
        const auto& record = m_successions.at(service).lease().record();
        if (status.suspects_primary && watches(service) &&
            status.record_version == record.version)
            m_pooler.doubt(service, record.primary, now);
        const bool has_watermark = status.watermark_age_ms >= 0 &&
                                   peer.confirmed_at != core::boot_instant{};
        if (has_watermark)
            m_pooler.add_watermark(
                service,
                {peer.confirmed_at - core::millis(status.watermark_age_ms),
                 status.watermark});
    }
    request_newer_tables(*heartbeat, now, out);
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
    bool must_read = must_read_voters(now);
    for (auto& [service, service_succession] : m_successions)
    {
        const auto version = service_succession.lease().record().version;
        if (m_knows_records && is_registered())
            if (const auto at = m_fleet.proof_instant(service, version, now))
                service_succession.prove(version, *at);
        update_primary(service_succession, now, out);
        // A host without connections to the databases needs no lease for them.
        if (!watches(service) || !m_knows_records)
            continue;
        const auto until = service_succession.lease().valid_until();
        const bool settled = service_succession.lease().record().phase ==
                             succession::leadership_phase::settled;
        // The end of a claim is usually learned from its writer's heartbeats.
        const bool needs_read =
            settled ? !until || *until - now < renewal_margin
                    : now - m_last_record_read > unsettled_read_interval;
        must_read = must_read || needs_read;
    }
    if (!must_read || m_members_version == 0 ||
        now - m_last_record_read < record_read_interval)
        return;
    // Records prove leases only as far as this host is known to be registered.
    if (now - m_members_read_at > record_read_interval)
        out.control.emplace_back(read_members_action{});
    read_records(now, out);
}

bool entry_host::is_first_to_remove(const std::string& member,
                                    core::boot_instant now) const
{
    if (m_fleet.is_voter())
        return rank_for(member, now) == 0;
    // Hosts that don't vote don't know which of them live.
    const auto delay = rank_delay * static_cast<int>(rank_for_voters());
    return m_fleet.contact().is_without_any(
        m_fleet_options.removal_timeout + delay, now);
}

// While a majority of the voters is heard, one is removed at a time.
void entry_host::remove_lost_members(core::boot_instant now, entry_actions& out)
{
    if (!m_knows_records || now - m_last_removal < removal_interval)
        return;
    auto lost = m_fleet.lost_voters(now);
    if (lost.empty() || !is_first_to_remove(lost.front(), now))
        return;
    if (m_fleet.hears_majority(now))
        lost.resize(1);
    m_last_removal = now;
    for (const auto& name : lost)
    {
        report(observe::log_event::member_removed, {}, name);
        out.control.emplace_back(remove_member_action{name});
    }
}

std::size_t entry_host::count_suspected_primaries(core::boot_instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_successions.begin(), m_successions.end(), [&](const auto& entry) {
            return m_pooler.is_suspected(
                entry.first, entry.second.lease().record().primary, now);
        }));
}

// A host that cannot prove a settled record has lost contact with both the
// fleet and the table service; it cannot serve requests that need a primary.
void entry_host::update_isolation(core::boot_instant now)
{
    const bool lacks_proof = std::any_of(
        m_successions.begin(), m_successions.end(), [&](const auto& entry) {
            const auto& lease = entry.second.lease();
            const auto until = lease.valid_until();
            return watches(entry.first) &&
                   lease.record().phase ==
                       succession::leadership_phase::settled &&
                   (!until || *until <= now);
        });
    if (!lacks_proof)
    {
        if (m_isolated_since)
            report(observe::log_event::isolation_over, {},
                   "leases are proved again");
        m_isolated_since.reset();
        m_pooler.set_isolated(false);
        return;
    }
    if (!m_isolated_since)
    {
        m_isolated_since = now;
        report(observe::log_event::isolated, {},
               "no quorum and no table service to renew a lease from");
    }
    m_pooler.set_isolated(now - *m_isolated_since > isolation_timeout);
}

} // namespace plantainward::entry
