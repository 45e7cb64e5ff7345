#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <memory>
#include <tuple>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace soak
{

namespace
{

constexpr unsigned short caller_port = 8784;
constexpr unsigned short readiness_port = 8785;
constexpr unsigned short store_port = 8783;
constexpr unsigned short database_port = 7300;

// Last bytes of the addresses.
constexpr std::size_t first_host = 10;
constexpr std::size_t first_database = 100;
constexpr std::size_t first_store = 180;

constexpr std::chrono::seconds grace_time{6};
constexpr std::chrono::seconds probe_interval{1};
constexpr std::chrono::milliseconds restart_time{300};
constexpr unsigned misses_to_leave = 2;

tcp::endpoint endpoint_of(const std::string& ip, unsigned short port)
{
    return {asio::ip::make_address(ip), port};
}

std::string text_of(const tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

std::string address_block::host_ip(std::size_t host) const
{
    return prefix + std::to_string(first_host + host);
}

tcp::endpoint address_block::caller(std::size_t host) const
{
    return endpoint_of(host_ip(host), caller_port);
}

tcp::endpoint address_block::readiness(std::size_t host) const
{
    return endpoint_of(host_ip(host), readiness_port);
}

tcp::endpoint address_block::store(std::size_t host) const
{
    return endpoint_of(prefix + std::to_string(first_store + host), store_port);
}

tcp::endpoint address_block::database(std::size_t slot) const
{
    return endpoint_of(prefix + std::to_string(first_database + slot),
                       database_port);
}

fleet::fleet(asio::io_context& io, recorder& record, store& rows,
             address_block addresses, std::string proxy, std::string folder)
    : m_io(io), m_record(record), m_store(rows),
      m_addresses(std::move(addresses)), m_proxy(std::move(proxy)),
      m_folder(std::move(folder))
{
}

fleet::~fleet()
{
    for (const auto& item : m_hosts)
    {
        if (item.process <= 0)
            continue;
        ::kill(item.process, SIGKILL);
        ::waitpid(item.process, nullptr, 0);
    }
}

std::optional<std::size_t> fleet::add(const std::string& zone,
                                      bool is_first_start)
{
    const auto index = m_hosts.size();
    if (!m_store.listen(index, m_addresses.store(index)))
        return std::nullopt;
    host added;
    added.zone = zone;
    added.name = "front-" + zone + "-" + std::to_string(index);
    added.is_first_start = is_first_start;
    m_record.events().host_names.push_back(added.name);
    m_hosts.push_back(std::move(added));
    start(index);
    if (m_is_watching)
        spawn(m_io, [this, index] { return probe(index); });
    return index;
}

void fleet::remove(std::size_t index)
{
    m_hosts[index].is_member = false;
    m_hosts[index].is_stopped = true;
    kill(index);
}

void fleet::watch()
{
    m_is_watching = true;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        spawn(m_io, [this, i] { return probe(i); });
    spawn(m_io, [this] { return reap(); });
}

void fleet::start(std::size_t index)
{
    auto& item = m_hosts[index];
    const auto base = m_folder + "/" + item.name;
    // A file that is truncated and written again may be flushed at its close,
    // which can block for seconds; hence a file for each start.
    const auto settings =
        base + "-" + std::to_string(item.incarnation + 1) + ".json";
    std::ofstream(settings) << settings_of(index);
    item.is_first_start = false;
    const auto log = base + ".log";
    const auto variable = "PLANTAINWARD_SETTINGS=" + settings;
    std::array<char*, 2> arguments{const_cast<char*>(m_proxy.c_str()), nullptr};
    std::array<char*, 2> environment{const_cast<char*>(variable.c_str()),
                                     nullptr};
    const auto parent = ::getpid();
    const auto child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int file =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(m_proxy.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    item.process = child;
    item.is_stopped = false;
    ++item.incarnation;
    m_record.line(item.name + " starts, process " + std::to_string(child));
}

void fleet::kill(std::size_t index)
{
    auto& item = m_hosts[index];
    if (item.process <= 0)
        return;
    m_record.line(item.name + " gets SIGKILL");
    ::kill(item.process, SIGKILL);
    ::waitpid(item.process, nullptr, 0);
    item.process = -1;
}

void fleet::signal(std::size_t index, int number)
{
    const auto& item = m_hosts[index];
    m_record.line(item.name + " gets signal " + std::to_string(number));
    if (item.process > 0)
        ::kill(item.process, number);
}

task fleet::roll(std::size_t index)
{
    disrupt(index, "term", grace_time + restart_time);
    const auto incarnation = m_hosts[index].incarnation;
    m_hosts[index].is_stopped = true;
    signal(index, SIGTERM);
    const auto limit =
        m_record.now() + grace_time / std::chrono::microseconds(1);
    while (m_hosts[index].process > 0 && m_record.now() < limit)
        co_await pause(std::chrono::milliseconds(20));
    if (m_hosts[index].incarnation != incarnation || !m_hosts[index].is_member)
        co_return;
    kill(index);
    co_await pause(restart_time);
    if (m_hosts[index].incarnation != incarnation || !m_hosts[index].is_member)
        co_return;
    disrupt(index, "start");
    start(index);
}

task fleet::freeze(std::size_t index, std::chrono::microseconds time)
{
    disrupt(index, "freeze", time + std::chrono::milliseconds(100));
    signal(index, SIGSTOP);
    co_await pause(time);
    signal(index, SIGCONT);
}

void fleet::disrupt(std::size_t index, const std::string& kind,
                    std::chrono::microseconds time)
{
    const auto now = m_record.now();
    m_record.events().disruptions.push_back(
        {index, kind, now, now + time.count()});
    m_record.line("disruption " + kind + " of " +
                  (index < m_hosts.size()       ? m_hosts[index].name
                   : index == disruption::store ? "the store"
                                                : "all hosts") +
                  " for " + std::to_string(time.count() / 1000) + " ms");
}

std::vector<std::size_t> fleet::members() const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        if (m_hosts[i].is_member)
            found.push_back(i);
    return found;
}

bool fleet::are_all_ready() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const host& item) {
        return !item.is_member || item.is_in_rotation;
    });
}

std::optional<std::size_t> fleet::choose(const std::string& zone,
                                         std::size_t hash) const
{
    std::vector<std::size_t> all;
    std::vector<std::size_t> ready;
    std::vector<std::size_t> elsewhere;
    for (const auto index : members())
    {
        const auto& item = m_hosts[index];
        if (item.zone == zone)
            all.push_back(index);
        if (item.is_in_rotation)
            (item.zone == zone ? ready : elsewhere).push_back(index);
    }
    const auto& candidates = ready.empty()                   ? elsewhere
                             : ready.size() * 2 < all.size() ? all
                                                             : ready;
    if (candidates.empty())
        return std::nullopt;
    return candidates[hash % candidates.size()];
}

task fleet::probe(std::size_t index)
{
    for (;;)
    {
        const bool is_ok = co_await is_ready(index);
        auto& item = m_hosts[index];
        item.missed_probes = is_ok ? 0 : item.missed_probes + 1;
        if (is_ok)
            item.is_in_rotation = true;
        else if (item.missed_probes >= misses_to_leave)
            item.is_in_rotation = false;
        co_await pause(probe_interval);
    }
}

asio::awaitable<bool> fleet::is_ready(std::size_t index)
{
    if (m_hosts[index].process <= 0)
        co_return false;
    tcp::socket socket(m_io);
    asio::steady_timer timer(m_io);
    timer.expires_after(probe_interval);
    const auto is_done = std::make_shared<bool>(false);
    timer.async_wait([&socket, is_done](error_code error) {
        error_code ignored;
        if (!error && !*is_done)
            socket.close(ignored);
    });
    const std::string message =
        "GET /readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
    std::array<char, 12> start{};
    auto [error] =
        co_await socket.async_connect(m_addresses.readiness(index), use_result);
    if (!error)
        std::tie(error, std::ignore) = co_await asio::async_write(
            socket, asio::buffer(message), use_result);
    if (!error)
        std::tie(error, std::ignore) =
            co_await asio::async_read(socket, asio::buffer(start), use_result);
    *is_done = true;
    co_return !error && std::string(start.data() + 9, 3) == "200";
}

// A process that ends by itself is started again.
task fleet::reap()
{
    for (;;)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
        {
            auto& item = m_hosts[i];
            int status = 0;
            if (item.process <= 0 ||
                ::waitpid(item.process, &status, WNOHANG) != item.process)
                continue;
            item.process = -1;
            m_record.line(item.name + " has ended, status " +
                          std::to_string(status));
            if (item.is_stopped)
                continue;
            m_record.events().notes.emplace_back(
                m_record.now(), item.name + " ended by itself, status " +
                                    std::to_string(status));
            spawn(m_io, [this, i]() -> task {
                co_await pause(restart_time);
                if (m_hosts[i].process <= 0 && !m_hosts[i].is_stopped)
                    start(i);
            });
        }
        co_await pause(std::chrono::milliseconds(20));
    }
}

std::string fleet::settings_of(std::size_t index) const
{
    const auto& item = m_hosts[index];
    const auto ip = m_addresses.host_ip(index);
    const auto platform = text_of(m_addresses.store(index));
    return R"({"node":")" + item.name +
           R"(","role":"proxy","machine_class":"front","serves":["front"],)"
           R"("ip":")" +
           ip + R"(","zone":")" + item.zone +
           R"(","region":"punjab-north","zones":{"skt-a":"punjab-north",)"
           R"("skt-b":"punjab-north","skt-c":"punjab-north"},"listen":)"
           R"({"front":")" +
           text_of(m_addresses.caller(index)) + R"(","ready":")" +
           text_of(m_addresses.readiness(index)) +
           R"("},"internal_ports":[7440,7455],"seeds":[],"first_start":)" +
           (item.is_first_start ? "true" : "false") +
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
           platform +
           R"(","form":"table","writes_per_s":400,"reads_per_s":2000,)"
           R"("transaction_ms":8.0,"partition_writes_s":150,)"
           R"("row_bytes":65536,"across":false,"history_s":20,)"
           R"("blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0},)"
           R"("cloud":{"address":")" +
           platform +
           R"(","rate_per_s":50.0,"duties":["promotion"],)"
           R"("duty_per_s":50.0}})";
}

} // namespace soak
