// Tables that hosts of a large fleet pass on to each other.

#include <plantainward/entry/entry_host.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::entry
{

namespace
{

// A host that peers have known to be behind for this long passes on nothing
// new.
constexpr core::millis behind_patience{500};

} // namespace

fleet::table_versions entry_host::versions() const
{
    return {m_pooler.routing().version, m_upstreams_version, m_members_version};
}

std::vector<core::address> entry_host::table_sources() const
{
    std::vector<std::string> names;
    for (const auto& name : m_fleet.voters())
        if (name != m_identity.name && m_members.contains(name))
            names.push_back(name);
    const auto rank = [&](const std::string& name) {
        const bool is_near =
            m_members.at(name).failure_domain == m_identity.failure_domain;
        return std::pair(!is_near, core::placement_hash(m_identity.name, name));
    };
    std::sort(names.begin(), names.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::vector<core::address> found;
    found.reserve(names.size());
    for (const auto& name : names)
        found.push_back(m_members.at(name).address);
    return found;
}

bool entry_host::knows_present_tables(core::boot_instant now) const
{
    return follows_tables() && m_reaches_tables && has_routing() &&
           (!m_behind_since || now - *m_behind_since < behind_patience);
}

std::optional<fleet::table_update>
entry_host::table_update_for(const fleet::table_versions& known,
                             bool must_answer, core::boot_instant now) const
{
    const auto own = versions();
    const bool is_current = knows_present_tables(now);
    if (!own.is_newer_than(known) && is_current && !must_answer)
        return std::nullopt;
    fleet::table_update made;
    made.versions = own;
    made.is_current = is_current;
    if (own.routing > known.routing)
        made.routing = m_pooler.routing();
    if (own.upstreams > known.upstreams)
        made.upstreams = m_directory.registered();
    if (own.members > known.members)
        made.hosts = m_members;
    return made;
}

entry_actions entry_host::on_table_update(const fleet::table_update& news,
                                          core::boot_instant now)
{
    entry_actions out;
    const auto add = [&](entry_actions made) {
        std::move(made.pooling.begin(), made.pooling.end(),
                  std::back_inserter(out.pooling));
        std::move(made.control.begin(), made.control.end(),
                  std::back_inserter(out.control));
    };
    if (news.hosts && news.versions.members > m_members_version)
        on_members(*news.hosts, news.versions.members, std::nullopt, now);
    if (news.upstreams && news.versions.upstreams > m_upstreams_version)
        add(on_upstreams(*news.upstreams, news.versions.upstreams, now));
    if (news.routing)
        add(on_routing(*news.routing, now));
    return out;
}

} // namespace plantainward::entry
