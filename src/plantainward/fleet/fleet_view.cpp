#include <plantainward/fleet/fleet_view.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace plantainward::fleet
{

namespace
{

// Rounds whose instants are kept for echoes; 32 intervals are 13 s, longer
// than any lease.
constexpr std::size_t kept_rounds = 64;

const service_news* news_of(const heartbeat& one, const std::string& service)
{
    const auto found = one.services.find(key_of(service));
    return found == one.services.end() ? nullptr : &found->second;
}

std::uint64_t version_in(const heartbeat& one, const std::string& service)
{
    const auto* news = news_of(one, service);
    return news == nullptr ? 0 : news->record_version;
}

} // namespace

fleet_view::fleet_view(std::string self, std::uint64_t incarnation,
                       fleet_options options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

void fleet_view::set_members(
    const std::map<std::string, core::address>& members, core::boot_instant now)
{
    std::erase_if(
        m_peers, [&](const auto& one) { return !members.contains(one.first); });
    for (const auto& [name, address] : members)
    {
        if (name == m_self)
            continue;
        const auto [place, is_new] = m_peers.try_emplace(name);
        if (is_new)
            place->second.listed_at = now;
        place->second.address = address;
    }
}

void fleet_view::start_round(core::boot_instant now)
{
    m_rounds.push_back({++m_sequence, now});
    if (m_rounds.size() > kept_rounds)
        m_rounds.pop_front();
}

heartbeat fleet_view::make_for(const std::string& member) const
{
    heartbeat made;
    made.host = m_self;
    made.incarnation = m_incarnation;
    made.sequence = m_sequence;
    const auto found = m_peers.find(member);
    if (found == m_peers.end())
        return made;
    made.echo_incarnation = found->second.last.incarnation;
    made.echo_sequence = found->second.last.sequence;
    return made;
}

std::optional<core::boot_instant>
fleet_view::sent_at(std::uint32_t sequence) const
{
    for (const auto& one : m_rounds)
        if (one.sequence == sequence)
            return one.at;
    return std::nullopt;
}

bool fleet_view::take(const heartbeat& one, core::boot_instant now)
{
    const auto found = m_peers.find(one.host);
    if (found == m_peers.end())
        return false;
    auto& peer = found->second;
    const std::pair known{peer.last.incarnation, peer.last.sequence};
    if (std::pair{one.incarnation, one.sequence} < known)
        return false;
    if (one.incarnation != peer.last.incarnation)
        peer.confirmed_at = {};
    peer.last = one;
    peer.heard_at = now;
    if (one.echo_incarnation != m_incarnation)
        return true;
    if (const auto at = sent_at(one.echo_sequence))
        peer.confirmed_at = std::max(peer.confirmed_at, *at);
    return true;
}

std::optional<core::boot_instant>
fleet_view::quorum_instant(const std::string& service, std::uint64_t version,
                           core::boot_instant now) const
{
    std::vector<core::boot_instant> confirmed{now};
    for (const auto& [name, peer] : m_peers)
    {
        if (!peer.last.knows_records ||
            version_in(peer.last, service) > version)
            continue;
        confirmed.push_back(peer.confirmed_at);
    }
    const auto needed = size() * 2 / 3 + 1;
    if (confirmed.size() < needed)
        return std::nullopt;
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>{});
    const auto instant = confirmed[needed - 1];
    if (instant == core::boot_instant{})
        return std::nullopt;
    return instant;
}

std::uint64_t fleet_view::version_known_by(const std::string& member,
                                           const std::string& service) const
{
    const auto found = m_peers.find(member);
    return found == m_peers.end() ? 0 : version_in(found->second.last, service);
}

std::size_t fleet_view::members_aware(const std::string& service,
                                      std::uint64_t version,
                                      core::boot_instant since) const
{
    std::size_t count = 1;
    for (const auto& [name, peer] : m_peers)
    {
        const bool holds_no_lease =
            !peer.last.knows_records && peer.confirmed_at >= since;
        if (holds_no_lease || version_in(peer.last, service) >= version)
            ++count;
    }
    return count;
}

std::size_t fleet_view::doubters(const std::string& service,
                                 std::uint64_t version,
                                 core::boot_instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, peer] : m_peers)
    {
        if (now - peer.heard_at > m_options.live_window)
            continue;
        const auto* news = news_of(peer.last, service);
        if (news == nullptr || news->record_version != version)
            continue;
        count += news->doubts_primary ? 1 : 0;
    }
    return count;
}

std::vector<std::string> fleet_view::live(core::boot_instant now) const
{
    std::vector<std::string> names{m_self};
    for (const auto& [name, peer] : m_peers)
    {
        if (peer.last.sequence == 0 ||
            now - peer.heard_at > m_options.live_window)
            continue;
        names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> fleet_view::lost(core::boot_instant now) const
{
    // Without a majority in sight this host may be the one that is cut off.
    const bool sees_majority = live(now).size() * 2 > size();
    const auto patience =
        sees_majority ? m_options.forget_after : m_options.forget_after * 3;
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        if (now - std::max(peer.heard_at, peer.listed_at) > patience)
            names.push_back(name);
    return names;
}

} // namespace plantainward::fleet
