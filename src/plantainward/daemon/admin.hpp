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

/// Header that authenticates an operator's write.
inline constexpr std::string_view admin_key_header = "Admin-Key";

/// What the admin interface asks of its proxy.
struct admin_sources
{
    std::function<peer::revision_document()> revision;
    std::function<bool(const peer::revision_document&)> offer;
    std::function<std::vector<core::host>()> live;
    std::function<void()> drain;
};

/// The operators' interface of one proxy.
class admin
{
public:
    admin(service_directory& services, observers seen, admin_sources sources,
          std::string host, std::string key);

    /// Serves `/metrics`, `/admin/status`, `/admin/events`,
    /// `/admin/revision` and `/admin/drain`.
    void handle(const http::request& message,
                const http::responder& respond) const;

private:
    http::response status() const;
    http::response events(const std::string& query) const;
    http::response revision(const http::request& message) const;
    http::response take_revision(const http::request& message) const;
    http::response drain() const;
    bool is_operator(const http::request& message) const;

    service_directory& m_services;
    observers m_seen;
    admin_sources m_sources;
    std::string m_host;
    std::string m_key;
};

} // namespace plantainward::daemon
