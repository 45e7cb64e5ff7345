#include "checker.hpp"

#include "statement_text.hpp"

#include <algorithm>
#include <tuple>

namespace soak
{

namespace
{

bool allows(const configuration& version, const std::string& name,
            const std::string& service)
{
    const auto found = version.routes.find(name);
    return found != version.routes.end() && found->second.service == service;
}

} // namespace

void checker::check_routes()
{
    for (const auto& item : m_history.runs)
    {
        const auto found = m_requests.find(item.id);
        if (found == m_requests.end() || !has_run(item) ||
            !needs_database(item.text))
            continue;
        const auto& asked = *found->second;
        const bool was_allowed = std::any_of(
            m_history.configurations.begin(), m_history.configurations.end(),
            [&](const configuration& version) {
                return version.sent <= item.arrived &&
                       allows(version, asked.database, item.service);
            });
        if (!was_allowed)
            report("ROUTE", story("no configuration allows it", item, &asked));
        else
            check_late_route(item, asked);
    }
}

// A run that none of the versions allows which may be in force.
void checker::check_late_route(const run& item, const request& asked)
{
    const auto moment = route_moment(asked);
    const configuration* due = nullptr;
    for (const auto& version : m_history.configurations)
        if (version.acknowledged + from_ms(m_bounds.config_apply_ms) < moment)
            due = &version;
    if (due == nullptr)
        return;
    for (const auto& version : m_history.configurations)
        if (version.version >= due->version && version.sent <= item.arrived &&
            allows(version, asked.database, item.service))
            return;
    const bool in_touch = is_in_touch(asked.host, moment) &&
                          is_in_touch(host_of(item.sender), moment);
    report(in_touch ? "CONFIG" : "note: CONFIG, a machine was not in touch",
           story("only versions before " + std::to_string(due->version) +
                     ", acknowledged at " +
                     std::to_string(due->acknowledged / 1000) + " ms, allow it",
                 item, &asked),
           in_touch);
}

// A name that was refused although it is there.
void checker::check_openings()
{
    const auto check_name = [&](const std::string& name, std::size_t host,
                                instant sent, instant answered,
                                const std::string& what) {
        const configuration* due = nullptr;
        for (const auto& version : m_history.configurations)
            if (version.acknowledged + from_ms(m_bounds.config_apply_ms) < sent)
                due = &version;
        if (due == nullptr)
            return;
        for (const auto& version : m_history.configurations)
            if (version.version >= due->version && version.sent <= answered &&
                !version.routes.contains(name))
                return;
        const bool in_touch = is_in_touch(host, sent);
        report(in_touch ? "CONFIG" : "note: CONFIG, a machine was not in touch",
               "NODB for " + name + " at host " + std::to_string(host) +
                   " at " + std::to_string(sent / 1000) + " ms, " + what,
               in_touch);
    };
    for (const auto& item : m_history.openings)
        if (item.code == "NODB")
            check_name(item.database, item.host, item.sent, item.answered,
                       "session " + std::to_string(item.session));
    for (const auto& item : m_history.requests)
        if (item.code == "NODB")
            check_name(item.database, item.host, route_moment(item),
                       item.answered, "request " + item.id);
}

// A host that has shown the effect of a version must not go back.
void checker::check_regress()
{
    struct effect
    {
        instant at{0};
        std::uint64_t version{0};
    };
    std::map<std::pair<std::size_t, unsigned>, std::vector<effect>> shown;
    std::vector<const run*> runs;
    for (const auto& item : m_history.runs)
        if (m_requests.contains(item.id) && has_run(item) &&
            needs_database(item.text))
            runs.push_back(&item);
    std::sort(runs.begin(), runs.end(), [](const run* a, const run* b) {
        return a->arrived < b->arrived;
    });
    for (const auto* item : runs)
    {
        const auto& asked = *m_requests.at(item->id);
        // The host that takes the request and the one that sends it on may
        // know different versions.
        if (host_of(item->sender) != asked.host)
            continue;
        std::uint64_t oldest = 0;
        std::uint64_t newest = 0;
        for (const auto& version : m_history.configurations)
        {
            if (version.sent > item->arrived ||
                !allows(version, asked.database, item->service))
                continue;
            oldest = oldest == 0 ? version.version : oldest;
            newest = version.version;
        }
        auto& effects = shown[{asked.host, asked.incarnation}];
        const auto moment = route_moment(asked);
        for (const auto& earlier : effects)
        {
            if (earlier.version <= newest ||
                earlier.at + from_ms(m_bounds.downgrade_slack_ms) >= moment)
                continue;
            report("CONFIG",
                   story("the host had shown version " +
                             std::to_string(earlier.version) + " at " +
                             std::to_string(earlier.at / 1000) +
                             " ms and goes back",
                         *item, &asked));
            break;
        }
        if (effects.empty() || effects.back().version < oldest)
            effects.push_back({item->arrived, oldest});
    }
}

bool checker::has_commit(std::size_t log_end, std::size_t commit_index) const
{
    // A log that was dropped shares its beginning with the one that is kept.
    while (log_end != 0 && !m_history.commits[log_end - 1].is_kept)
        log_end = m_history.commits[log_end - 1].parent;
    return log_end != 0 && m_history.commits[log_end - 1].number >=
                               m_history.commits[commit_index].number;
}

void checker::check_staleness()
{
    struct acknowledged_commit
    {
        instant at{0};
        std::size_t index{0};
        std::size_t session{0};
    };
    std::map<std::string, std::vector<acknowledged_commit>> by_service;
    for (std::size_t i = 0; i < m_history.commits.size(); ++i)
    {
        const auto& item = m_history.commits[i];
        const auto found = m_requests.find(item.id);
        if (!item.is_kept || found == m_requests.end() ||
            found->second->answered == never || !found->second->code.empty())
            continue;
        by_service[item.service].push_back(
            {found->second->answered, i, found->second->session});
    }
    for (const auto& item : m_history.runs)
    {
        const auto found = m_requests.find(item.id);
        const bool reads =
            first_word(item.text) == "READ" || item.shape.starts_with("READ ");
        if (found == m_requests.end() || !has_run(item) || !reads ||
            !item.code.empty())
            continue;
        const auto& asked = *found->second;
        const auto moment = route_moment(asked);
        const configuration* newest = nullptr;
        for (const auto& version : m_history.configurations)
            if (version.sent <= moment &&
                allows(version, asked.database, item.service))
                newest = &version;
        if (newest == nullptr)
            continue;
        const auto& rule = newest->routes.at(asked.database);
        for (const auto& done : by_service[item.service])
        {
            const bool is_own = rule.kind == "read_your_writes" &&
                                done.session == asked.session;
            const bool is_due =
                is_own || rule.kind == "primary"
                    ? done.at < moment
                    : done.at + from_ms(rule.max_staleness_ms) < moment &&
                          rule.max_staleness_ms > 0;
            if (!is_due || has_commit(item.log_end, done.index))
                continue;
            report("STALE",
                   story(rule.kind + ": the log lacks commit " +
                             m_history.commits[done.index].id + " of " +
                             m_history.commits[done.index].database +
                             ", acknowledged at " +
                             std::to_string(done.at / 1000) + " ms",
                         item, &asked));
            break;
        }
    }
}

} // namespace soak
