#include <plantainward/membership/membership.hpp>

#include <algorithm>

namespace plantainward::membership
{

namespace
{

constexpr core::millis indirect_ping_timeout{1000};

} // namespace

membership::membership(core::host self, std::uint64_t incarnation,
                       membership_options options, std::uint64_t seed)
    : m_self{std::move(self), incarnation, member_state::alive},
      m_options(options), m_random(seed)
{
}

void membership::set_listed(std::vector<core::host> hosts)
{
    std::erase_if(hosts, [&](const core::host& host) {
        return host.name == m_self.host.name;
    });
    if (hosts != m_listed)
        m_last_rejoin = {};
    m_listed = std::move(hosts);
}

std::vector<core::host> membership::live() const
{
    auto hosts = m_table.live();
    if (m_self.state == member_state::alive)
        hosts.push_back(m_self.host);
    return hosts;
}

void membership::send(const core::address& destination, message_kind kind,
                      std::uint64_t sequence, const core::host& target)
{
    message datagram;
    datagram.kind = kind;
    datagram.sequence = sequence;
    datagram.sender = m_self;
    datagram.target = target;
    datagram.revision = m_revision;
    datagram.updates = m_table.next_updates(m_options.updates_per_message);
    m_actions.emplace_back(send_action{destination, std::move(datagram)});
}

// Adds what this host believes of a receiver to the datagram queued last, so
// that a live host that is wrongly suspected or declared dead can refute it.
void membership::attach_suspicion(const std::string& name)
{
    const auto* entry = m_table.find(name);
    if (entry != nullptr && entry->last_update.state != member_state::alive)
        std::get<send_action>(m_actions.back())
            .datagram.updates.push_back(entry->last_update);
}

void membership::apply_update(const member_update& update, core::instant now)
{
    if (update.host.name == m_self.host.name)
    {
        // A wrong state of this host is refuted by a higher incarnation.
        const bool is_wrong = update.state != m_self.state &&
                              update.incarnation >= m_self.incarnation;
        if (is_wrong)
            m_self.incarnation = update.incarnation + 1;
        return;
    }
    const auto* previous = m_table.find(update.host.name);
    const bool was_live = previous != nullptr && previous->last_update.state <=
                                                     member_state::suspected;
    if (!m_table.apply(update, now))
        return;
    const bool is_live = update.state <= member_state::suspected;
    if (was_live != is_live || update.state == member_state::suspected)
        m_actions.emplace_back(change_action{update});
}

actions membership::on_message(const message& datagram, core::instant now)
{
    apply_update(datagram.sender, now);
    for (const auto& update : datagram.updates)
        apply_update(update, now);
    if (datagram.revision > m_revision)
        m_actions.emplace_back(
            fetch_action{datagram.sender.host, datagram.revision});
    const auto& sender_address = datagram.sender.host.peer;
    switch (datagram.kind)
    {
    case message_kind::ping:
        send(sender_address, message_kind::ack, datagram.sequence);
        attach_suspicion(datagram.sender.host.name);
        break;
    case message_kind::ping_request:
        m_indirect_pings.push_back(
            {++m_last_sequence, datagram.sequence, sender_address, now});
        send(datagram.target.peer, message_kind::ping, m_last_sequence);
        break;
    case message_kind::ack:
        if (m_probe && m_probe->sequence == datagram.sequence)
            m_probe.reset();
        std::erase_if(m_indirect_pings, [&](const indirect_ping& request) {
            if (request.sequence != datagram.sequence)
                return false;
            send(request.requester, message_kind::ack,
                 request.requester_sequence);
            return true;
        });
        break;
    case message_kind::notice:
        m_actions.emplace_back(
            notice_action{datagram.sender.host.name, datagram.payload});
        break;
    }
    return collect_actions();
}

actions membership::on_tick(core::instant now)
{
    check_probe(now);
    if (now - m_last_probe >= m_options.period)
        start_probe(now);
    if (now - m_last_rejoin >= m_options.rejoin_interval)
        ping_missing_hosts(now);
    for (auto suspect :
         m_table.expired_suspects(now, m_options.refutation_timeout))
    {
        suspect.state = member_state::dead;
        apply_update(suspect, now);
    }
    m_table.remove_departed(now, m_options.departed_retention);
    std::erase_if(m_indirect_pings, [&](const indirect_ping& request) {
        return now - request.started_at > indirect_ping_timeout;
    });
    return collect_actions();
}

void membership::check_probe(core::instant now)
{
    if (!m_probe)
        return;
    const auto waited = now - m_probe->sent_at;
    if (waited >= m_options.ack_timeout && !m_probe->is_indirect)
    {
        m_probe->is_indirect = true;
        for (const auto& prober :
             random_hosts(m_options.indirect_probes, m_probe->target.name))
            send(prober.peer, message_kind::ping_request, m_probe->sequence,
                 m_probe->target);
    }
    if (waited < m_options.probe_timeout)
        return;
    const auto* entry = m_table.find(m_probe->target.name);
    if (entry != nullptr && entry->last_update.state == member_state::alive)
    {
        auto update = entry->last_update;
        update.state = member_state::suspected;
        apply_update(update, now);
    }
    m_probe.reset();
}

std::optional<core::host> membership::next_target()
{
    // Each round probes every live host once, in random order.
    while (true)
    {
        if (m_probe_order.empty())
        {
            m_probe_order = m_table.live();
            std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
        }
        if (m_probe_order.empty())
            return std::nullopt;
        auto candidate = std::move(m_probe_order.back());
        m_probe_order.pop_back();
        const auto* entry = m_table.find(candidate.name);
        if (entry != nullptr &&
            entry->last_update.state <= member_state::suspected)
            return entry->last_update.host;
    }
}

void membership::start_probe(core::instant now)
{
    m_last_probe = now;
    if (m_probe)
        return;
    const auto target = next_target();
    if (!target)
        return;
    m_probe = probe{*target, ++m_last_sequence, now, false};
    send(target->peer, message_kind::ping, m_last_sequence);
}

void membership::ping_missing_hosts(core::instant now)
{
    m_last_rejoin = now;
    std::vector<core::host> missing;
    for (const auto& host : m_listed)
    {
        const auto* entry = m_table.find(host.name);
        if (entry == nullptr || entry->last_update.state == member_state::dead)
            missing.push_back(host);
    }
    for (const auto& update : m_table.in_state(member_state::dead))
        missing.push_back(update.host);
    if (missing.empty())
        return;
    std::shuffle(missing.begin(), missing.end(), m_random);
    missing.resize(std::min(missing.size(), m_options.push_fan_out));
    for (const auto& host : missing)
        send(host.peer, message_kind::ping, ++m_last_sequence);
}

std::vector<core::host> membership::random_hosts(std::size_t count,
                                                 const std::string& except)
{
    auto hosts = m_table.live();
    std::erase_if(hosts,
                  [&](const core::host& host) { return host.name == except; });
    std::shuffle(hosts.begin(), hosts.end(), m_random);
    hosts.resize(std::min(count, hosts.size()));
    return hosts;
}

actions membership::set_revision(std::uint64_t revision)
{
    if (revision <= m_revision)
        return {};
    m_revision = revision;
    for (const auto& host : random_hosts(m_options.push_fan_out, {}))
        send(host.peer, message_kind::ping, ++m_last_sequence);
    return collect_actions();
}

actions membership::notify(const std::vector<core::host>& hosts,
                           const std::string& payload)
{
    for (const auto& host : hosts)
    {
        if (host.name == m_self.host.name)
            continue;
        message datagram;
        datagram.kind = message_kind::notice;
        datagram.sender = m_self;
        datagram.revision = m_revision;
        datagram.payload = payload;
        m_actions.emplace_back(send_action{host.peer, std::move(datagram)});
    }
    return collect_actions();
}

actions membership::leave()
{
    m_self.state = member_state::left;
    for (const auto& host : random_hosts(m_options.push_fan_out * 3, {}))
        send(host.peer, message_kind::ping, ++m_last_sequence);
    return collect_actions();
}

} // namespace plantainward::membership
