#include <plantainward/membership/membership.hpp>

#include <algorithm>

namespace plantainward::membership
{

namespace
{

constexpr core::millis relay_lifetime{1000};

} // namespace

membership::membership(core::host self, std::uint64_t incarnation,
                       membership_options options, std::uint64_t seed)
    : m_self{std::move(self), incarnation, member_state::alive},
      m_options(options), m_random(seed)
{
}

void membership::set_listed(std::vector<core::host> hosts)
{
    std::erase_if(hosts, [&](const core::host& one) {
        return one.name == m_self.host.name;
    });
    if (hosts != m_listed)
        m_last_mend = {};
    m_listed = std::move(hosts);
}

std::vector<core::host> membership::live() const
{
    auto hosts = m_table.live();
    if (m_self.state == member_state::alive)
        hosts.push_back(m_self.host);
    return hosts;
}

void membership::send(const core::address& where, message_kind kind,
                      std::uint64_t sequence, const core::host& target)
{
    message made;
    made.kind = kind;
    made.sequence = sequence;
    made.sender = m_self;
    made.target = target;
    made.revision = m_revision;
    made.news = m_table.take_news(m_options.news_per_message);
    m_out.emplace_back(send_action{where, std::move(made)});
}

// A host that is taken for dead learns it from whoever it asks, and refutes.
void membership::tell_of_suspicion(const std::string& name)
{
    const auto* about = m_table.find(name);
    if (about != nullptr && about->known.state != member_state::alive)
        std::get<send_action>(m_out.back())
            .datagram.news.push_back(about->known);
}

void membership::take_news(const member_update& news, core::instant now)
{
    if (news.host.name == m_self.host.name)
    {
        // A wrong rumour about this host is refuted by a higher incarnation.
        const bool is_wrong = news.state != m_self.state &&
                              news.incarnation >= m_self.incarnation;
        if (is_wrong)
            m_self.incarnation = news.incarnation + 1;
        return;
    }
    const auto* before = m_table.find(news.host.name);
    const bool was_live =
        before != nullptr && before->known.state <= member_state::suspected;
    if (!m_table.apply(news, now))
        return;
    const bool is_live = news.state <= member_state::suspected;
    if (was_live != is_live || news.state == member_state::suspected)
        m_out.emplace_back(change_action{news});
}

actions membership::on_message(const message& what, core::instant now)
{
    take_news(what.sender, now);
    for (const auto& news : what.news)
        take_news(news, now);
    if (what.revision > m_revision)
        m_out.emplace_back(fetch_action{what.sender.host, what.revision});
    const auto& from = what.sender.host.peer;
    switch (what.kind)
    {
    case message_kind::ping:
        send(from, message_kind::ack, what.sequence);
        tell_of_suspicion(what.sender.host.name);
        break;
    case message_kind::ping_request:
        m_relays.push_back({++m_last_sequence, what.sequence, from, now});
        send(what.target.peer, message_kind::ping, m_last_sequence);
        break;
    case message_kind::ack:
        if (m_probe && m_probe->sequence == what.sequence)
            m_probe.reset();
        std::erase_if(m_relays, [&](const relay& one) {
            if (one.sequence != what.sequence)
                return false;
            send(one.asker, message_kind::ack, one.asked_sequence);
            return true;
        });
        break;
    case message_kind::notice:
        m_out.emplace_back(notice_action{what.sender.host.name, what.payload});
        break;
    }
    return take();
}

actions membership::on_tick(core::instant now)
{
    check_probe(now);
    if (now - m_last_probe >= m_options.period)
        start_probe(now);
    if (now - m_last_mend >= m_options.mend_interval)
        mend(now);
    for (auto late : m_table.overdue(now, m_options.refute_time))
    {
        late.state = member_state::dead;
        take_news(late, now);
    }
    m_table.forget(now, m_options.forget_after);
    std::erase_if(m_relays, [&](const relay& one) {
        return now - one.since > relay_lifetime;
    });
    return take();
}

void membership::check_probe(core::instant now)
{
    if (!m_probe)
        return;
    const auto waited = now - m_probe->sent;
    if (waited >= m_options.ack_timeout && !m_probe->asked_others)
    {
        m_probe->asked_others = true;
        for (const auto& helper :
             random_hosts(m_options.helpers, m_probe->target.name))
            send(helper.peer, message_kind::ping_request, m_probe->sequence,
                 m_probe->target);
    }
    if (waited < m_options.suspect_after)
        return;
    const auto* about = m_table.find(m_probe->target.name);
    if (about != nullptr && about->known.state == member_state::alive)
    {
        auto news = about->known;
        news.state = member_state::suspected;
        take_news(news, now);
    }
    m_probe.reset();
}

std::optional<core::host> membership::next_target()
{
    // Every live host once a round, in random order.
    while (true)
    {
        if (m_round.empty())
        {
            m_round = m_table.live();
            std::shuffle(m_round.begin(), m_round.end(), m_random);
        }
        if (m_round.empty())
            return std::nullopt;
        auto one = std::move(m_round.back());
        m_round.pop_back();
        const auto* about = m_table.find(one.name);
        if (about != nullptr && about->known.state <= member_state::suspected)
            return about->known.host;
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

void membership::mend(core::instant now)
{
    m_last_mend = now;
    std::vector<core::host> lost;
    for (const auto& one : m_listed)
    {
        const auto* about = m_table.find(one.name);
        if (about == nullptr || about->known.state == member_state::dead)
            lost.push_back(one);
    }
    for (const auto& one : m_table.in_state(member_state::dead))
        lost.push_back(one.host);
    if (lost.empty())
        return;
    std::shuffle(lost.begin(), lost.end(), m_random);
    lost.resize(std::min(lost.size(), m_options.push_fan_out));
    for (const auto& chosen : lost)
        send(chosen.peer, message_kind::ping, ++m_last_sequence);
}

std::vector<core::host> membership::random_hosts(std::size_t count,
                                                 const std::string& except)
{
    auto hosts = m_table.live();
    std::erase_if(hosts,
                  [&](const core::host& one) { return one.name == except; });
    std::shuffle(hosts.begin(), hosts.end(), m_random);
    hosts.resize(std::min(count, hosts.size()));
    return hosts;
}

actions membership::set_revision(std::uint64_t revision)
{
    if (revision <= m_revision)
        return {};
    m_revision = revision;
    for (const auto& one : random_hosts(m_options.push_fan_out, {}))
        send(one.peer, message_kind::ping, ++m_last_sequence);
    return take();
}

actions membership::notify(const std::vector<core::host>& hosts,
                           const std::string& payload)
{
    for (const auto& one : hosts)
    {
        if (one.name == m_self.host.name)
            continue;
        message made;
        made.kind = message_kind::notice;
        made.sender = m_self;
        made.revision = m_revision;
        made.payload = payload;
        m_out.emplace_back(send_action{one.peer, std::move(made)});
    }
    return take();
}

actions membership::leave()
{
    m_self.state = member_state::left;
    for (const auto& one : random_hosts(m_options.push_fan_out * 3, {}))
        send(one.peer, message_kind::ping, ++m_last_sequence);
    return take();
}

} // namespace plantainward::membership
