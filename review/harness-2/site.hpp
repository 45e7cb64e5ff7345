#pragma once

#include "caller.hpp"
#include "database.hpp"
#include "record.hpp"
#include "store.hpp"

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// Exit codes of a case.
enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// How a case is started: `PROGRAM POOLD FOLDER RECORD`, and TROUBLE=0 in the
/// environment for a run without the disruption.
struct case_options
{
    std::string poold;
    std::string folder;
    std::string record_path;
    bool has_trouble{true};

    static case_options from(int argc, char** argv);
};

/// A route of the configuration.
struct route
{
    std::string database;
    std::string service;
    std::string kind;
    int timeout_ms{0};
    int target_ms{0};
    int priority{0};
    int max_staleness_ms{0};
};

/// Hosts that run the project's program, with databases, a
/// store and a promotion call of their own, on loopback addresses that no other
/// run uses. All processes end with it.
class site
{
public:
    site(record& log, case_options options);
    site(const site&) = delete;
    site& operator=(const site&) = delete;
    ~site() { end_processes(); }

    /// Prints and records the verdict, ends all processes, and exits at once:
    /// the threads of the stand-ins are not joined.
    [[noreturn]] void finish(verdict result, const std::string& text);

    /// Starts all; false when it is not ready within 20 s.
    bool start(const std::vector<std::string>& services,
               const std::vector<route>& routes, std::size_t hosts = 3);
    /// Writes a new version of the configuration.
    void configure(const std::vector<route>& routes);

    /// Starts a host that is new to the fleet, or one that was killed.
    void start_host(std::size_t number, bool is_first_start = false);
    void kill_host(std::size_t number);

    /// Removes a database's entry, as the store does after three heartbeat
    /// intervals of silence.
    void remove_entry(const database& member);

    /// Ends and starts an outage of the whole store.
    void set_store_down(bool is_down) { m_store->set_down(is_down); }

    database_group& group(const std::string& service)
    {
        return *m_groups.at(service);
    }
    /// Address at which callers reach a host.
    boost::asio::ip::tcp::endpoint host(std::size_t number) const;

private:
    boost::asio::ip::tcp::endpoint address(unsigned last, unsigned port) const;
    bool take_addresses();
    void end_processes();
    /// Writes a database's entry if more than its sequence has changed.
    void announce(const database_group& group, const database& member);
    void announce_all();
    int promote(const std::string& service, const std::string& id);
    bool is_ready(std::size_t number) const;

    record& m_record;
    case_options m_options;
    std::string m_network;
    std::unique_ptr<store> m_store;
    std::map<std::string, std::unique_ptr<database_group>> m_groups;
    std::vector<std::string> m_services;
    std::map<std::size_t, pid_t> m_processes;
    std::uint64_t m_version{0};
    /// The entries of the databases as they were last written.
    std::mutex m_entries_mutex;
    std::map<std::string, boost::json::object> m_entries;
};

} // namespace review
