#include "fleet.hpp"

#include <support/loopback.hpp>

#include <plantainward/intent/applier.hpp>
#include <plantainward/intent/bundle.hpp>
#include <plantainward/platform/http_platform.hpp>
#include <plantainward/platform/wire.hpp>
#include <plantainward/upstream/wire.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bench
{

namespace json = boost::json;
namespace platform = plantainward::platform;
namespace intent = plantainward::intent;

namespace
{

constexpr int databases_per_service = 3;
constexpr const char* peer_key = "bench-peer-key-001";
constexpr core::millis request_timeout{2000};
constexpr core::millis start_timeout{30'000};

core::address loopback(int port)
{
    return {support::loopback_ip(), static_cast<std::uint16_t>(port)};
}

} // namespace

bool wait_until(core::millis timeout, const std::function<bool()>& condition)
{
    const auto deadline = core::steady::now() + timeout;
    while (!condition())
    {
        if (core::steady::now() > deadline)
            return false;
        std::this_thread::sleep_for(core::millis(5));
    }
    return true;
}

std::optional<json::value> post(const core::address& server,
                                const std::string& target,
                                const std::string& body)
{
    const auto result = http::send_and_wait(server, {"POST", target, {}, body},
                                            request_timeout);
    if (result.outcome != http::exchange_outcome::answered)
        return std::nullopt;
    boost::system::error_code parse_error;
    auto value = json::parse(result.body, parse_error);
    return parse_error ? std::nullopt : std::optional(std::move(value));
}

std::unique_ptr<fleet> fleet::start(const shape& fleet_shape,
                                    const std::string& program_folder,
                                    const std::string& log_folder)
{
    std::filesystem::create_directories(log_folder);
    ::setenv("PLANTAINWARD_TOKEN_KEYS", "bench-token-key-01", 1);
    ::setenv("PLANTAINWARD_PEER_KEY", peer_key, 1);
    std::unique_ptr<fleet> started(
        new fleet(fleet_shape, program_folder, log_folder));
    if (started->start_all() && started->wait_ready())
        return started;
    std::cerr << "the fleet did not start; see " << log_folder << '\n';
    return nullptr;
}

std::unique_ptr<fleet> fleet::start_databases(const shape& fleet_shape,
                                              const std::string& program_folder,
                                              const std::string& log_folder)
{
    std::filesystem::create_directories(log_folder);
    std::unique_ptr<fleet> started(
        new fleet(fleet_shape, program_folder, log_folder));
    return started->start_all() ? std::move(started) : nullptr;
}

std::string fleet::service(int index) const
{
    return m_fleet_shape.service_prefix + "-" + std::to_string(index);
}

core::address fleet::caller_address(int proxy) const
{
    return loopback(24'000 + proxy);
}

core::address fleet::admin_address(int proxy) const
{
    return loopback(26'000 + proxy);
}

core::address fleet::database_address(int index) const
{
    return loopback(22'100 + index);
}

core::host fleet::host(int proxy) const
{
    const auto& domains = m_fleet_shape.failure_domains;
    return {"entry-" + std::to_string(proxy),
            domains[static_cast<std::size_t>(proxy) % domains.size()],
            caller_address(proxy), loopback(25'000 + proxy)};
}

bool fleet::start_database(int index)
{
    auto database = process::start(
        {m_program_folder + "/standins/standin_databased", "--listen",
         core::to_string(database_address(index)), "--slots",
         std::to_string(m_fleet_shape.slots), "--connections",
         std::to_string(m_fleet_shape.connections), "--delay-ms",
         std::to_string(m_fleet_shape.database_delay_ms), "--lag-ms",
         std::to_string(m_fleet_shape.lag_ms)},
        m_log_folder + "/database-" + std::to_string(index) + ".log");
    if (!database)
        return false;
    if (index < databases())
        m_databases[index] = std::move(*database);
    else
        m_databases.push_back(std::move(*database));
    return true;
}

bool fleet::start_proxy(int index)
{
    const auto self = host(index);
    std::vector<std::string> arguments{m_program_folder +
                                           "/programs/plantainwardd",
                                       "--host-name",
                                       self.name,
                                       "--failure-domain",
                                       self.failure_domain,
                                       "--caller-address",
                                       core::to_string(self.caller),
                                       "--peer-address",
                                       core::to_string(self.peer),
                                       "--admin-address",
                                       core::to_string(admin_address(index)),
                                       "--platform-address",
                                       core::to_string(platform_address())};
    arguments.insert(arguments.end(), m_fleet_shape.proxy_flags.begin(),
                     m_fleet_shape.proxy_flags.end());
    auto proxy =
        process::start(arguments, m_log_folder + "/" + self.name + ".log");
    if (!proxy)
        return false;
    if (index < proxies())
        m_proxies[index] = std::move(*proxy);
    else
        m_proxies.push_back(std::move(*proxy));
    return true;
}

bool fleet::start_all()
{
    m_platform =
        process::start({m_program_folder + "/standins/standin_platformd",
                        "--listen", core::to_string(platform_address())},
                       m_log_folder + "/platform.log");
    if (!m_platform)
        return false;
    for (int i = 0; i < m_fleet_shape.services * databases_per_service; ++i)
        if (!start_database(i))
            return false;
    const bool is_up = wait_until(start_timeout, [this] {
        return http::send_and_wait(platform_address(),
                                   {"GET", "/hosts", {}, {}}, request_timeout)
                   .outcome == http::exchange_outcome::answered;
    });
    if (!is_up)
        return false;
    list_hosts({});
    if (!apply({}, false))
        return false;
    for (int i = 0; i < m_fleet_shape.proxies; ++i)
        if (!start_proxy(i))
            return false;
    return true;
}

bool fleet::wait_ready() const
{
    for (int service = 0; service < m_fleet_shape.services; ++service)
        for (int slot = 0; slot < m_fleet_shape.slots; ++slot)
            if (!wait_until_replicated(service, slot, start_timeout))
                return false;
    for (int i = 0; i < proxies(); ++i)
    {
        const auto sees_all = [&] {
            const auto status = http::send_and_wait(
                admin_address(i), {"GET", "/admin/status", {}, {}},
                request_timeout);
            boost::system::error_code parse_error;
            const auto value = json::parse(status.body, parse_error);
            return !parse_error && value.is_object() &&
                   static_cast<int>(value.at("live").as_array().size()) ==
                       proxies() &&
                   value.at("revision").to_number<int>() > 0;
        };
        if (!wait_until(start_timeout, sees_all))
            return false;
    }
    return true;
}

std::optional<upstream::slot_status> fleet::status(int database, int slot) const
{
    const auto result =
        http::send_and_wait(database_address(database),
                            {"POST",
                             "/control",
                             {},
                             upstream::wire::encode(upstream::control_order{})},
                            request_timeout);
    const auto decoded = upstream::wire::decode_control_result(result.body);
    if (!decoded || slot >= static_cast<int>(decoded->status.size()))
        return std::nullopt;
    return decoded->status[static_cast<std::size_t>(slot)];
}

std::optional<int> fleet::primary(int service, int slot) const
{
    std::optional<int> found;
    upstream::term_number highest_term = 0;
    for (int i = 0; i < databases_per_service; ++i)
    {
        const int database = service * databases_per_service + i;
        const auto current = status(database, slot);
        if (!current || current->acting != upstream::role::primary ||
            current->granted < highest_term)
            continue;
        highest_term = current->granted;
        found = database;
    }
    return found;
}

bool fleet::wait_until_replicated(int service, int slot,
                                  core::millis timeout) const
{
    return wait_until(timeout, [&] {
        std::vector<upstream::slot_status> members;
        for (int i = 0; i < databases_per_service; ++i)
            if (const auto member =
                    status(service * databases_per_service + i, slot))
                members.push_back(*member);
        if (members.size() != databases_per_service)
            return false;
        int primaries = 0;
        for (const auto& member : members)
        {
            if (member.granted != members[0].granted ||
                member.last != members[0].last || member.granted == 0)
                return false;
            primaries += member.acting == upstream::role::primary ? 1 : 0;
        }
        return primaries == 1;
    });
}

void fleet::set_database_faults(int database, const std::string& body) const
{
    post(database_address(database), "/faults", body);
}

void fleet::set_platform_faults(const std::string& body) const
{
    post(platform_address(), "/faults", body);
}

void fleet::list_hosts(const std::vector<core::address>& leaving) const
{
    platform::listed_hosts hosts;
    for (int i = 0; i < m_fleet_shape.proxies; ++i)
        hosts.proxies.push_back(host(i));
    hosts.leaving_upstreams = leaving;
    http::send_and_wait(platform_address(),
                        {"PUT", "/hosts", {}, platform::wire::encode(hosts)},
                        request_timeout);
}

std::string fleet::intent_text(const std::vector<int>& leaving) const
{
    std::string text;
    for (int service = 0; service < m_fleet_shape.services; ++service)
    {
        const auto name = "[service." + this->service(service);
        text += name + "]\nslots = " + std::to_string(m_fleet_shape.slots) +
                "\nmax_age_ms = 10000\n";
        for (int i = 0; i < databases_per_service; ++i)
        {
            const int index = service * databases_per_service + i;
            const bool leaves = std::find(leaving.begin(), leaving.end(),
                                          index) != leaving.end();
            text += name + ".database.db-" + std::to_string(i) +
                    "]\naddress = \"" +
                    core::to_string(database_address(index)) +
                    "\"\nfailure_domain = \"" +
                    m_fleet_shape.failure_domains[static_cast<std::size_t>(i)] +
                    "\"\nconnections = " +
                    std::to_string(m_fleet_shape.connections) +
                    "\nleaving = " + (leaves ? "true" : "false") + "\n";
        }
    }
    return text;
}

std::optional<std::uint64_t> fleet::apply(const std::vector<int>& leaving,
                                          bool push) const
{
    using applier =
        intent::applier<platform::http_platform, platform::http_platform>;
    boost::asio::io_context io;
    platform::http_platform services(io, platform_address(), request_timeout);
    const auto body = intent::encode({{"10-bench.toml", intent_text(leaving)}});
    std::uint64_t head_version = 0;
    services.read_row(std::string(intent::head_row), [&](const auto& row) {
        head_version = row.value.version;
    });
    io.run();
    io.restart();
    intent::apply_result result;
    std::make_shared<applier>(services, services)
        ->apply(body, head_version, "bench-" + std::to_string(head_version),
                "bench", [&](intent::apply_result outcome) {
                    result = std::move(outcome);
                });
    io.run();
    if (result.error)
        return std::nullopt;
    if (push)
    {
        const auto text = json::serialize(
            json::object{{"revision", result.current_head.revision},
                         {"digest", result.current_head.digest},
                         {"body", body},
                         {"author", "bench"}});
        for (int i = 0; i < std::min(2, proxies()); ++i)
            http::send_and_wait(
                admin_address(i),
                {"POST", "/admin/revision", {{"Admin-Key", peer_key}}, text},
                request_timeout);
    }
    return result.current_head.revision;
}

std::uint64_t fleet::revision_at(int proxy) const
{
    const auto result = http::send_and_wait(admin_address(proxy),
                                            {"GET", "/admin/revision", {}, {}},
                                            request_timeout);
    boost::system::error_code parse_error;
    const auto value = json::parse(result.body, parse_error);
    if (parse_error || !value.is_object())
        return 0;
    return value.at("revision").to_number<std::uint64_t>();
}

} // namespace bench
