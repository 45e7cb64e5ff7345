// The simulated platform: the table service's writes, its feed of databases,
// and promotion calls.

#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <memory>
#include <utility>

namespace support
{

// Draws nothing where there is no choice, so that seeds keep their meaning.
millis fleet_world::draw(const time_range& range)
{
    if (range.most <= range.least)
        return range.least;
    const auto span =
        static_cast<std::uint64_t>((range.most - range.least).count() + 1);
    return range.least + millis(m_random() % span);
}

void fleet_world::disturb(const std::string& name, const std::string& why,
                          bool begins)
{
    if (begins)
        m_checker.begin_disturbance(name, why);
    else
        m_checker.end_disturbance(name, why, m_now);
}

void fleet_world::set_store_up(bool up)
{
    m_store_up = up;
    disturb(store_name, "down", !up);
}

void fleet_world::set_store_delay(const time_range& delay)
{
    m_store_delay = delay;
    disturb(store_name, "slow", true);
}

void fleet_world::reset_store_delay()
{
    m_store_delay.reset();
    disturb(store_name, "slow", false);
}

void fleet_world::lose_write_answers(bool lose)
{
    m_lose_write_answers = lose;
    disturb(store_name, "answers lost", lose);
}

void fleet_world::delay_writes(bool delay)
{
    m_delay_writes = delay;
    disturb(store_name, "writes late", delay);
}

void fleet_world::refuse_writes(bool refuse)
{
    m_refuse_writes = refuse;
    disturb(store_name, "writes refused", refuse);
}

void fleet_world::cut_platform(const std::string& host, bool is_cut)
{
    cut(host, platform_name, is_cut);
}

std::string fleet_world::promoting_host() const
{
    return m_promotions.empty() ? std::string()
                                : m_promotions.rbegin()->second.what.host;
}

std::string fleet_world::claiming_host()
{
    for (auto& [name, one] : m_hosts)
        if (one.host && one.host->has_claimed(service_name))
            return name;
    return {};
}

void fleet_world::tell_upstreams()
{
    ++m_upstreams_version;
    for (const auto& [name, one] : m_hosts)
    {
        const auto own = m_feed_delays.find(name);
        tell_upstreams(name, own != m_feed_delays.end()
                                 ? own->second
                                 : draw(m_feed_delay.value_or(
                                       time_range{link_delay, link_delay})));
    }
}

void fleet_world::tell_upstreams(const std::string& name, millis delay)
{
    on_host(name, delay, [this, name] {
        if (!m_store_up || is_cut(name, store_name))
            return tell_upstreams(name, feed_retry);
        run(name, m_hosts.at(name).host->on_upstreams(
                      upstreams(), m_upstreams_version, m_now));
    });
}

void fleet_world::set_leaving(const std::string& id)
{
    m_databases.at(id).what.leaving = true;
    tell_upstreams();
}

void fleet_world::replace_database(const std::string& id)
{
    crash_database(id);
    auto& database = m_databases.at(id);
    database.what.leaving = false;
    ++database.what.started_at_ms;
    recover_database(id);
    tell_upstreams();
}

void fleet_world::write_record(const std::string& name,
                               const entry::write_record_action& action)
{
    const auto sent = m_now;
    const auto is_told = std::make_shared<bool>(false);
    const auto tell = [this, name, sent, is_told, service = action.service,
                       id = action.write.id](succession::write_outcome end,
                                             std::uint64_t version) {
        if (!std::exchange(*is_told, true))
            run(name, m_hosts.at(name).host->on_record_written(
                          service, id, end, version, sent, m_now));
    };
    const auto answer = [this, name, tell](succession::write_outcome end,
                                           std::uint64_t version) {
        on_host(name, link_delay, [=] { tell(end, version); });
    };
    if (!m_store_up || m_refuse_writes || is_cut(name, store_name))
        return answer(succession::write_outcome::unknown, 0);
    on_host(name, write_limit,
            [tell] { tell(succession::write_outcome::unknown, 0); });
    const bool is_lost = m_lose_write_answers || m_delay_writes;
    const auto delay = m_delay_writes
                           ? draw({late_write_least, late_write_most})
                           : draw(m_store_delay.value_or(
                                 time_range{store_delay, store_delay}));
    after(delay, [this, action, answer, is_lost] {
        auto& row = m_records[action.service];
        const bool holds = row.version == action.write.expected;
        if (holds)
        {
            row = action.write.record;
            row.version = ++m_store_version;
        }
        if (is_lost)
            return;
        if (holds)
            answer(succession::write_outcome::written, row.version);
        else
            answer(succession::write_outcome::conflict, 0);
    });
}

void fleet_world::promote(const std::string& name,
                          const entry::promote_upstream_action& action)
{
    const auto call = ++m_last_promotion;
    const auto delay = draw(m_promotion_delay);
    const auto is_told = std::make_shared<bool>(false);
    const promotion_answer answer =
        [this, name, is_told, service = action.service,
         token = action.promote.token](succession::promotion_outcome end,
                                       millis later) {
            on_host(name, later, [this, name, is_told, service, token, end] {
                if (!std::exchange(*is_told, true))
                    run(name, m_hosts.at(name).host->on_promoted(service, token,
                                                                 end, m_now));
            });
        };
    const auto limit =
        std::chrono::duration_cast<millis>(action.promote.deadline - m_now);
    const bool is_lost = m_lose_calls || is_cut(name, platform_name);
    if (!is_lost)
        m_promotions[call] = {{action.service, name, action.promote.token,
                               action.promote.upstream, m_now, m_now},
                              false};
    if (!is_lost && delay == millis(0))
        return arrive_promotion(call, answer);
    // The client resets its connection when the time is up: what has not
    // arrived by then never does, unless the host is suspended.
    on_host(name, limit, [this, call, answer] {
        m_promotions.erase(call);
        answer(succession::promotion_outcome::unknown, millis(0));
    });
    // A suspended host goes on with its connection when it wakes up.
    on_host(name, delay / 2, [this, call, answer, rest = delay - delay / 2] {
        const auto found = m_promotions.find(call);
        if (found == m_promotions.end())
            return;
        found->second.is_sent = true;
        after(rest, [this, call, answer] { arrive_promotion(call, answer); });
    });
}

// A reset discards what has not arrived yet.
void fleet_world::abort_promotions(const std::string& name)
{
    std::erase_if(m_promotions, [&](const auto& one) {
        return one.second.what.host == name;
    });
}

void fleet_world::arrive_promotion(std::uint64_t call,
                                   const promotion_answer& answer)
{
    const auto found = m_promotions.extract(call);
    if (found.empty())
        return;
    auto seen = found.mapped().what;
    seen.arrived = m_now;
    for (auto& broken : m_checker.on_arrival(seen))
        m_history.faults.push_back(std::move(broken));
    const auto id = seen.upstream;
    const bool runs = m_databases.at(id).up;
    if (runs && id != m_leader)
        after(promote_time, [this, id] { take_lead(id); });
    const auto end = m_lose_promotions ? succession::promotion_outcome::unknown
                     : runs            ? succession::promotion_outcome::accepted
                            : succession::promotion_outcome::rejected;
    answer(end, link_delay * 2 + draw(m_promotion_delay) / 2);
}

} // namespace support
