#pragma once

#include "process.hpp"
#include "shape.hpp"

#include <support/loopback.hpp>

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

/// The processes of a shape on loopback: platform, databases and proxies.
class fleet
{
public:
    /// Starts all processes and waits until each group has a primary and each
    /// proxy sees all others. Null when that takes more than 30 s per step.
    static std::unique_ptr<fleet> start(const shape& fleet_shape,
                                        const std::string& program_folder,
                                        const std::string& log_folder);

    /// Starts the platform, the databases and `fleet_shape.proxies` proxies,
    /// without waiting until they are ready; null when a process does not
    /// start.
    static std::unique_ptr<fleet>
    start_databases(const shape& fleet_shape, const std::string& program_folder,
                    const std::string& log_folder);

    const shape& fleet_shape() const { return m_fleet_shape; }
    /// Name of a service.
    std::string service(int index) const;

    // Proxies.
    core::address caller_address(int proxy) const;
    core::address admin_address(int proxy) const;
    int proxies() const { return static_cast<int>(m_proxies.size()); }
    process& proxy(int index) { return m_proxies[index]; }
    /// Starts a proxy, also again after its end; false when the fork fails.
    bool start_proxy(int index);

    // Databases, numbered over all services.
    int databases() const { return static_cast<int>(m_databases.size()); }
    core::address database_address(int index) const;
    process& database(int index) { return m_databases[index]; }
    /// Starts a database, also again after its end; false when the fork fails.
    bool start_database(int index);
    /// Status of one slot of a database; empty when it does not answer.
    std::optional<upstream::slot_status> status(int database, int slot) const;
    /// Index of the database that is the primary of a slot in the highest term.
    std::optional<int> primary(int service, int slot) const;
    /// Waits until the databases of a slot have the same term and the same log,
    /// and one is the primary; false after the time-out.
    bool wait_until_replicated(int service, int slot,
                               core::millis timeout) const;
    /// Posts a JSON object of faults to a database.
    void set_database_faults(int database, const std::string& body) const;

    // Platform.
    core::address platform_address() const
    {
        return {support::loopback_ip(), 22'000};
    }
    process& platform() { return *m_platform; }
    /// Posts a JSON object of faults to the platform.
    void set_platform_faults(const std::string& body) const;
    /// Writes the host list: all proxies, and databases that are leaving.
    void list_hosts(const std::vector<core::address>& leaving) const;
    /// The intent file of the shape, with some databases leaving.
    std::string intent_text(const std::vector<int>& leaving) const;
    /// Applies the intent with some databases leaving. Returns the new
    /// revision, or empty on failure; `push` also sends it to the first two
    /// proxies.
    std::optional<std::uint64_t> apply(const std::vector<int>& leaving,
                                       bool push) const;
    /// The revision that a proxy has in force; 0 when it does not answer.
    std::uint64_t revision_at(int proxy) const;

private:
    explicit fleet(shape fleet_shape, std::string program_folder,
                   std::string log_folder)
        : m_fleet_shape(std::move(fleet_shape)),
          m_program_folder(std::move(program_folder)),
          m_log_folder(std::move(log_folder))
    {
    }

    bool start_all();
    bool wait_ready() const;
    core::host host(int proxy) const;

    shape m_fleet_shape;
    std::string m_program_folder;
    std::string m_log_folder;
    std::optional<process> m_platform;
    std::vector<process> m_databases;
    std::vector<process> m_proxies;
};

/// Posts a JSON body; empty when there is no complete JSON answer.
std::optional<boost::json::value> post(const core::address& server,
                                       const std::string& target,
                                       const std::string& body);

/// Checks a condition every 5 ms until it holds; false after the time-out.
bool wait_until(core::millis timeout, const std::function<bool()>& condition);

} // namespace bench
