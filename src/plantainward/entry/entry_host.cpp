#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_reason.hpp>

#include <algorithm>
#include <type_traits>
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

entry_host::entry_host(entry_identity identity)
    : m_identity(std::move(identity)),
      m_pooler(pooling::pooler_options{m_identity.failure_domain}),
      m_fleet(m_identity.name, m_identity.incarnation, m_fleet_options)
{
}

void entry_host::observe(belief_observer on_belief)
{
    m_on_belief = std::move(on_belief);
}

void entry_host::tell(observe::log_event event, const std::string& service,
                      std::string detail) const
{
    if (m_on_belief)
        m_on_belief({event, service, std::move(detail)});
}

succession::succession& entry_host::succession_of(const std::string& service)
{
    return m_successions.try_emplace(service, m_identity.name, service)
        .first->second;
}

entry_actions entry_host::on_routing(routes::routing routing,
                                     core::boot_instant now)
{
    entry_actions out;
    const auto version = routing.version;
    if (!m_pooler.set_routing(std::move(routing), now))
        return out;
    tell(observe::log_event::routing_in_force, {},
         "version " + std::to_string(version));
    for (const auto& [name, limits] : m_pooler.routing().services)
    {
        succession_of(name);
        m_service_keys[fleet::key_of(name)] = name;
    }
    update_upstreams(now, out);
    return out;
}

entry_actions entry_host::on_upstreams(const std::vector<routes::upstream>& all,
                                       std::uint64_t version,
                                       core::boot_instant now)
{
    entry_actions out;
    m_upstreams_version =
        std::max({m_upstreams_version, version, m_wanted_upstreams});
    m_directory.replace(all, now);
    update_upstreams(now, out);
    return out;
}

entry_actions entry_host::on_upstream(const routes::upstream& one,
                                      std::uint64_t version,
                                      core::boot_instant now)
{
    entry_actions out;
    m_upstreams_version = std::max(m_upstreams_version, version);
    m_directory.put(one);
    update_upstreams(now, out);
    return out;
}

entry_actions entry_host::on_upstream_removed(const std::string& id,
                                              std::uint64_t version,
                                              core::boot_instant now)
{
    entry_actions out;
    m_upstreams_version = std::max(m_upstreams_version, version);
    m_directory.remove(id, now);
    tell(observe::log_event::upstream_unregistered, {}, id);
    update_upstreams(now, out);
    return out;
}

void entry_host::update_upstreams(core::boot_instant now, entry_actions& out)
{
    auto usable = m_directory.usable(now);
    if (usable == m_upstreams)
        return;
    for (const auto& one : usable)
        if (std::find(m_upstreams.begin(), m_upstreams.end(), one) ==
            m_upstreams.end())
            tell(observe::log_event::upstream_known, one.service,
                 one.id + " at " + core::to_string(one.address) +
                     (one.leaving ? ", leaving" : "") +
                     (one.claims_primary ? ", primary" : ""));
    m_upstreams = std::move(usable);
    auto made = m_pooler.set_upstreams(m_upstreams, now);
    std::move(made.begin(), made.end(), std::back_inserter(out.pooling));
}

bool entry_host::take_record(const std::string& service,
                             const succession::leadership& record,
                             core::boot_instant now, entry_actions& out)
{
    auto& one = succession_of(service);
    if (!one.take(record, now))
        return false;
    tell(observe::log_event::primary_record, service,
         std::string(succession::phase_names[record.phase]) + " " +
             record.primary + " by " + record.writer + ", version " +
             std::to_string(record.version));
    update_primary(one, now, out);
    return true;
}

entry_actions entry_host::on_records(
    const std::map<std::string, succession::leadership>& records,
    core::boot_instant read_at, core::boot_instant now)
{
    entry_actions out;
    bool changed = !m_knows_records;
    m_knows_records = true;
    for (const auto& [service, record] : records)
    {
        changed = take_record(service, record, now, out) || changed;
        auto& one = succession_of(service);
        one.prove(record.version, read_at);
        update_primary(one, now, out);
    }
    if (changed)
        send_heartbeats(now, out);
    return out;
}

entry_actions entry_host::on_record(const std::string& service,
                                    const succession::leadership& record,
                                    core::boot_instant now)
{
    entry_actions out;
    if (take_record(service, record, now, out))
        send_heartbeats(now, out);
    return out;
}

void entry_host::on_members(const std::map<std::string, core::address>& members,
                            core::boot_instant now)
{
    m_fleet.set_members(members, now);
    m_pooler.set_hosts(m_fleet.member_count());
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
    if (!m_fleet.take(*got, now))
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
            changed = take_record(service, *news.record, now, out) || changed;
        const bool has_mark =
            news.mark_age_ms >= 0 && peer.confirmed_at != core::boot_instant{};
        if (has_mark)
            m_pooler.add_mark(
                service, {peer.confirmed_at - core::millis(news.mark_age_ms),
                          news.mark});
    }
    read_what_peers_know(*got, now, out);
    if (changed)
        send_heartbeats(now, out);
    return out;
}

// The feeds bring changes first; a peer that knows more after some time shows
// that a feed of this host has gone silent.
void entry_host::read_what_peers_know(const fleet::heartbeat& got,
                                      core::boot_instant now,
                                      entry_actions& out)
{
    const bool routing_behind =
        got.routing_version > m_pooler.routing().version;
    const bool upstreams_behind = got.upstreams_version > m_upstreams_version;
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
    m_wanted_upstreams = got.upstreams_version;
    out.control.emplace_back(read_upstreams_action{});
}

entry_actions entry_host::on_record_written(const std::string& service,
                                            succession::write_end end,
                                            std::uint64_t version,
                                            core::boot_instant sent,
                                            core::boot_instant now)
{
    entry_actions out;
    auto& one = succession_of(service);
    tell(observe::log_event::record_write, service,
         end == succession::write_end::written
             ? "written, version " + std::to_string(version)
             : (end == succession::write_end::conflict ? "conflict"
                                                       : "not known"));
    const auto wanted = one.on_write(end, version, now);
    if (end == succession::write_end::written)
    {
        one.prove(version, sent);
        update_primary(one, now, out);
        send_heartbeats(now, out);
    }
    else
    {
        // Somebody else's record, or this host's own one, is not known here.
        m_last_record_read = now;
        out.control.emplace_back(read_records_action{});
    }
    carry_out(service, wanted, out);
    return out;
}

entry_actions entry_host::on_status(const std::string& service,
                                    const std::string& upstream,
                                    core::boot_instant asked,
                                    const sql::status_answer& status,
                                    core::boot_instant now)
{
    entry_actions out;
    auto& one = succession_of(service);
    one.on_status(upstream, asked, status);
    run_claims(now, out);
    return out;
}

entry_actions entry_host::on_promoted(const std::string& service,
                                      succession::promote_end end,
                                      core::boot_instant now)
{
    entry_actions out;
    tell(observe::log_event::promotion, service,
         end == succession::promote_end::accepted
             ? "accepted"
             : (end == succession::promote_end::rejected ? "rejected"
                                                         : "not known"));
    carry_out(service, succession_of(service).on_promote(end, now), out);
    return out;
}

void entry_host::update_primary(succession::succession& one,
                                core::boot_instant now, entry_actions& out)
{
    const auto& record = one.lease().record();
    const auto until = one.lease().valid_until();
    auto made = m_pooler.set_primary(one.service(),
                                     until ? record.primary : std::string(),
                                     until.value_or(core::boot_instant{}), now);
    std::move(made.begin(), made.end(), std::back_inserter(out.pooling));
}

fleet::service_news entry_host::news_of(const std::string& service,
                                        core::boot_instant now) const
{
    fleet::service_news made;
    const auto& record = m_successions.at(service).lease().record();
    made.record_version = record.version;
    made.doubts_primary = m_pooler.is_doubted(service, record.primary, now);
    if (const auto proved = m_successions.at(service).lease().proved_at())
        made.proof_age_ms = age_in_ms(now, *proved);
    const auto mark = m_pooler.newest_mark(service);
    if (!mark)
        return made;
    made.mark = mark->point;
    made.mark_age_ms = age_in_ms(now, mark->since);
    return made;
}

void entry_host::send_heartbeats(core::boot_instant now, entry_actions& out)
{
    m_last_round = now;
    m_fleet.start_round(now);
    std::map<std::string, fleet::service_news> services;
    for (const auto& [service, one] : m_successions)
        services.emplace(service, news_of(service, now));
    for (const auto& name : m_fleet.targets(now))
    {
        const auto& peer = m_fleet.peers().at(name);
        auto made = m_fleet.make_for(name);
        made.knows_records = m_knows_records;
        made.routing_version = m_pooler.routing().version;
        made.upstreams_version = m_upstreams_version;
        for (const auto& [service, news] : services)
        {
            auto& told = made.services[fleet::key_of(service)];
            told = news;
            if (m_fleet.version_known_by(name, service) < news.record_version)
                told.record = m_successions.at(service).lease().record();
        }
        out.control.emplace_back(
            heartbeat_action{peer.address, fleet::encode(made)});
    }
}

std::size_t entry_host::rank_for(const std::string& service,
                                 core::boot_instant now) const
{
    const auto weight = [&](const std::string& name) {
        return core::placement_hash(service, name);
    };
    const auto own = weight(m_identity.name);
    std::size_t rank = 0;
    for (const auto& name : m_fleet.live(now))
        rank += weight(name) > own ? 1 : 0;
    return rank;
}

void entry_host::carry_out(const std::string& service,
                           const succession::claim_actions& wanted,
                           entry_actions& out)
{
    const auto find = [&](const std::string& id) {
        return std::find_if(m_upstreams.begin(), m_upstreams.end(),
                            [&](const auto& one) { return one.id == id; });
    };
    for (const auto& action : wanted)
    {
        std::visit(
            [&](const auto& one) {
                using kind = std::decay_t<decltype(one)>;
                if constexpr (std::is_same_v<kind, succession::write_action>)
                    out.control.emplace_back(write_record_action{service, one});
                else if constexpr (std::is_same_v<kind,
                                                  succession::promote_action>)
                    out.control.emplace_back(
                        promote_upstream_action{service, one});
                else if (const auto where = find(one.upstream);
                         where != m_upstreams.end())
                {
                    if constexpr (std::is_same_v<kind,
                                                 succession::demote_action>)
                        out.control.emplace_back(
                            demote_upstream_action{*where, one.term});
                    else
                        out.control.emplace_back(ask_status_action{*where});
                }
            },
            action);
    }
}

void entry_host::run_claims(core::boot_instant now, entry_actions& out)
{
    if (!m_knows_records || !m_claims || !m_fleet.is_voter())
        return;
    const auto live = m_fleet.live(now);
    for (auto& [service, one] : m_successions)
    {
        const auto& record = one.lease().record();
        succession::succession_view view;
        for (const auto& known : m_upstreams)
            if (known.service == service)
                view.claim.upstreams.push_back(known);
        view.claim.members = m_fleet.voter_count();
        view.claim.has_other_hosts = !m_fleet.all_vote();
        view.claim.aware = [&, &name = service](std::uint64_t version,
                                                core::boot_instant since) {
            return m_fleet.members_aware(name, version, since);
        };
        view.doubts_primary = m_pooler.is_doubted(service, record.primary, now);
        view.doubters = m_fleet.doubters(service, record.version, now);
        view.live = live.size();
        view.rank = rank_for(service, now);
        view.writer_is_live =
            std::find(live.begin(), live.end(), record.writer) != live.end();
        const bool was_running = one.running().has_value();
        const auto wanted = one.tick(view, now);
        if (!was_running && one.running())
            tell(observe::log_event::claim_started, service,
                 std::string(succession::cause_names[one.running()->cause()]) +
                     ", primary " + record.primary + ", version " +
                     std::to_string(record.version));
        carry_out(service, wanted, out);
    }
}

void entry_host::renew_leases(core::boot_instant now, entry_actions& out)
{
    bool runs_out = !m_knows_records;
    for (auto& [service, one] : m_successions)
    {
        const auto version = one.lease().record().version;
        if (m_knows_records)
            if (const auto at = m_fleet.proof_instant(service, version, now))
                one.prove(version, *at);
        update_primary(one, now, out);
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
    out.control.emplace_back(read_records_action{});
}

void entry_host::remove_lost_members(core::boot_instant now, entry_actions& out)
{
    if (now - m_last_removal < removal_interval || !m_knows_records)
        return;
    const auto lost = m_fleet.lost(now);
    if (lost.empty() || rank_for(lost.front(), now) != 0)
        return;
    m_last_removal = now;
    tell(observe::log_event::member_removed, {}, lost.front());
    out.control.emplace_back(remove_member_action{lost.front()});
}

entry_actions entry_host::tick(core::boot_instant now)
{
    entry_actions out;
    out.pooling = m_pooler.tick(now);
    update_upstreams(now, out);
    renew_leases(now, out);
    run_claims(now, out);
    const auto doubts = doubted_services(now);
    const bool doubts_more = doubts > m_doubts;
    m_doubts = doubts;
    if (doubts_more || now - m_last_round >= m_fleet_options.interval)
        send_heartbeats(now, out);
    remove_lost_members(now, out);
    watch_isolation(now);
    return out;
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
            return lease.record().phase ==
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

bool entry_host::is_claiming(const std::string& service) const
{
    const auto found = m_successions.find(service);
    return found != m_successions.end() && found->second.running();
}

bool entry_host::is_ready(core::boot_instant now) const
{
    if (!has_routing() || !m_knows_records || m_upstreams.empty() ||
        m_pooler.is_isolated())
        return false;
    return std::any_of(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto& one) {
            return !m_pooler.is_doubted(one.service, one.id, now);
        });
}

} // namespace plantainward::entry
