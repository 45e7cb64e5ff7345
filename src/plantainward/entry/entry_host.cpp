#include <plantainward/entry/entry_host.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace plantainward::entry
{

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
    tell({event, service, std::move(detail)});
}

void entry_host::tell(const belief& one) const
{
    if (m_on_belief)
        m_on_belief(one);
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
    plan_connections();
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
    if (!one.update_record(record, now))
        return false;
    tell(observe::log_event::primary_record, service,
         std::string(succession::phase_names[record.phase]) + " " +
             record.primary + " by " + record.writer + ", version " +
             std::to_string(record.version));
    tell_claim_end(one, now);
    // What this host promotes must not overtake what the new writer does.
    if (!one.running_claim())
        abort_call(service, out);
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
        auto& read = m_reads[service];
        if (read_at >= read.at)
            read = {record.version, read_at};
    }
    prove_by_reads();
    for (const auto& [service, record] : records)
        update_primary(succession_of(service), now, out);
    if (changed)
        send_heartbeats(now, out);
    return out;
}

// Who replaces a primary waits for the hosts that it finds registered, so only
// a registered host may rest on what it has read or written.
void entry_host::prove_by_table(succession::succession& one,
                                std::uint64_t version,
                                core::boot_instant at) const
{
    if (m_registered_at)
        one.prove(version, std::min(at, *m_registered_at));
}

void entry_host::prove_by_reads()
{
    for (const auto& [service, read] : m_reads)
        prove_by_table(succession_of(service), read.version, read.at);
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

void entry_host::on_members(const fleet::members& members,
                            std::uint64_t version,
                            std::optional<core::boot_instant> read_at,
                            core::boot_instant now)
{
    m_members_version = std::max(m_members_version, version);
    m_members = members;
    if (read_at)
        m_members_read_at = std::max(m_members_read_at, *read_at);
    m_fleet.set_members(members, now);
    plan_connections();
    if (!is_registered())
        return m_registered_at.reset();
    if (read_at)
        m_registered_at = m_members_read_at;
    prove_by_reads();
}

std::optional<core::address>
entry_host::address_of(const std::string& host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end())
        return std::nullopt;
    return found->second.address;
}

void entry_host::plan_connections()
{
    bool needs_proofs = false;
    for (const auto& [service, limits] : m_pooler.routing().services)
    {
        auto& holders = m_holders[service];
        holders = fleet::divide_connections(service, limits.max_connections,
                                            m_members, m_fleet.voters(),
                                            m_plan_options);
        m_pooler.set_plan(
            service,
            {holders.share_of(m_identity.name),
             holders.delegates_of(m_identity.name, m_identity.failure_domain),
             holders.fallback_delegates_of(m_identity.name, m_members)});
        needs_proofs = needs_proofs || watches(service);
    }
    m_fleet.set_needs_proofs(needs_proofs);
}

bool entry_host::watches(const std::string& service) const
{
    const auto found = m_holders.find(service);
    return found == m_holders.end() ||
           found->second.share_of(m_identity.name) > 0;
}

entry_actions entry_host::on_record_written(
    const std::string& service, std::uint64_t id, succession::write_outcome end,
    std::uint64_t version, core::boot_instant sent, core::boot_instant now)
{
    entry_actions out;
    auto& one = succession_of(service);
    const bool is_late = !one.awaits_write(id);
    tell(observe::log_event::record_write, service,
         end == succession::write_outcome::written
             ? (is_late ? "written late, version " : "written, version ") +
                   std::to_string(version)
             : (end == succession::write_outcome::conflict ? "conflict"
                                                           : "not known"));
    const auto wanted = one.on_write(id, end, version, now);
    tell_claim_end(one, now);
    if (end == succession::write_outcome::written && !is_late)
    {
        prove_by_table(one, version, sent);
        update_primary(one, now, out);
        send_heartbeats(now, out);
        // A host that this one has not heard of may hold a lease.
        if (one.running_claim())
            out.control.emplace_back(read_members_action{});
    }
    else
    {
        // Somebody else's record, or this host's own one, is not known here.
        m_last_record_read = now;
        out.control.emplace_back(read_records_action{});
    }
    carry_out(service, wanted, now, out);
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
                                      std::uint64_t token,
                                      succession::promotion_outcome end,
                                      core::boot_instant now)
{
    entry_actions out;
    auto& one = succession_of(service);
    const auto found = m_calls.find(service);
    if (found == m_calls.end() || found->second.what.token != token)
        return out;
    const auto call = found->second;
    m_calls.erase(found);
    const auto took = std::chrono::duration_cast<core::millis>(now - call.sent);
    tell({observe::log_event::promotion,
          service,
          std::string(succession::promotion_outcome_names[end]),
          {{"upstream", call.what.upstream},
           {"token", std::to_string(call.what.token)},
           {"under_way_ms", std::to_string(took.count())},
           {"known_version", std::to_string(one.lease().record().version)}},
          observe::measure::promotion_call,
          took});
    one.on_promote(token, end, now);
    return out;
}

void entry_host::update_primary(succession::succession& one,
                                core::boot_instant now, entry_actions& out)
{
    const auto& record = one.lease().record();
    const auto until = one.lease().valid_until();
    auto made = m_pooler.set_primary(
        one.service(), until ? record.primary : std::string(),
        until.value_or(core::boot_instant{}), now, record.term);
    std::move(made.begin(), made.end(), std::back_inserter(out.pooling));
}

void entry_host::promote(const std::string& service,
                         const succession::promote_action& wanted,
                         core::boot_instant now, entry_actions& out)
{
    m_calls[service] = {wanted, now};
    tell({observe::log_event::promotion_sent,
          service,
          {},
          {{"upstream", wanted.upstream},
           {"token", std::to_string(wanted.token)},
           {"since_write_ms",
            std::to_string(core::to_ms(now - wanted.write_sent_at))}}});
    out.control.emplace_back(promote_upstream_action{service, wanted});
}

void entry_host::abort_call(const std::string& service, entry_actions& out)
{
    if (m_calls.contains(service))
        out.control.emplace_back(abort_promotion_action{service});
}

void entry_host::tell_claim_end(succession::succession& one,
                                core::boot_instant now)
{
    const auto ended = one.collect_ended_claim();
    if (!ended)
        return;
    const auto& known = one.lease().record();
    const auto took =
        std::chrono::duration_cast<core::millis>(now - ended->started);
    tell({observe::log_event::claim_ended,
          one.service(),
          std::string(succession::claim_outcome_names[ended->outcome]),
          {{"cause", std::string(succession::trigger_names[ended->trigger])},
           {"stage", std::string(succession::stage_names[ended->last_stage])},
           {"version", std::to_string(ended->version)},
           {"known_version", std::to_string(known.version)},
           {"known_writer", known.writer},
           {"took_ms", std::to_string(took.count())}},
          observe::measure::claim,
          took});
}

void entry_host::carry_out(const std::string& service,
                           const succession::claim_actions& wanted,
                           core::boot_instant now, entry_actions& out)
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
                {
                    // A call whose effect shows, or that is given up, must not
                    // arrive after what follows this write.
                    abort_call(service, out);
                    out.control.emplace_back(write_record_action{service, one});
                }
                else if constexpr (std::is_same_v<kind,
                                                  succession::promote_action>)
                    promote(service, one, now, out);
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
    if (!m_knows_records || !m_fleet.is_voter())
        return;
    const auto live = m_fleet.live_voters(now);
    for (auto& [service, one] : m_successions)
    {
        if (!m_claims && !one.running_claim())
            continue;
        const auto& record = one.lease().record();
        succession::succession_view view;
        for (const auto& known : m_upstreams)
            if (known.service == service)
                view.claim.upstreams.push_back(known);
        view.claim.voter_count = m_fleet.voter_count();
        view.claim.all_acknowledged =
            [&, &name = service](std::uint64_t version,
                                 core::boot_instant since) {
                return m_members_read_at >= since &&
                       m_fleet.all_acknowledged(name, version, now);
            };
        view.claim.acknowledged = [&, &name = service](std::uint64_t version,
                                                       core::boot_instant) {
            return m_fleet.voters_acknowledged(name, version);
        };
        view.suspects_primary =
            m_pooler.is_doubted(service, record.primary, now);
        view.suspecting_hosts =
            m_fleet.suspecting_hosts(service, record.version, now);
        view.watchers = m_fleet.watchers(service, now);
        view.watches_primary = watches(service);
        view.rank = rank_for(service, now);
        view.is_writer_active =
            std::find(live.begin(), live.end(), record.writer) != live.end() &&
            !m_fleet.cannot_write(record.writer, service);
        const bool was_running = one.running_claim().has_value();
        const auto wanted = one.tick(view, now);
        if (!was_running && one.running_claim())
            tell(
                observe::log_event::claim_started, service,
                std::string(
                    succession::trigger_names[one.running_claim()->trigger()]) +
                    ", primary " + record.primary + ", version " +
                    std::to_string(record.version));
        carry_out(service, wanted, now, out);
    }
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
    if (doubts_more || now - m_last_round >= m_fleet_options.heartbeat_interval)
        send_heartbeats(now, out);
    remove_lost_members(now, out);
    watch_isolation(now);
    return out;
}
bool entry_host::is_claiming(const std::string& service) const
{
    const auto found = m_successions.find(service);
    return found != m_successions.end() && found->second.running_claim();
}

bool entry_host::has_claimed(const std::string& service) const
{
    const auto found = m_successions.find(service);
    if (found == m_successions.end() || !found->second.running_claim())
        return false;
    const auto& record = found->second.lease().record();
    return record.phase == succession::leadership_phase::claimed &&
           record.writer == m_identity.name;
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
