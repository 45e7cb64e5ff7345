#pragma once

#include <plantainward/daemon/gateway.hpp>
#include <plantainward/daemon/service_directory.hpp>
#include <plantainward/http/server.hpp>
#include <plantainward/membership/membership.hpp>
#include <plantainward/peer/payload.hpp>

#include <functional>
#include <string>
#include <vector>

namespace plantainward::daemon
{

/// Header with the key that authenticates an operator's write.
inline constexpr std::string_view admin_key_header = "Admin-Key";

/// Functions of the proxy that the admin interface calls.
struct admin_callbacks
{
    /// The configuration in force; revision 0 when there is none.
    std::function<peer::revision_document()> revision;
    /// Accepts a newer revision; true when it is in force afterwards.
    std::function<bool(const peer::revision_document&)> accept_revision;
    /// The hosts that membership counts as live.
    std::function<std::vector<core::host>()> live_hosts;
    /// Begins a graceful shutdown.
    std::function<void()> start_drain;
};

/// The HTTP interface for operators of one proxy.
class admin
{
public:
    admin(service_directory& services, telemetry outputs,
          admin_callbacks callbacks, std::string host, std::string key);

    /// Serves `/metrics`, `/admin/status`, `/admin/events`,
    /// `/admin/revision` and `/admin/drain`. Another target is answered with
    /// `not_found`, a write without the right key with `bad_request`.
    void handle(const http::request& message,
                const http::responder& respond) const;

private:
    http::response status() const;
    http::response events(const std::string& query) const;
    http::response revision(const http::request& message) const;
    http::response post_revision(const http::request& message) const;
    http::response drain() const;
    bool is_operator(const http::request& message) const;

    service_directory& m_services;
    telemetry m_telemetry;
    admin_callbacks m_callbacks;
    std::string m_host;
    std::string m_key;
};

} // namespace plantainward::daemon
