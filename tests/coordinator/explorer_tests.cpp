#include <support/history_checker.hpp>
#include <support/simulation.hpp>

#include <cstdio>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

constexpr int counters = 3;
constexpr int sessions = 6;
constexpr core::millis run_time{12'000};

struct caller_session
{
    int number{0};
    std::map<int, upstream::log_point> token;
    bool busy{false};
};

/// Callers that add to counters and read them through random gateways.
class counter_load
{
public:
    counter_load(simulation& simulated, history_checker& history)
        : m_simulation(simulated), m_history(history)
    {
        for (int i = 0; i < sessions; ++i)
        {
            m_sessions.push_back({i, {}, false});
            schedule_next(i);
        }
    }

    void stop() { m_running = false; }

private:
    std::uint64_t random_below(std::uint64_t limit)
    {
        return m_simulation.random()() % limit;
    }

    void schedule_next(int session)
    {
        m_simulation.after(core::millis(1 + random_below(40)), [this, session] {
            if (!m_running)
                return;
            start_request(session);
        });
    }

    void start_request(int session)
    {
        counter_event event;
        event.session = session;
        event.counter = "counter/" + std::to_string(random_below(counters));
        event.started = m_simulation.now();
        auto request = make_request({});
        request.time_left = core::millis(50 + random_below(3000));
        request.session = m_sessions[session].token[0];
        const auto choice = random_below(10);
        if (choice < 5)
        {
            const auto label = "add-" + std::to_string(++m_last_id);
            const bool has_id = random_below(5) > 0;
            event.id = label;
            request.id = has_id ? label : "";
            // The label is written in the same transaction, so that the log
            // shows how often the add ran.
            request.statements = {
                {upstream::verb::add, event.counter, "", 1},
                {upstream::verb::add, "label/" + label, "", 1}};
        }
        else
        {
            event.operation = choice < 7   ? counter_event::kind::latest_read
                              : choice < 9 ? counter_event::kind::session_read
                                           : counter_event::kind::aged_read;
            request.required_freshness =
                choice < 7   ? coordinator::freshness::latest
                : choice < 9 ? coordinator::freshness::session
                             : coordinator::freshness::max_age;
            event.max_age = core::millis(100 + random_below(1000));
            request.max_age = event.max_age;
            request.statements = {{upstream::verb::get, event.counter, "", 0}};
        }
        send(session, event, request, 0);
    }

    void send(int session, const counter_event& event,
              const coordinator::caller_request& request, int attempt)
    {
        m_simulation.send(
            static_cast<int>(random_below(2)), request,
            [=, this](const coordinator::caller_reply& reply) {
                auto seen = event;
                seen.answered = m_simulation.now();
                seen.ran = reply.error ? core::answer_for(*reply.error).ran
                                       : core::effect::done;
                if (!reply.error && !reply.results.empty() &&
                    !reply.results[0].rows.empty())
                    seen.value =
                        std::atoll(reply.results[0].rows[0].value.c_str());
                auto& token = m_sessions[session].token[0];
                if (!reply.error)
                    token = std::max(token, reply.seen);
                m_history.record(seen);
                // A caller repeats a request of unknown outcome with the same
                // id.
                const bool is_repeated = seen.ran == core::effect::unknown &&
                                         !request.id.empty() && attempt < 2;
                if (is_repeated && m_running)
                    return send(session, event, request, attempt + 1);
                schedule_next(session);
            });
    }

    simulation& m_simulation;
    history_checker& m_history;
    std::vector<caller_session> m_sessions;
    int m_last_id{0};
    bool m_running{true};
};

/// Injects random faults at random intervals.
class random_faults
{
public:
    explicit random_faults(simulation& simulated) : m_simulation(simulated)
    {
        schedule_next();
    }
    void stop() { m_running = false; }

private:
    std::uint64_t random_below(std::uint64_t limit)
    {
        return m_simulation.random()() % limit;
    }

    void schedule_next()
    {
        m_simulation.after(core::millis(50 + random_below(900)), [this] {
            if (!m_running)
                return;
            inject();
            schedule_next();
        });
    }

    void inject()
    {
        const int database = static_cast<int>(random_below(3));
        const int host = static_cast<int>(random_below(2));
        const core::millis length(100 + random_below(2500));
        switch (random_below(9))
        {
        case 0:
            m_simulation.cut(host, database, true);
            m_simulation.after(
                length, [=, this] { m_simulation.cut(host, database, false); });
            break;
        case 1:
            m_simulation.cut_replication(database, true);
            m_simulation.after(length, [=, this] {
                m_simulation.cut_replication(database, false);
            });
            break;
        case 2:
            m_simulation.freeze_database(database, true);
            m_simulation.after(length, [=, this] {
                m_simulation.freeze_database(database, false);
            });
            break;
        case 3:
            m_simulation.kill_database(database);
            m_simulation.after(
                length, [=, this] { m_simulation.restart_database(database); });
            break;
        case 4:
            m_simulation.pause_host(host, length);
            break;
        case 5:
            m_simulation.kill_host(host);
            break;
        case 6:
            m_simulation.set_lag(database, core::millis(random_below(400)));
            break;
        case 7:
            m_simulation.lose_next_answer(database);
            break;
        default:
            m_simulation.set_leaving(database, true);
            m_simulation.after(length, [=, this] {
                m_simulation.set_leaving(database, false);
            });
            break;
        }
    }

    simulation& m_simulation;
    bool m_running{true};
};

std::vector<std::string> explore(std::uint64_t seed, std::size_t& done)
{
    simulation_options options;
    options.seed = seed;
    simulation fleet(options);
    fleet.run_for(core::millis(1000));
    history_checker history;
    counter_load load(fleet, history);
    random_faults faults(fleet);
    fleet.run_for(run_time);
    faults.stop();
    load.stop();
    fleet.heal();

    std::vector<std::string> found;
    const auto primary = fleet.primary();
    if (!primary)
        return {"there is no primary after all faults have ended"};
    std::map<std::string, int> applied;
    std::map<std::string, std::int64_t> finals;
    for (const auto& entry : fleet.database(*primary).member(0).log())
        for (const auto& [key, value] : entry.writes)
        {
            if (key.starts_with("label/"))
                applied[key.substr(6)] = std::atoi(value->c_str());
            else
                finals[key] = std::atoll(value->c_str());
        }
    done += history.done();
    return history.check(applied, finals);
}

std::uint64_t setting(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// Runs concurrent callers under random faults, to find combinations that the
// other tests lack. EXPLORER_SEED sets the first seed, EXPLORER_RUNS the number
// of runs.
TEST_GROUP(explorer){};

TEST(explorer, random_faults_violate_no_guarantee)
{
    const auto first = setting("EXPLORER_SEED", 1);
    const auto count = setting("EXPLORER_RUNS", 40);
    std::size_t done = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        const auto faults = explore(seed, done);
        for (const auto& fault : faults)
            std::printf("seed %llu: %s\n",
                        static_cast<unsigned long long>(seed), fault.c_str());
        CHECK_TEXT(faults.empty(),
                   "a guarantee was violated; the seed is printed above");
    }
    std::printf("(%zu answered requests in %llu runs) ", done,
                static_cast<unsigned long long>(count));
    CHECK(done > count * 500);
}
