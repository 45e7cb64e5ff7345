#include "site.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <thread>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t copies = 3;
constexpr unsigned store_address = 1;
constexpr unsigned first_host_address = 10;
constexpr unsigned first_database_address = 100;
constexpr unsigned store_port = 8783;
constexpr unsigned caller_port = 8784;
constexpr unsigned ready_port = 8785;
constexpr unsigned database_port = 5432;

// A case ends after this time in any event.
constexpr unsigned time_limit_s = 115;

constexpr int max_connections = 47;
// For the settings. Here a change is written within the shorter time.
constexpr ms heartbeat_interval{1200};
constexpr ms announce_interval{50};
constexpr ms promotion_time{300};
constexpr ms start_limit{20'000};

} // namespace

case_options case_options::from(int argc, char** argv)
{
    case_options options;
    if (argc != 4)
    {
        std::cerr << "usage: " << argv[0] << " POOLD FOLDER RECORD\n";
        std::exit(static_cast<int>(verdict::not_run));
    }
    options.poold = argv[1];
    options.folder = argv[2];
    options.record_path = argv[3];
    const char* trouble = std::getenv("TROUBLE");
    options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
    // The processes of the hosts end with this one, and this one with the shell
    // that started it, also when that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::alarm(time_limit_s);
    return options;
}

site::site(record& log, case_options options)
    : m_record(log), m_options(std::move(options))
{
}

void site::end_processes()
{
    while (!m_processes.empty())
        kill_host(m_processes.begin()->first);
}

void site::kill_host(std::size_t number)
{
    const auto found = m_processes.find(number);
    if (found == m_processes.end())
        return;
    ::kill(found->second, SIGKILL);
    ::waitpid(found->second, nullptr, 0);
    m_processes.erase(found);
    m_record.line("host " + std::to_string(number) + " is killed");
}

tcp::endpoint site::address(unsigned last, unsigned port) const
{
    return {asio::ip::make_address(m_network + std::to_string(last)),
            static_cast<std::uint16_t>(port)};
}

tcp::endpoint site::host(std::size_t number) const
{
    return address(first_host_address + static_cast<unsigned>(number),
                   caller_port);
}

// The store's address shows whether another run uses the network.
bool site::take_addresses()
{
    const auto first = static_cast<unsigned>(::getpid());
    constexpr unsigned tries = 50;
    for (unsigned i = 0; i < tries; ++i)
    {
        const auto number = first + i * 7919;
        m_network = "127." + std::to_string(2 + number % 97) + "." +
                    std::to_string(1 + number / 97 % 251) + ".";
        try
        {
            m_store = std::make_unique<store>(
                m_record, address(store_address, store_port),
                [this](const std::string& service, const std::string& id) {
                    return promote(service, id);
                });
            return true;
        }
        catch (const boost::system::system_error&)
        {
            continue;
        }
    }
    return false;
}

bool site::start(const std::vector<std::string>& services,
                 const std::vector<route>& routes, std::size_t hosts)
{
    if (!take_addresses())
        return false;
    m_services = services;
    unsigned next = first_database_address;
    for (const auto& service : services)
    {
        auto& group = m_groups[service] = std::make_unique<database_group>();
        group->service = service;
        for (std::size_t i = 0; i < copies; ++i)
            group->members.push_back(std::make_unique<database>(
                m_record, *group, service + "-" + std::to_string(i),
                address(next++, database_port)));
        const std::lock_guard lock(group->mutex);
        group->members.front()->lead(1);
    }
    configure(routes);
    announce_all();
    std::thread([this] {
        for (;;)
        {
            std::this_thread::sleep_for(announce_interval);
            announce_all();
        }
    }).detach();
    for (std::size_t i = 0; i < hosts; ++i)
        start_host(i, true);
    const auto end = steady::now() + start_limit;
    for (std::size_t i = 0; i < hosts; ++i)
        while (!is_ready(i))
        {
            if (steady::now() > end)
                return false;
            std::this_thread::sleep_for(ms(100));
        }
    m_record.line("all hosts are ready");
    return true;
}

void site::start_host(std::size_t number, bool is_first_start)
{
    m_record.line("host " + std::to_string(number) + " starts");
    const auto ip = host(number).address().to_string();
    const auto name = "front-skt-a-" + std::to_string(number + 1);
    const auto store_text = m_network + std::to_string(store_address) + ":" +
                            std::to_string(store_port);
    const json::object settings{
        {"node", name},
        {"role", "proxy"},
        {"machine_class", "front"},
        {"serves", {"front"}},
        {"ip", ip},
        {"zone", "skt-a"},
        {"region", "punjab-north"},
        {"zones", {{"skt-a", "punjab-north"}}},
        {"listen",
         {{"front", ip + ":" + std::to_string(caller_port)},
          {"ready", ip + ":" + std::to_string(ready_port)}}},
        {"internal_ports", {7440, 7455}},
        {"first_start", is_first_start},
        {"limits",
         {{"cpu_share", 0.17},
          {"cores", 1},
          {"memory_mb", 182},
          {"file_descriptors", 3010},
          {"link_mbps", 700.0}}},
        {"heartbeat_ms", heartbeat_interval.count()},
        {"bounds",
         {{"contact_ms", 4000},
          {"drain_ms", 7000},
          {"grace_s", 6},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 3000},
          {"fencing_required", false}}},
        {"platform", {{"address", store_text}, {"form", "table"}}},
        {"cloud", {{"address", store_text}, {"duties", {"promotion"}}}}};
    const auto path = m_options.folder + "/" + name + ".json";
    std::ofstream(path) << json::serialize(settings);
    const auto log = m_options.folder + "/" + name + ".log";
    const auto parent = ::getpid();
    const auto process = ::fork();
    if (process == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(EXIT_FAILURE);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                S_IRUSR | S_IWUSR);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::setenv("PLANTAINWARD_SETTINGS", path.c_str(), 1);
        ::execl(m_options.poold.c_str(), m_options.poold.c_str(), nullptr);
        ::_exit(errno);
    }
    m_processes[number] = process;
}

bool site::is_ready(std::size_t number) const
{
    asio::io_context io;
    tcp::socket socket(io);
    error_code error;
    socket.connect({host(number).address(), ready_port}, error);
    std::string answer;
    if (!error)
        asio::write(socket,
                    asio::buffer(std::string("GET /readiness HTTP/1.1\r\n"
                                             "Host: h\r\n"
                                             "Connection: close\r\n\r\n")),
                    error);
    if (!error)
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", error);
    return answer.starts_with("HTTP/1.1 200");
}

void site::configure(const std::vector<route>& routes)
{
    json::array rows;
    std::string text;
    for (const auto& item : routes)
    {
        json::object row{{"host", item.database},
                         {"service", item.service},
                         {"kind", item.kind},
                         {"timeout_ms", item.timeout_ms},
                         {"target_latency_ms", item.target_ms},
                         {"priority", item.priority}};
        if (item.max_staleness_ms > 0)
            row["max_staleness_ms"] = item.max_staleness_ms;
        rows.push_back(std::move(row));
        text +=
            ", " + item.database + " (" + item.kind + ") at " + item.service;
    }
    json::array services;
    for (const auto& name : m_services)
        services.push_back(json::object{{"name", name},
                                        {"max_connections", max_connections},
                                        {"sync_replicas", 0}});
    m_version += 3;
    m_store->put("op", "config",
                 json::object{{"version", m_version},
                              {"routes", std::move(rows)},
                              {"services", std::move(services)},
                              {"limits", {{"transaction_idle_ms", 3000}}}});
    m_record.line("configuration " + std::to_string(m_version) +
                  " is acknowledged" + text);
}

void site::announce(const database_group& group, const database& member)
{
    json::object entry{
        {"service", group.service},
        {"address", member.address().address().to_string() + ":" +
                        std::to_string(member.address().port())},
        {"zone", "skt-a"},
        {"version", "1"},
        {"slots", 3},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"sequence", 1},
        {"born", member.born()},
        {"database_role", member.is_primary() ? "primary" : "replica"}};
    const std::lock_guard lock(m_entries_mutex);
    auto& written = m_entries[member.id()];
    if (written != entry && m_store->put("servers", member.id(), entry))
        written = std::move(entry);
}

void site::remove_entry(const database& member)
{
    m_store->remove("servers", member.id());
    m_record.line("the entry of " + member.id() + " is removed");
}

void site::announce_all()
{
    for (const auto& [name, group] : m_groups)
    {
        const std::lock_guard lock(group->mutex);
        for (const auto& member : group->members)
            if (member->is_running())
                announce(*group, *member);
    }
}

int site::promote(const std::string& service, const std::string& id)
{
    constexpr int accepted = 200;
    constexpr int not_running = 409;
    const auto found = m_groups.find(service);
    if (found == m_groups.end())
        return not_running;
    auto& group = *found->second;
    for (const auto& member : group.members)
    {
        if (member->id() != id || !member->is_running())
            continue;
        std::this_thread::sleep_for(promotion_time);
        const std::lock_guard lock(group.mutex);
        if (group.leader != member.get())
            member->lead(group.term + 1);
        return accepted;
    }
    return not_running;
}

void site::finish(verdict result, const std::string& text)
{
    m_record.line(text);
    std::cout << text << std::endl;
    end_processes();
    std::_Exit(static_cast<int>(result));
}

} // namespace review
