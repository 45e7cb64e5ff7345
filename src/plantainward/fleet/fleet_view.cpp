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

/// The instant that at least `count` of the instants reach; empty when there
/// are fewer.
std::optional<core::boot_instant>
nth_latest(std::vector<core::boot_instant> instants, std::size_t count)
{
    if (instants.size() < count)
        return std::nullopt;
    std::sort(instants.begin(), instants.end(), std::greater<>{});
    const auto instant = instants[count - 1];
    if (instant == core::boot_instant{})
        return std::nullopt;
    return instant;
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
        {
            m_failure_domain = registered.failure_domain;
            continue;
        }
        const auto [entry, is_new] = m_peers.try_emplace(name);
        if (is_new)
            entry->second.listed_at = now;
        entry->second.address = registered.address;
        entry->second.failure_domain = registered.failure_domain;
    }
    update_sources();
    update_absences(now);
}

void fleet_view::set_voters(const voter_set& voters)
{
    if (voters.version <= m_voters.version)
        return;
    m_voters = voters;
    m_contact.reset();
    update_sources();
    std::erase_if(m_absent_since, [&](const auto& entry) {
        return !m_voters.has_voted(entry.first);
    });
}

void fleet_view::note_records_read(std::uint64_t voters_version,
                                   core::boot_instant at)
{
    // A removed or damaged row does not show that the set is unchanged.
    if (voters_version < m_read_voters_version)
        return;
    if (voters_version > m_read_voters_version)
    {
        m_read_voters_version = voters_version;
        m_voters_first_read_at = at;
    }
    m_records_read_at = std::max(m_records_read_at, at);
}

void fleet_view::note_voters_write()
{
    m_changed_voters_version = m_voters.version;
}

// Voters that are not registered can't be reached. One voter of the own failure
// domain comes first, since bytes between domains are expensive; the second is
// any voter, so that both are not lost with one domain.
void fleet_view::update_sources()
{
    m_sources.clear();
    for (const auto& [name, peer] : m_peers)
        if (m_voters.has_voted(name))
            m_sources.push_back(name);
    std::sort(m_sources.begin(), m_sources.end(),
              [&](const std::string& a, const std::string& b) {
                  return std::pair(core::placement_hash(m_self, a), a) <
                         std::pair(core::placement_hash(m_self, b), b);
              });
    const auto near = std::find_if(
        m_sources.begin(), m_sources.end(), [&](const std::string& name) {
            return m_peers.at(name).failure_domain == m_failure_domain;
        });
    if (near != m_sources.end())
        std::rotate(m_sources.begin(), near, near + 1);
}

void fleet_view::update_absences(core::boot_instant now)
{
    for (const auto* names : {&m_voters.names, &m_voters.previous})
        for (const auto& name : *names)
            if (name != m_self && !m_peers.contains(name))
                m_absent_since.try_emplace(name, now);
    const auto returned = std::erase_if(m_absent_since, [&](const auto& entry) {
        return m_peers.contains(entry.first);
    });
    if (returned > 0)
        m_last_return = now;
}

bool fleet_view::is_absent(const std::string& name, core::millis timeout,
                           core::boot_instant now) const
{
    const auto found = m_absent_since.find(name);
    return found != m_absent_since.end() && now - found->second > timeout;
}

std::set<std::string> fleet_view::absent_voters(core::millis timeout,
                                                core::boot_instant now) const
{
    std::set<std::string> names;
    for (const auto& name : m_voters.names)
        if (is_absent(name, timeout, now))
            names.insert(name);
    return names;
}

std::set<std::string> fleet_view::absent_voters(core::boot_instant now) const
{
    return absent_voters(m_options.absence_timeout, now);
}

std::set<std::string>
fleet_view::urgently_absent_voters(core::boot_instant now) const
{
    if (absent_voters(m_options.urgent_absence_timeout, now).empty())
        return {};
    return absent_voters(core::millis(0), now);
}

// A host that needs no proofs sends no heartbeats, so no voter answers it.
bool fleet_view::is_without_voters(core::boot_instant now) const
{
    return m_voters.version != 0 && !is_voter() && m_needs_proofs &&
           m_contact.is_without_any(m_options.removal_timeout, now);
}

bool fleet_view::hears_majority(core::boot_instant now) const
{
    return has_majority(m_voters.names, [&](const std::string& name) {
        return is_live(name, now);
    });
}

void fleet_view::update_contact(core::boot_instant now)
{
    const auto& names = m_voters.names;
    const auto count = static_cast<std::size_t>(
        std::count_if(names.begin(), names.end(),
                      [&](const auto& name) { return is_live(name, now); }));
    m_contact.update(
        {count > 0, count * 2 > names.size(), count == names.size()}, now);
}

bool fleet_view::is_live(const peer_state& peer, core::boot_instant now) const
{
    return peer.last.sequence != 0 &&
           now - peer.received_at <= m_options.live_timeout;
}

bool fleet_view::is_live(const std::string& name, core::boot_instant now) const
{
    const auto found = m_peers.find(name);
    return name == m_self ||
           (found != m_peers.end() && is_live(found->second, now));
}

bool fleet_view::has_read_lately(core::boot_instant now) const
{
    return now - m_records_read_at < voter_set::max_read_age;
}

// Once one of the voters has changed the set, the voters before the change must
// never again confirm a record all together. An earlier process of this host
// may have made the change, and its write may be performed late.
bool fleet_view::confirms_with_all(core::boot_instant now) const
{
    return !m_voters.needs_recent_reads &&
           m_voters.version != m_changed_voters_version &&
           m_records_read_at - m_voters_first_read_at >=
               m_options.late_write_time &&
           now - m_records_read_at < voter_set::max_outage;
}

std::vector<std::string> fleet_view::targets(core::boot_instant now) const
{
    std::vector<std::string> chosen;
    if (is_voter())
    {
        // Members that do not vote are answered while they send heartbeats.
        for (const auto& [name, peer] : m_peers)
            if (m_voters.has_voted(name) || is_live(peer, now))
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

heartbeat fleet_view::make_heartbeat(const std::string& member,
                                     core::boot_instant now) const
{
    heartbeat message;
    message.host = m_self;
    message.incarnation = m_incarnation;
    message.sequence = m_sequence;
    message.voters_version = m_read_voters_version;
    message.has_read_lately = has_read_lately(now);
    message.confirms_with_all = confirms_with_all(now);
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
    if (message.voters_version > m_newest_voters_version)
    {
        m_newest_voters_version = message.voters_version;
        m_newest_voters_shown_at = now;
    }
    peer.last = message;
    peer.received_at = now;
    if (message.echo_incarnation != m_incarnation)
        return true;
    if (const auto at = sent_at(message.echo_sequence))
        peer.confirmed_at = std::max(peer.confirmed_at, *at);
    return true;
}

// A proof that another host reports is as good as one of this host's quorum: it
// states at which instant the record was current.
std::optional<core::boot_instant>
fleet_view::proof_instant(const std::string& service, std::uint64_t version,
                          core::boot_instant now) const
{
    auto best = quorum_instant(service, version, now);
    for (const auto& name : m_sources)
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

// A host with another set may take itself for a non-voter and leave out
// services; its heartbeat confirms nothing about these.
bool fleet_view::confirms(const std::string& name, const peer_state& peer,
                          const std::string& service,
                          std::uint64_t version) const
{
    return m_voters.names.contains(name) && peer.last.knows_records &&
           peer.last.voters_version == m_voters.version &&
           find_status(peer.last, service) != nullptr &&
           known_version(peer, service) <= version;
}

std::optional<core::boot_instant>
fleet_view::quorum_instant(const std::string& service, std::uint64_t version,
                           core::boot_instant now) const
{
    if (!is_voter() || m_read_voters_version != m_voters.version)
        return std::nullopt;
    // The confirmations of voters that have lately read the records, and those
    // of voters that confirm together with all others.
    std::vector<core::boot_instant> recent;
    std::vector<core::boot_instant> all;
    if (has_read_lately(now))
        recent.push_back(now);
    if (confirms_with_all(now))
        all.push_back(now);
    for (const auto& [name, peer] : m_peers)
    {
        if (!confirms(name, peer, service, version))
            continue;
        if (peer.last.confirms_with_all)
            all.push_back(peer.confirmed_at);
        if (peer.last.has_read_lately)
            recent.push_back(peer.confirmed_at);
    }
    const auto voter_count = m_voters.names.size();
    return std::max(nth_latest(std::move(recent), voter_count / 2 + 1),
                    nth_latest(std::move(all), voter_count));
}

std::optional<core::boot_instant>
fleet_view::majority_instant(core::boot_instant now) const
{
    if (!is_voter())
        return std::nullopt;
    const auto majority_of = [&](const std::set<std::string>& names) {
        std::vector<core::boot_instant> recent;
        std::vector<core::boot_instant> all;
        const auto add = [&](const std::string& name, core::boot_instant at,
                             bool has_read, bool is_with_all) {
            if (!names.contains(name))
                return;
            if (has_read)
                recent.push_back(at);
            if (is_with_all)
                all.push_back(at);
        };
        add(m_self, now, has_read_lately(now), confirms_with_all(now));
        for (const auto& [name, peer] : m_peers)
            if (peer.confirmed_at != core::boot_instant{} &&
                peer.last.voters_version == m_voters.version)
                add(name, peer.confirmed_at, peer.last.has_read_lately,
                    peer.last.confirms_with_all);
        return std::max(nth_latest(std::move(recent), names.size() / 2 + 1),
                        nth_latest(std::move(all), names.size()));
    };
    const auto at = majority_of(m_voters.names);
    return m_voters.is_joint() ? std::min(at, majority_of(m_voters.previous))
                               : at;
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
    return m_voters.names.contains(member) || found == m_peers.end() ||
           find_status(found->second.last, service) != nullptr;
}

bool fleet_view::majority_acknowledged(const std::string& service,
                                       std::uint64_t version) const
{
    const auto acknowledges = [&](const std::string& name) {
        return name == m_self || version_known_by(name, service) >= version;
    };
    return has_majority(m_voters.names, acknowledges) &&
           (!m_voters.is_joint() ||
            has_majority(m_voters.previous, acknowledges));
}

bool fleet_view::previous_voters_informed() const
{
    return has_majority(m_voters.previous, [&](const std::string& name) {
        if (name == m_self)
            return m_read_voters_version >= m_voters.version;
        const auto found = m_peers.find(name);
        return found != m_peers.end() &&
               found->second.last.voters_version >= m_voters.version;
    });
}

bool fleet_view::can_reach_majority(core::boot_instant now) const
{
    return hears_majority(now) &&
           (!m_voters.is_joint() ||
            has_majority(m_voters.previous, [&](const std::string& name) {
                return is_live(name, now);
            }));
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
        if (!m_voters.names.contains(name) || !is_live(peer, now))
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
        if (!m_voters.names.contains(name) || !is_live(peer, now))
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
        if (m_voters.names.contains(name) && is_live(peer, now))
            names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

std::set<std::string> fleet_view::heard_members(core::boot_instant now) const
{
    const auto time = hears_majority(now) ? m_options.hearing_time
                                          : m_options.urgent_hearing_time;
    std::set<std::string> names{m_self};
    for (const auto& [name, peer] : m_peers)
        if (peer.last.sequence != 0 && now - peer.received_at <= time)
            names.insert(name);
    return names;
}

std::vector<std::string> fleet_view::silent_voters(core::boot_instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        if (m_voters.names.contains(name) &&
            now - std::max(peer.received_at, peer.listed_at) >
                m_options.removal_timeout)
            names.push_back(name);
    return names;
}

std::vector<std::string> fleet_view::lost_voters(core::boot_instant now) const
{
    if (!is_voter() && !is_without_voters(now))
        return {};
    auto silent = silent_voters(now);
    if (silent.empty() || hears_majority(now))
        return silent;
    if (m_last_return && now - *m_last_return < m_options.return_pause)
        return {};
    const bool is_one_removed =
        std::any_of(m_voters.names.begin(), m_voters.names.end(),
                    [&](const std::string& name) {
                        return is_absent(name, core::millis(0), now);
                    });
    if (!is_one_removed)
        return {silent.front()};
    const bool may_return =
        absent_voters(m_options.return_timeout, now).empty();
    return may_return ? std::vector<std::string>{} : silent;
}

} // namespace plantainward::fleet
