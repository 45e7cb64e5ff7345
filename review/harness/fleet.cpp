#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <future>
#include <set>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>

namespace review
{

namespace
{

// A promotion takes effect this long after its call.
constexpr millis promotion_time{300};

constexpr millis start_limit{15'000};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

bool is_free(std::uint16_t port, int type)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    const bool free =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0;
    ::close(socket);
    return free;
}

/// A port that is free for TCP and UDP and was not given out before. Taken
/// below the range of ports for outgoing connections.
std::uint16_t free_port()
{
    static std::uint16_t next =
        static_cast<std::uint16_t>(20'000 + ::getpid() % 300 * 40);
    for (;;)
    {
        ++next;
        if (next > 32'000)
            next = 20'000;
        if (is_free(next, SOCK_STREAM) && is_free(next, SOCK_DGRAM))
            return next;
    }
}

std::string at(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

fleet::fleet(std::string proxy, std::string work_folder, record& log,
             fleet_options options)
    : m_proxy(std::move(proxy)), m_folder(std::move(work_folder)), m_log(log),
      m_options(options), m_work(m_io.get_executor())
{
    m_group.service = "nibledger";
    m_group.primary = "db-0";
    m_store_port = free_port();
    m_store = std::make_unique<store>(
        m_io, m_store_port, log,
        [this](const std::string&, const std::string& id, const std::string&,
               std::uint64_t token) { return promote(id, token); });
    for (int i = 0; i < 3; ++i)
    {
        const auto id = "db-" + std::to_string(i);
        const auto port = free_port();
        m_database_ports.push_back(port);
        m_databases.push_back(std::make_unique<database>(
            m_io, id, port, m_group, m_options.database, log));
    }
    for (const auto& database : m_databases)
    {
        std::vector<review::database*> peers;
        for (const auto& other : m_databases)
            if (other != database)
                peers.push_back(other.get());
        database->set_peers(std::move(peers));
    }
    m_group.sync_replicas = m_options.sync_replicas;
    for (std::size_t i = 0; i < m_options.hosts; ++i)
    {
        host added;
        added.caller_port = free_port();
        added.ready_port = free_port();
        added.internal_port = free_port();
        m_hosts.push_back(added);
    }
    put_configuration(1);
    for (std::size_t i = 0; i < 3; ++i)
        put_registration(i, "ready");
    m_thread = std::thread([this] { m_io.run(); });
}

fleet::~fleet()
{
    for (auto& host : m_hosts)
    {
        if (host.process <= 0)
            continue;
        ::kill(host.process, SIGKILL);
        ::waitpid(host.process, nullptr, 0);
    }
    m_io.stop();
    m_thread.join();
}

// Each database reports a change of its role at once.
void fleet::report_roles()
{
    for (std::size_t i = 0; i < m_databases.size(); ++i)
        if (m_databases[i]->is_running())
            put_registration(i, m_states[i]);
}

void fleet::put_registration(std::size_t database, const std::string& state)
{
    m_states[database] = state;
    const auto& id = m_databases[database]->id();
    m_store->put("servers", id,
                 R"({"service":"nibledger","address":")" +
                     at(m_database_ports[database]) + R"(","zone":"zone-)" +
                     std::to_string(database) + R"(","version":"v1","slots":)" +
                     std::to_string(m_options.database.slots) +
                     R"(,"state":")" + state +
                     R"(","cold_remaining_ms":0,"database_role":")" +
                     (m_group.primary == id ? "primary" : "replica") +
                     R"(","born":)" + std::to_string(m_born[database]) +
                     R"(,"sequence":)" + std::to_string(++m_sequence) + "}");
}

void fleet::put_configuration(int version)
{
    const auto route = [](const char* name, const char* kind, int timeout_ms,
                          int target_ms, int priority, const char* age) {
        return std::string(R"({"name":"r-)") + name + R"(","host":")" + name +
               R"(","prefix":"/","kind":")" + kind + R"(","timeout_ms":)" +
               std::to_string(timeout_ms) + R"(,"target_latency_ms":)" +
               std::to_string(target_ms) + R"(,"priority":)" +
               std::to_string(priority) +
               R"(,"service":"nibledger","max_attempts":2)" + age + "}";
    };
    m_store->put(
        "op", "config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
            route("cards", "primary", m_options.cards_timeout_ms, 150, 1, "") +
            "," +
            route("specs", "bounded_staleness", m_options.specs_timeout_ms, 500,
                  2, R"(,"max_staleness_ms":1500)") +
            R"(],"services":[{"name":"nibledger","health_path":"/health",)"
            R"("max_connections":)" +
            std::to_string(m_options.database.max_connections) +
            R"(,"protocol":"h1","tls":false,"sync_replicas":)" +
            std::to_string(m_options.sync_replicas) +
            R"(}],"limits":)"
            R"({"max_header_bytes":16384,"max_body_bytes":262144,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000,)"
            R"("transaction_idle_ms":3000}})");
}

std::string fleet::settings_of(std::size_t index, bool is_first_start) const
{
    const auto& host = m_hosts[index];
    return R"({"node":"front-zone-)" + std::to_string(index % 3) + "-" +
           std::to_string(index) +
           R"(","role":"proxy","machine_class":"front","serves":["front"],)"
           R"("ip":"127.0.0.1","zone":"zone-)" +
           std::to_string(index % 3) +
           R"(","region":"region","zones":{"zone-0":"region","zone-1":)"
           R"("region","zone-2":"region"},"listen":{"front":")" +
           at(host.caller_port) + R"(","ready":")" + at(host.ready_port) +
           R"("},"internal_ports":[)" + std::to_string(host.internal_port) +
           "," + std::to_string(host.internal_port) +
           R"(],"seeds":[],"first_start":)" +
           (is_first_start ? "true" : "false") +
           R"(,"counts_as_loss":false,"limits":{"cpu_share":0.17,"cores":1,)"
           R"("memory_mb":182,"file_descriptors":3010,"link_mbps":700.0,)"
           R"("disk_mb":0},"data_directory":null,"discovery":"platform",)"
           R"("entry":"virtual_ip","heartbeat_ms":1200,"contracts":["base",)"
           R"("drain","config","cost","recover","sql","platform"],)"
           R"("tolerate":{"machines":2,"zones":0,"regions":0},"bounds":)"
           R"({"seed_lag_s":3,"address_reuse_s":2,"contact_ms":4000,)"
           R"("ack_timeout_ms":5000,"catch_up_s":4,"drain_ms":7000,)"
           R"("grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,)"
           R"("downgrade_slack_ms":250,"outer_bound_ms":12000,)"
           R"("recovery_s":12,"fencing_required":false,)"
           R"("thaw_slack_ms":300},"platform":{"address":")" +
           at(m_store_port) +
           R"(","form":"table","writes_per_s":400,"reads_per_s":2000,)"
           R"("transaction_ms":8.0,"partition_writes_s":150,)"
           R"("row_bytes":65536,"across":false,"history_s":20,)"
           R"("blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0},)"
           R"("cloud":{"address":")" +
           at(m_store_port) +
           R"(","rate_per_s":50.0,"duties":["promotion"],)"
           R"("duty_per_s":50.0}})";
}

void fleet::start_host(std::size_t host, bool is_first_start)
{
    const auto name = m_folder + "/host-" + std::to_string(host);
    const auto settings = name + ".json";
    std::ofstream(settings) << settings_of(host, is_first_start);
    const auto log = name + ".log";
    // Prepared before the fork: the child of a process with several threads
    // must not allocate memory.
    const auto variable = "PLANTAINWARD_SETTINGS=" + settings;
    std::array<char*, 2> arguments{const_cast<char*>(m_proxy.c_str()), nullptr};
    std::array<char*, 2> environment{const_cast<char*>(variable.c_str()),
                                     nullptr};
    const auto child = ::fork();
    if (child == 0)
    {
        // Ends with this program, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(m_proxy.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    m_hosts[host].process = child;
    m_log.line("host " + std::to_string(host) + " starts, process " +
               std::to_string(child));
}

void fleet::signal_host(std::size_t host, int number)
{
    m_log.line("host " + std::to_string(host) + " gets signal " +
               std::to_string(number));
    ::kill(m_hosts[host].process, number);
}

bool fleet::has_ended(std::size_t host)
{
    auto& process = m_hosts[host].process;
    if (process <= 0)
        return true;
    int status = 0;
    if (::waitpid(process, &status, WNOHANG) != process)
        return false;
    process = -1;
    m_log.line("host " + std::to_string(host) + " has ended, status " +
               std::to_string(status));
    return true;
}

int fleet::readiness(std::size_t host) const
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const auto address = loopback(m_hosts[host].ready_port);
    const std::string request = "GET /readiness HTTP/1.1\r\nHost: "
                                "127.0.0.1\r\nConnection: close\r\n\r\n";
    char answer[64] = {};
    const bool answered =
        ::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
        ::recv(socket, answer, sizeof answer - 1, 0) > 12;
    ::close(socket);
    return answered ? std::stoi(std::string(answer).substr(9, 3)) : 0;
}

bool fleet::start(std::size_t count)
{
    count = std::min(count, m_hosts.size());
    for (std::size_t i = 0; i < count; ++i)
        start_host(i, true);
    const auto limit = steady::now() + start_limit;
    for (std::size_t i = 0; i < count; ++i)
        while (readiness(i) != 200)
        {
            if (steady::now() > limit)
                return false;
            std::this_thread::sleep_for(millis(50));
        }
    m_log.line("the hosts are ready");
    return true;
}

void fleet::run(const std::function<void()>& function)
{
    std::promise<void> done;
    boost::asio::post(m_io, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

int fleet::promote(const std::string& id, std::uint64_t token)
{
    m_last_token = std::max(m_last_token, token);
    if (m_group.primary == id)
        return 200;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_io, promotion_time);
    timer->async_wait([this, id, timer](boost::system::error_code) {
        for (const auto& candidate : m_databases)
            if (candidate->id() == id && candidate->is_running())
                candidate->lead();
        if (m_group.primary == id)
            report_roles();
    });
    return 200;
}

} // namespace review
