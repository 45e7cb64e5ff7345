// Compares rules that divide reads among databases, in a simulation without a
// network. Set BALANCER_TABLE in the environment to print all figures.

#include <plantainward/fleet/connection_plan.hpp>
#include <plantainward/pooling/balancer.hpp>
#include <plantainward/pooling/database_load.hpp>
#include <plantainward/pooling/load_reports.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::millis;

namespace
{

enum class rule
{
    present,
    chosen,
    own_domain,
    least_delay,
    two_choices,
    spare_capacity,
    rendezvous
};

enum class trouble
{
    none,
    slow,
    failing,
    joining
};

constexpr std::size_t database_count = 3;
constexpr std::size_t slots = 4;
constexpr double run_ms = 20'000;
constexpr double event_ms = 5'000; // When the trouble of the run begins.
constexpr double snapshot_ms = 50;
constexpr double heartbeat_ms = 300;
constexpr std::array<double, database_count> service_ms{12, 15, 18};

struct setting
{
    rule used;
    trouble fault;
    std::size_t hosts;
    double age_ms;
};

struct outcome
{
    double idle_share; // Time with a free slot here and a queue elsewhere.
    double p50;
    double p99;
    std::size_t longest_queue;
    double third_share;   // Share of the answers that the third database gave.
    double refused_share; // Refused attempts for each answer.
    double other_domain_share; // Answers of databases in other domains.
};

boot_instant instant(double ms)
{
    return boot_instant(std::chrono::microseconds(
        static_cast<std::int64_t>((ms + 100'000) * 1000)));
}

struct statement
{
    std::size_t holder{0};
    double arrived{0};
    double sent{0};
    std::size_t excluded{database_count};
};

struct event
{
    double at;
    enum class kind
    {
        arrival,
        finish,
        refusal
    } what;
    std::size_t database{0};
    statement job{};

    bool operator>(const event& other) const { return at > other.at; }
};

class simulation
{
public:
    explicit simulation(const setting& values)
        : m_setting(values), m_holders(holder_weights(values.hosts)),
          m_loads(m_holders.size()), m_busy(m_holders.size()),
          m_reports(m_holders.size())
    {
    }

    outcome run()
    {
        m_events.push({0, event::kind::arrival});
        while (!m_events.empty() && m_events.top().at < run_ms)
        {
            const auto next = m_events.top();
            m_events.pop();
            advance(next.at);
            handle(next);
        }
        std::sort(m_delays.begin(), m_delays.end());
        const auto at = [&](double part) {
            return m_delays[static_cast<std::size_t>(
                part * static_cast<double>(m_delays.size() - 1))];
        };
        const auto all = m_answers[0] + m_answers[1] + m_answers[2];
        return {m_idle_ms / (run_ms - event_ms),
                at(0.5),
                at(0.99),
                m_longest_queue,
                static_cast<double>(m_answers[2]) / static_cast<double>(all),
                static_cast<double>(m_refused) / static_cast<double>(all),
                static_cast<double>(m_crossed) / static_cast<double>(all)};
    }

private:
    using counts = std::vector<std::array<std::size_t, database_count>>;

    // Number of hosts whose reads each holder runs.
    std::vector<double> holder_weights(std::size_t host_count)
    {
        fleet::members hosts;
        for (std::size_t i = 0; i < host_count; ++i)
            hosts["host" + std::to_string(i)] = {
                {}, "domain" + std::to_string(i % 3), i < 6 ? 500U : 84U};
        const auto plan = fleet::divide_connections(
            "ledger", host_count <= 27 ? 47 : 112, hosts, {}, {});
        std::map<std::string, double> weights;
        for (const auto& [name, host] : hosts)
        {
            const auto delegates = plan.delegates_of(name, host.failure_domain);
            weights[delegates.empty() ? name : delegates.front()] += 1;
        }
        std::vector<double> result;
        for (const auto& [name, weight] : weights)
        {
            result.push_back(weight);
            m_domains.push_back(hosts.at(name).failure_domain.back() - '0');
        }
        return result;
    }

    double service_time(std::size_t database) const
    {
        const bool has_begun = m_now >= event_ms;
        if (database != 2 || m_setting.fault == trouble::none ||
            m_setting.fault == trouble::failing)
            return service_ms[database];
        if (m_setting.fault == trouble::slow)
            return service_ms[database] * (has_begun ? 5 : 1);
        // A database that has just joined has to fill its cache.
        return service_ms[database] * (m_now < event_ms + 3000 ? 3 : 1);
    }

    bool is_present(std::size_t database) const
    {
        return database != 2 || m_setting.fault != trouble::joining ||
               m_now >= event_ms;
    }

    bool fails(std::size_t database) const
    {
        return database == 2 && m_setting.fault == trouble::failing &&
               m_now >= event_ms;
    }

    // 75% of the capacity that is there; 80% of two databases before and after
    // a third one joins.
    double arrival_rate_per_ms() const
    {
        double capacity = 0;
        if (m_setting.fault == trouble::joining)
            return 0.80 * static_cast<double>(slots) *
                   (1 / service_ms[0] + 1 / service_ms[1]);
        for (std::size_t i = 0; i < database_count; ++i)
            if (is_present(i) && !fails(i))
                capacity += static_cast<double>(slots) / service_time(i);
        return 0.75 * capacity;
    }

    void advance(double at)
    {
        const auto has_queue = [&](std::size_t i) {
            return is_present(i) && !m_queues[i].empty();
        };
        const auto has_slot = [&](std::size_t i) {
            return is_present(i) && !fails(i) && m_running[i] < slots;
        };
        const bool is_uneven = (has_queue(0) || has_queue(1) || has_queue(2)) &&
                               (has_slot(0) || has_slot(1) || has_slot(2));
        if (is_uneven && m_now >= event_ms)
            m_idle_ms += at - m_now;
        m_now = at;
        for (; m_snapshot_at <= at; m_snapshot_at += snapshot_ms)
            m_snapshots.push_back(m_busy);
        for (; m_heartbeat_at <= at; m_heartbeat_at += heartbeat_ms)
            report(m_heartbeat_at - m_setting.age_ms);
    }

    const counts& snapshot(double at) const
    {
        return m_snapshots[static_cast<std::size_t>(at / snapshot_ms)];
    }

    void report(double at)
    {
        if (at < 0)
            return;
        for (std::size_t to = 0; to < m_holders.size(); ++to)
            for (std::size_t from = 0; from < m_holders.size(); ++from)
                for (std::size_t i = 0; from != to && i < database_count; ++i)
                    m_reports[to][i].add(std::to_string(from),
                                         snapshot(at)[from][i], instant(at));
    }

    // All statements in flight at a database as of the last report, with those
    // of one holder as of now.
    double sum_in_flight(std::size_t holder, std::size_t database) const
    {
        auto sum = static_cast<double>(m_busy[holder][database]);
        const auto at = m_now - m_setting.age_ms;
        for (std::size_t i = 0; at >= 0 && i < m_holders.size(); ++i)
            if (i != holder)
                sum += static_cast<double>(snapshot(at)[i][database]);
        return sum;
    }

    void handle(const event& next)
    {
        switch (next.what)
        {
        case event::kind::arrival:
            m_events.push({m_now + std::exponential_distribution<>(
                                       arrival_rate_per_ms())(m_arrivals),
                           event::kind::arrival});
            return place({std::discrete_distribution<std::size_t>(
                              m_holders.begin(), m_holders.end())(m_arrivals),
                          m_now, m_now});
        case event::kind::refusal:
            return handle_refusal(next.database, next.job);
        case event::kind::finish:
            return finish(next.database, next.job);
        }
    }

    void handle_refusal(std::size_t database, statement job)
    {
        ++m_refused;
        --m_busy[job.holder][database];
        m_loads[job.holder][database].record_failure(instant(m_now));
        job.excluded = database;
        place(job);
    }

    void finish(std::size_t database, const statement& job)
    {
        m_loads[job.holder][database].record_success(
            millis(static_cast<int>(m_now - job.sent)), instant(m_now));
        --m_busy[job.holder][database];
        --m_running[database];
        if (m_now >= event_ms)
        {
            m_delays.push_back(m_now - job.arrived);
            ++m_answers[database];
            m_crossed += m_domains[job.holder] == database ? 0 : 1;
        }
        if (m_queues[database].empty())
            return;
        const auto next = m_queues[database].front();
        m_queues[database].pop_front();
        start(database, next);
    }

    void start(std::size_t database, const statement& job)
    {
        ++m_running[database];
        m_events.push({m_now + 3 +
                           std::exponential_distribution<>(
                               1 / service_time(database))(m_random),
                       event::kind::finish, database, job});
    }

    void place(statement job)
    {
        const auto chosen = choose(job);
        ++m_busy[job.holder][chosen];
        job.sent = m_now;
        if (fails(chosen))
            return m_events.push(
                {m_now + 3, event::kind::refusal, chosen, job});
        if (m_running[chosen] < slots)
            return start(chosen, job);
        m_queues[chosen].push_back(job);
        if (m_now >= event_ms)
            m_longest_queue =
                std::max(m_longest_queue, m_queues[chosen].size());
    }

    read_candidate candidate(std::size_t holder, std::size_t database)
    {
        const auto now = instant(m_now);
        auto& load = m_loads[holder][database];
        if (m_setting.fault == trouble::joining && database == 2 &&
            m_now >= event_ms && !m_has_started[holder])
        {
            m_has_started[holder] = true;
            load.start(now);
        }
        read_candidate result;
        result.observed_ms = load.observed_ms(now);
        result.success_share = load.success_share();
        result.own_in_flight = m_busy[holder][database];
        result.start_share = load.start_share(now);
        result.is_in_own_domain =
            m_setting.used != rule::own_domain || m_domains[holder] == database;
        result.reported_in_flight =
            m_reports[holder][database].mean_in_flight(now).value_or(1);
        return result;
    }

    std::size_t choose(const statement& job)
    {
        std::vector<read_candidate> candidates;
        std::vector<std::size_t> ids;
        for (std::size_t i = 0; i < database_count; ++i)
            if (is_present(i) && i != job.excluded)
            {
                candidates.push_back(candidate(job.holder, i));
                ids.push_back(i);
            }
        return ids[choose_from(job.holder, candidates, ids)];
    }

    std::size_t choose_from(std::size_t holder,
                            const std::vector<read_candidate>& candidates,
                            const std::vector<std::size_t>& ids)
    {
        const auto lowest = [&](const auto& cost) {
            std::size_t best = 0;
            for (std::size_t i = 1; i < candidates.size(); ++i)
                if (cost(i) < cost(best))
                    best = i;
            return best;
        };
        const auto weighted = [&](const auto& weight) {
            std::vector<double> weights;
            for (std::size_t i = 0; i < candidates.size(); ++i)
                weights.push_back(weight(i));
            return std::discrete_distribution<std::size_t>(
                weights.begin(), weights.end())(m_random);
        };
        // Expected time behind all statements in flight; the rules that use it
        // are given the true number of slots and time.
        const auto expected_delay = [&](std::size_t i) {
            const auto turns = (sum_in_flight(holder, ids[i]) + 1) /
                               static_cast<double>(slots);
            return service_time(ids[i]) * std::max(1.0, turns) /
                   candidates[i].success_share;
        };
        switch (m_setting.used)
        {
        case rule::present:
            return lowest([&](std::size_t i) {
                return candidates[i].observed_ms *
                       static_cast<double>(candidates[i].own_in_flight + 1);
            });
        case rule::least_delay:
            return lowest(expected_delay);
        case rule::two_choices:
        {
            const auto first = weighted([](std::size_t) { return 1; });
            const auto second = weighted([&](std::size_t i) {
                return i == first && candidates.size() > 1 ? 0 : 1;
            });
            return expected_delay(first) < expected_delay(second) ? first
                                                                  : second;
        }
        case rule::spare_capacity:
            // This rule is given the true number of slots and time.
            return weighted([&](std::size_t i) {
                const auto spare = static_cast<double>(slots) * 2 -
                                   sum_in_flight(holder, ids[i]);
                return std::max(0.1, spare) / service_time(ids[i]) *
                       candidates[i].success_share;
            });
        case rule::rendezvous:
            return weighted([&](std::size_t i) {
                return candidates[i].success_share / candidates[i].observed_ms;
            });
        case rule::chosen:
        case rule::own_domain:
            break;
        }
        return *balancer::choose(candidates, ++m_number);
    }

    setting m_setting;
    std::vector<std::size_t> m_domains; // Each has one database.
    std::vector<double> m_holders;
    std::vector<std::array<database_load, database_count>> m_loads;
    counts m_busy;
    std::vector<std::array<load_reports, database_count>> m_reports;
    std::vector<counts> m_snapshots;
    double m_snapshot_at{0};
    double m_heartbeat_at{0};
    std::map<std::size_t, bool> m_has_started;
    std::array<std::size_t, database_count> m_running{};
    std::array<std::deque<statement>, database_count> m_queues;
    std::array<std::size_t, database_count> m_answers{};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::mt19937_64 m_random{17};
    std::mt19937_64 m_arrivals{18}; // The same arrivals for all rules.
    std::vector<double> m_delays;
    std::uint64_t m_number{0};
    double m_now{0};
    double m_idle_ms{0};
    std::size_t m_longest_queue{0};
    std::size_t m_refused{0};
    std::size_t m_crossed{0};
};

outcome simulate(rule used, trouble fault, std::size_t hosts, double age_ms)
{
    return simulation({used, fault, hosts, age_ms}).run();
}

} // namespace

TEST_GROUP(balancer_load){};

TEST(balancer_load, table_of_all_rules)
{
    // Prints only; the design note docs/design/even-load.md has the figures.
    if (std::getenv("BALANCER_TABLE") == nullptr)
        return;
    constexpr std::array rules{"present",     "chosen",      "own domain",
                               "least delay", "two choices", "spare capacity",
                               "rendezvous"};
    constexpr std::array faults{"none", "slow", "failing", "joining"};
    for (std::size_t fault = 0; fault < faults.size(); ++fault)
        for (const std::size_t hosts : {15, 27, 115, 550})
            for (const double age_ms : {100, 500, 2000})
                for (std::size_t used = 0; used < rules.size(); ++used)
                {
                    const auto result =
                        simulate(static_cast<rule>(used),
                                 static_cast<trouble>(fault), hosts, age_ms);
                    std::printf("| %s | %zu | %.1f | %s | %.1f%% | %.0f | %.0f "
                                "| %zu | %.1f%% | %.1f%% | %.1f%% |\n",
                                faults[fault], hosts, age_ms / 1000,
                                rules[used], result.idle_share * 100,
                                result.p50, result.p99, result.longest_queue,
                                result.third_share * 100,
                                result.refused_share * 100,
                                result.other_domain_share * 100);
                }
}

TEST(balancer_load, reads_do_not_all_move_to_the_database_of_an_old_report)
{
    // Failure: holders that follow the sum of old reports choose the same
    // database until the next report; the 99th percentile exceeded 300 ms.
    for (const std::size_t hosts : {15, 27, 115, 550})
        for (const double age_ms : {100, 500, 2000})
        {
            const auto chosen =
                simulate(rule::chosen, trouble::none, hosts, age_ms);
            CHECK(chosen.p99 < 120);
            CHECK(chosen.longest_queue < 30);
        }
}

TEST(balancer_load, a_slow_database_keeps_no_more_than_its_share)
{
    // Failure: a database at a fifth of its rate has 7.5% of the capacity; an
    // even split queues reads there for seconds.
    for (const std::size_t hosts : {15, 27, 115, 550})
    {
        const auto chosen = simulate(rule::chosen, trouble::slow, hosts, 500);
        CHECK(chosen.third_share < 0.075);
        CHECK(chosen.p99 < 250);
    }
}

TEST(balancer_load, a_database_that_fails_at_once_attracts_no_work)
{
    // Failure: failures are fast and leave nothing in flight, so the database
    // looks idle and gets most of the reads.
    for (const std::size_t hosts : {15, 27, 115, 550})
    {
        const auto chosen =
            simulate(rule::chosen, trouble::failing, hosts, 500);
        CHECK(chosen.refused_share < 0.03);
        CHECK(chosen.p99 < 140);
    }
}

TEST(balancer_load, a_database_that_has_joined_is_not_flooded)
{
    // Failure: a new database has nothing in flight, so all holders move their
    // reads to its cold cache.
    for (const std::size_t hosts : {15, 27, 115, 550})
    {
        const auto chosen =
            simulate(rule::chosen, trouble::joining, hosts, 500);
        CHECK(chosen.third_share > 0.1);
        CHECK(chosen.longest_queue < 60);
    }
}
