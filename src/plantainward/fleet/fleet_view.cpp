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
// its timers fire some milliseconds late.
constexpr core::millis departed_lease_timeout =
    succession::primary_lease::validity + core::millis(100);

// Rounds whose instants are kept to date echoes; 32 intervals are 13 s, longer
// than any lease.
constexpr std::size_t max_rounds = 64;

const service_status* find_status(const heartbeat& message,
                                  const std::string& service)
{
    const auto found = message.services.find(key_of(service));
    return found == message.services.end() ? nullptr : &found->second;
}

void update_known_versions(peer_state& peer, const heartbeat& message)
{
    if (message.incarnation != peer.last.incarnation)
    {
        peer.confirmed_at = {};
        peer.known_versions.clear();
    }
    for (const auto& [key, status] : message.services)
    {
        auto& version = peer.known_versions[key];
        version = std::max(version, status.record_version);
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

void fleet_view::set_members(const members& listed, core::boot_instant now)
{
    for (const auto& [name, peer] : m_peers)
        if (!listed.contains(name))
            m_departed[name] = {peer, now};
    std::erase_if(m_peers, [&](const auto& entry) {
        return !listed.contains(entry.first);
    });
    std::erase_if(m_departed, [&](const auto& entry) {
        return listed.contains(entry.first) ||
               now - entry.second.departed_at > departed_lease_timeout;
    });
    for (const auto& [name, registered] : listed)
    {
        if (name == m_self)
            continue;
        const auto [entry, is_new] = m_peers.try_emplace(name);
        if (is_new)
            entry->second.listed_at = now;
        entry->second.address = registered.address;
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
    if (names.size() > m_options.max_voting_members)
    {
        sort_for("voter", names);
        names.resize(m_options.voter_count);
    }
    m_voters = {names.begin(), names.end()};
    std::erase(names, m_self);
    sort_for(m_self, names);
    m_sources = std::move(names);
}

bool fleet_view::is_live(const peer_state& peer, core::boot_instant now) const
{
    return peer.last.sequence != 0 &&
           now - peer.received_at <= m_options.live_timeout;
}

std::vector<std::string> fleet_view::targets(core::boot_instant now) const
{
    std::vector<std::string> chosen;
    if (is_voter())
    {
        // Members that do not vote are answered while they send heartbeats.
        for (const auto& [name, peer] : m_peers)
            if (m_voters.contains(name) || is_live(peer, now))
                chosen.push_back(name);
        return chosen;
    }
    if (m_sources.empty() || !m_needs_proofs)
        return chosen;
    for (const auto& name : m_sources)
        if (chosen.size() < m_options.source_count &&
            is_live(m_peers.at(name), now))
            chosen.push_back(name);
    const auto& next = m_sources[m_sequence % m_sources.size()];
    if (std::find(chosen.begin(), chosen.end(), next) == chosen.end())
        chosen.push_back(next);
    return chosen;
}

void fleet_view::start_round(core::boot_instant now)
{
    m_rounds.push_back({++m_sequence, now});
    if (m_rounds.size() > max_rounds)
        m_rounds.pop_front();
}

heartbeat fleet_view::make_heartbeat(const std::string& member) const
{
    heartbeat message;
    message.host = m_self;
    message.incarnation = m_incarnation;
    message.sequence = m_sequence;
    const auto found = m_peers.find(member);
    if (found == m_peers.end())
        return message;
    message.echo_incarnation = found->second.last.incarnation;
    message.echo_sequence = found->second.last.sequence;
    return message;
}

std::optional<core::boot_instant>
fleet_view::sent_at(std::uint32_t sequence) const
{
    for (const auto& round : m_rounds)
        if (round.sequence == sequence)
            return round.at;
    return std::nullopt;
}

bool fleet_view::on_heartbeat(const heartbeat& message, core::boot_instant now)
{
    if (const auto departed = m_departed.find(message.host);
        departed != m_departed.end())
        update_known_versions(departed->second.peer, message);
    const auto found = m_peers.find(message.host);
    if (found == m_peers.end())
        return false;
    auto& peer = found->second;
    const std::pair last{peer.last.incarnation, peer.last.sequence};
    if (std::pair{message.incarnation, message.sequence} < last)
        return false;
    update_known_versions(peer, message);
    peer.last = message;
    peer.received_at = now;
    if (message.echo_incarnation != m_incarnation)
        return true;
    if (const auto at = sent_at(message.echo_sequence))
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
        const auto* status = find_status(peer.last, service);
        if (status == nullptr || status->record_version != version ||
            status->proof_age_ms < 0 ||
            peer.confirmed_at == core::boot_instant{})
            continue;
        const auto at = peer.confirmed_at - core::millis(status->proof_age_ms);
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
        // A host with another list may take itself for a non-voter and leave
        // out services; its heartbeat confirms nothing about these.
        if (!m_voters.contains(name) || !peer.last.knows_records ||
            find_status(peer.last, service) == nullptr ||
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

bool fleet_view::is_interested_in(const std::string& member,
                                  const std::string& service) const
{
    const auto found = m_peers.find(member);
    return m_voters.contains(member) || found == m_peers.end() ||
           find_status(found->second.last, service) != nullptr;
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
    for (const auto& [name, departed] : m_departed)
        if (now - departed.departed_at <= departed_lease_timeout &&
            known_version(departed.peer, service) < version)
            names.push_back(name);
    return names;
}

std::optional<core::address>
fleet_view::address_of(const std::string& member) const
{
    if (const auto found = m_peers.find(member); found != m_peers.end())
        return found->second.address;
    if (const auto departed = m_departed.find(member);
        departed != m_departed.end())
        return departed->second.peer.address;
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
        const auto* status = find_status(peer.last, service);
        if (status == nullptr || status->record_version != version)
            continue;
        count += status->suspects_primary ? 1 : 0;
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
        const auto* status = find_status(peer.last, service);
        // A voter whose heartbeat leaves out the service counts as a watcher.
        count += status == nullptr || status->watches_primary ? 1 : 0;
    }
    return count;
}

bool fleet_view::cannot_write(const std::string& member,
                              const std::string& service) const
{
    const auto found = m_peers.find(member);
    if (found == m_peers.end())
        return false;
    const auto* status = find_status(found->second.last, service);
    return status != nullptr && status->cannot_write;
}

std::vector<std::string> fleet_view::live_voters(core::boot_instant now) const
{
    std::vector<std::string> names{m_self};
    for (const auto& [name, peer] : m_peers)
        if (m_voters.contains(name) && is_live(peer, now))
            names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> fleet_view::lost_voters(core::boot_instant now) const
{
    // A host that sees no majority may itself be the one that is cut off.
    const bool sees_majority = live_voters(now).size() * 2 > voter_count();
    const auto timeout = sees_majority ? m_options.removal_timeout
                                       : m_options.removal_timeout * 3;
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        if (m_voters.contains(name) &&
            now - std::max(peer.received_at, peer.listed_at) > timeout)
            names.push_back(name);
    return names;
}

} // namespace plantainward::fleet
