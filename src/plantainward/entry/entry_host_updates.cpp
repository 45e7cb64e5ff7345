// Table updates that the hosts of a large fleet pass on to each other.

#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/entry/feed_schedule.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::entry
{

namespace
{

// A host whose tables have been older than a peer's for this long does not call
// its updates current.
constexpr core::millis behind_timeout{500};

} // namespace

fleet::table_versions entry_host::versions() const
{
    return {m_pooler.routing().version, m_upstreams_version, m_members_version,
            m_fleet.voters().version};
}

core::millis entry_host::feed_wait(core::millis since_change,
                                   core::boot_instant now) const
{
    const auto names = m_fleet.live_voters(now);
    const auto own =
        std::lower_bound(names.begin(), names.end(), m_identity.name);
    return entry::feed_wait(static_cast<std::size_t>(own - names.begin()),
                            names.size(), since_change);
}

std::vector<core::address> entry_host::table_sources() const
{
    std::vector<std::string> names;
    for (const auto& name : m_fleet.voters().names)
        if (name != m_identity.name && m_members.contains(name))
            names.push_back(name);
    const auto rank = [&](const std::string& name) {
        const bool is_near =
            m_members.at(name).failure_domain == m_identity.failure_domain;
        return std::pair(!is_near, core::placement_hash(m_identity.name, name));
    };
    std::sort(names.begin(), names.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::vector<core::address> sources;
    sources.reserve(names.size());
    for (const auto& name : names)
        sources.push_back(m_members.at(name).address);
    return sources;
}

void entry_host::set_table_reachable(followed_table table, bool reachable)
{
    if (reachable)
        m_unreachable_tables.erase(table);
    else
        m_unreachable_tables.insert(table);
}

bool entry_host::has_current_tables(core::boot_instant now) const
{
    return choose_table_source() == table_source::table_service &&
           m_unreachable_tables.empty() && has_routing() &&
           (!m_behind_since || now - *m_behind_since < behind_timeout);
}

std::optional<fleet::table_update>
entry_host::table_update_for(const fleet::table_versions& receiver_versions,
                             bool must_answer, core::boot_instant now) const
{
    const auto own = versions();
    const bool is_current = has_current_tables(now);
    if (!own.is_newer_than(receiver_versions) && is_current && !must_answer)
        return std::nullopt;
    fleet::table_update update;
    update.versions = own;
    update.is_current = is_current;
    if (own.routing > receiver_versions.routing)
        update.routing = m_pooler.routing();
    if (own.upstreams > receiver_versions.upstreams)
        update.upstreams = m_directory.registered();
    if (own.members > receiver_versions.members)
        update.hosts = m_members;
    if (own.voters > receiver_versions.voters)
        update.voters = m_fleet.voters();
    return update;
}

entry_actions entry_host::on_table_update(const fleet::table_update& update,
                                          core::boot_instant now)
{
    entry_actions out;
    const auto add = [&](entry_actions actions) {
        std::move(actions.pooling.begin(), actions.pooling.end(),
                  std::back_inserter(out.pooling));
        std::move(actions.control.begin(), actions.control.end(),
                  std::back_inserter(out.control));
    };
    if (update.hosts && update.versions.members > m_members_version)
        on_members(*update.hosts, update.versions.members, std::nullopt, now);
    if (update.voters)
        set_voters(*update.voters);
    if (update.upstreams && update.versions.upstreams > m_upstreams_version)
        add(on_upstreams(*update.upstreams, update.versions.upstreams,
                         std::nullopt, now));
    if (update.routing)
        add(on_routing(*update.routing, now, routing_source::another_host));
    return out;
}

} // namespace plantainward::entry
