// The simulated platform: the table service's writes, its feed of databases,
// and promotion calls.

#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <memory>
#include <utility>

namespace support
{

// Uses no random number for an empty range, so that existing seeds reproduce
// the same runs.
millis fleet_world::draw(const time_range& range)
{
    if (range.max <= range.min)
        return range.min;
    const auto span =
        static_cast<std::uint64_t>((range.max - range.min).count() + 1);
    return range.min + millis(m_random() % span);
}

void fleet_world::set_disturbance(const std::string& name,
                                  const std::string& reason, bool begins)
{
    if (begins)
        m_checker.begin_disturbance(name, reason);
    else
        m_checker.end_disturbance(name, reason, m_now);
}

void fleet_world::set_store_up(bool up)
{
    m_store_up = up;
    set_disturbance(store_name, "down", !up);
}

void fleet_world::set_store_delay(const time_range& delay)
{
    m_store_delay = delay;
    set_disturbance(store_name, "slow", true);
}

void fleet_world::reset_store_delay()
{
    m_store_delay.reset();
    set_disturbance(store_name, "slow", false);
}

void fleet_world::lose_write_answers(bool lose)
{
    m_lose_write_answers = lose;
    set_disturbance(store_name, "answers lost", lose);
}

void fleet_world::delay_writes(bool delay)
{
    m_delay_writes = delay;
    set_disturbance(store_name, "writes late", delay);
}

void fleet_world::refuse_writes(bool refuse)
{
    m_refuse_writes = refuse;
    set_disturbance(store_name, "writes refused", refuse);
}

void fleet_world::cut_platform(const std::string& host, bool is_cut)
{
    cut(host, platform_name, is_cut);
}

std::string fleet_world::promoting_host() const
{
    return m_promotions.empty() ? std::string()
                                : m_promotions.rbegin()->second.promotion.host;
}

std::string fleet_world::claiming_host()
{
    for (auto& [name, candidate] : m_hosts)
        if (candidate.host && candidate.host->has_claimed(service_name))
            return name;
    return {};
}

void fleet_world::announce_upstreams()
{
    ++m_upstreams_version;
    for (const auto& [name, host] : m_hosts)
    {
        const auto own_delay = m_feed_delays.find(name);
        announce_upstreams(name, own_delay != m_feed_delays.end()
                                     ? own_delay->second
                                     : draw(m_feed_delay.value_or(time_range{
                                           link_delay, link_delay})));
    }
}

void fleet_world::announce_upstreams(const std::string& name, millis delay)
{
    on_host(name, delay, [this, name] {
        if (!m_store_up || is_cut(name, store_name))
            return announce_upstreams(name, feed_retry_interval);
        run(name,
            m_hosts.at(name).host->on_upstreams(
                upstreams(), version_of(m_upstreams_version), m_now, m_now));
    });
}

void fleet_world::set_leaving(const std::string& id)
{
    m_databases.at(id).registration.leaving = true;
    m_drain_checker.on_leaving(id, m_now);
    announce_upstreams();
}

void fleet_world::replace_database(const std::string& id)
{
    crash_database(id);
    auto& database = m_databases.at(id);
    database.registration.leaving = false;
    m_drain_checker.on_replaced(id);
    ++database.registration.started_at_ms;
    recover_database(id);
    announce_upstreams();
}

// Versions of a later era are higher; 0 stands for a missing row in all eras.
std::uint64_t fleet_world::version_of(std::uint64_t number) const
{
    constexpr unsigned number_bits = 40;
    return number == 0 ? 0 : (m_era << number_bits) + number;
}

void fleet_world::save_copy()
{
    m_copies.push_back(
        {m_now, m_store_version, m_records, m_voters, m_voters_era});
}

void fleet_world::restore_store(millis age)
{
    store_copy copy{m_now, 10, {}, {}, 0};
    for (const auto& saved : m_copies)
        if (saved.at <= m_now - age)
            copy = saved;
    ++m_era;
    m_store_version = copy.number;
    m_records = copy.records;
    m_voters = copy.voters;
    m_voters_era = copy.voters_era;
    m_checker.disturb_until(store_name, m_now);
    announce_upstreams();
    announce_members();
    for (const auto& [name, host] : m_hosts)
        on_host(name, draw({link_delay, millis(500)}), [this, name = name] {
            read_records(name);
            if (!m_options)
                return;
            m_hosts.at(name).host->on_store_era(m_era);
            read_routing(name, false);
        });
}

entry::record_table fleet_world::read_record_table() const
{
    entry::record_table table;
    for (const auto& [service, row] : m_records)
    {
        auto record = row.record;
        record.version = version_of(record.version);
        if (record.version == 0)
            continue;
        auto& records =
            row.written_era < m_era ? table.restored : table.records;
        records[service] = record;
    }
    table.voters = m_voters;
    table.voters.version = version_of(m_voters.version);
    table.voters.is_restored = m_voters.version != 0 && m_voters_era < m_era;
    if (table.voters.voters)
        table.voters.voters->version = table.voters.version;
    return table;
}

void fleet_world::read_records(const std::string& name)
{
    if (!m_store_up || is_cut(name, store_name))
        return;
    const auto requested_at = m_now;
    after(draw(m_store_delay.value_or(time_range{store_delay, store_delay})),
          [this, name, requested_at] {
              on_host(name, link_delay,
                      [this, name, requested_at, table = read_record_table()] {
                          run(name, m_hosts.at(name).host->on_records(
                                        table, requested_at, m_now));
                      });
          });
}

void fleet_world::write_record(const std::string& name,
                               const entry::write_record_action& action)
{
    const auto sent = m_now;
    const auto is_answered = std::make_shared<bool>(false);
    const auto report_outcome =
        [this, name, sent, is_answered, service = action.service,
         id = action.write.id](succession::write_outcome outcome,
                               std::uint64_t version) {
            if (!std::exchange(*is_answered, true))
                run(name, m_hosts.at(name).host->on_record_written(
                              service, id, outcome, version, sent, m_now));
        };
    const auto answer = [this, name,
                         report_outcome](succession::write_outcome outcome,
                                         std::uint64_t version) {
        on_host(name, link_delay, [=] { report_outcome(outcome, version); });
    };
    if (!m_store_up || m_refuse_writes || is_cut(name, store_name))
        return answer(succession::write_outcome::unknown, 0);
    on_host(name, write_timeout, [report_outcome] {
        report_outcome(succession::write_outcome::unknown, 0);
    });
    const bool is_lost = m_lose_write_answers || m_delay_writes;
    const auto delay = m_delay_writes
                           ? draw({min_late_write_delay, max_late_write_delay})
                           : draw(m_store_delay.value_or(
                                 time_range{store_delay, store_delay}));
    after(delay, [this, action, answer, is_lost] {
        auto& row = m_records[action.service];
        const bool has_expected_version =
            version_of(row.record.version) == action.write.expected &&
            (!action.expected_voters ||
             *action.expected_voters == version_of(m_voters.version));
        if (has_expected_version)
        {
            row = {action.write.record, m_era};
            row.record.version = ++m_store_version;
            save_copy();
        }
        if (is_lost)
            return;
        if (has_expected_version)
            answer(succession::write_outcome::written,
                   version_of(row.record.version));
        else
            answer(succession::write_outcome::conflict, 0);
    });
}

void fleet_world::write_voters(const std::string& name,
                               const entry::write_voters_action& action)
{
    ++m_history.voter_writes;
    const auto answer = [this, name] {
        run(name, m_hosts.at(name).host->on_voters_written(m_now));
    };
    if (!m_store_up || m_refuse_writes || is_cut(name, store_name))
        return on_host(name, link_delay, answer);
    const bool is_lost = m_lose_write_answers || m_delay_writes;
    const auto delay = m_delay_writes
                           ? draw({min_late_write_delay, max_late_write_delay})
                           : draw(m_store_delay.value_or(
                                 time_range{store_delay, store_delay}));
    after(delay, [this, action] {
        if (version_of(m_voters.version) != action.expected)
            return;
        m_voters = {++m_store_version, action.voters};
        m_voters_era = m_era;
        save_copy();
        ++m_history.voter_changes;
    });
    on_host(name, is_lost ? write_timeout : delay + link_delay, answer);
}

void fleet_world::promote(const std::string& name,
                          const entry::promote_upstream_action& action)
{
    const auto call = ++m_last_promotion;
    const auto delay = draw(m_promotion_delay);
    const auto is_answered = std::make_shared<bool>(false);
    const promotion_answer answer =
        [this, name, is_answered, service = action.service,
         token = action.promote.token](succession::promotion_outcome outcome,
                                       millis answer_delay) {
            on_host(name, answer_delay,
                    [this, name, is_answered, service, token, outcome] {
                        if (!std::exchange(*is_answered, true))
                            run(name, m_hosts.at(name).host->on_promoted(
                                          service, token, outcome, m_now));
                    });
        };
    const auto timeout =
        std::chrono::duration_cast<millis>(action.promote.deadline - m_now);
    const bool is_lost = m_lose_calls || is_cut(name, platform_name);
    if (!is_lost)
        m_promotions[call] = {{action.service, name, action.promote.token,
                               action.promote.upstream, m_now, m_now},
                              false};
    if (!is_lost && delay == millis(0))
        return deliver_promotion(call, answer);
    // The client resets its connection at the deadline: a call that has not
    // arrived by then never does, unless the host is suspended.
    const auto unanswered = is_cut(name, platform_name)
                                ? succession::promotion_outcome::not_sent
                                : succession::promotion_outcome::unknown;
    on_host(name, timeout, [this, call, answer, unanswered] {
        m_promotions.erase(call);
        answer(unanswered, millis(0));
    });
    // A suspended host continues with its connection when it resumes.
    on_host(name, delay / 2, [this, call, answer, rest = delay - delay / 2] {
        const auto found = m_promotions.find(call);
        if (found == m_promotions.end())
            return;
        found->second.is_sent = true;
        after(rest, [this, call, answer] { deliver_promotion(call, answer); });
    });
}

// A reset connection discards a call that has not arrived yet.
void fleet_world::abort_promotions(const std::string& name)
{
    std::erase_if(m_promotions, [&](const auto& entry) {
        return entry.second.promotion.host == name;
    });
}

void fleet_world::deliver_promotion(std::uint64_t call,
                                    const promotion_answer& answer)
{
    const auto found = m_promotions.extract(call);
    if (found.empty())
        return;
    auto promotion = found.mapped().promotion;
    promotion.arrived = m_now;
    for (auto& fault : m_checker.on_arrival(promotion))
        m_history.faults.push_back(std::move(fault));
    const auto id = promotion.upstream;
    const bool runs = m_databases.at(id).up;
    if (runs && id != m_leader)
        after(promotion_time, [this, id] { become_primary(id); });
    const auto outcome = m_lose_promotions
                             ? succession::promotion_outcome::unknown
                         : runs ? succession::promotion_outcome::accepted
                                : succession::promotion_outcome::rejected;
    answer(outcome, link_delay * 2 + draw(m_promotion_delay) / 2);
}

} // namespace support
