#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace support
{

fleet_world::fleet_world(std::size_t hosts, std::uint64_t seed,
                         std::size_t max_connections, std::size_t domains)
    : m_max_connections(max_connections), m_domains(domains), m_random(seed)
{
    for (const std::string id : {"db-a", "db-b", "db-c"})
    {
        auto& made = m_databases[id];
        made.what = {id,    service_name, {id, 1}, id.substr(3),
                     false, id == "db-a", 1};
        made.is_primary = id == "db-a";
        made.log.push_back({{1, 1}, "start", "0"});
    }
    m_leader = "db-a";
    m_checker.set_store(store_name);
    for (std::size_t i = 0; i < hosts; ++i)
        m_hosts[host_name(i)];
    for (std::size_t i = 0; i < hosts; ++i)
        start_host(host_name(i));
}

std::string fleet_world::host_name(std::size_t index) const
{
    return "host-" + std::to_string(index);
}

std::string fleet_world::domain_of(const std::string& name) const
{
    const auto number = std::stoul(name.substr(name.find('-') + 1));
    return std::string(1, static_cast<char>('a' + number % m_domains));
}

fleet::members fleet_world::members() const
{
    fleet::members made;
    for (const auto& [name, one] : m_hosts)
        made[name] = {{name, 1}, domain_of(name), 100};
    return made;
}

bool fleet_world::holds_connections(const std::string& host) const
{
    return fleet::divide_connections(service_name, m_max_connections, members(),
                                     {}, {})
        .is_holder(host);
}

std::vector<std::string> fleet_world::database_ids() const
{
    std::vector<std::string> ids;
    for (const auto& [id, one] : m_databases)
        ids.push_back(id);
    return ids;
}

entry::entry_host& fleet_world::host(const std::string& name)
{
    return *m_hosts.at(name).host;
}

void fleet_world::at(boot_instant when, step what)
{
    m_steps.emplace(when, std::move(what));
}

void fleet_world::on_host(const std::string& name, millis delay, step what)
{
    const auto incarnation = m_hosts.at(name).incarnation;
    after(delay, [this, name, incarnation, what = std::move(what)] {
        auto& one = m_hosts.at(name);
        if (one.incarnation != incarnation || !one.host)
            return;
        if (m_now < one.frozen_until)
            return one.held.push_back(what);
        what();
    });
}

void fleet_world::run_for(millis time)
{
    const auto end = m_now + time;
    while (!m_steps.empty() && m_steps.begin()->first <= end)
    {
        auto one = m_steps.extract(m_steps.begin());
        m_now = std::max(m_now, one.key());
        one.mapped()();
    }
    m_now = end;
}

bool fleet_world::is_cut(const std::string& a, const std::string& b) const
{
    return m_cuts.contains({a, b}) || m_cuts.contains({b, a});
}

void fleet_world::cut(const std::string& a, const std::string& b, bool is_cut)
{
    if (m_hosts.contains(a))
        disturb(a, "cut from " + b, is_cut);
    if (m_hosts.contains(b))
        disturb(b, "cut from " + a, is_cut);
    if (is_cut)
        m_cuts.emplace(a, b);
    else
    {
        m_cuts.erase({a, b});
        m_cuts.erase({b, a});
    }
}

void fleet_world::cut_store(const std::string& host, bool is_cut)
{
    cut(host, store_name, is_cut);
}

void fleet_world::freeze(const std::string& host, millis time)
{
    auto& one = m_hosts.at(host);
    one.frozen_until = std::max(one.frozen_until, m_now + time);
    m_checker.disturb_until(host, one.frozen_until);
    at(one.frozen_until, [this, host] {
        auto& thawed = m_hosts.at(host);
        if (m_now < thawed.frozen_until)
            return;
        for (auto& what : std::exchange(thawed.held, {}))
            what();
    });
}

void fleet_world::restart(const std::string& host)
{
    m_checker.disturb_until(host, m_now);
    std::erase_if(m_promotions, [&](const auto& one) {
        return one.second.what.host == host && !one.second.is_sent;
    });
    std::erase_if(m_connections,
                  [&](const auto& one) { return one.first.first == host; });
    for (auto it = m_calls.begin(); it != m_calls.end();)
        it = it->first.first == host ? m_calls.erase(it) : std::next(it);
    start_host(host);
}

void fleet_world::start_host(const std::string& name)
{
    auto& one = m_hosts.at(name);
    one.host.reset();
    one.incarnation = ++m_store_version;
    one.held.clear();
    one.host.emplace(
        entry::entry_identity{name, domain_of(name), one.incarnation});
    tell_members();
    run(name, one.host->on_routing(routing(), m_now));
    run(name, one.host->on_upstreams(upstreams(), m_upstreams_version, m_now));
    tick_host(name, one.incarnation);
}

void fleet_world::tell_members()
{
    const auto members = this->members();
    for (auto& [name, one] : m_hosts)
        if (one.host)
            one.host->on_members(members, m_store_version, m_now, m_now);
}

void fleet_world::tick_host(const std::string& name, std::uint64_t incarnation)
{
    if (m_hosts.at(name).incarnation != incarnation)
        return;
    run(name, m_hosts.at(name).host->tick(m_now));
    on_host(name, tick_interval,
            [this, name, incarnation] { tick_host(name, incarnation); });
}

routes::routing fleet_world::routing() const
{
    routes::routing made;
    made.version = 1;
    made.services[service_name].max_connections = m_max_connections;
    const auto add = [&](const char* name, routes::read_consistency rule,
                         int age) {
        routes::route one;
        one.database = name;
        one.service = service_name;
        one.consistency = rule;
        one.timeout = millis(800);
        one.max_age = millis(age);
        made.routes[name] = one;
    };
    add("latest", routes::read_consistency::latest, 0);
    add("bounded", routes::read_consistency::bounded_age, 1500);
    add("session", routes::read_consistency::session, 2500);
    return made;
}

std::vector<routes::upstream> fleet_world::upstreams() const
{
    std::vector<routes::upstream> all;
    for (const auto& [id, one] : m_databases)
        all.push_back(one.what);
    return all;
}

void fleet_world::run(const std::string& name,
                      const entry::entry_actions& actions)
{
    run(name, actions.pooling);
    for (const auto& one : actions.control)
        run(name, one);
}

void fleet_world::run(const std::string& name, const pooling::actions& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* opening = std::get_if<pooling::open_action>(&action))
            open(name, *opening);
        else if (const auto* sending =
                     std::get_if<pooling::send_action>(&action))
            send(name, *sending);
        else if (const auto* closing =
                     std::get_if<pooling::close_action>(&action))
            m_connections.erase({name, closing->connection});
        else if (const auto* replying =
                     std::get_if<pooling::reply_action>(&action))
        {
            const auto found = m_calls.find({name, replying->session});
            if (found == m_calls.end())
                continue;
            const auto done = std::move(found->second.done);
            m_calls.erase(found);
            done(replying->reply);
        }
        else if (const auto* passing =
                     std::get_if<pooling::forward_action>(&action))
            forward(name, *passing);
        else if (const auto* ending =
                     std::get_if<pooling::end_forwarding_action>(&action))
            end_forwarding(name, *ending);
        else if (const auto* answering =
                     std::get_if<pooling::forwarded_reply_action>(&action))
            reply_forwarded(name, *answering);
    }
}

// The origin of forwarded work tells processes apart, as on a real link.
void fleet_world::forward(const std::string& name,
                          const pooling::forward_action& action)
{
    ++m_history.forwarded;
    const auto origin =
        name + "/" + std::to_string(m_hosts.at(name).incarnation);
    const auto key = std::pair(origin, action.operation);
    const auto target = m_hosts.at(action.host).incarnation;
    m_passed_on[key] = {name, action.session};
    if (!is_cut(name, action.host))
        on_host(action.host, link_delay, [this, action, origin] {
            auto& pooler = m_hosts.at(action.host).host->pooler();
            run(action.host, pooler.run_forwarded(origin, action.operation,
                                                  action.work, m_now));
        });
    // A link that owes an answer and is silent is given up.
    on_host(name, link_silence, [this, name, action, key, target] {
        const auto& other = m_hosts.at(action.host);
        const bool answers = !is_cut(name, action.host) &&
                             other.incarnation == target &&
                             m_now >= other.frozen_until;
        if (answers || !m_passed_on.contains(key))
            return;
        m_passed_on.erase(key);
        run(name, m_hosts.at(name).host->pooler().on_forward_lost(
                      action.session, action.operation, true, m_now));
    });
}

void fleet_world::end_forwarding(const std::string& name,
                                 const pooling::end_forwarding_action& action)
{
    const auto origin =
        name + "/" + std::to_string(m_hosts.at(name).incarnation);
    if (is_cut(name, action.host))
        return;
    on_host(action.host, link_delay, [this, action, origin] {
        auto& pooler = m_hosts.at(action.host).host->pooler();
        run(action.host, pooler.end_forwarded(origin, action.operation, m_now));
    });
}

void fleet_world::reply_forwarded(const std::string& name,
                                  const pooling::forwarded_reply_action& action)
{
    const auto found = m_passed_on.find({action.host, action.operation});
    if (found == m_passed_on.end())
        return;
    const auto to = found->second;
    if (is_cut(name, to.from))
        return;
    m_passed_on.erase(found);
    on_host(to.from, link_delay, [this, to, action] {
        auto& pooler = m_hosts.at(to.from).host->pooler();
        run(to.from, pooler.on_forwarded_reply(to.session, action.operation,
                                               action.reply, m_now));
    });
}

void fleet_world::run(const std::string& name,
                      const entry::control_action& action)
{
    if (const auto* beat = std::get_if<entry::heartbeat_action>(&action))
    {
        const auto to = beat->where.ip;
        ++m_heartbeats[name];
        if (!is_cut(name, to))
            on_host(to, link_delay, [this, to, bytes = beat->bytes] {
                run(to, m_hosts.at(to).host->on_heartbeat(bytes, m_now));
            });
    }
    else if (std::holds_alternative<entry::read_records_action>(action))
    {
        if (!m_store_up || is_cut(name, store_name))
            return;
        const auto asked = m_now;
        after(
            draw(m_store_delay.value_or(time_range{store_delay, store_delay})),
            [this, name, asked] {
                on_host(name, link_delay,
                        [this, name, asked, rows = m_records] {
                            run(name, m_hosts.at(name).host->on_records(
                                          rows, asked, m_now));
                        });
            });
    }
    else if (std::holds_alternative<entry::abort_promotion_action>(action))
        abort_promotions(name);
    else if (std::holds_alternative<entry::remove_member_action>(action))
        ++m_history.removed_members;
    else if (std::holds_alternative<entry::read_members_action>(action))
    {
        if (m_lose_member_reads || !m_store_up || is_cut(name, store_name))
            return;
        const auto asked = m_now;
        after(
            draw(m_store_delay.value_or(time_range{store_delay, store_delay})),
            [this, name, asked] {
                on_host(name, link_delay, [this, name, asked] {
                    m_hosts.at(name).host->on_members(
                        members(), m_store_version, asked, m_now);
                });
            });
    }
    else if (const auto* write =
                 std::get_if<entry::write_record_action>(&action))
        write_record(name, *write);
    else if (const auto* promotion =
                 std::get_if<entry::promote_upstream_action>(&action))
        promote(name, *promotion);
    else if (const auto* question =
                 std::get_if<entry::ask_status_action>(&action))
    {
        const auto id = question->where.id;
        const auto asked = m_now;
        on_host(name, link_delay * 2, [this, name, id, asked] {
            const auto& known = m_databases.at(id);
            // A question that is cut off has no answer; patience ends it.
            if (is_cut(name, id))
                return;
            sql::status_answer status{std::nullopt, !known.up};
            if (known.up)
                status.status = {known.is_primary, known.term, known.end()};
            run(name, m_hosts.at(name).host->on_status(service_name, id, asked,
                                                       status, m_now));
        });
    }
    else if (const auto* order =
                 std::get_if<entry::demote_upstream_action>(&action))
    {
        auto& known = m_databases.at(order->where.id);
        if (known.up && !is_cut(name, order->where.id) &&
            known.term < order->term)
            known.is_primary = false;
    }
}

void fleet_world::submit(const std::string& host, const std::string& database,
                         const std::string& text,
                         std::function<void(const sql::reply&)> done)
{
    const auto id = ++m_last_session;
    auto& pooler = m_hosts.at(host).host->pooler();
    if (!pooler.open_session(id, database, m_now))
        return;
    m_calls[{host, id}].done = std::move(done);
    sql::statement one;
    one.kind = text.starts_with("WRITE") ? sql::statement_kind::write
                                         : sql::statement_kind::read;
    one.id = "q" + std::to_string(id);
    one.text = text;
    run(host, pooler.on_statement(id, one, m_now));
}

sql::reply fleet_world::call(const std::string& host,
                             const std::string& database,
                             const std::string& text)
{
    std::optional<sql::reply> got;
    submit(host, database, text, [&](const sql::reply& one) { got = one; });
    for (int i = 0; i < 2000 && !got; ++i)
        run_for(millis(1));
    m_calls.clear();
    return got.value_or(sql::reply{});
}

void fleet_world::issue_write(const std::string& host)
{
    const auto key = "k" + std::to_string(m_random() % 4);
    const auto value = std::to_string(++m_last_value);
    submit(host, "latest", "WRITE " + key + " " + value,
           [this, key, value, host](const sql::reply& got) {
               if (got.error)
               {
                   const bool unknown =
                       *got.error == core::error_kind::outcome_unknown;
                   ++(unknown ? m_history.unknown : m_history.refused);
                   return;
               }
               ++m_history.served;
               if (const auto broken = m_checker.on_acknowledged(value, host))
                   m_history.faults.push_back(*broken);
               const auto& log = m_databases.at(m_leader).log;
               const bool is_kept =
                   std::any_of(log.begin(), log.end(), [&](const auto& one) {
                       return one.value == value;
                   });
               if (!is_kept)
                   m_history.faults.push_back(
                       "a write was acknowledged through " + host +
                       " that the current primary lacks: " + value);
               m_history.writes.push_back({key, value, *got.position, m_now});
               if (m_history.last_write != boot_instant{})
                   m_history.longest_gap =
                       std::max(m_history.longest_gap,
                                std::chrono::duration_cast<millis>(
                                    m_now - m_history.last_write));
               m_history.last_write = m_now;
           });
}

void fleet_world::issue_read(const std::string& host,
                             const std::string& database)
{
    const auto key = "k" + std::to_string(m_random() % 4);
    const auto age = database == "latest" ? millis(0) : millis(1500);
    // The last write that the read must see, whatever its key.
    upstream::log_point least;
    for (const auto& one : m_history.writes)
        if (one.when <= m_now - age)
            least = std::max(least, one.point);
    submit(host, database, "READ " + key,
           [this, host, database, least](const sql::reply& got) {
               if (got.error)
                   return void(++m_history.refused);
               ++m_history.served;
               if (got.signature != "s@" + m_leader)
                   ++m_history.reads_at_replicas;
               // Writes that a promotion rolled back meanwhile don't count.
               const bool still = std::any_of(
                   m_history.writes.begin(), m_history.writes.end(),
                   [&](const auto& one) { return one.point == least; });
               if (still && *got.position < least)
                   m_history.faults.push_back(
                       "a " + database + " read through " + host + " saw " +
                       upstream::to_string(*got.position) + " and not " +
                       upstream::to_string(least));
           });
}

void fleet_world::start_load(millis interval)
{
    m_load = true;
    load_step(interval);
}

void fleet_world::load_step(millis interval)
{
    if (!m_load)
        return;
    const auto name = host_name(m_random() % m_hosts.size());
    if (m_now >= m_hosts.at(name).frozen_until)
    {
        switch (m_random() % 4)
        {
        case 0:
            issue_write(name);
            break;
        case 1:
            issue_read(name, "latest");
            break;
        default:
            issue_read(name, "bounded");
        }
    }
    after(interval, [this, interval] { load_step(interval); });
}

} // namespace support
