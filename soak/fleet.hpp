#pragma once

#include "async.hpp"
#include "recorder.hpp"
#include "store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace soak
{

/// Addresses of one run: 127.A.B.x, with the same ports on all hosts.
struct address_block
{
    std::string prefix;

    tcp::endpoint caller(std::size_t host) const;
    tcp::endpoint readiness(std::size_t host) const;
    /// The store's address for a host.
    tcp::endpoint store(std::size_t host) const;
    tcp::endpoint database(std::size_t slot) const;
    std::string host_ip(std::size_t host) const;
};

struct host
{
    std::string name;
    std::string zone;
    pid_t process{-1};
    /// Number of the process, from 1.
    unsigned incarnation{0};
    bool is_first_start{true};
    /// False: removed for good.
    bool is_member{true};
    /// The platform has stopped the process; it doesn't start it again itself.
    bool is_stopped{false};
    bool is_in_rotation{false};
    unsigned missed_probes{0};
};

/// The hosts, one process of the proxy each, and the platform's part in them:
/// readiness probes, restarts, the choice of a host for a caller.
class fleet
{
public:
    fleet(asio::io_context& io, recorder& record, store& rows,
          address_block addresses, std::string proxy, std::string folder);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    /// Ends all processes.
    ~fleet();

    /// Adds a host of a zone and starts it; empty if its address is in use.
    std::optional<std::size_t> add(const std::string& zone,
                                   bool is_first_start);
    void remove(std::size_t index);
    /// Starts the probes and the restarts.
    void watch();

    void start(std::size_t index);
    void kill(std::size_t index);
    void signal(std::size_t index, int number);
    /// SIGTERM, SIGKILL after the grace period, and a start.
    task roll(std::size_t index);
    task freeze(std::size_t index, std::chrono::microseconds time);

    /// Notes a span in which a host is not in order.
    void disrupt(std::size_t index, const std::string& kind,
                 std::chrono::microseconds time = {});

    std::vector<host>& hosts() { return m_hosts; }
    std::vector<std::size_t> members() const;
    bool are_all_ready() const;
    const address_block& addresses() const { return m_addresses; }
    /// The host that takes a new connection of a caller.
    std::optional<std::size_t> choose(const std::string& zone,
                                      std::size_t hash) const;

private:
    std::string settings_of(std::size_t index) const;
    task probe(std::size_t index);
    asio::awaitable<bool> is_ready(std::size_t index);
    task reap();

    asio::io_context& m_io;
    recorder& m_record;
    store& m_store;
    address_block m_addresses;
    std::string m_proxy;
    std::string m_folder;
    std::vector<host> m_hosts;
    bool m_is_watching{false};
};

} // namespace soak
