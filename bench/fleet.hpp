#pragma once

#include "process.hpp"
#include "shape.hpp"

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/http/client.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace bench
{

namespace core = plantainward::core;
namespace http = plantainward::http;
namespace upstream = plantainward::upstream;

/// The real processes of a shape on loopback.
class fleet
{
public:
    /// Starts everything and waits until each group takes writes.
    static std::unique_ptr<fleet> start(const shape& form,
                                        const std::string& programs,
                                        const std::string& logs);

    /// Starts the platform and the databases only.
    static std::unique_ptr<fleet> start_databases(const shape& form,
                                                  const std::string& programs,
                                                  const std::string& logs);

    const shape& form() const { return m_form; }
    std::string service(int index) const;

    // Proxies.
    core::address caller_address(int proxy) const;
    core::address admin_address(int proxy) const;
    int proxies() const { return static_cast<int>(m_proxies.size()); }
    process& proxy(int index) { return m_proxies[index]; }
    bool start_proxy(int index);

    // Databases, numbered over all services.
    int databases() const { return static_cast<int>(m_databases.size()); }
    core::address database_address(int index) const;
    process& database(int index) { return m_databases[index]; }
    bool start_database(int index);
    /// Status of one slot of a database.
    std::optional<upstream::slot_status> status(int database, int slot) const;
    /// The primary of a slot of a service among all databases.
    std::optional<int> primary(int service, int slot) const;
    /// Waits until all members of a slot have the same log.
    bool wait_whole(int service, int slot, core::millis most) const;
    void set_database_faults(int database, const std::string& body) const;

    // Platform.
    core::address platform_address() const { return {"127.0.0.1", 22'000}; }
    process& platform() { return *m_platform; }
    void set_platform_faults(const std::string& body) const;
    void list_hosts(const std::vector<core::address>& leaving) const;
    /// The intent file of the shape, with some databases leaving.
    std::string intent_text(const std::vector<int>& leaving) const;
    /// Applies an intent, with some databases leaving; the new revision.
    std::optional<std::uint64_t> apply(const std::vector<int>& leaving,
                                       bool push) const;
    /// The revision that a proxy has in force.
    std::uint64_t revision_at(int proxy) const;

private:
    explicit fleet(shape form, std::string programs, std::string logs)
        : m_form(std::move(form)), m_programs(std::move(programs)),
          m_logs(std::move(logs))
    {
    }

    bool start_all();
    bool wait_ready() const;
    core::host host(int proxy) const;

    shape m_form;
    std::string m_programs;
    std::string m_logs;
    std::optional<process> m_platform;
    std::vector<process> m_databases;
    std::vector<process> m_proxies;
};

/// Posts a JSON body; empty optional when there is no whole answer.
std::optional<boost::json::value> post(const core::address& where,
                                       const std::string& target,
                                       const std::string& body);

/// Waits until a condition holds; false when the time passes first.
bool wait_until(core::millis most, const std::function<bool()>& condition);

} // namespace bench
