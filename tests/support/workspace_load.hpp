#pragma once

#include <plantainward/fleet/workspace_holders.hpp>
#include <plantainward/pooling/pooler.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace support
{

using namespace plantainward;
using core::boot_instant;
using core::millis;

/// How the holder of an operation is chosen.
enum class holder_scheme : std::uint8_t
{
    /// By the failure domain of the caller's host, whatever the workspace.
    by_host,
    /// One holder in each failure domain, by the workspace.
    by_domain,
    /// As `fleet::workspace_holders` does.
    by_workspace
};

/// The load of one service of the tournament deployment, see
/// `docs/design/hard-load.md`.
struct workspace_load_options
{
    holder_scheme scheme{holder_scheme::by_workspace};
    std::size_t host_count{115};
    std::size_t workspace_count{78};
    std::size_t max_connections{112};
    std::size_t slot_count{4};
    std::size_t voter_count{15};
    /// Operations a second of one of eight services.
    double rate_per_s{937.0 / 8};
    /// Factor of the rate of the most active workspace.
    double burst{1};
    fleet::plan_options plan;
    std::string service{"tournament-1"};
    unsigned seed{1};
    /// Time before the measurement, in which pools fill.
    std::chrono::seconds warm_up{60};
    std::chrono::seconds measured{120};
};

/// What was measured; rates are per second and service.
struct workspace_load_result
{
    double openings_per_s{0};
    double evictions_per_s{0};
    double operations_per_s{0};
    /// Fraction of operations that went to a holder in another failure domain.
    double domain_hops{0};
    /// Largest number of connections of one database, watchers included.
    std::size_t most_connections{0};
    double mean_connections{0};
    double mean_ms{0};
    double p99_ms{0};
    std::size_t failed{0};
    /// Statements that ran on a connection of another workspace.
    std::size_t misplaced{0};
};

/// Runs real poolers of the holders of one service against simulated databases.
class workspace_load
{
public:
    explicit workspace_load(workspace_load_options options)
        : m_options(std::move(options)), m_random(m_options.seed)
    {
        add_hosts();
        add_workspaces();
        add_holders();
    }

    workspace_load_result run()
    {
        schedule_arrival();
        tick();
        const auto end = start + m_options.warm_up + m_options.measured;
        while (!m_events.empty() && m_events.top().at <= end)
        {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        return result();
    }

    /// Connections of one holder to each database.
    std::size_t share() const { return m_division.share; }
    std::size_t watchers() const { return m_division.watchers.size(); }

private:
    using micros = std::chrono::microseconds;

    struct event
    {
        boot_instant at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    struct database_state
    {
        std::string domain;
        std::size_t used_slots{0};
        std::deque<std::pair<micros, std::function<void()>>> waiting;
        std::size_t connections{0};
    };

    struct kind
    {
        const char* route;
        double rate;
        double writes;
        double transactions;
        micros work;
    };

    struct operation
    {
        std::string workspace;
        std::string front;
        std::string holder;
        const kind* type{nullptr};
        bool writes{false};
        bool in_transaction{false};
        int statement{0};
        boot_instant began{};
    };

    static constexpr boot_instant start{std::chrono::seconds(1000)};
    static constexpr const char* domains[] = {"a", "b", "c"};
    static inline const std::vector<kind> kinds{
        {"entry", 126, 0.35, 0.4, micros(3000)},
        {"registrations", 591, 0.12, 0.12, micros(9000)},
        {"standings", 220, 0, 0.1, micros(15000)}};

    void add_hosts()
    {
        for (std::size_t i = 0; i < m_options.host_count; ++i)
        {
            const auto name = "host-" + std::to_string(i);
            m_hosts[name] = {{name, 1}, domains[i % 3], i < 6 ? 500U : 84U};
            m_names.push_back(name);
        }
        for (const char* domain : domains)
            m_databases[std::string("db-") + domain].domain = domain;
    }

    void add_workspaces()
    {
        std::map<std::string, double> rates;
        for (std::size_t k = 1; k <= m_options.workspace_count; ++k)
        {
            const auto weight = std::pow(static_cast<double>(k), -1.2);
            m_workspaces.push_back("w" + std::to_string(k));
            m_weights.push_back(k == 1 ? weight * m_options.burst : weight);
            rates[m_workspaces.back()] = weight * 1000;
        }
        m_shares = std::make_shared<const fleet::workspace_shares>(
            fleet::shares_of_rates(rates));
    }

    void add_holders()
    {
        std::set<std::string> voters;
        for (const auto& name : m_names)
            if (voters.size() < m_options.voter_count)
                voters.insert(name);
        m_division = fleet::divide_connections(
            m_options.service, m_options.max_connections, m_hosts, voters,
            fleet::options_for(m_options.plan, m_options.workspace_count));
        m_order = std::make_unique<fleet::workspace_holders>(
            m_options.service, m_division, m_shares);
        for (const auto& [id, target] : m_databases)
            m_databases.at(id).connections = m_division.watchers.size();
        for (const auto& [domain, names] : m_division.names_by_domain())
            for (const auto& name : names)
                add_holder(name);
    }

    void add_holder(const std::string& name)
    {
        const auto& domain = m_hosts.at(name).failure_domain;
        auto& pool =
            m_holders
                .try_emplace(name,
                             pooling::pooler_options{domain, millis(3000)})
                .first->second;
        routes::routing routing;
        routing.version = 1;
        routing.has_workspaces = true;
        routing.services[m_options.service].max_connections =
            m_options.max_connections;
        for (const auto& workspace : m_workspaces)
            routing.workspaces[workspace] = {workspace, 0, {}};
        add_route(routing, "entry", routes::read_consistency::latest, 0, 1000);
        add_route(routing, "registrations", routes::read_consistency::session,
                  2500, 1000);
        add_route(routing, "standings", routes::read_consistency::bounded_age,
                  1500, 3000);
        pool.set_routing(routing, start);
        pool.set_plan(m_options.service,
                      {m_division.share_of(name), {}, {}, {}});
        std::vector<routes::upstream> upstreams;
        for (const auto& [id, target] : m_databases)
            upstreams.push_back({id,
                                 m_options.service,
                                 {id, 1},
                                 target.domain,
                                 false,
                                 id == "db-a",
                                 1});
        carry_out(name, pool.set_upstreams(upstreams, start));
        carry_out(name, pool.set_primary(m_options.service, "db-a",
                                         start + std::chrono::hours(9), start));
    }

    void add_route(routes::routing& routing, const std::string& name,
                   routes::read_consistency consistency, int age, int limit)
    {
        routes::route route;
        route.database = name;
        route.service = m_options.service;
        route.consistency = consistency;
        route.max_age = millis(age);
        route.timeout = millis(limit);
        routing.routes[name] = route;
    }

    void after(micros delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_last_number, std::move(run)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    bool is_measured() const { return m_now >= start + m_options.warm_up; }

    void schedule_arrival()
    {
        double factor = 0;
        double sum = 0;
        for (std::size_t i = 0; i < m_weights.size(); ++i)
        {
            factor += m_weights[i];
            sum += std::pow(static_cast<double>(i + 1), -1.2);
        }
        const double rate = m_options.rate_per_s * factor / sum;
        after(micros(static_cast<std::int64_t>(
                  std::exponential_distribution<>(rate)(m_random) * 1e6)),
              [this] {
                  begin_operation();
                  schedule_arrival();
              });
    }

    const kind& random_kind()
    {
        double left = uniform() * (126 + 591 + 220);
        for (const auto& candidate : kinds)
            if ((left -= candidate.rate) < 0)
                return candidate;
        return kinds.back();
    }

    void begin_operation()
    {
        operation started;
        started.workspace =
            m_workspaces[std::discrete_distribution<std::size_t>(
                m_weights.begin(), m_weights.end())(m_random)];
        started.front = m_names[static_cast<std::size_t>(
            uniform() * static_cast<double>(m_names.size()))];
        started.type = &random_kind();
        started.writes = uniform() < started.type->writes;
        started.in_transaction = uniform() < started.type->transactions;
        started.holder = holder_of(started.workspace, started.front);
        started.began = m_now;
        const auto id = ++m_last_operation;
        const bool hops = domain_of(started.front) != domain_of(started.holder);
        if (is_measured())
        {
            ++m_operations;
            m_hops += hops ? 1 : 0;
        }
        m_running[id] = started;
        send_statement(id);
    }

    std::string domain_of(const std::string& host) const
    {
        return m_hosts.at(host).failure_domain;
    }

    std::string holder_of(const std::string& workspace,
                          const std::string& front) const
    {
        const auto domain = domain_of(front);
        if (m_options.scheme == holder_scheme::by_host)
            return m_division.is_holder(front)
                       ? front
                       : m_division.delegates_of(front, domain).front();
        const auto order = m_order->order(workspace, front, domain);
        if (m_options.scheme == holder_scheme::by_workspace)
            return order.front();
        return *std::find_if(order.begin(), order.end(), [&](const auto& name) {
            return domain_of(name) == domain;
        });
    }

    micros latency(const std::string& from, const std::string& to) const
    {
        return from == to ? micros(200) : micros(1400);
    }

    void send_statement(std::uint64_t id)
    {
        const auto& running = m_running.at(id);
        after(latency(domain_of(running.front), domain_of(running.holder)),
              [this, id] { run_statement(id); });
    }

    // A transaction is two statements and a commit.
    void run_statement(std::uint64_t id)
    {
        auto& running = m_running.at(id);
        auto& pool = m_holders.at(running.holder);
        pooling::forwarded_work work;
        work.route = pool.routing().routes.at(running.type->route);
        work.workspace = running.workspace;
        work.time_left = work.route.timeout;
        work.statement.id = std::to_string(id);
        const bool is_commit = running.in_transaction && running.statement == 2;
        const auto slot_time =
            running.type->work.count() / (running.in_transaction ? 2 : 1);
        work.statement.text =
            running.workspace + " " +
            (is_commit ? "COMMIT" : std::to_string(slot_time));
        work.statement.kind = running.writes ? sql::statement_kind::write
                                             : sql::statement_kind::read;
        if (running.in_transaction)
        {
            work.part = running.statement == 0
                            ? pooling::transaction_part::first
                            : pooling::transaction_part::later;
            work.read_only = !running.writes;
            if (is_commit)
                work.statement.kind = sql::statement_kind::commit;
        }
        carry_out(running.holder,
                  pool.run_forwarded(running.front, id, work, m_now));
    }

    void carry_out(const std::string& holder, const pooling::actions& actions)
    {
        for (const auto& action : actions)
        {
            if (const auto* open = std::get_if<pooling::open_action>(&action))
                start_open(holder, *open);
            if (const auto* close = std::get_if<pooling::close_action>(&action))
                close_connection(holder, close->connection);
            if (const auto* send = std::get_if<pooling::send_action>(&action))
                for (const auto& command : send->commands)
                    send_command(holder, send->connection, command);
            if (const auto* reply =
                    std::get_if<pooling::forwarded_reply_action>(&action))
                end_statement(reply->operation, reply->reply);
        }
    }

    using connection_key = std::pair<std::string, pooling::connection_id>;

    void start_open(const std::string& holder, const pooling::open_action& open)
    {
        const connection_key key{holder, open.connection};
        m_connections[key] = {open.upstream.id, open.workspace};
        auto& target = m_databases.at(open.upstream.id);
        ++target.connections;
        m_most = std::max(m_most, target.connections);
        if (is_measured())
            ++m_openings;
        occupy(open.upstream.id, latency(domain_of(holder), target.domain),
               micros(12000), [this, key] {
                   if (m_connections.contains(key))
                       carry_out(
                           key.first,
                           m_holders.at(key.first).on_opened(
                               key.second, upstream::log_point{1, 10}, m_now));
               });
    }

    void close_connection(const std::string& holder, pooling::connection_id id)
    {
        const auto found = m_connections.find({holder, id});
        if (found == m_connections.end())
            return;
        --m_databases.at(found->second.first).connections;
        m_connections.erase(found);
        if (is_measured())
            ++m_closings;
    }

    void send_command(const std::string& holder, pooling::connection_id id,
                      const sql::command& command)
    {
        const connection_key key{holder, id};
        const auto& [upstream, workspace] = m_connections.at(key);
        const auto space = command.text.find(' ');
        const bool is_statement = space != std::string::npos;
        const bool is_commit = command.text.ends_with(" COMMIT");
        if (is_statement && command.text.substr(0, space) != workspace)
            ++m_misplaced;
        const auto work = is_statement && !is_commit
                              ? micros(std::stoi(command.text.substr(space)))
                              : micros(0);
        sql::command_answer answer;
        answer.signature = "s";
        answer.position = upstream::log_point{1, 10};
        answer.state = m_open_transactions.contains(key)
                           ? sql::transaction_state::open
                           : sql::transaction_state::idle;
        using sql::command_kind;
        if (command.kind == command_kind::begin ||
            command.kind == command_kind::begin_read_only)
        {
            m_open_transactions.insert(key);
            answer.state = sql::transaction_state::open;
        }
        if (is_commit || command.kind == command_kind::rollback)
        {
            m_open_transactions.erase(key);
            answer.state = sql::transaction_state::idle;
        }
        const auto answered = [this, key, answer] {
            if (m_connections.contains(key))
                carry_out(key.first, m_holders.at(key.first).on_answer(
                                         key.second, answer, m_now));
        };
        occupy(upstream,
               latency(domain_of(holder), m_databases.at(upstream).domain),
               work, answered);
    }

    // Runs work on a slot of a database, then calls back; both after a delay.
    void occupy(const std::string& id, micros delay, micros work,
                std::function<void()> done)
    {
        after(delay, [this, id, delay, work, done = std::move(done)] {
            auto answer = [this, delay, done] {
                after(delay, done);
            };
            auto& target = m_databases.at(id);
            if (work == micros(0))
                return answer();
            target.waiting.emplace_back(work, std::move(answer));
            use_slots(id);
        });
    }

    void use_slots(const std::string& id)
    {
        auto& target = m_databases.at(id);
        while (target.used_slots < m_options.slot_count &&
               !target.waiting.empty())
        {
            auto [work, done] = std::move(target.waiting.front());
            target.waiting.pop_front();
            ++target.used_slots;
            after(work, [this, id, done = std::move(done)] {
                --m_databases.at(id).used_slots;
                done();
                use_slots(id);
            });
        }
    }

    void end_statement(std::uint64_t id, const pooling::forwarded_reply& reply)
    {
        auto& running = m_running.at(id);
        const bool is_last = !running.in_transaction || running.statement == 2;
        if (!reply.reply.error && !is_last)
        {
            ++running.statement;
            const auto round_trip =
                latency(domain_of(running.front), domain_of(running.holder)) +
                micros(6000);
            return after(round_trip, [this, id] { send_statement(id); });
        }
        if (is_measured())
        {
            m_failed += reply.reply.error ? 1 : 0;
            m_times_ms.push_back(
                std::chrono::duration<double, std::milli>(m_now - running.began)
                    .count());
        }
        m_running.erase(id);
    }

    void tick()
    {
        std::size_t open = 0;
        for (auto& [name, pool] : m_holders)
        {
            pool.add_watermark(m_options.service,
                               {m_now - millis(50), {1, 10}});
            carry_out(name, pool.tick(m_now));
        }
        for (const auto& [id, target] : m_databases)
            open += target.connections;
        if (is_measured())
        {
            m_open_sum += open;
            ++m_open_samples;
        }
        after(micros(20'000), [this] { tick(); });
    }

    workspace_load_result result()
    {
        workspace_load_result out;
        const auto seconds = static_cast<double>(m_options.measured.count());
        out.openings_per_s = static_cast<double>(m_openings) / seconds;
        out.evictions_per_s = static_cast<double>(m_closings) / seconds;
        out.operations_per_s = static_cast<double>(m_operations) / seconds;
        out.domain_hops =
            static_cast<double>(m_hops) / static_cast<double>(m_operations);
        out.most_connections = m_most;
        out.mean_connections =
            static_cast<double>(m_open_sum) /
            static_cast<double>(m_open_samples * m_databases.size());
        std::sort(m_times_ms.begin(), m_times_ms.end());
        for (const auto time : m_times_ms)
            out.mean_ms += time / static_cast<double>(m_times_ms.size());
        out.p99_ms = m_times_ms[m_times_ms.size() * 99 / 100];
        out.failed = m_failed;
        out.misplaced = m_misplaced;
        return out;
    }

    workspace_load_options m_options;
    std::mt19937_64 m_random;
    fleet::members m_hosts;
    std::vector<std::string> m_names;
    std::vector<std::string> m_workspaces;
    std::vector<double> m_weights;
    std::shared_ptr<const fleet::workspace_shares> m_shares;
    fleet::service_holders m_division;
    std::unique_ptr<fleet::workspace_holders> m_order;
    std::map<std::string, pooling::pooler> m_holders;
    std::map<std::string, database_state> m_databases;
    /// Database and workspace of each connection.
    std::map<connection_key, std::pair<std::string, std::string>> m_connections;
    std::set<connection_key> m_open_transactions;
    std::map<std::uint64_t, operation> m_running;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    boot_instant m_now{start};
    std::uint64_t m_last_number{0};
    std::uint64_t m_last_operation{0};
    std::size_t m_operations{0};
    std::size_t m_hops{0};
    std::size_t m_openings{0};
    std::size_t m_closings{0};
    std::size_t m_most{0};
    std::size_t m_open_sum{0};
    std::size_t m_open_samples{0};
    std::size_t m_failed{0};
    std::size_t m_misplaced{0};
    std::vector<double> m_times_ms;
};

} // namespace support
