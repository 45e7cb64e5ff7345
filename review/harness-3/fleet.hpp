// Real processes of the proxy, and sessions of callers.

#pragma once

#include "net.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

struct fleet_options
{
    /// Program of the deploy file.
    std::string program{"target/programs/plantainward_poold"};
    std::string folder;
    std::string ip;
    std::uint16_t first_port{0};
    std::string store_address;
    std::vector<std::string> zones;
    int hosts{3};
    /// The bounds of the settings, as JSON.
    std::string bounds;
};

class fleet
{
public:
    fleet(fleet_options options, record& out);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    /// Ends all processes.
    ~fleet();

    void start(int host, bool is_first_start);
    void signal(int host, int number);
    /// Kills the process and waits for its end.
    void kill(int host);
    /// Whether the process has ended by itself.
    bool has_ended(int host);
    /// Waits until all hosts are ready; false after the time.
    bool wait_ready(std::int64_t timeout_ms);
    bool is_ready(int host) const;

    std::uint16_t caller_port(int host) const;
    const std::string& ip() const { return m_options.ip; }
    std::string name(int host) const;

private:
    std::uint16_t port(int host, int offset) const;
    std::string settings(int host, bool is_first_start) const;

    fleet_options m_options;
    record& m_record;
    std::map<int, pid_t> m_processes;
};

/// The answer to one statement.
struct reply
{
    /// First word of the error; empty for a success, "none" without an answer.
    std::string error;
    std::vector<std::string> rows;
    std::string signature;
    std::string state;
    std::int64_t sent_ms{0};
    std::int64_t answered_ms{0};

    bool is_success() const { return error.empty(); }
};

/// A caller's session.
class caller_session
{
public:
    /// Opens a session; null when it is refused.
    static std::unique_ptr<caller_session> open(const fleet& hosts, int host,
                                                const std::string& database,
                                                record& out,
                                                const std::string& key = "key");

    /// Sends a statement with an id and waits for the answer.
    reply run(const std::string& id, const std::string& text,
              std::int64_t timeout_ms = 5000);
    void send(const std::string& id, const std::string& text);
    reply receive(const std::string& id, std::int64_t timeout_ms = 5000);

private:
    caller_session(int fd, std::string host, record& out)
        : m_channel(fd), m_host(std::move(host)), m_record(out)
    {
    }

    stream m_channel;
    std::string m_host;
    record& m_record;
    std::map<std::string, std::int64_t> m_sent_ms;
};

/// An id that no other statement has.
std::string new_id(const std::string& prefix);

} // namespace review
