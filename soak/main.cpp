// plantainward_soak: real proxy processes under recorded traffic and faults.

#include "caller.hpp"
#include "checker.hpp"
#include "fault_plan.hpp"
#include "fleet.hpp"
#include "routing.hpp"
#include "upstreams.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>
#include <string>

#include <tclap/CmdLine.h>
#include <unistd.h>

namespace
{

using namespace soak;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::seconds quiet_end{2};

struct options
{
    std::string proxy;
    std::size_t hosts{15};
    std::size_t services{3};
    std::size_t sessions{292};
    std::chrono::seconds time{45};
    std::uint64_t seed{1};
    std::set<std::string> faults;
    std::string record;
    bool has_odd_shapes{false};
};

std::set<std::string> faults_of(const std::string& text)
{
    const auto names = fault_plan::names();
    if (text == "all")
        return {names.begin(), names.end()};
    std::set<std::string> chosen;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');)
    {
        if (word == "none")
            continue;
        if (std::find(names.begin(), names.end(), word) == names.end())
            throw TCLAP::ArgException("no such fault: " + word, "faults");
        chosen.insert(word);
    }
    return chosen;
}

options parse(int argc, char** argv)
{
    TCLAP::CmdLine line("Soak of plantainward_poold processes", ' ', "1");
    TCLAP::ValueArg<std::string> proxy("", "proxy", "program", true, "", "path",
                                       line);
    TCLAP::ValueArg<std::size_t> hosts("", "hosts", "hosts", false, 15, "count",
                                       line);
    TCLAP::ValueArg<std::size_t> services("", "services", "services", false, 3,
                                          "count", line);
    TCLAP::ValueArg<std::size_t> sessions("", "sessions", "callers", false, 292,
                                          "count", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "length of the traffic", false,
                                 45, "seconds", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false, 1, "number",
                                        line);
    TCLAP::ValueArg<std::string> faults("", "faults", "list, none or all",
                                        false, "all", "names", line);
    TCLAP::ValueArg<std::string> record("", "record", "file of the record",
                                        false, "", "path", line);
    TCLAP::SwitchArg odd_shapes("", "odd-shapes",
                                "some prepared shapes have blanks", line);
    line.parse(argc, argv);
    return {proxy.getValue(),
            hosts.getValue(),
            services.getValue(),
            sessions.getValue(),
            std::chrono::seconds(seconds.getValue()),
            seed.getValue(),
            faults_of(faults.getValue()),
            record.getValue(),
            odd_shapes.getValue()};
}

// The zones have 7, 4 and 4 of 15 hosts, and 88, 120 and 84 of 292 callers.
std::string zone_of_host(std::size_t index)
{
    constexpr std::array<const char*, 15> zones{
        "skt-a", "skt-b", "skt-c", "skt-a", "skt-b", "skt-c", "skt-a", "skt-b",
        "skt-c", "skt-a", "skt-b", "skt-c", "skt-a", "skt-a", "skt-a"};
    return zones[index % zones.size()];
}

std::string zone_of_caller(std::size_t index)
{
    const auto place = index * 37 % 73;
    return place < 22 ? "skt-a" : place < 52 ? "skt-b" : "skt-c";
}

/// Addresses that no other run uses: the store's first one is taken already.
address_block block_of_process()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return {"127." + std::to_string(100 + pid % 100) + "." +
            std::to_string(pid / 100 % 250) + "."};
}

/// One run.
class soak_run
{
public:
    explicit soak_run(options chosen)
        : m_options(std::move(chosen)), m_record(m_options.record),
          m_databases{m_io, m_record, m_options.seed, {}, {}},
          m_store(m_io, m_record, m_options.seed,
                  [this](const std::string& service, const std::string& id) {
                      return m_services.promote(service, id);
                  }),
          m_services(m_databases, m_store, m_addresses, m_options.seed),
          m_hosts(m_io, m_record, m_store, m_addresses, m_options.proxy,
                  folder())
    {
    }

    void end_hosts()
    {
        for (const auto host : m_hosts.members())
            m_hosts.kill(host);
        m_record.flush();
    }

    int play()
    {
        std::vector<std::string> services;
        for (std::size_t i = 0; i < m_options.services; ++i)
        {
            services.push_back("service" + std::to_string(i + 1));
            if (!m_services.add_service(services.back()))
                return exit_not_run;
        }
        m_routes = std::make_unique<routing>(m_record, m_store, m_options.seed,
                                             services);
        m_faults = std::make_unique<fault_plan>(
            m_io, m_record, m_hosts, m_databases, m_services, m_store,
            *m_routes, m_options.seed);
        for (std::size_t i = 0; i < m_options.hosts; ++i)
            if (!m_hosts.add(zone_of_host(i), true))
                return exit_not_run;
        m_hosts.watch();
        spawn(m_io, [this] { return watch_stalls(); });
        bool is_ready = false;
        spawn(m_io, [&]() -> task {
            is_ready = co_await wait_ready();
            if (is_ready)
                co_await traffic();
            m_io.stop();
        });
        m_io.run();
        if (!is_ready)
        {
            std::cerr << "plantainward_soak: the hosts are not ready\n";
            return exit_not_run;
        }
        m_services.mark_kept();
        return judge();
    }

private:
    std::string folder() const
    {
        auto path = m_options.record.empty()
                        ? "/tmp/soak-" + std::to_string(::getpid())
                        : m_options.record + ".hosts";
        std::filesystem::create_directories(path);
        return path;
    }

    // What this program cannot do in time, the store and the databases don't
    // do either.
    task watch_stalls()
    {
        constexpr std::chrono::milliseconds tick{20};
        constexpr instant max_delay = from_ms(150);
        for (auto last = m_record.now();;)
        {
            co_await pause(tick);
            const auto now = m_record.now();
            if (now - last > max_delay)
            {
                for (const auto host :
                     {disruption::store, disruption::all_hosts})
                    m_record.events().disruptions.push_back(
                        {host, "stall", last, now});
                m_record.events().notes.emplace_back(
                    last,
                    "stall of " + std::to_string((now - last) / 1000) + " ms");
            }
            last = now;
        }
    }

    asio::awaitable<bool> wait_ready()
    {
        const auto limit =
            m_record.now() + start_limit / std::chrono::microseconds(1);
        while (!m_hosts.are_all_ready() && m_record.now() < limit)
            co_await pause(std::chrono::milliseconds(50));
        co_return m_hosts.are_all_ready();
    }

    task traffic()
    {
        m_record.line("the hosts are ready");
        m_callers = std::make_unique<caller_world>(
            caller_world{m_io, m_record, m_hosts, *m_routes, m_options.seed,
                         m_options.has_odd_shapes});
        for (std::size_t i = 0; i < m_options.sessions; ++i)
        {
            m_sessions.push_back(
                std::make_unique<caller>(*m_callers, i, zone_of_caller(i)));
            spawn(m_io, [one = m_sessions.back().get()] { return one->run(); });
        }
        co_await pause(std::chrono::seconds(2));
        m_faults->start(m_options.faults,
                        m_options.time - std::chrono::seconds(4));
        co_await pause(m_options.time - std::chrono::seconds(2));
        m_callers->is_stopping = true;
        co_await pause(quiet_end);
    }

    int judge()
    {
        const auto& events = m_record.events();
        std::cout << "seed " << m_options.seed << ", hosts " << m_options.hosts
                  << ", " << m_options.time.count()
                  << " s: " << events.requests.size() << " requests, "
                  << events.runs.size() << " statements at databases, "
                  << events.commits.size() << " commits, "
                  << m_callers->succeeded << " operations served, "
                  << m_callers->failed << " not, "
                  << events.configurations.size() << " configurations, "
                  << events.notes.size() << " own ends and stalls\n";
        for (const auto& [at, text] : events.notes)
            std::cout << "note: " << at / 1000 << " ms " << text << '\n';
        int code = exit_held;
        for (const auto& found : checker(events).check())
        {
            std::cout << found.rule << ": " << found.count << '\n';
            for (const auto& text : found.cases)
                std::cout << "    " << text << '\n';
            if (found.is_broken_rule)
                code = exit_broken;
        }
        if (code == exit_held)
            std::cout << "no rule broken\n";
        return code;
    }

    options m_options;
    asio::io_context m_io{1};
    recorder m_record;
    address_block m_addresses{block_of_process()};
    database_world m_databases;
    store m_store;
    upstreams m_services;
    fleet m_hosts;
    std::unique_ptr<routing> m_routes;
    std::unique_ptr<fault_plan> m_faults;
    std::unique_ptr<caller_world> m_callers;
    std::vector<std::unique_ptr<caller>> m_sessions;
};

} // namespace

int main(int argc, char** argv)
{
    try
    {
        // A write to a closed connection must not end the program.
        std::signal(SIGPIPE, SIG_IGN);
        soak_run run(parse(argc, argv));
        const auto code = run.play();
        run.end_hosts();
        // Suspended coroutines refer to parts of the run, so nothing of it is
        // destroyed.
        std::cout.flush();
        std::_Exit(code);
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << "plantainward_soak: " << error.error() << '\n';
    }
    catch (const std::exception& error)
    {
        std::cerr << "plantainward_soak: " << error.what() << '\n';
    }
    return exit_not_run;
}
