#pragma once

#include <plantainward/daemon/api.hpp>
#include <plantainward/daemon/forwarding.hpp>
#include <plantainward/daemon/service_directory.hpp>
#include <plantainward/http/server.hpp>
#include <plantainward/peer/peer_client.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace plantainward::daemon
{

/// Serves the caller interface: decodes requests, sends them to the
/// coordinators of their services and responds. It keeps no session state; that
/// travels in the session token.
class gateway
{
public:
    gateway(service_directory& services, peer::peer_client& peers,
            telemetry outputs, session::token_codec tokens, api_limits limits,
            std::string instance);

    /// Serves one request of the caller interface; `respond` is called once.
    void handle(const http::request& message, http::responder respond);

    /// Runs a request on this host's coordinator of the service; replies with
    /// `draining` when this host has no route for the service yet.
    void serve_peer(coordinator::caller_request request, reply_handler handler);

    /// Makes `/v1/ready` fail, so that balancers send no more callers here.
    void start_drain() { m_draining = true; }

    /// Whether routes exist and no drain has started.
    bool is_ready() const;

private:
    struct exchange;

    http::response health() const;
    http::response readiness() const;
    void start(api_call call, std::string trace, http::responder respond);
    void carry_out_step(const std::shared_ptr<exchange>& pending,
                        forward_step step);
    void send_to(const std::shared_ptr<exchange>& pending,
                 const core::host& host);
    void finish(exchange& pending,
                const coordinator::caller_reply& reply) const;
    std::string next_trace();

    service_directory& m_services;
    peer::peer_client& m_peers;
    telemetry m_telemetry;
    session::token_codec m_tokens;
    api_limits m_limits;
    std::string m_instance;
    std::string m_host;
    std::atomic<std::uint64_t> m_last_trace{0};
    std::atomic<bool> m_draining{false};
};

} // namespace plantainward::daemon
