// Workspaces in the simulated fleet: the table of routings, fetches of tables,
// and callers with keys.

#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <utility>

namespace support
{

namespace
{

// The platform batches changes of the routing over this time.
constexpr millis routing_batch_interval{300};

// Limit of a read of the table of routings.
constexpr millis routing_read_timeout{500};

// A fetch that is not answered within this time is sent to the next voter.
constexpr millis fetch_timeout{1500};

constexpr millis fetch_interval{100};
constexpr millis failed_fetch_interval{500};

// Voters that fail in a row before the routing is read from the table service.
constexpr std::size_t max_failed_fetches = 3;

} // namespace

void fleet_world::add_workspaces(routes::routing& table) const
{
    table.has_workspaces = true;
    table.workspaces["w"].name = "w";
    for (const auto& key : m_keys)
        table.workspace_by_key_digest[key] = "w";
}

void fleet_world::set_keys(const std::set<std::string>& keys)
{
    for (const auto& key : m_keys)
        if (!keys.contains(key))
            m_withdrawn_at[key] = m_now;
    m_keys = keys;
    ++m_routing_version;
    for (const auto& [name, host] : m_hosts)
        announce_routing(name, routing_batch_interval);
}

void fleet_world::announce_routing(const std::string& name, millis delay)
{
    on_host(name, delay, [this, name] {
        auto& host = *m_hosts.at(name).host;
        if (host.choose_table_source() == entry::table_source::voters)
            return;
        if (!m_store_up || is_cut(name, store_name))
            return announce_routing(name, feed_retry_interval);
        run(name, host.on_routing(routing(), m_now));
    });
}

void fleet_world::read_routing(const std::string& name, bool is_probe)
{
    m_history.routing_probes += is_probe ? 1 : 0;
    const auto sent_at = m_now;
    const auto end = [this, name, is_probe, sent_at](bool succeeded,
                                                     std::uint64_t era) {
        run(name, m_hosts.at(name).host->on_routing_read(
                      {is_probe, succeeded, sent_at, era}, m_now));
    };
    if (!m_store_up || is_cut(name, store_name))
        return on_host(name, routing_read_timeout, [this, name, is_probe, end] {
            end(false, 0);
            if (!m_hosts.at(name).host->has_routing())
                read_routing(name, is_probe);
        });
    // An answer that is drawn with a long delay shows the table as it was
    // halfway.
    const auto delay =
        draw(m_store_delay.value_or(time_range{store_delay, store_delay}));
    after(delay / 2, [this, name, end, rest = delay - delay / 2] {
        on_host(name, rest, [this, name, end, table = routing(), era = m_era] {
            run(name, m_hosts.at(name).host->on_routing(table, m_now));
            end(true, era);
        });
    });
}

void fleet_world::fetch_routing(const std::string& name,
                                const std::string& peer)
{
    if (is_cut(name, peer))
        return;
    const auto versions = m_hosts.at(name).host->versions().for_routing_only();
    on_host(peer, link_delay, [this, name, peer, versions] {
        const auto update =
            m_hosts.at(peer).host->table_update_for(versions, false, m_now);
        if (!update || !update->routing)
            return;
        on_host(name, link_delay, [this, name, table = *update->routing] {
            run(name, m_hosts.at(name).host->on_routing(table, m_now));
        });
    });
}

void fleet_world::follow_voters(const std::string& name, std::size_t failures)
{
    const auto again = [this, name, failures] {
        on_host(name, feed_retry_interval,
                [this, name, failures] { follow_voters(name, failures); });
    };
    const auto& host = *m_hosts.at(name).host;
    const auto sources = host.table_sources();
    if (host.choose_table_source() != entry::table_source::voters ||
        sources.empty())
        return again();
    if (failures % (max_failed_fetches + 1) == max_failed_fetches)
        read_routing(name, false);
    table_fetch fetch{name,
                      sources[failures % sources.size()].ip,
                      host.versions(),
                      m_now,
                      {},
                      failures};
    if (!is_cut(name, fetch.target))
        on_host(fetch.target, link_delay, [this, fetch]() mutable {
            fetch.received_at = m_now;
            hold_fetch(fetch);
        });
    on_host(name, fetch_timeout, [this, fetch] {
        if (!std::exchange(*fetch.is_ended, true))
            follow_voters(fetch.sender, fetch.failures + 1);
    });
}

void fleet_world::hold_fetch(const table_fetch& fetch)
{
    if (*fetch.is_ended)
        return;
    const auto& host = *m_hosts.at(fetch.target).host;
    auto update = host.table_update_for(
        fetch.versions, host.must_answer_with_proof(fetch.received_at, m_now),
        m_now);
    if (!update)
        return on_host(fetch.target, tick_interval,
                       [this, fetch] { hold_fetch(fetch); });
    host.attach_routing_proof(*update, fetch.received_at);
    if (!is_cut(fetch.sender, fetch.target))
        on_host(fetch.sender, link_delay,
                [this, fetch, answer = *update] { end_fetch(fetch, answer); });
}

void fleet_world::end_fetch(const table_fetch& fetch,
                            const fleet::table_update& update)
{
    if (std::exchange(*fetch.is_ended, true))
        return;
    auto& host = *m_hosts.at(fetch.sender).host;
    run(fetch.sender, host.on_table_update(update, m_now));
    host.take_routing_proof(update, fetch.sent_at);
    const auto failures = update.is_current ? 0 : fetch.failures + 1;
    on_host(fetch.sender,
            update.is_current ? fetch_interval : failed_fetch_interval,
            [this, name = fetch.sender, failures] {
                follow_voters(name, failures);
            });
}

void fleet_world::start_keyed_load(millis interval)
{
    m_load = true;
    issue_keyed_load(interval);
}

// A frozen host gets the statement when it resumes.
void fleet_world::issue_keyed_load(millis interval)
{
    if (!m_load)
        return;
    std::vector<std::string> keys(m_keys.begin(), m_keys.end());
    for (const auto& [key, withdrawn_at] : m_withdrawn_at)
        keys.push_back(key);
    const auto name = host_name(m_random() % m_hosts.size());
    if (!keys.empty() && m_hosts.at(name).host)
        on_host(name, link_delay,
                [this, name, key = keys[m_random() % keys.size()],
                 sent_at = m_now] { submit_with_key(name, key, sent_at); });
    after(interval, [this, interval] { issue_keyed_load(interval); });
}

void fleet_world::submit_with_key(const std::string& host,
                                  const std::string& key, boot_instant sent_at)
{
    const auto incarnation = m_hosts.at(host).incarnation;
    const auto place = std::tuple(host, incarnation, key);
    auto& pooler = m_hosts.at(host).host->pooler();
    auto& sessions = m_keyed_sessions[place];
    if (sessions.empty())
    {
        const auto opened =
            pooler.open_session(++m_last_session, "latest", key, m_now);
        if (opened != pooling::open_result::opened)
        {
            m_history.unknown_keys += m_withdrawn_at.contains(key) ? 0 : 1;
            return;
        }
        sessions.push_back(m_last_session);
    }
    const auto id = sessions.back();
    sessions.pop_back();
    m_calls[{host, id}].done = [this, host, key, sent_at, place,
                                id](const sql::reply& reply) {
        m_keyed_sessions[place].push_back(id);
        check_keyed_reply(host, key, sent_at, reply);
    };
    sql::statement statement;
    statement.kind = sql::statement_kind::read;
    statement.id = "q" + std::to_string(++m_last_value);
    statement.text = "READ k1";
    run(host, pooler.on_statement(id, statement, m_now));
}

void fleet_world::check_keyed_reply(const std::string& host,
                                    const std::string& key,
                                    boot_instant sent_at,
                                    const sql::reply& reply)
{
    const auto withdrawn = m_withdrawn_at.find(key);
    const bool is_valid = withdrawn == m_withdrawn_at.end();
    if (!reply.error)
    {
        ++m_history.served_with_key;
        if (!is_valid && sent_at > withdrawn->second + revocation_limit)
            m_history.late_runs.push_back(
                host + " ran a statement " +
                std::to_string(core::to_ms(sent_at - withdrawn->second)) +
                " ms after the end of key " + key);
        return;
    }
    if (!is_valid)
        return;
    m_history.unproved +=
        reply.text.find("configuration is current") != std::string::npos;
    m_history.unknown_keys += reply.error == core::error_kind::unauthenticated;
}

} // namespace support
