#include <plantainward/entry/entry_host.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace plantainward::entry
{

namespace
{

// A claim for a leaving primary usually ends sooner.
constexpr core::millis leaving_report_delay{2000};

std::optional<core::millis> max_proof_age(const entry_options& options)
{
    if (!options.revocation_limit)
        return std::nullopt;
    return *options.revocation_limit - routing_proof::margin;
}

} // namespace

entry_host::entry_host(entry_identity identity, entry_options options)
    : m_identity(std::move(identity)), m_options(options),
      m_pooler({m_identity.failure_domain, m_options.leaving_grace,
                m_identity.name, max_proof_age(m_options), m_options.quota}),
      m_fleet(m_identity.name, m_identity.incarnation, m_fleet_options)
{
}

void entry_host::observe(host_event_observer on_event)
{
    m_on_event = std::move(on_event);
}

void entry_host::report(observe::log_event event, const std::string& service,
                        std::string detail) const
{
    report({event, service, std::move(detail)});
}

void entry_host::report(const host_event& event) const
{
    if (m_on_event)
        m_on_event(event);
}

succession::succession& entry_host::succession_of(const std::string& service)
{
    return m_successions.try_emplace(service, m_identity.name, service)
        .first->second;
}

entry_actions entry_host::on_routing(routes::routing routing,
                                     core::boot_instant now,
                                     routing_source source)
{
    entry_actions out;
    const auto version = routing.version;
    if (!m_pooler.set_routing(std::move(routing), now))
        return out;
    const auto behind = m_behind_since ? core::to_ms(now - *m_behind_since) : 0;
    report({observe::log_event::routing_in_force,
            {},
            "version " + std::to_string(version),
            {{"source", std::string(routing_source_names[source])},
             {"behind_ms", std::to_string(behind)}}});
    for (const auto& [name, limits] : m_pooler.routing().services)
    {
        succession_of(name);
        m_service_keys[fleet::key_of(name)] = name;
    }
    plan_connections();
    update_upstreams(now, out);
    return out;
}

entry_actions entry_host::on_upstreams(
    const std::vector<routes::upstream>& upstreams, std::uint64_t version,
    std::optional<core::boot_instant> read_at, core::boot_instant now)
{
    entry_actions out;
    m_upstreams_version = std::max(m_upstreams_version, version);
    // The rows of a list don't show the version of the last removal.
    if (read_at && *read_at >= m_upstreams_requested_at)
        m_upstreams_version =
            std::max(m_upstreams_version, m_requested_upstreams_version);
    m_directory.replace(upstreams, now);
    update_upstreams(now, out);
    return out;
}

entry_actions entry_host::on_upstream(const routes::upstream& upstream,
                                      std::uint64_t version,
                                      core::boot_instant now)
{
    entry_actions out;
    m_upstreams_version = std::max(m_upstreams_version, version);
    m_directory.put(upstream);
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
    report(observe::log_event::upstream_unregistered, {}, id);
    update_upstreams(now, out);
    return out;
}

void entry_host::update_upstreams(core::boot_instant now, entry_actions& out)
{
    auto usable = m_directory.usable(now);
    // Another writer may have left entries of other services. A service that an
    // earlier routing named still counts, since its transactions go on.
    std::erase_if(usable, [&](const routes::upstream& upstream) {
        return !m_successions.contains(upstream.service);
    });
    if (usable == m_upstreams)
        return;
    for (const auto& upstream : usable)
        if (std::find(m_upstreams.begin(), m_upstreams.end(), upstream) ==
            m_upstreams.end())
            report({observe::log_event::upstream_known,
                    upstream.service,
                    upstream.id + " at " + core::to_string(upstream.address) +
                        (upstream.leaving ? ", leaving" : "") +
                        (upstream.claims_primary ? ", primary" : ""),
                    {{"list_version", std::to_string(m_upstreams_version)}}});
    m_upstreams = std::move(usable);
    auto actions = m_pooler.set_upstreams(m_upstreams, now);
    std::move(actions.begin(), actions.end(), std::back_inserter(out.pooling));
}

// A leaving primary stays in use until a claim replaces it or its grace ends.
void entry_host::report_leaving_primaries(core::boot_instant now)
{
    for (const auto& [service, service_succession] : m_successions)
    {
        const auto& record = service_succession.lease().record();
        const auto since = m_pooler.leaving_since(service, record.primary);
        if (!since)
        {
            m_reported_leaving.erase(service);
            continue;
        }
        if (now - *since < leaving_report_delay ||
            std::exchange(m_reported_leaving[service], record.primary) ==
                record.primary)
            continue;
        report({observe::log_event::leaving_primary,
                service,
                record.primary,
                {{"known_ms", std::to_string(core::to_ms(now - *since))},
                 {"phase", std::string(succession::phase_names[record.phase])},
                 {"writer", record.writer},
                 {"majority", m_fleet.can_reach_majority(now) ? "yes" : "no"},
                 {"claiming",
                  service_succession.running_claim() ? "yes" : "no"}}});
    }
}

bool entry_host::update_record(const std::string& service,
                               const succession::leadership& record,
                               core::boot_instant now, entry_actions& out)
{
    auto& service_succession = succession_of(service);
    if (!service_succession.update_record(record, now))
        return false;
    report(observe::log_event::primary_record, service,
           std::string(succession::phase_names[record.phase]) + " " +
               record.primary + " by " + record.writer + ", version " +
               std::to_string(record.version));
    report_claim_end(service_succession, now);
    // A promotion call of this host must not overtake one of the new writer.
    if (!service_succession.running_claim())
        abort_promotion(service, out);
    update_primary(service_succession, now, out);
    return true;
}

entry_actions entry_host::on_records(const record_table& table,
                                     core::boot_instant read_at,
                                     core::boot_instant now)
{
    entry_actions out;
    if (!m_knows_records && awaits_rewrite(table, now))
        return out;
    bool changed = !m_knows_records ||
                   table.voters.version > m_fleet.read_voters_version();
    changed = adopt_restored(table, now, out) || changed;
    update_voters(table.voters, read_at, now);
    m_knows_records = true;
    for (const auto& [service, record] : table.records)
    {
        changed = update_record(service, record, now, out) || changed;
        auto& read = m_record_reads[service];
        if (read_at >= read.at)
            read = {record.version, read_at};
    }
    note_lost_records(table, read_at, now);
    prove_by_reads();
    for (const auto& [service, record] : table.records)
        update_primary(succession_of(service), now, out);
    if (changed)
        send_heartbeats(now, out);
    return out;
}

// A host that replaces a primary waits only for registered hosts, so only a
// registered host may use a record that it has read or written as a proof.
void entry_host::prove_by_table(succession::succession& service_succession,
                                std::uint64_t version,
                                core::boot_instant at) const
{
    if (m_registered_at)
        service_succession.prove(version, std::min(at, *m_registered_at));
}

void entry_host::prove_by_reads()
{
    for (const auto& [service, read] : m_record_reads)
        prove_by_table(succession_of(service), read.version, read.at);
}

void entry_host::on_members(const fleet::members& members,
                            std::uint64_t version,
                            std::optional<core::boot_instant> read_at,
                            core::boot_instant now)
{
    if (m_members_version == 0)
        m_members_known_at = now;
    m_members_version = std::max(m_members_version, version);
    m_members = members;
    std::erase_if(m_known_domains, [&](const auto& entry) {
        return !m_fleet.voters().has_voted(entry.first);
    });
    for (const auto& [name, member] : members)
        m_known_domains[name] = member.failure_domain;
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
    const auto shares = workspace_shares();
    const auto options = fleet::options_for(m_plan_options, shares->size());
    for (const auto& [service, limits] : m_pooler.routing().services)
    {
        auto& holders = m_holders[service];
        holders = fleet::divide_connections(service, limits.max_connections,
                                            m_members, m_fleet.voters().names,
                                            options);
        m_pooler.set_plan(
            service,
            {holders.share_of(m_identity.name),
             holders.delegates_of(m_identity.name, m_identity.failure_domain),
             holders.fallback_delegates_of(m_identity.name, m_members),
             delegations_of(service, shares), !holders.all_hosts_hold});
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

entry_actions entry_host::on_record_written(const std::string& service,
                                            std::uint64_t id,
                                            succession::write_outcome outcome,
                                            std::uint64_t version,
                                            core::boot_instant sent,
                                            core::boot_instant now)
{
    entry_actions out;
    auto& service_succession = succession_of(service);
    if (id == rewrite_id)
    {
        report(observe::log_event::record_write, service,
               outcome == succession::write_outcome::written ? "rewritten"
                                                             : "not rewritten");
        read_records(now, out);
        return out;
    }
    const bool is_late = !service_succession.awaits_write(id);
    report(observe::log_event::record_write, service,
           outcome == succession::write_outcome::written
               ? (is_late ? "written late, version " : "written, version ") +
                     std::to_string(version)
               : (outcome == succession::write_outcome::conflict
                      ? "conflict"
                      : "not known"));
    const auto actions = service_succession.on_write(id, outcome, version, now);
    report_claim_end(service_succession, now);
    if (outcome == succession::write_outcome::written && !is_late)
    {
        prove_by_table(service_succession, version, sent);
        update_primary(service_succession, now, out);
        send_heartbeats(now, out);
        // A host that is not in this host's list may hold a lease.
        if (service_succession.running_claim())
            out.control.emplace_back(read_members_action{});
    }
    else
    {
        // The present record, of another host or of this one, is not known
        // here.
        read_records(now, out);
    }
    add_claim_actions(service, actions, now, out);
    return out;
}

entry_actions entry_host::on_status(const std::string& service,
                                    const std::string& upstream,
                                    core::boot_instant requested_at,
                                    const sql::status_answer& status,
                                    core::boot_instant now)
{
    entry_actions out;
    auto& service_succession = succession_of(service);
    service_succession.on_status(upstream, requested_at, status);
    run_claims(now, out);
    return out;
}

entry_actions entry_host::on_promoted(const std::string& service,
                                      std::uint64_t token,
                                      succession::promotion_outcome outcome,
                                      core::boot_instant now)
{
    entry_actions out;
    auto& service_succession = succession_of(service);
    const auto found = m_promotion_calls.find(service);
    if (found == m_promotion_calls.end() || found->second.action.token != token)
        return out;
    const auto call = found->second;
    m_promotion_calls.erase(found);
    const auto duration =
        std::chrono::duration_cast<core::millis>(now - call.sent_at);
    report({observe::log_event::promotion,
            service,
            std::string(succession::promotion_outcome_names[outcome]),
            {{"upstream", call.action.upstream},
             {"token", std::to_string(call.action.token)},
             {"under_way_ms", std::to_string(duration.count())},
             {"known_version",
              std::to_string(service_succession.lease().record().version)}},
            observe::measure::promotion_call,
            duration});
    service_succession.on_promote(token, outcome, now);
    return out;
}

void entry_host::update_primary(succession::succession& service_succession,
                                core::boot_instant now, entry_actions& out)
{
    const auto& record = service_succession.lease().record();
    const auto until = service_succession.lease().valid_until();
    auto actions = m_pooler.set_primary(
        service_succession.service(), until ? record.primary : std::string(),
        until.value_or(core::boot_instant{}), now, record.term);
    std::move(actions.begin(), actions.end(), std::back_inserter(out.pooling));
}

void entry_host::promote(const std::string& service,
                         const succession::promote_action& action,
                         core::boot_instant now, entry_actions& out)
{
    m_promotion_calls[service] = {action, now};
    report({observe::log_event::promotion_sent,
            service,
            {},
            {{"upstream", action.upstream},
             {"token", std::to_string(action.token)},
             {"since_write_ms",
              std::to_string(core::to_ms(now - action.write_sent_at))}}});
    out.control.emplace_back(promote_upstream_action{service, action});
}

void entry_host::abort_promotion(const std::string& service, entry_actions& out)
{
    if (m_promotion_calls.contains(service))
        out.control.emplace_back(abort_promotion_action{service});
}

void entry_host::report_claim_end(succession::succession& service_succession,
                                  core::boot_instant now)
{
    const auto ended = service_succession.collect_ended_claim();
    if (!ended)
        return;
    const auto& record = service_succession.lease().record();
    const auto duration =
        std::chrono::duration_cast<core::millis>(now - ended->started);
    report({observe::log_event::claim_ended,
            service_succession.service(),
            std::string(succession::claim_outcome_names[ended->outcome]),
            {{"cause", std::string(succession::trigger_names[ended->trigger])},
             {"stage", std::string(succession::stage_names[ended->last_stage])},
             {"version", std::to_string(ended->version)},
             {"known_version", std::to_string(record.version)},
             {"known_writer", record.writer},
             {"took_ms", std::to_string(duration.count())}},
            observe::measure::claim,
            duration});
}

void entry_host::add_claim_actions(const std::string& service,
                                   const succession::claim_actions& actions,
                                   core::boot_instant now, entry_actions& out)
{
    const auto find = [&](const std::string& id) {
        return std::find_if(
            m_upstreams.begin(), m_upstreams.end(),
            [&](const auto& upstream) { return upstream.id == id; });
    };
    for (const auto& claim_action : actions)
    {
        std::visit(
            [&](const auto& action) {
                using kind = std::decay_t<decltype(action)>;
                if constexpr (std::is_same_v<kind, succession::write_action>)
                {
                    // A promotion call that has taken effect, or that the claim
                    // no longer waits for, must not arrive after the actions
                    // that follow this write.
                    abort_promotion(service, out);
                    write_record_action write{service, action, {}};
                    if (action.begins_claim)
                        write.expected_voters = m_voters_row_version;
                    out.control.emplace_back(std::move(write));
                }
                else if constexpr (std::is_same_v<kind,
                                                  succession::promote_action>)
                    promote(service, action, now, out);
                else if (const auto upstream = find(action.upstream);
                         upstream != m_upstreams.end())
                {
                    if constexpr (std::is_same_v<kind,
                                                 succession::demote_action>)
                        out.control.emplace_back(
                            demote_upstream_action{*upstream, action.term});
                    else
                        out.control.emplace_back(
                            request_status_action{*upstream});
                }
            },
            claim_action);
    }
}

void entry_host::run_claims(core::boot_instant now, entry_actions& out)
{
    if (!m_knows_records || !m_fleet.is_voter())
        return;
    const auto live = m_fleet.live_voters(now);
    const bool can_reach_majority = m_fleet.can_reach_majority(now);
    const auto gone = m_directory.gone(now);
    for (auto& [service, service_succession] : m_successions)
    {
        // A claim of a record that the table service has lost can't be written.
        const bool may_begin = m_may_claim && !m_lost_records.contains(service);
        if (!may_begin && !service_succession.running_claim())
            continue;
        const auto& record = service_succession.lease().record();
        succession::succession_view view;
        for (const auto& upstream : m_upstreams)
            if (upstream.service == service)
                view.claim.upstreams.push_back(upstream);
        view.claim.gone = gone;
        const auto& limits = m_pooler.routing().services;
        if (const auto found = limits.find(service); found != limits.end())
            view.claim.sync_replicas = found->second.sync_replicas;
        view.claim.all_acknowledged =
            [&, &name = service](std::uint64_t version,
                                 core::boot_instant since) {
                return m_members_read_at >= since &&
                       m_fleet.all_acknowledged(name, version, now);
            };
        view.claim.majority_acknowledged =
            [&, &name = service](std::uint64_t version) {
                return m_fleet.majority_acknowledged(name, version);
            };
        view.can_reach_majority = can_reach_majority;
        view.suspects_primary =
            m_pooler.is_suspected(service, record.primary, now);
        view.suspecting_hosts =
            m_fleet.suspecting_hosts(service, record.version, now);
        view.watchers = m_fleet.watchers(service, now);
        view.watches_primary = watches(service);
        view.rank = rank_for(service, now);
        view.is_writer_active =
            std::find(live.begin(), live.end(), record.writer) != live.end() &&
            !m_fleet.cannot_write(record.writer, service);
        const bool was_running = service_succession.running_claim().has_value();
        const auto actions = service_succession.tick(view, now);
        if (!was_running && service_succession.running_claim())
            report(observe::log_event::claim_started, service,
                   std::string(
                       succession::trigger_names
                           [service_succession.running_claim()->trigger()]) +
                       ", primary " + record.primary + ", version " +
                       std::to_string(record.version));
        add_claim_actions(service, actions, now, out);
    }
}

entry_actions entry_host::tick(core::boot_instant now)
{
    entry_actions out;
    out.pooling = m_pooler.tick(now);
    m_fleet.update_contact(now);
    update_quotas(now);
    update_upstreams(now, out);
    renew_leases(now, out);
    renew_routing_proof(now, out);
    rewrite_lost_records(now, out);
    change_voters(now, out);
    run_claims(now, out);
    const auto suspected_primaries = count_suspected_primaries(now);
    const bool has_new_suspicion = suspected_primaries > m_suspected_primaries;
    m_suspected_primaries = suspected_primaries;
    if (has_new_suspicion ||
        now - m_last_round >= m_fleet_options.heartbeat_interval)
        send_heartbeats(now, out);
    remove_lost_members(now, out);
    update_isolation(now);
    report_leaving_primaries(now);
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
        m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
            return !m_pooler.is_suspected(upstream.service, upstream.id, now);
        });
}

} // namespace plantainward::entry
