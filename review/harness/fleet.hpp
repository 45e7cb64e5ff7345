#pragma once

#include "database.hpp"
#include "record.hpp"
#include "store.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace review
{

/// Settings of a fleet of a few proxies before one service of three databases.
struct fleet_options
{
    std::size_t hosts{3};
    database_options database{};
    /// Time limits of the statements on the route `cards` (kind `primary`) and
    /// on the route `specs` (kind `bounded_staleness`).
    int cards_timeout_ms{800};
    int specs_timeout_ms{2000};
    std::size_t sync_replicas{0};
};

/// A small deployment on loopback: the project's proxy as one process a host,
/// with stand-ins of the platform and of the databases in this process. The
/// databases are db-0 (the first primary), db-1 and db-2.
class fleet
{
public:
    /// `work_folder` gets the settings files and the logs of the proxies.
    fleet(std::string proxy, std::string work_folder, record& log,
          fleet_options options);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    /// Ends all processes.
    ~fleet();

    /// Starts the first hosts, all unless `count` is less, and waits until each
    /// is ready; false after 15 s.
    bool start(std::size_t count = ~std::size_t{0});
    void start_host(std::size_t host, bool is_first_start);
    void signal_host(std::size_t host, int number);
    /// Whether the process of a host has ended.
    bool has_ended(std::size_t host);
    /// One readiness question, as the balancer sends it; 0: no answer.
    int readiness(std::size_t host) const;
    std::uint16_t caller_port(std::size_t host) const
    {
        return m_hosts[host].caller_port;
    }

    /// Runs a function on the thread of the stand-ins and waits for it.
    void run(const std::function<void()>& function);

    database_group& group() { return m_group; }
    std::vector<std::unique_ptr<database>>& databases() { return m_databases; }
    store& platform_store() { return *m_store; }
    void put_configuration(int version);
    /// Writes the registration of a database, as it does itself.
    void put_registration(std::size_t database, const std::string& state);
    /// A database has started again: a later `born` from now on.
    void renew_born(std::size_t database) { m_born[database] += 60'000; }

private:
    struct host
    {
        std::uint16_t caller_port{0};
        std::uint16_t ready_port{0};
        std::uint16_t internal_port{0};
        pid_t process{-1};
    };

    std::string settings_of(std::size_t index, bool is_first_start) const;
    void report_roles();
    int promote(const std::string& id, std::uint64_t token);

    std::string m_proxy;
    std::string m_folder;
    record& m_log;
    fleet_options m_options;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    database_group m_group;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<database>> m_databases;
    std::uint16_t m_store_port{0};
    std::vector<std::uint16_t> m_database_ports;
    std::vector<host> m_hosts;
    std::uint64_t m_last_token{0};
    int m_sequence{0};
    std::array<std::string, 3> m_states;
    std::array<std::uint64_t, 3> m_born{1'796'000'000'000, 1'796'000'000'000,
                                        1'796'000'000'000};
    std::thread m_thread;
};

} // namespace review
