#include <plantainward/fleet/fleet_view.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/succession/primary_lease.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace plantainward::fleet
{

namespace
{

// A host that left the list may hold a lease that was proved just before, and
// its timers fire late by some milliseconds.
constexpr core::millis leave_patience =
    succession::primary_lease::validity + core::millis(100);

// Rounds whose instants are kept for echoes; 32 intervals are 13 s, longer
// than any lease.
constexpr std::size_t kept_rounds = 64;

const service_news* news_of(const heartbeat& one, const std::string& service)
{
    const auto found = one.services.find(key_of(service));
    return found == one.services.end() ? nullptr : &found->second;
}

void learn_versions(peer_state& peer, const heartbeat& one)
{
    if (one.incarnation != peer.last.incarnation)
    {
        peer.confirmed_at = {};
        peer.known_versions.clear();
    }
    for (const auto& [key, news] : one.services)
    {
        auto& version = peer.known_versions[key];
        version = std::max(version, news.record_version);
    }
}

std::uint64_t known_version(const peer_state& peer, const std::string& service)
{
    const auto found = peer.known_versions.find(key_of(service));
    return found == peer.known_versions.end() ? 0 : found->second;
}

} // namespace

fleet_view::fleet_view(std::string self, std::uint64_t incarnation,
                       fleet_options options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

void fleet_view::set_members(const members& all, core::boot_instant now)
{
    for (const auto& [name, peer] : m_peers)
        if (!all.contains(name))
            m_left[name] = {peer, now};
    std::erase_if(m_peers,
                  [&](const auto& one) { return !all.contains(one.first); });
    std::erase_if(m_left, [&](const auto& one) {
        return all.contains(one.first) ||
               now - one.second.left_at > leave_patience;
    });
    for (const auto& [name, one] : all)
    {
        if (name == m_self)
            continue;
        const auto [place, is_new] = m_peers.try_emplace(name);
        if (is_new)
            place->second.listed_at = now;
        place->second.address = one.address;
    }
    choose_voters();
}

void fleet_view::choose_voters()
{
    std::vector<std::string> names{m_self};
    for (const auto& [name, peer] : m_peers)
        names.push_back(name);
    const auto sort_for = [](std::string_view key,
                             std::vector<std::string>& list) {
        std::sort(list.begin(), list.end(),
                  [&](const std::string& a, const std::string& b) {
                      return std::pair(core::placement_hash(key, a), a) <
                             std::pair(core::placement_hash(key, b), b);
                  });
    };
    if (names.size() > m_options.most_all_voting)
    {
        sort_for("voter", names);
        names.resize(m_options.voters);
    }
    m_voters = {names.begin(), names.end()};
    std::erase(names, m_self);
    sort_for(m_self, names);
    m_sources = std::move(names);
}

bool fleet_view::is_live(const peer_state& peer, core::boot_instant now) const
{
    return peer.last.sequence != 0 &&
           now - peer.heard_at <= m_options.live_window;
}

std::vector<std::string> fleet_view::targets(core::boot_instant now) const
{
    std::vector<std::string> chosen;
    if (is_voter())
    {
        // Other members are answered while they ask.
        for (const auto& [name, peer] : m_peers)
            if (m_voters.contains(name) || is_live(peer, now))
                chosen.push_back(name);
        return chosen;
    }
    if (m_sources.empty() || !m_needs_proofs)
        return chosen;
    for (const auto& name : m_sources)
        if (chosen.size() < m_options.sources && is_live(m_peers.at(name), now))
            chosen.push_back(name);
    const auto& next = m_sources[m_sequence % m_sources.size()];
    if (std::find(chosen.begin(), chosen.end(), next) == chosen.end())
        chosen.push_back(next);
    return chosen;
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

bool fleet_view::on_heartbeat(const heartbeat& one, core::boot_instant now)
{
    if (const auto left = m_left.find(one.host); left != m_left.end())
        learn_versions(left->second.peer, one);
    const auto found = m_peers.find(one.host);
    if (found == m_peers.end())
        return false;
    auto& peer = found->second;
    const std::pair known{peer.last.incarnation, peer.last.sequence};
    if (std::pair{one.incarnation, one.sequence} < known)
        return false;
    learn_versions(peer, one);
    peer.last = one;
    peer.heard_at = now;
    if (one.echo_incarnation != m_incarnation)
        return true;
    if (const auto at = sent_at(one.echo_sequence))
        peer.confirmed_at = std::max(peer.confirmed_at, *at);
    return true;
}

std::optional<core::boot_instant>
fleet_view::proof_instant(const std::string& service, std::uint64_t version,
                          core::boot_instant now) const
{
    if (is_voter())
        return quorum_instant(service, version, now);
    std::optional<core::boot_instant> best;
    for (const auto& name : m_voters)
    {
        const auto& peer = m_peers.at(name);
        const auto* news = news_of(peer.last, service);
        if (news == nullptr || news->record_version != version ||
            news->proof_age_ms < 0 || peer.confirmed_at == core::boot_instant{})
            continue;
        const auto at = peer.confirmed_at - core::millis(news->proof_age_ms);
        best = best ? std::max(*best, at) : at;
    }
    return best;
}

std::optional<core::boot_instant>
fleet_view::quorum_instant(const std::string& service, std::uint64_t version,
                           core::boot_instant now) const
{
    std::vector<core::boot_instant> confirmed{now};
    for (const auto& [name, peer] : m_peers)
    {
        // Hosts with different lists differ in what they leave out.
        if (!m_voters.contains(name) || !peer.last.knows_records ||
            news_of(peer.last, service) == nullptr ||
            known_version(peer, service) > version)
            continue;
        confirmed.push_back(peer.confirmed_at);
    }
    const auto needed = voter_count() * 2 / 3 + 1;
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
    return found == m_peers.end() ? 0 : known_version(found->second, service);
}

bool fleet_view::is_told_of(const std::string& member,
                            const std::string& service) const
{
    const auto found = m_peers.find(member);
    return m_voters.contains(member) || found == m_peers.end() ||
           news_of(found->second.last, service) != nullptr;
}

std::size_t fleet_view::voters_acknowledged(const std::string& service,
                                            std::uint64_t version) const
{
    std::size_t count = 1;
    for (const auto& [name, peer] : m_peers)
        if (m_voters.contains(name) && known_version(peer, service) >= version)
            ++count;
    return count;
}

bool fleet_view::all_acknowledged(const std::string& service,
                                  std::uint64_t version,
                                  core::boot_instant now) const
{
    return unacknowledged(service, version, now).empty();
}

std::vector<std::string>
fleet_view::unacknowledged(const std::string& service, std::uint64_t version,
                           core::boot_instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        if (known_version(peer, service) < version)
            names.push_back(name);
    for (const auto& [name, left] : m_left)
        if (now - left.left_at <= leave_patience &&
            known_version(left.peer, service) < version)
            names.push_back(name);
    return names;
}

std::optional<core::address>
fleet_view::address_of(const std::string& member) const
{
    if (const auto found = m_peers.find(member); found != m_peers.end())
        return found->second.address;
    if (const auto left = m_left.find(member); left != m_left.end())
        return left->second.peer.address;
    return std::nullopt;
}

std::size_t fleet_view::suspecting_hosts(const std::string& service,
                                         std::uint64_t version,
                                         core::boot_instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, peer] : m_peers)
    {
        if (!m_voters.contains(name) || !is_live(peer, now))
            continue;
        const auto* news = news_of(peer.last, service);
        if (news == nullptr || news->record_version != version)
            continue;
        count += news->suspects_primary ? 1 : 0;
    }
    return count;
}

std::size_t fleet_view::watchers(const std::string& service,
                                 core::boot_instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, peer] : m_peers)
    {
        if (!m_voters.contains(name) || !is_live(peer, now))
            continue;
        const auto* news = news_of(peer.last, service);
        // A voter without news of the service still counts as one that sees.
        count += news == nullptr || news->watches_primary ? 1 : 0;
    }
    return count;
}

bool fleet_view::cannot_write(const std::string& member,
                              const std::string& service) const
{
    const auto found = m_peers.find(member);
    if (found == m_peers.end())
        return false;
    const auto* news = news_of(found->second.last, service);
    return news != nullptr && news->cannot_write;
}

std::vector<std::string> fleet_view::live(core::boot_instant now) const
{
    std::vector<std::string> names{m_self};
    for (const auto& [name, peer] : m_peers)
        if (m_voters.contains(name) && is_live(peer, now))
            names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> fleet_view::lost(core::boot_instant now) const
{
    // Without a majority in sight this host may be the one that is cut off.
    const bool sees_majority = live(now).size() * 2 > voter_count();
    const auto patience =
        sees_majority ? m_options.forget_after : m_options.forget_after * 3;
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        if (m_voters.contains(name) &&
            now - std::max(peer.heard_at, peer.listed_at) > patience)
            names.push_back(name);
    return names;
}

} // namespace plantainward::fleet
