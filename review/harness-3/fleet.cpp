#include "fleet.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review
{

namespace
{

constexpr int ports_per_host = 4;

} // namespace

fleet::fleet(fleet_options options, record& out)
    : m_options(std::move(options)), m_record(out)
{
    std::filesystem::create_directories(m_options.folder);
}

fleet::~fleet()
{
    while (!m_processes.empty())
        kill(m_processes.begin()->first);
}

std::string fleet::name(int host) const
{
    return "host-" + std::to_string(host);
}

std::uint16_t fleet::port(int host, int offset) const
{
    return static_cast<std::uint16_t>(m_options.first_port +
                                      host * ports_per_host + offset);
}

std::uint16_t fleet::caller_port(int host) const
{
    return port(host, 0);
}

std::string fleet::settings(int host, bool is_first_start) const
{
    const auto address = [&](int offset) {
        return "\"" + m_options.ip + ":" + std::to_string(port(host, offset)) +
               "\"";
    };
    const auto& zone =
        m_options
            .zones[static_cast<std::size_t>(host) % m_options.zones.size()];
    return "{\"node\":\"" + name(host) +
           "\",\"role\":\"proxy\",\"machine_class\":\"front\",\"serves\":"
           "[\"front\"],\"ip\":\"" +
           m_options.ip + "\",\"zone\":\"" + zone +
           "\",\"region\":\"r\",\"listen\":{\"front\":" + address(0) +
           ",\"ready\":" + address(1) + "},\"internal_ports\":[" +
           std::to_string(port(host, 2)) + "," + std::to_string(port(host, 3)) +
           "],\"seeds\":[],\"first_start\":" +
           (is_first_start ? "true" : "false") +
           ",\"limits\":{\"cpu_share\":0.17,\"cores\":1,\"memory_mb\":182,"
           "\"file_descriptors\":3010,\"link_mbps\":700.0},"
           "\"data_directory\":null,\"heartbeat_ms\":1200,\"bounds\":" +
           m_options.bounds + ",\"platform\":{\"address\":\"" +
           m_options.store_address +
           "\",\"form\":\"table\"},\"cloud\":"
           "{\"address\":\"" +
           m_options.store_address + "\",\"duties\":[\"promotion\"]}}";
}

void fleet::start(int host, bool is_first_start)
{
    const auto path = m_options.folder + "/" + name(host) + ".json";
    std::ofstream(path) << settings(host, is_first_start);
    const auto log = m_options.folder + "/" + name(host) + ".log";
    const auto pid = ::fork();
    if (pid == 0)
    {
        // The process ends with this one, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::setenv("PLANTAINWARD_SETTINGS", path.c_str(), 1);
        ::execl(m_options.program.c_str(), m_options.program.c_str(), nullptr);
        std::_Exit(127);
    }
    m_processes[host] = pid;
    m_record.line(name(host) + " starts");
}

void fleet::signal(int host, int number)
{
    m_record.line(name(host) + " gets signal " + std::to_string(number));
    ::kill(m_processes.at(host), number);
}

void fleet::kill(int host)
{
    const auto pid = m_processes.at(host);
    m_record.line(name(host) + " is killed");
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    m_processes.erase(host);
}

bool fleet::has_ended(int host)
{
    const auto found = m_processes.find(host);
    if (found == m_processes.end())
        return true;
    int status = 0;
    if (::waitpid(found->second, &status, WNOHANG) != found->second)
        return false;
    m_record.line(name(host) + " has ended, status " + std::to_string(status));
    m_processes.erase(found);
    return true;
}

bool fleet::is_ready(int host) const
{
    const int fd = connect_to(m_options.ip, port(host, 1));
    if (fd < 0)
        return false;
    stream channel(fd);
    channel.write("GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto line = channel.read_line(1000);
    return line && line->find(" 200") != std::string::npos;
}

bool fleet::wait_ready(std::int64_t timeout_ms)
{
    const auto end_ms = now_ms() + timeout_ms;
    while (now_ms() < end_ms)
    {
        int ready = 0;
        for (const auto& [host, pid] : m_processes)
            ready += is_ready(host) ? 1 : 0;
        if (ready == static_cast<int>(m_processes.size()))
            return true;
        sleep_ms(100);
    }
    return false;
}

std::unique_ptr<caller_session>
caller_session::open(const fleet& hosts, int host, const std::string& database,
                     record& out, const std::string& key)
{
    const int fd = connect_to(hosts.ip(), hosts.caller_port(host));
    if (fd < 0)
        return nullptr;
    std::unique_ptr<caller_session> opened(
        new caller_session(fd, hosts.name(host), out));
    opened->m_channel.write("START " + database + " " + key + "\r\n");
    const auto line = opened->m_channel.read_line(2000);
    if (!line || !line->starts_with("READY"))
        return nullptr;
    return opened;
}

void caller_session::send(const std::string& id, const std::string& text)
{
    m_sent_ms[id] = now_ms();
    m_record.line("sent to " + m_host + ": " + id + " \"" + text + "\"");
    m_channel.write("QUERY " + id + " " + text + "\r\n");
}

reply caller_session::receive(const std::string& id, std::int64_t timeout_ms)
{
    reply result;
    result.sent_ms = m_sent_ms[id];
    result.error = "none";
    const auto end_ms = now_ms() + timeout_ms;
    std::string error;
    while (auto line = m_channel.read_line(
               std::max<std::int64_t>(1, end_ms - now_ms())))
    {
        auto rest = *line;
        const auto word = take_word(rest);
        if (word == "ROW")
            result.rows.push_back(rest);
        else if (word == "DONE")
            result.signature = rest;
        else if (word == "ERROR")
            error = take_word(rest);
        else if (word == "READY")
        {
            result.state = take_word(rest);
            result.error = error;
            break;
        }
    }
    result.answered_ms = now_ms();
    m_record.line(
        "answered by " + m_host + ": " + id + " " +
        (result.error.empty() ? "DONE " + result.signature : result.error) +
        (result.rows.empty() ? "" : ", row " + result.rows.front()));
    return result;
}

reply caller_session::run(const std::string& id, const std::string& text,
                          std::int64_t timeout_ms)
{
    send(id, text);
    return receive(id, timeout_ms);
}

std::string new_id(const std::string& prefix)
{
    static std::atomic<int> count{0};
    return prefix + "-" + std::to_string(++count);
}

} // namespace review
