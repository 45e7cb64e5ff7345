#pragma once

#include <plantainward/quota/token_ledger.hpp>
#include <plantainward/quota/token_requester.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace support
{

using namespace plantainward;
using core::boot_instant;
using core::millis;

/// Simulates the hosts of a fleet that request and grant tokens, with workloads
/// of many workspaces, under one clock. Runs the real ledgers and requesters.
///
/// An operation with a token starts at a random instant while the token is
/// valid, often the last one, since it may wait for a database.
class quota_world
{
public:
    /// Operations of one workspace.
    struct load
    {
        routes::quota_limit limit;
        /// Operations a second, over all hosts.
        double rate_per_s{0};
    };

    struct counts
    {
        std::size_t issued{0};
        std::size_t refused{0};
        std::vector<boot_instant> starts;
    };

    /// A limit that some host knows from `announced` on, and every running host
    /// from `since` on.
    struct limit_change
    {
        boot_instant announced{};
        boot_instant since{boot_instant::max()};
        routes::quota_limit limit{};
    };

    static constexpr std::size_t domains = 3;
    static constexpr std::size_t voters = 15;

    quota_world(std::size_t hosts, std::map<std::string, load> loads,
                std::uint64_t seed)
        : m_random(seed), m_hosts(hosts), m_loads(std::move(loads))
    {
        for (const auto& [name, workload] : m_loads)
        {
            m_limits[name] = workload.limit;
            m_changes[name] = {{{}, {}, workload.limit}};
        }
        for (std::size_t i = 0; i < hosts; ++i)
            start(i);
        for (const auto& [name, workload] : m_loads)
            schedule_operation(name);
    }

    void run_for(millis time)
    {
        const auto end = m_now + time;
        while (!m_steps.empty() && m_steps.top().at <= end)
        {
            auto next = m_steps.top();
            m_steps.pop();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }

    boot_instant now() const { return m_now; }
    std::size_t host_count() const { return m_hosts.size(); }
    std::mt19937_64& random() { return m_random; }
    std::map<std::string, counts>& results() { return m_counts; }
    std::uint64_t messages() const { return m_messages; }

    void clear_results()
    {
        m_counts.clear();
        m_messages = 0;
    }

    /// Sets the operations a second; 0 for none.
    void set_rate(const std::string& workspace, double rate_per_s)
    {
        m_loads.at(workspace).rate_per_s = rate_per_s;
        ++m_generations[workspace];
        schedule_operation(workspace);
    }

    /// Operations with tokens that are valid at this instant start no earlier.
    void postpone_starts_to(boot_instant when) { m_postponed_to = when; }

    void set_loss(double share) { m_loss = share; }
    void set_late(double share) { m_late = share; }
    /// Callers of each workspace use one failure domain, which changes.
    void set_moving(bool moving) { m_moving = moving; }

    void restart(std::size_t index) { start(index); }

    void freeze(std::size_t index, millis time)
    {
        auto& frozen = m_hosts[index];
        frozen.frozen_until = std::max(frozen.frozen_until, m_now + time);
        at(frozen.frozen_until, [this, index] {
            auto& thawed = m_hosts[index];
            if (m_now < thawed.frozen_until)
                return;
            for (auto& late : std::exchange(thawed.deferred, {}))
                late();
        });
    }

    /// Separates a failure domain from the others; empty: none.
    void partition(std::optional<std::size_t> domain) { m_cut = domain; }

    /// Announces a limit; each host learns of it within two seconds.
    void change_limit(const std::string& workspace, routes::quota_limit limit)
    {
        m_limits[workspace] = limit;
        auto& changes = m_changes[workspace];
        m_pending.push_back({workspace, changes.size(), {}});
        changes.push_back({m_now, boot_instant::max(), limit});
        const auto number = m_pending.size() - 1;
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
        {
            m_pending[number].hosts.insert(i);
            on_host(i, millis(m_random() % 2000),
                    [this, i, number] { learn(i, number); });
        }
    }

    /// The first window that exceeds its bound; empty if there is none.
    std::optional<std::string>
    violation(const quota::quota_bounds& bounds) const
    {
        for (const auto& [workspace, counted] : m_counts)
        {
            auto starts = counted.starts;
            std::sort(starts.begin(), starts.end());
            const auto window =
                std::chrono::duration_cast<core::boot_clock::duration>(
                    std::chrono::duration<double>(bounds.window_s));
            std::size_t first = 0;
            for (std::size_t last = 0; last < starts.size(); ++last)
            {
                while (starts[last] - starts[first] > window)
                    ++first;
                const double most =
                    bound_of(workspace, starts[first], starts[last], bounds);
                const auto count = last - first + 1;
                if (static_cast<double>(count) > most)
                    return workspace + ": " + std::to_string(count) +
                           " operations in one window, at most " +
                           std::to_string(most);
            }
        }
        return std::nullopt;
    }

    /// The largest share of a bound that any window used.
    double worst_use(const quota::quota_bounds& bounds) const
    {
        double worst = 0;
        for (const auto& [workspace, counted] : m_counts)
        {
            auto starts = counted.starts;
            std::sort(starts.begin(), starts.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < starts.size(); ++last)
            {
                while (starts[last] - starts[first] >
                       std::chrono::duration<double>(bounds.window_s))
                    ++first;
                worst = std::max(worst, static_cast<double>(last - first + 1) /
                                            bound_of(workspace, starts[first],
                                                     starts[last], bounds));
            }
        }
        return worst;
    }

private:
    struct host
    {
        std::optional<quota::token_ledger> ledger;
        std::optional<quota::token_requester> requester;
        std::uint64_t incarnation{0};
        boot_instant frozen_until{};
        std::vector<std::function<void()>> deferred;
        quota::limits_by_workspace limits;
    };

    struct step
    {
        boot_instant at{};
        std::uint64_t number{0};
        std::function<void()> run;
        bool operator<(const step& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    struct pending_change
    {
        std::string workspace;
        /// Index among the changes of the workspace.
        std::size_t change{0};
        /// Hosts that do not know it.
        std::set<std::size_t> hosts;
    };

    void at(boot_instant when, std::function<void()> run)
    {
        m_steps.push({when, ++m_last_step, std::move(run)});
    }

    void on_host(std::size_t index, millis delay, std::function<void()> run)
    {
        const auto incarnation = m_hosts[index].incarnation;
        at(m_now + delay, [this, index, incarnation, run = std::move(run)] {
            auto& target = m_hosts[index];
            if (target.incarnation != incarnation)
                return;
            if (m_now < target.frozen_until)
                return target.deferred.push_back(run);
            run();
        });
    }

    static std::size_t domain_of(std::size_t index) { return index % domains; }
    static std::string name_of(std::size_t index)
    {
        return "host-" + std::to_string(index);
    }

    bool is_cut(std::size_t a, std::size_t b) const
    {
        return m_cut && domain_of(a) != domain_of(b) &&
               (domain_of(a) == *m_cut || domain_of(b) == *m_cut);
    }

    quota::voter_domains voter_list() const
    {
        quota::voter_domains list;
        for (std::size_t i = 0; i < std::min(voters, m_hosts.size()); ++i)
            list[name_of(i)] = std::to_string(domain_of(i));
        return list;
    }

    void start(std::size_t index)
    {
        auto& started = m_hosts[index];
        ++started.incarnation;
        started.frozen_until = {};
        started.deferred.clear();
        started.ledger.emplace(name_of(index), m_bounds);
        started.requester.emplace(m_bounds);
        // The process reads the limits that are in force at its start.
        started.limits = m_limits;
        for (std::size_t i = 0; i < m_pending.size(); ++i)
            learn(index, i);
        started.ledger->set_limits(started.limits, m_now);
        started.ledger->set_voters(1, voter_list(), m_now);
        set_owners(index);
        tick(index);
    }

    void set_owners(std::size_t index)
    {
        const auto list = voter_list();
        std::map<std::string, std::vector<std::string>> owners;
        for (const auto& [workspace, limit] : m_hosts[index].limits)
        {
            auto& names = owners[workspace];
            names = quota::quota_owners(list, workspace);
            std::stable_partition(
                names.begin(), names.end(), [&](const std::string& name) {
                    return list.at(name) == std::to_string(domain_of(index));
                });
        }
        m_hosts[index].requester->set_owners(std::move(owners));
    }

    void learn(std::size_t index, std::size_t number)
    {
        auto& change = m_pending[number];
        if (change.hosts.erase(index) == 0)
            return;
        auto& informed = m_hosts[index];
        informed.limits[change.workspace] = m_limits[change.workspace];
        informed.ledger->set_limits(informed.limits, m_now);
        if (change.hosts.empty())
            m_changes[change.workspace][change.change].since = m_now;
    }

    // Heartbeats of voters prove a majority unless most voters are cut off.
    bool reaches_majority(std::size_t index) const
    {
        const auto count = std::min(voters, m_hosts.size());
        std::size_t reached = 0;
        for (std::size_t i = 0; i < count; ++i)
            if (!is_cut(index, i) && m_now >= m_hosts[i].frozen_until)
                ++reached;
        return reached * 2 > count;
    }

    void tick(std::size_t index)
    {
        auto& ticked = m_hosts[index];
        if (index < voters && reaches_majority(index))
            ticked.ledger->set_majority_at(m_now, m_now);
        ticked.ledger->tick(m_now);
        ticked.requester->tick(m_now);
        carry_out(index);
        on_host(index, millis(20), [this, index] { tick(index); });
    }

    millis link_delay(std::size_t a, std::size_t b)
    {
        if (chance(m_late))
            return millis(50 + m_random() % 1500);
        return millis(domain_of(a) == domain_of(b) ? 1 : 2);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void carry_out(std::size_t index)
    {
        auto& asking = m_hosts[index];
        for (const auto& ask : asking.requester->collect_asks())
            send(index, ask);
        for (const auto& settled : asking.requester->collect_settled())
            settle(index, settled);
    }

    void send(std::size_t from, const quota::token_ask& ask)
    {
        const auto to =
            static_cast<std::size_t>(std::stoul(ask.owner.substr(5)));
        ++m_messages;
        if (is_cut(from, to) || chance(m_loss))
            return;
        const auto incarnation = m_hosts[from].incarnation;
        on_host(to, link_delay(from, to), [this, from, to, ask, incarnation] {
            const auto grant =
                m_hosts[to].ledger->request(ask.workspace, ask.count, m_now);
            if (is_cut(from, to) || chance(m_loss))
                return;
            ++m_messages;
            on_host(from, link_delay(from, to),
                    [this, from, ask, grant, incarnation] {
                        if (m_hosts[from].incarnation != incarnation)
                            return;
                        m_hosts[from].requester->on_grant(ask.request, grant,
                                                          m_now);
                        carry_out(from);
                    });
        });
    }

    void settle(std::size_t index, const quota::settled_wait& settled)
    {
        const auto found = m_waiting.find({index, settled.waiter});
        if (found == m_waiting.end())
            return;
        const auto workspace = found->second;
        m_waiting.erase(found);
        if (settled.granted)
            return start_operation(index, workspace, *settled.granted);
        ++m_counts[workspace].refused;
    }

    // A few operations turn out not to run, and return their tokens.
    void start_operation(std::size_t index, const std::string& workspace,
                         const quota::token& token)
    {
        if (chance(m_loss))
        {
            m_hosts[index].requester->give_back(workspace, token, m_now);
            return carry_out(index);
        }
        const auto left = token.valid_until - m_now;
        auto when = m_now;
        if (m_late > 0)
            when =
                chance(0.3)
                    ? token.valid_until
                    : m_now + left *
                                  static_cast<std::int64_t>(m_random() % 1000) /
                                  1000;
        if (when < m_postponed_to && m_postponed_to <= token.valid_until)
            when = m_postponed_to;
        m_counts[workspace].starts.push_back(when);
    }

    void schedule_operation(const std::string& workspace)
    {
        const auto rate = m_loads.at(workspace).rate_per_s;
        if (rate <= 0)
            return;
        std::exponential_distribution<double> gap(rate);
        const auto generation = m_generations[workspace];
        at(m_now + std::chrono::duration_cast<core::boot_clock::duration>(
                       std::chrono::duration<double>(gap(m_random))),
           [this, workspace, generation] {
               if (m_generations[workspace] != generation)
                   return;
               issue(workspace);
               schedule_operation(workspace);
           });
    }

    void issue(const std::string& workspace)
    {
        auto index = m_random() % m_hosts.size();
        if (m_moving)
        {
            const auto phase = static_cast<std::size_t>(
                m_now.time_since_epoch() / std::chrono::seconds(3));
            index = index / domains * domains + phase % domains;
            index = std::min(index, m_hosts.size() - 1);
        }
        auto& target = m_hosts[index];
        if (m_now < target.frozen_until)
            return;
        auto& counted = m_counts[workspace];
        ++counted.issued;
        const auto waiter = ++m_last_waiter;
        m_waiting[{index, waiter}] = workspace;
        if (const auto token = target.requester->take(workspace, waiter, m_now))
        {
            m_waiting.erase({index, waiter});
            start_operation(index, workspace, *token);
        }
        carry_out(index);
    }

    // The largest limit that any host may have known since the requests for
    // tokens that may have been used in the window.
    double bound_of(const std::string& workspace, boot_instant first,
                    boot_instant last, const quota::quota_bounds& bounds) const
    {
        double most = 0;
        const auto& changes = m_changes.at(workspace);
        for (auto change = changes.rbegin(); change != changes.rend(); ++change)
        {
            if (change->announced > last)
                continue;
            most = std::max(most, quota::max_operations(change->limit, bounds));
            if (change->since <= first - bounds.token_life)
                break;
        }
        return most;
    }

    quota::quota_bounds m_bounds;
    std::mt19937_64 m_random;
    boot_instant m_now{std::chrono::seconds(1000)};
    std::priority_queue<step> m_steps;
    std::uint64_t m_last_step{0};
    std::vector<host> m_hosts;
    std::map<std::string, load> m_loads;
    /// Number of the present stream of operations, by workspace.
    std::map<std::string, std::uint64_t> m_generations;
    boot_instant m_postponed_to{};
    quota::limits_by_workspace m_limits;
    std::vector<pending_change> m_pending;
    std::map<std::string, std::vector<limit_change>> m_changes;
    /// Workspaces of waiting operations, by host and waiter.
    std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_waiting;
    std::uint64_t m_last_waiter{0};
    std::map<std::string, counts> m_counts;
    std::uint64_t m_messages{0};
    double m_loss{0};
    double m_late{0};
    bool m_moving{false};
    std::optional<std::size_t> m_cut;
};

} // namespace support
