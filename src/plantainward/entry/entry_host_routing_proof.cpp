// The proof that the routing is current: reading it, passing it on, and taking
// it from other hosts.

#include <plantainward/entry/entry_host.hpp>

#include <algorithm>

namespace plantainward::entry
{

namespace
{

// Place in the order of readers; no service has this name.
const std::string reader_order = "#routing";

// Older proofs are of no use to any host.
constexpr std::int64_t max_sent_age_ms = 30'000;

// A proof after a gap of this length is passed on at once: callers may be
// refused until it arrives.
constexpr core::millis gap_time{2000};

// Hosts that don't vote fetch a proof at this interval at the latest.
constexpr core::millis max_proof_hold_time{1000};

} // namespace

bool entry_host::needs_routing_proofs() const
{
    return m_options.revocation_limit && m_pooler.routing().has_workspaces;
}

void entry_host::add_routing_proof(std::uint64_t era, std::uint64_t version,
                                   core::boot_instant at)
{
    m_routing_proof.add(era, version, m_pooler.routing().version, at);
    m_pooler.set_routing_proof(m_routing_proof.at());
}

void entry_host::on_store_era(std::uint64_t era)
{
    m_routing_proof.note_era(era);
    m_pooler.set_routing_proof(m_routing_proof.at());
}

entry_actions entry_host::on_routing_read(const routing_read& read,
                                          core::boot_instant now)
{
    entry_actions out;
    if (read.is_probe)
        m_routing_proof.note_read_ended(read.succeeded, now);
    if (!read.succeeded || !m_options.revocation_limit)
        return out;
    const auto known = m_routing_proof.at();
    add_routing_proof(read.era, 0, read.sent_at);
    if (needs_routing_proofs() && m_fleet.is_voter() &&
        (!known || now - *known > gap_time))
        send_heartbeats(now, out);
    return out;
}

void entry_host::renew_routing_proof(core::boot_instant now, entry_actions& out)
{
    if (!needs_routing_proofs() ||
        choose_table_source() != table_source::table_service)
        return;
    if (!m_routing_proof.must_read(rank_for(reader_order, now), now))
        return;
    m_routing_proof.note_read_sent(now);
    out.control.emplace_back(probe_routing_action{});
}

void entry_host::report_routing_proof(fleet::heartbeat& message,
                                      core::boot_instant now) const
{
    const auto at = m_routing_proof.at();
    if (!needs_routing_proofs() || !at)
        return;
    // Rounded up, so that the receiver dates the proof no later than it is.
    const auto age = core::to_ms(now - *at) + 1;
    if (age > max_sent_age_ms)
        return;
    message.routing_proof_age_ms = static_cast<std::int16_t>(age);
    message.routing_proof_era = m_routing_proof.era();
}

// The heartbeat was made after its sender had received the one that it echoes,
// so the proof is at least as new as this dates it.
void entry_host::take_routing_proof(const fleet::heartbeat& message)
{
    const auto confirmed_at = m_fleet.peers().at(message.host).confirmed_at;
    if (message.routing_proof_age_ms < 0 || !m_options.revocation_limit ||
        confirmed_at == core::boot_instant{})
        return;
    add_routing_proof(message.routing_proof_era, message.routing_version,
                      confirmed_at -
                          core::millis(message.routing_proof_age_ms));
}

bool entry_host::must_answer_with_proof(core::boot_instant received_at,
                                        core::boot_instant now) const
{
    return needs_routing_proofs() && now - received_at > max_proof_hold_time;
}

void entry_host::attach_routing_proof(fleet::table_update& update,
                                      core::boot_instant received_at) const
{
    const auto at = m_routing_proof.at();
    if (!needs_routing_proofs() || !at)
        return;
    update.routing_proof = fleet::sent_routing_proof{
        m_routing_proof.era(),
        std::chrono::floor<core::millis>(*at - received_at)};
}

void entry_host::take_routing_proof(const fleet::table_update& update,
                                    core::boot_instant requested_at)
{
    if (!update.routing_proof || !m_options.revocation_limit)
        return;
    add_routing_proof(update.routing_proof->era, update.versions.routing,
                      requested_at + update.routing_proof->after_request);
}

} // namespace plantainward::entry
