#include <support/fleet_world.hpp>
#include <support/fleet_world_limits.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace support
{

fleet_world::fleet_world(std::size_t hosts, std::uint64_t seed,
                         std::size_t max_connections, std::size_t domains,
                         std::optional<entry::entry_options> options)
    : m_max_connections(max_connections), m_domains(domains),
      m_options(options), m_random(seed)
{
    for (const std::string id : {"db-a", "db-b", "db-c"})
    {
        auto& database = m_databases[id];
        database.registration = {id,    service_name, {id, 1}, id.substr(3),
                                 false, id == "db-a", 1};
        database.is_primary = id == "db-a";
        database.log.push_back({{1, 1}, "start", "0"});
    }
    m_leader = "db-a";
    m_checker.set_store(store_name);
    // All hosts register before the first of them reads the list.
    for (std::size_t i = 0; i < hosts; ++i)
        m_hosts[host_name(i)].is_registered = true;
    for (std::size_t i = 0; i < hosts; ++i)
        start_host(host_name(i));
    announce_members();
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
    fleet::members all;
    for (const auto& [name, host] : m_hosts)
        if (host.is_registered)
            all[name] = {{name, 1}, domain_of(name), 100};
    return all;
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
    for (const auto& [id, database] : m_databases)
        ids.push_back(id);
    return ids;
}

entry::entry_host& fleet_world::host(const std::string& name)
{
    return *m_hosts.at(name).host;
}

void fleet_world::at(boot_instant when, step next)
{
    m_steps.emplace(when, std::move(next));
}

void fleet_world::on_host(const std::string& name, millis delay, step next)
{
    const auto incarnation = m_hosts.at(name).incarnation;
    after(delay, [this, name, incarnation, next = std::move(next)] {
        auto& target = m_hosts.at(name);
        if (target.incarnation != incarnation || !target.host)
            return;
        if (m_now < target.frozen_until)
            return target.deferred_steps.push_back(next);
        next();
    });
}

void fleet_world::run_for(millis time)
{
    const auto end = m_now + time;
    while (!m_steps.empty() && m_steps.begin()->first <= end)
    {
        auto next = m_steps.extract(m_steps.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
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
        set_disturbance(a, "cut from " + b, is_cut);
    if (m_hosts.contains(b))
        set_disturbance(b, "cut from " + a, is_cut);
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
    auto& frozen = m_hosts.at(host);
    frozen.frozen_until = std::max(frozen.frozen_until, m_now + time);
    m_checker.disturb_until(host, frozen.frozen_until);
    at(frozen.frozen_until, [this, host] {
        auto& thawed = m_hosts.at(host);
        if (m_now < thawed.frozen_until)
            return;
        for (auto& next : std::exchange(thawed.deferred_steps, {}))
            next();
    });
}

void fleet_world::restart(const std::string& host)
{
    m_checker.disturb_until(host, m_now);
    forget_work_of(host);
    start_host(host);
    announce_members();
}

// The promotion calls, connections and callers of a process end with it.
void fleet_world::forget_work_of(const std::string& host)
{
    std::erase_if(m_promotions, [&](const auto& entry) {
        return entry.second.promotion.host == host && !entry.second.is_sent;
    });
    std::erase_if(m_connections,
                  [&](const auto& entry) { return entry.first.first == host; });
    for (auto it = m_calls.begin(); it != m_calls.end();)
        it = it->first.first == host ? m_calls.erase(it) : std::next(it);
}

void fleet_world::start_host(const std::string& name)
{
    auto& started = m_hosts.at(name);
    started.host.reset();
    started.incarnation = version_of(++m_store_version);
    started.is_registered = true;
    started.deferred_steps.clear();
    started.host.emplace(
        entry::entry_identity{name, domain_of(name), started.incarnation},
        m_options.value_or(entry::entry_options{}));
    started.host->observe([this, name](const entry::host_event& event) {
        if (m_trace != nullptr)
            trace(name, event);
    });
    if (m_options)
    {
        read_routing(name, false);
        follow_voters(name, 0);
    }
    else
        run(name, started.host->on_routing(routing(), m_now));
    run(name, started.host->on_upstreams(
                  upstreams(), version_of(m_upstreams_version), m_now, m_now));
    tick_host(name, started.incarnation);
}

void fleet_world::trace(const std::string& name,
                        const entry::host_event& event) const
{
    const auto now =
        std::chrono::duration_cast<millis>(m_now.time_since_epoch());
    *m_trace << now.count() << ' ' << name << ' '
             << observe::row_of(event.event).name << ' ' << event.service << ' '
             << event.detail;
    for (const auto& [field, value] : event.inputs)
        *m_trace << ' ' << field << '=' << value;
    *m_trace << '\n';
}

void fleet_world::stop(const std::string& host)
{
    m_checker.disturb_until(host, m_now);
    auto& stopped = m_hosts.at(host);
    stopped.host.reset();
    stopped.deferred_steps.clear();
    ++stopped.incarnation;
    stopped.is_registered = false;
    forget_work_of(host);
    announce_members();
}

void fleet_world::lose(const std::string& host)
{
    m_checker.disturb_until(host, m_now);
    auto& lost = m_hosts.at(host);
    lost.host.reset();
    lost.deferred_steps.clear();
    ++lost.incarnation;
    forget_work_of(host);
}

std::string fleet_world::add_host()
{
    auto name = host_name(m_hosts.size());
    m_hosts[name];
    start_host(name);
    announce_members();
    return name;
}

void fleet_world::announce_members()
{
    ++m_members_version;
    for (const auto& [name, informed] : m_hosts)
        announce_members(name);
}

// A host that does not reach the table service learns of a change later.
void fleet_world::announce_members(const std::string& name)
{
    const auto& informed = m_hosts.at(name);
    if (!informed.host)
        return;
    if (!m_store_up || is_cut(name, store_name))
        return on_host(name, feed_retry_interval,
                       [this, name] { announce_members(name); });
    m_hosts.at(name).host->on_members(members(), version_of(m_members_version),
                                      m_now, m_now);
    if (!informed.is_registered)
        on_host(name, store_delay, [this, name] {
            if (!std::exchange(m_hosts.at(name).is_registered, true))
                announce_members();
        });
}

void fleet_world::remove_member(const std::string& name,
                                const std::string& member)
{
    ++m_history.removed_members;
    if (!m_store_up || is_cut(name, store_name))
        return;
    const auto incarnation = m_hosts.at(member).incarnation;
    after(store_delay, [this, member, incarnation] {
        auto& removed = m_hosts.at(member);
        if (removed.incarnation != incarnation || !removed.is_registered)
            return;
        removed.is_registered = false;
        announce_members();
    });
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
    routes::routing table;
    table.version = m_routing_version;
    if (m_options)
        add_workspaces(table);
    table.services[service_name].max_connections = m_max_connections;
    const auto add = [&](const char* name, routes::read_consistency rule,
                         int age) {
        routes::route route;
        route.database = name;
        route.service = service_name;
        route.consistency = rule;
        route.timeout = millis(800);
        route.max_age = millis(age);
        table.routes[name] = route;
    };
    add("latest", routes::read_consistency::latest, 0);
    add("bounded", routes::read_consistency::bounded_age, 1500);
    add("session", routes::read_consistency::session, 2500);
    if (m_quota)
    {
        table.has_workspaces = true;
        table.workspaces[workspace_name] = {workspace_name, 0, m_quota};
        table.workspace_by_key_digest[key_digest] = workspace_name;
    }
    return table;
}

void fleet_world::set_quota(const routes::quota_limit& limit)
{
    m_quota = limit;
    ++m_routing_version;
    for (auto& [name, informed] : m_hosts)
        if (informed.host)
            run(name, informed.host->on_routing(routing(), m_now));
}

std::vector<routes::upstream> fleet_world::upstreams() const
{
    std::vector<routes::upstream> all;
    for (const auto& [id, database] : m_databases)
        all.push_back(database.registration);
    return all;
}

void fleet_world::run(const std::string& name,
                      const entry::entry_actions& actions)
{
    run(name, actions.pooling);
    for (const auto& action : actions.control)
        run(name, action);
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
            if (replying->reply.error == core::error_kind::quota_exceeded)
                ++m_history.over_quota;
            done(replying->reply);
        }
        else if (const auto* forwarding =
                     std::get_if<pooling::forward_action>(&action))
            forward(name, *forwarding);
        else if (const auto* ending =
                     std::get_if<pooling::end_forwarding_action>(&action))
            end_forwarding(name, *ending);
        else if (const auto* forwarded_reply =
                     std::get_if<pooling::forwarded_reply_action>(&action))
            reply_forwarded(name, *forwarded_reply);
        else if (const auto* request =
                     std::get_if<pooling::request_tokens_action>(&action))
            request_tokens(name, *request);
        else if (const auto* grant =
                     std::get_if<pooling::grant_tokens_action>(&action))
            grant_tokens(name, *grant);
    }
}

void fleet_world::request_tokens(const std::string& name,
                                 const pooling::request_tokens_action& action)
{
    ++m_history.token_requests;
    if (!is_running(action.host) || is_cut(name, action.host))
        return;
    const auto origin =
        name + "/" + std::to_string(m_hosts.at(name).incarnation);
    on_host(action.host, link_delay, [this, action, origin] {
        auto& pooler = m_hosts.at(action.host).host->pooler();
        run(action.host,
            pooler.on_token_request(origin, action.request, action.workspace,
                                    action.count, m_now));
    });
}

// A grant to an earlier process of the host is lost, as on a real link.
void fleet_world::grant_tokens(const std::string& name,
                               const pooling::grant_tokens_action& action)
{
    const auto separator = action.host.find('/');
    const auto to = action.host.substr(0, separator);
    const auto incarnation = action.host.substr(separator + 1);
    if (is_cut(name, to) ||
        std::to_string(m_hosts.at(to).incarnation) != incarnation)
        return;
    on_host(to, link_delay, [this, to, action] {
        run(to, m_hosts.at(to).host->pooler().on_token_grant(
                    action.request, action.grant, m_now));
    });
}

// The origin of a forwarded statement includes the incarnation, so that the
// receiver tells processes of a host apart, as on a real link.
void fleet_world::forward(const std::string& name,
                          const pooling::forward_action& action)
{
    ++m_history.forwarded;
    const auto origin =
        name + "/" + std::to_string(m_hosts.at(name).incarnation);
    const auto key = std::pair(origin, action.operation);
    const auto target = m_hosts.at(action.host).incarnation;
    m_forwarded[key] = {name, action.session};
    if (!is_cut(name, action.host))
        on_host(action.host, link_delay, [this, action, origin] {
            auto& pooler = m_hosts.at(action.host).host->pooler();
            run(action.host, pooler.run_forwarded(origin, action.operation,
                                                  action.work, m_now));
        });
    // A link that does not answer in time counts as lost.
    on_host(name, link_timeout, [this, name, action, key, target] {
        const auto& other = m_hosts.at(action.host);
        const bool answers = !is_cut(name, action.host) &&
                             other.incarnation == target &&
                             m_now >= other.frozen_until;
        if (answers || !m_forwarded.contains(key))
            return;
        m_forwarded.erase(key);
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
    const auto found = m_forwarded.find({action.host, action.operation});
    if (found == m_forwarded.end())
        return;
    const auto statement = found->second;
    if (is_cut(name, statement.sender))
        return;
    m_forwarded.erase(found);
    on_host(statement.sender, link_delay, [this, statement, action] {
        auto& pooler = m_hosts.at(statement.sender).host->pooler();
        run(statement.sender,
            pooler.on_forwarded_reply(statement.session, action.operation,
                                      action.reply, m_now));
    });
}

void fleet_world::run(const std::string& name,
                      const entry::control_action& action)
{
    if (const auto* heartbeat = std::get_if<entry::heartbeat_action>(&action))
    {
        const auto to = heartbeat->address.ip;
        ++m_heartbeats[name];
        if (!is_cut(name, to))
            on_host(to, link_delay, [this, to, bytes = heartbeat->bytes] {
                run(to, m_hosts.at(to).host->on_heartbeat(bytes, m_now));
            });
    }
    else if (std::holds_alternative<entry::probe_routing_action>(action))
        read_routing(name, true);
    else if (std::holds_alternative<entry::read_routing_action>(action))
    {
        if (m_options)
            read_routing(name, false);
    }
    else if (const auto* fetch =
                 std::get_if<entry::fetch_routing_action>(&action))
        fetch_routing(name, fetch->peer.ip);
    else if (std::holds_alternative<entry::read_records_action>(action))
        read_records(name);
    else if (std::holds_alternative<entry::abort_promotion_action>(action))
        abort_promotions(name);
    else if (const auto* removal =
                 std::get_if<entry::remove_member_action>(&action))
        remove_member(name, removal->member);
    else if (std::holds_alternative<entry::read_members_action>(action))
    {
        if (m_lose_member_reads || !m_store_up || is_cut(name, store_name))
            return;
        const auto requested_at = m_now;
        after(
            draw(m_store_delay.value_or(time_range{store_delay, store_delay})),
            [this, name, requested_at] {
                on_host(name, link_delay, [this, name, requested_at] {
                    m_hosts.at(name).host->on_members(
                        members(), version_of(m_members_version), requested_at,
                        m_now);
                });
            });
    }
    else if (const auto* write =
                 std::get_if<entry::write_record_action>(&action))
        write_record(name, *write);
    else if (const auto* voters =
                 std::get_if<entry::write_voters_action>(&action))
        write_voters(name, *voters);
    else if (const auto* promotion =
                 std::get_if<entry::promote_upstream_action>(&action))
        promote(name, *promotion);
    else if (const auto* request =
                 std::get_if<entry::request_status_action>(&action))
    {
        const auto id = request->upstream.id;
        const auto requested_at = m_now;
        on_host(name, link_delay * 2, [this, name, id, requested_at] {
            const auto& database = m_databases.at(id);
            // A request that is cut off gets no answer.
            if (is_cut(name, id))
                return;
            sql::status_answer status{std::nullopt, !database.up};
            if (database.up)
                status.status = {database.is_primary, database.term,
                                 database.end()};
            run(name, m_hosts.at(name).host->on_status(
                          service_name, id, requested_at, status, m_now));
        });
    }
    else if (const auto* order =
                 std::get_if<entry::demote_upstream_action>(&action))
    {
        auto& database = m_databases.at(order->upstream.id);
        if (database.up && !is_cut(name, order->upstream.id) &&
            database.term < order->term)
            database.is_primary = false;
    }
}

void fleet_world::submit(const std::string& host, const std::string& database,
                         const std::string& text,
                         std::function<void(const sql::reply&)> done)
{
    const auto id = ++m_last_session;
    auto& pooler = m_hosts.at(host).host->pooler();
    if (pooler.open_session(id, database, m_quota ? key_digest : "", m_now) !=
        pooling::open_result::opened)
        return;
    m_calls[{host, id}].done = std::move(done);
    sql::statement submitted;
    submitted.kind = text.starts_with("WRITE") ? sql::statement_kind::write
                                               : sql::statement_kind::read;
    submitted.id = "q" + std::to_string(id);
    submitted.text = text;
    run(host, pooler.on_statement(id, submitted, m_now));
}

sql::reply fleet_world::call(const std::string& host,
                             const std::string& database,
                             const std::string& text)
{
    std::optional<sql::reply> received;
    submit(host, database, text,
           [&](const sql::reply& reply) { received = reply; });
    for (int i = 0; i < 2000 && !received; ++i)
        run_for(millis(1));
    m_calls.clear();
    return received.value_or(sql::reply{});
}

void fleet_world::issue_write(const std::string& host)
{
    const auto key = "k" + std::to_string(m_random() % 4);
    const auto value = std::to_string(++m_last_value);
    submit(host, "latest", "WRITE " + key + " " + value,
           [this, key, value, host](const sql::reply& reply) {
               if (reply.error)
               {
                   const bool unknown =
                       *reply.error == core::error_kind::outcome_unknown;
                   ++(unknown ? m_history.unknown : m_history.refused);
                   return;
               }
               ++m_history.served;
               if (const auto fault = m_checker.on_acknowledged(value, host))
                   m_history.faults.push_back(*fault);
               const auto& log = m_databases.at(m_leader).log;
               const bool is_kept =
                   std::any_of(log.begin(), log.end(), [&](const auto& entry) {
                       return entry.value == value;
                   });
               if (!is_kept)
                   m_history.faults.push_back(
                       "a write was acknowledged through " + host +
                       " that the current primary lacks: " + value);
               m_history.writes.push_back({key, value, *reply.position, m_now});
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
    // The latest write that the read must reflect, whatever its key.
    upstream::log_point min_point;
    for (const auto& write : m_history.writes)
        if (write.acknowledged_at <= m_now - age)
            min_point = std::max(min_point, write.point);
    submit(host, database, "READ " + key,
           [this, host, database, min_point](const sql::reply& reply) {
               if (reply.error)
                   return void(++m_history.refused);
               ++m_history.served;
               if (reply.signature != "s@" + m_leader)
                   ++m_history.reads_at_replicas;
               // Ignores writes that a promotion has rolled back meanwhile.
               const bool is_kept = std::any_of(
                   m_history.writes.begin(), m_history.writes.end(),
                   [&](const auto& write) { return write.point == min_point; });
               if (is_kept && *reply.position < min_point)
                   m_history.faults.push_back(
                       "a " + database + " read through " + host + " saw " +
                       upstream::to_string(*reply.position) + " and not " +
                       upstream::to_string(min_point));
           });
}

void fleet_world::start_load(millis interval)
{
    m_load = true;
    issue_load(interval);
}

void fleet_world::issue_load(millis interval)
{
    if (!m_load)
        return;
    const auto name = host_name(m_random() % m_hosts.size());
    if (m_hosts.at(name).host && m_now >= m_hosts.at(name).frozen_until)
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
    after(interval, [this, interval] { issue_load(interval); });
}

} // namespace support
