#include <support/simulation.hpp>

#include <algorithm>
#include <tuple>

namespace support
{

using upstream::control_kind;
using upstream::control_outcome;
using upstream::run_outcome;

namespace
{

constexpr core::millis tick{10};
constexpr core::millis open_time{12};
constexpr core::millis pull_interval{3};
constexpr int database_count = 3;

core::address database_address(int index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
}

} // namespace

/// A request that the gateway of a host is forwarding.
struct simulation::gateway_call
{
    coordinator::caller_request request;
    reply_handler handler;
    core::instant deadline;
    daemon::forwarding forward;
};

coordinator::caller_request
make_request(std::vector<upstream::statement> statements,
             coordinator::freshness required_freshness)
{
    coordinator::caller_request request;
    request.service = "service";
    request.statements = std::move(statements);
    request.required_freshness = required_freshness;
    request.tenant = "tenant";
    request.time_left = core::millis(5000);
    return request;
}

simulation::simulation(const simulation_options& options)
    : m_options(options), m_random(options.seed), m_databases(database_count),
      m_hosts(static_cast<std::size_t>(options.hosts))
{
    m_layout.name = "service";
    m_layout.slots = options.slots;
    m_layout.acknowledge = options.acknowledge;
    const auto slots = static_cast<std::size_t>(options.slots);
    for (int i = 0; i < database_count; ++i)
    {
        m_layout.databases.push_back(
            {"db-" + std::to_string(i), database_address(i),
             "domain-" + std::to_string(i), options.connections, false});
        auto& database_state = m_databases[i];
        database_state.backend = std::make_unique<standin::database>(
            options.slots, options.connections);
        database_state.followed.resize(slots);
        database_state.last_contact.resize(slots, m_now);
        database_state.pull_in_flight.resize(slots, false);
    }
    for (int host = 0; host < options.hosts; ++host)
        start_host(host);
    for (int i = 0; i < database_count; ++i)
        for (int slot = 0; slot < options.slots; ++slot)
            replicate(i, slot);
}

core::host simulation::host_named(int index) const
{
    return {"host-" + std::to_string(index),
            "domain-" + std::to_string(index),
            {"127.0.0.1", static_cast<std::uint16_t>(100 + index)},
            {"127.0.0.1", static_cast<std::uint16_t>(200 + index)}};
}

int simulation::host_index(const core::host& host) const
{
    return host.caller.port - 100;
}

core::millis simulation::delay()
{
    return core::millis(m_random() % static_cast<std::uint64_t>(
                                         m_options.longest_delay.count() + 1));
}

void simulation::after(core::millis wait, std::function<void()> callback)
{
    m_queue.push({m_now + wait, ++m_order, std::move(callback)});
}

void simulation::run_for(core::millis duration)
{
    run_until([] { return false; }, duration);
}

bool simulation::run_until(const std::function<bool()>& condition,
                           core::millis timeout)
{
    const auto end = m_now + timeout;
    while (!condition())
    {
        if (m_queue.empty() || m_queue.top().when > end)
        {
            m_now = end;
            return condition();
        }
        auto next = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, next.when);
        next.callback();
    }
    return true;
}

void simulation::start_host(int host)
{
    auto& host_state = m_hosts[host];
    ++host_state.incarnation;
    const auto instance = "host-" + std::to_string(host) + "." +
                          std::to_string(host_state.incarnation);
    coordinator::coordinator_options options;
    options.instance = instance;
    options.secret = "secret";
    options.first_connection = (static_cast<std::uint64_t>(host) << 32U) +
                               (host_state.incarnation << 24U);
    host_state.coordinator =
        std::make_unique<coordinator::service_coordinator>(m_layout, options);
    host_state.coordinator->set_share(m_options.hosts > 1 ? 0.5 : 1.0);
    failover::failover_options timing;
    timing.claimant = instance;
    host_state.monitor =
        std::make_unique<failover::failover_monitor>(m_layout, timing, m_now);
    std::vector<std::string> names;
    names.reserve(m_hosts.size());
    for (int i = 0; i < m_options.hosts; ++i)
        names.push_back(host_named(i).name);
    host_state.monitor->set_watchers(names, host_named(host).name);
    tick_host(host, host_state.incarnation);
}

void simulation::tick_host(int host, std::uint64_t incarnation)
{
    after(tick, [this, host, incarnation] {
        at_host(host, incarnation, [this, host, incarnation] {
            auto& host_state = m_hosts[host];
            carry_out(host, host_state.coordinator->on_tick(m_now));
            carry_out(host, host_state.monitor->on_tick(m_now));
            tick_host(host, incarnation);
        });
    });
}

void simulation::at_host(int host, std::uint64_t incarnation,
                         std::function<void()> callback)
{
    auto& host_state = m_hosts[host];
    if (host_state.incarnation != incarnation)
        return;
    if (host_state.paused_until <= m_now)
        return callback();
    const auto wait = std::chrono::duration_cast<core::millis>(
        host_state.paused_until - m_now);
    after(wait + core::millis(1),
          [this, host, incarnation, callback = std::move(callback)]() mutable {
              at_host(host, incarnation, std::move(callback));
          });
}

void simulation::at_database(int host, int database, core::instant when,
                             std::function<void()> callback,
                             std::function<void()> reset)
{
    const auto wait = std::chrono::duration_cast<core::millis>(when - m_now);
    after(wait, [this, host, database, callback = std::move(callback),
                 reset = std::move(reset)]() mutable {
        auto& database_state = m_databases[database];
        if (m_cuts.contains({host, database}))
            return;
        if (database_state.down)
            return reset();
        if (database_state.frozen)
            return database_state.deferred.push_back(std::move(callback));
        callback();
    });
}

void simulation::carry_out(int host, const coordinator::actions& requested)
{
    for (const auto& item : requested)
    {
        if (const auto* opening = std::get_if<coordinator::open_action>(&item))
            open(host, *opening);
        else if (const auto* run = std::get_if<coordinator::run_action>(&item))
            run_order(host, *run);
        else if (const auto* closing =
                     std::get_if<coordinator::close_action>(&item))
            close(host, closing->connection);
        else if (const auto* poll =
                     std::get_if<coordinator::poll_action>(&item))
        {
            upstream::control_order order;
            order.slot = std::max(0, poll->slot);
            order.wait_for = poll->wait_for;
            order.wait = poll->wait;
            control(
                host, static_cast<int>(poll->database), order, poll->timeout,
                [this, host, database = poll->database, slot = poll->slot,
                 sent = m_now](const upstream::control_result& result) {
                    carry_out(host, m_hosts[host].coordinator->on_poll(
                                        database, slot, result, sent, m_now));
                });
        }
        else if (const auto* answer =
                     std::get_if<coordinator::answer_action>(&item))
        {
            auto& pending = m_hosts[host].pending;
            const auto found = pending.find(answer->number);
            if (found == pending.end())
                continue;
            auto handler = std::move(found->second);
            pending.erase(found);
            handler(answer->reply);
        }
        else if (const auto* suspect =
                     std::get_if<coordinator::suspect_action>(&item))
            carry_out(host, m_hosts[host].monitor->on_suspect_report(
                                suspect->database, m_now));
        else if (const auto* event_to_record =
                     std::get_if<coordinator::event_action>(&item))
            events.push_back(event_to_record->event);
    }
}

void simulation::open(int host, const coordinator::open_action& action)
{
    const auto database = static_cast<int>(action.database);
    const auto number = action.connection;
    const auto incarnation = m_hosts[host].incarnation;
    m_hosts[host].connections[number] = {database, m_now};
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, host, incarnation, number,
                      done](upstream::open_outcome result) {
        at_host(host, incarnation, [this, host, number, done, result] {
            if (std::exchange(*done, true))
                return;
            carry_out(host, m_hosts[host].coordinator->on_opened(number, result,
                                                                 m_now));
        });
    };
    at_database(
        host, database, m_now + delay(),
        [this, database, number, end] {
            const bool ok = m_databases[database].backend->open_session(number);
            after(open_time, [end, ok] {
                end(ok ? upstream::open_outcome::opened
                       : upstream::open_outcome::refused_by_limit);
            });
        },
        [end] { end(upstream::open_outcome::failed); });
    after(core::millis(1000), [end] { end(upstream::open_outcome::failed); });
}

void simulation::run_order(int host, const coordinator::run_action& action)
{
    auto& host_state = m_hosts[host];
    const auto number = action.connection;
    const auto incarnation = host_state.incarnation;
    const auto found = host_state.connections.find(number);
    if (found == host_state.connections.end())
    {
        at_host(host, incarnation, [this, host, number] {
            carry_out(host,
                      m_hosts[host].coordinator->on_run(number, {}, m_now));
        });
        return;
    }
    const int database = found->second.first;
    // Orders on the same connection arrive in the order in which they were
    // sent.
    const auto when = std::max(found->second.second, m_now + delay());
    found->second.second = when;
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, host, incarnation, number,
                      done](upstream::run_result result) {
        at_host(host, incarnation,
                [this, host, number, done, result = std::move(result)] {
                    if (std::exchange(*done, true))
                        return;
                    if (result.outcome == run_outcome::lost)
                        close(host, number);
                    carry_out(host, m_hosts[host].coordinator->on_run(
                                        number, result, m_now));
                });
    };
    upstream::run_result lost;
    lost.outcome = run_outcome::lost;
    at_database(
        host, database, when,
        [this, host, database, number, order = action.order, end] {
            auto& database_state = m_databases[database];
            const auto result = database_state.backend->run(number, order);
            ++database_state.orders_run;
            if (database_state.answers_to_lose > 0 &&
                result.outcome == run_outcome::answered)
            {
                --database_state.answers_to_lose;
                return;
            }
            after(delay(), [this, host, database, end, result] {
                if (!m_cuts.contains({host, database}))
                    end(result);
            });
        },
        [end, lost] { end(lost); });
    after(action.timeout, [end, lost] { end(lost); });
}

void simulation::close(int host, upstream::connection_number connection)
{
    auto& host_state = m_hosts[host];
    const auto found = host_state.connections.find(connection);
    if (found == host_state.connections.end())
        return;
    const auto [database, last] = found->second;
    host_state.connections.erase(found);
    const auto when = std::max(last, m_now + delay());
    // The session ends even when the link is cut: the database then detects the
    // dead connection by itself.
    after(std::chrono::duration_cast<core::millis>(when - m_now),
          [this, database = database, connection] {
              auto& database_state = m_databases[database];
              const auto end = [this, database, connection] {
                  m_databases[database].backend->close_session(connection);
              };
              if (database_state.frozen)
                  return database_state.deferred.push_back(end);
              end();
          });
}

upstream::control_result
simulation::execute(int database, const upstream::control_order& order)
{
    auto& database_state = m_databases[database];
    auto result = database_state.backend->control(order);
    const auto slot = static_cast<std::size_t>(order.slot);
    const bool accepted = result.outcome == control_outcome::accepted;
    if (accepted && order.kind == control_kind::follow)
        database_state.followed[slot] = order.primary.port - 1;
    if (accepted && order.kind == control_kind::promote)
        ++m_promotions;
    for (auto& status : result.status)
        status.since_primary_contact = std::chrono::duration_cast<core::millis>(
            m_now -
            database_state.last_contact[static_cast<std::size_t>(status.slot)]);
    return result;
}

void simulation::answer_status(
    int database, const upstream::control_order& order, core::instant until,
    std::function<void(upstream::control_result)> answer)
{
    auto result = execute(database, order);
    const auto& last = result.status[static_cast<std::size_t>(order.slot)].last;
    if (last >= order.wait_for || m_now >= until)
        return answer(std::move(result));
    after(core::millis(1),
          [this, database, order, until, answer = std::move(answer)]() mutable {
              auto& database_state = m_databases[database];
              auto again = [this, database, order, until,
                            answer = std::move(answer)]() mutable {
                  answer_status(database, order, until, std::move(answer));
              };
              if (database_state.down)
                  return;
              if (database_state.frozen)
                  return database_state.deferred.push_back(std::move(again));
              again();
          });
}

void simulation::control(
    int host, int database, const upstream::control_order& order,
    core::millis timeout,
    std::function<void(const upstream::control_result&)> handler)
{
    const auto incarnation = m_hosts[host].incarnation;
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, host, incarnation, done,
                      handler =
                          std::move(handler)](upstream::control_result result) {
        at_host(host, incarnation, [done, handler, result = std::move(result)] {
            if (!std::exchange(*done, true))
                handler(result);
        });
    };
    at_database(
        host, database, m_now + delay(),
        [this, host, database, order, end] {
            const auto answer = [this, host, database,
                                 end](upstream::control_result result) {
                after(delay(),
                      [this, host, database, end, result = std::move(result)] {
                          if (!m_cuts.contains({host, database}))
                              end(result);
                      });
            };
            if (order.kind == control_kind::status)
                return answer_status(database, order, m_now + order.wait,
                                     answer);
            answer(execute(database, order));
        },
        [end] {
            end({control_outcome::unreachable, {}});
        });
    after(timeout, [end] { end({control_outcome::timed_out, {}}); });
}

void simulation::carry_out(int host, const failover::actions& requested)
{
    for (const auto& item : requested)
    {
        if (const auto* probe = std::get_if<failover::probe_action>(&item))
            control(host, static_cast<int>(probe->database), {}, probe->timeout,
                    [this, host, database = probe->database,
                     sent = m_now](const upstream::control_result& result) {
                        auto& host_state = m_hosts[host];
                        carry_out(host, host_state.monitor->on_probe(
                                            database, result, m_now));
                        carry_out(host,
                                  host_state.coordinator->on_status(
                                      database, result.status, sent, m_now));
                    });
        else if (const auto* order =
                     std::get_if<failover::control_action>(&item))
            control(
                host, static_cast<int>(order->database), order->order,
                order->timeout,
                [this, host, database = order->database, claim = order->claim,
                 sent = m_now](const upstream::control_result& result) {
                    auto& host_state = m_hosts[host];
                    carry_out(host, host_state.monitor->on_control(
                                        database, claim, result, m_now));
                    carry_out(host, host_state.coordinator->on_status(
                                        database, result.status, sent, m_now));
                });
        else if (const auto* sent_opinion =
                     std::get_if<failover::opinion_action>(&item))
            broadcast_opinion(host, sent_opinion->own_opinion);
        else if (const auto* event_to_record =
                     std::get_if<failover::event_action>(&item))
            events.push_back(event_to_record->event);
    }
}

void simulation::broadcast_opinion(int from,
                                   const failover::opinion& watcher_opinion)
{
    for (int host = 0; host < m_options.hosts; ++host)
    {
        if (host == from)
            continue;
        after(delay(), [this, from, host, watcher_opinion,
                        incarnation = m_hosts[host].incarnation] {
            at_host(host, incarnation, [this, from, host, watcher_opinion] {
                carry_out(host,
                          m_hosts[host].monitor->on_opinion(
                              host_named(from).name, watcher_opinion, m_now));
            });
        });
    }
}

void simulation::replicate(int database, int slot)
{
    after(pull_interval, [this, database, slot] {
        auto& database_state = m_databases[database];
        const auto index = static_cast<std::size_t>(slot);
        const auto source = database_state.followed[index];
        const auto can_replicate = [this](int member) {
            const auto& candidate = m_databases[member];
            return !candidate.down && !candidate.frozen &&
                   !candidate.replication_cut;
        };
        const bool can_pull = source && *source != database &&
                              can_replicate(database) && can_replicate(*source);
        if (!can_pull || database_state.pull_in_flight[index])
            return replicate(database, slot);
        const auto order = database_state.backend->member(slot).make_pull();
        const auto reply =
            m_databases[*source].backend->member(slot).serve_pull(
                order, m_databases[*source].backend->member(slot).log().size(),
                64);
        database_state.pull_in_flight[index] = true;
        after(database_state.lag + delay(), [this, database, slot, index, reply,
                                             source, can_replicate] {
            auto& follower = m_databases[database];
            follower.pull_in_flight[index] = false;
            if (can_replicate(database) && follower.followed[index] == source &&
                follower.backend->member(slot).apply_pull(reply))
                follower.last_contact[index] = m_now;
        });
        replicate(database, slot);
    });
}

void simulation::send(int gateway, coordinator::caller_request request,
                      reply_handler handler)
{
    std::vector<core::host> ranked;
    ranked.reserve(m_hosts.size());
    for (int i = 0; i < m_options.hosts; ++i)
        ranked.push_back(host_named((gateway + i) % m_options.hosts));
    std::optional<core::host> owner;
    if (const auto parts = coordinator::parse_handle(request.transaction))
        for (int i = 0; i < m_options.hosts; ++i)
            if (parts->instance.starts_with(host_named(i).name + "."))
                owner = host_named(i);
    const auto deadline = m_now + request.time_left;
    daemon::forwarding forward(request, ranked, owner, deadline);
    auto call = std::make_shared<gateway_call>(gateway_call{
        std::move(request), std::move(handler), deadline, std::move(forward)});
    step_gateway(call, call->forward.start(m_now));
}

void simulation::step_gateway(const std::shared_ptr<gateway_call>& call,
                              daemon::forward_step step)
{
    if (!step.next_host)
        return call->handler(step.reply);
    const int host = host_index(*step.next_host);
    const auto incarnation = m_hosts[host].incarnation;
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, call,
                      done](plantainward::peer::call_outcome result,
                            const coordinator::caller_reply& reply) {
        if (!std::exchange(*done, true))
            step_gateway(call, call->forward.next(result, reply, m_now));
    };
    after(delay(), [this, call, host, incarnation, end] {
        using plantainward::peer::call_outcome;
        if (m_hosts[host].incarnation != incarnation)
            return end(call_outcome::not_sent, {});
        at_host(host, incarnation, [this, call, host, end] {
            auto& host_state = m_hosts[host];
            auto request = call->request;
            request.time_left = std::max(
                core::millis(1), std::chrono::duration_cast<core::millis>(
                                     call->deadline - m_now));
            const auto number = ++host_state.last_number;
            host_state.pending[number] =
                [this, end](const coordinator::caller_reply& reply) {
                    after(delay(), [end, reply] {
                        end(plantainward::peer::call_outcome::answered, reply);
                    });
                };
            carry_out(host,
                      host_state.coordinator->submit(number, request, m_now));
        });
    });
    const auto left =
        std::chrono::duration_cast<core::millis>(call->deadline - m_now);
    after(std::max(left, core::millis(0)) + core::millis(200),
          [end] { end(plantainward::peer::call_outcome::lost, {}); });
}

coordinator::caller_reply
simulation::send_and_wait(int gateway,
                          const coordinator::caller_request& request)
{
    std::optional<coordinator::caller_reply> received;
    send(gateway, request,
         [&](const coordinator::caller_reply& reply) { received = reply; });
    run_until([&] { return received.has_value(); }, core::millis(60'000));
    return *received;
}

void simulation::cut(int host, int database, bool is_cut)
{
    if (is_cut)
        m_cuts.insert({host, database});
    else
        m_cuts.erase({host, database});
}

void simulation::cut_replication(int database, bool is_cut)
{
    m_databases[database].replication_cut = is_cut;
}

void simulation::freeze_database(int database, bool frozen)
{
    auto& database_state = m_databases[database];
    database_state.frozen = frozen;
    if (frozen)
        return;
    for (auto& callback : std::exchange(database_state.deferred, {}))
        after(core::millis(0), std::move(callback));
}

void simulation::kill_database(int database)
{
    auto& database_state = m_databases[database];
    database_state.down = true;
    database_state.frozen = false;
    database_state.deferred.clear();
    for (auto& host : m_hosts)
        for (const auto& [number, where] : host.connections)
            if (where.first == database)
                database_state.backend->close_session(number);
}

void simulation::restart_database(int database)
{
    auto& database_state = m_databases[database];
    database_state.down = false;
    for (auto& host : m_hosts)
        std::erase_if(host.connections, [&](const auto& item) {
            return item.second.first == database;
        });
}

void simulation::pause_host(int host, core::millis duration)
{
    m_hosts[host].paused_until = m_now + duration;
}

void simulation::kill_host(int host)
{
    auto& host_state = m_hosts[host];
    for (const auto& [number, where] :
         std::exchange(host_state.connections, {}))
        m_databases[where.first].backend->close_session(number);
    host_state.pending.clear();
    host_state.paused_until = {};
    start_host(host);
}

void simulation::set_lag(int database, core::millis lag)
{
    m_databases[database].lag = lag;
}

void simulation::lose_next_answer(int database)
{
    ++m_databases[database].answers_to_lose;
}

void simulation::set_leaving(int database, bool leaving)
{
    m_layout.databases[static_cast<std::size_t>(database)].leaving = leaving;
    for (int host = 0; host < m_options.hosts; ++host)
    {
        auto& host_state = m_hosts[host];
        carry_out(host, host_state.coordinator->set_layout(m_layout, m_now));
        host_state.monitor->set_layout(m_layout, m_now);
    }
}

void simulation::heal()
{
    m_cuts.clear();
    for (int i = 0; i < database_count; ++i)
    {
        auto& database_state = m_databases[i];
        database_state.replication_cut = false;
        database_state.lag = core::millis(0);
        database_state.answers_to_lose = 0;
        if (database_state.down)
            restart_database(i);
        freeze_database(i, false);
    }
    for (auto& host : m_hosts)
        host.paused_until = {};
    run_for(core::millis(8000));
}

std::optional<int> simulation::primary(int slot) const
{
    std::optional<int> found;
    upstream::term_number highest = 0;
    for (int i = 0; i < database_count; ++i)
    {
        const auto status = m_databases[i].backend->member(slot).status();
        if (status.acting != upstream::role::primary ||
            status.granted < highest)
            continue;
        highest = status.granted;
        found = i;
    }
    return found;
}

} // namespace support
