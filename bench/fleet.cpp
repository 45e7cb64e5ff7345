#include "fleet.hpp"

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

constexpr const char* ip = "127.0.0.1";
constexpr int databases_per_service = 3;
constexpr const char* peer_key = "bench-peer-key-001";
constexpr core::millis call_timeout{2000};
constexpr core::millis start_timeout{30'000};

core::address at(int port)
{
    return {ip, static_cast<std::uint16_t>(port)};
}

} // namespace

bool wait_until(core::millis most, const std::function<bool()>& condition)
{
    const auto end = core::steady::now() + most;
    while (!condition())
    {
        if (core::steady::now() > end)
            return false;
        std::this_thread::sleep_for(core::millis(5));
    }
    return true;
}

std::optional<json::value> post(const core::address& where,
                                const std::string& target,
                                const std::string& body)
{
    const auto result =
        http::send_and_wait(where, {"POST", target, {}, body}, call_timeout);
    if (result.outcome != http::exchange_outcome::answered)
        return std::nullopt;
    boost::system::error_code bad;
    auto value = json::parse(result.body, bad);
    return bad ? std::nullopt : std::optional(std::move(value));
}

std::unique_ptr<fleet> fleet::start(const shape& form,
                                    const std::string& programs,
                                    const std::string& logs)
{
    std::filesystem::create_directories(logs);
    ::setenv("PLANTAINWARD_TOKEN_KEYS", "bench-token-key-01", 1);
    ::setenv("PLANTAINWARD_PEER_KEY", peer_key, 1);
    std::unique_ptr<fleet> made(new fleet(form, programs, logs));
    if (made->start_all() && made->wait_ready())
        return made;
    std::cerr << "the fleet did not start; see " << logs << '\n';
    return nullptr;
}

std::unique_ptr<fleet> fleet::start_databases(const shape& form,
                                              const std::string& programs,
                                              const std::string& logs)
{
    std::filesystem::create_directories(logs);
    std::unique_ptr<fleet> made(new fleet(form, programs, logs));
    return made->start_all() ? std::move(made) : nullptr;
}

std::string fleet::service(int index) const
{
    return m_form.service_prefix + "-" + std::to_string(index);
}

core::address fleet::caller_address(int proxy) const
{
    return at(24'000 + proxy);
}

core::address fleet::admin_address(int proxy) const
{
    return at(26'000 + proxy);
}

core::address fleet::database_address(int index) const
{
    return at(22'100 + index);
}

core::host fleet::host(int proxy) const
{
    const auto& domains = m_form.failure_domains;
    return {"entry-" + std::to_string(proxy),
            domains[static_cast<std::size_t>(proxy) % domains.size()],
            caller_address(proxy), at(25'000 + proxy)};
}

bool fleet::start_database(int index)
{
    auto made =
        process::start({m_programs + "/standins/standin_databased", "--listen",
                        core::to_string(database_address(index)), "--slots",
                        std::to_string(m_form.slots), "--connections",
                        std::to_string(m_form.connections), "--delay-ms",
                        std::to_string(m_form.database_delay_ms), "--lag-ms",
                        std::to_string(m_form.lag_ms)},
                       m_logs + "/database-" + std::to_string(index) + ".log");
    if (!made)
        return false;
    if (index < databases())
        m_databases[index] = std::move(*made);
    else
        m_databases.push_back(std::move(*made));
    return true;
}

bool fleet::start_proxy(int index)
{
    const auto self = host(index);
    std::vector<std::string> words{m_programs + "/programs/plantainwardd",
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
    words.insert(words.end(), m_form.proxy_flags.begin(),
                 m_form.proxy_flags.end());
    auto made = process::start(words, m_logs + "/" + self.name + ".log");
    if (!made)
        return false;
    if (index < proxies())
        m_proxies[index] = std::move(*made);
    else
        m_proxies.push_back(std::move(*made));
    return true;
}

bool fleet::start_all()
{
    m_platform =
        process::start({m_programs + "/standins/standin_platformd", "--listen",
                        core::to_string(platform_address())},
                       m_logs + "/platform.log");
    if (!m_platform)
        return false;
    for (int i = 0; i < m_form.services * databases_per_service; ++i)
        if (!start_database(i))
            return false;
    const bool is_up = wait_until(start_timeout, [this] {
        return http::send_and_wait(platform_address(),
                                   {"GET", "/hosts", {}, {}}, call_timeout)
                   .outcome == http::exchange_outcome::answered;
    });
    if (!is_up)
        return false;
    list_hosts({});
    if (!apply({}, false))
        return false;
    for (int i = 0; i < m_form.proxies; ++i)
        if (!start_proxy(i))
            return false;
    return true;
}

bool fleet::wait_ready() const
{
    for (int service = 0; service < m_form.services; ++service)
        for (int slot = 0; slot < m_form.slots; ++slot)
            if (!wait_whole(service, slot, start_timeout))
                return false;
    for (int i = 0; i < proxies(); ++i)
    {
        const auto sees_all = [&] {
            const auto status = http::send_and_wait(
                admin_address(i), {"GET", "/admin/status", {}, {}},
                call_timeout);
            boost::system::error_code bad;
            const auto value = json::parse(status.body, bad);
            return !bad && value.is_object() &&
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
                            call_timeout);
    const auto decoded = upstream::wire::decode_control_result(result.body);
    if (!decoded || slot >= static_cast<int>(decoded->status.size()))
        return std::nullopt;
    return decoded->status[static_cast<std::size_t>(slot)];
}

std::optional<int> fleet::primary(int service, int slot) const
{
    std::optional<int> found;
    upstream::term_number highest = 0;
    for (int i = 0; i < databases_per_service; ++i)
    {
        const int database = service * databases_per_service + i;
        const auto now = status(database, slot);
        if (!now || now->acting != upstream::role::primary ||
            now->granted < highest)
            continue;
        highest = now->granted;
        found = database;
    }
    return found;
}

bool fleet::wait_whole(int service, int slot, core::millis most) const
{
    return wait_until(most, [&] {
        std::vector<upstream::slot_status> all;
        for (int i = 0; i < databases_per_service; ++i)
            if (const auto one =
                    status(service * databases_per_service + i, slot))
                all.push_back(*one);
        if (all.size() != databases_per_service)
            return false;
        int primaries = 0;
        for (const auto& one : all)
        {
            if (one.granted != all[0].granted || one.last != all[0].last ||
                one.granted == 0)
                return false;
            primaries += one.acting == upstream::role::primary ? 1 : 0;
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
    for (int i = 0; i < m_form.proxies; ++i)
        hosts.proxies.push_back(host(i));
    hosts.leaving_upstreams = leaving;
    http::send_and_wait(platform_address(),
                        {"PUT", "/hosts", {}, platform::wire::encode(hosts)},
                        call_timeout);
}

std::string fleet::intent_text(const std::vector<int>& leaving) const
{
    std::string text;
    for (int service = 0; service < m_form.services; ++service)
    {
        const auto name = "[service." + this->service(service);
        text += name + "]\nslots = " + std::to_string(m_form.slots) +
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
                    m_form.failure_domains[static_cast<std::size_t>(i)] +
                    "\"\nconnections = " + std::to_string(m_form.connections) +
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
    platform::http_platform services(io, platform_address(), call_timeout);
    const auto body = intent::encode({{"10-bench.toml", intent_text(leaving)}});
    std::uint64_t seen = 0;
    services.read_row(std::string(intent::head_row),
                      [&](const auto& row) { seen = row.value.version; });
    io.run();
    io.restart();
    intent::apply_result result;
    std::make_shared<applier>(services, services)
        ->apply(body, seen, "bench-" + std::to_string(seen), "bench",
                [&](intent::apply_result end) { result = std::move(end); });
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
                call_timeout);
    }
    return result.current_head.revision;
}

std::uint64_t fleet::revision_at(int proxy) const
{
    const auto result = http::send_and_wait(
        admin_address(proxy), {"GET", "/admin/revision", {}, {}}, call_timeout);
    boost::system::error_code bad;
    const auto value = json::parse(result.body, bad);
    if (bad || !value.is_object())
        return 0;
    return value.at("revision").to_number<std::uint64_t>();
}

} // namespace bench
