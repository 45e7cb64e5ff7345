#include <plantainward/daemon/gateway.hpp>

#include <plantainward/coordinator/transaction_table.hpp>
#include <plantainward/core/last_error.hpp>
#include <plantainward/peer/payload.hpp>

#include <utility>

namespace plantainward::daemon
{

using core::error_kind;

namespace
{

/// Wait beyond the deadline, since the coordinator replies at the deadline and
/// its reply still has to arrive.
constexpr core::millis reply_margin{200};

/// The host name in an instance id, which is "name.incarnation".
std::string host_of(const std::string& instance)
{
    return instance.substr(0, instance.rfind('.'));
}

} // namespace

/// A caller's request that is not answered yet.
struct gateway::exchange
{
    api_call call;
    std::string trace;
    http::responder respond;
    core::instant deadline;
    forwarding forward;
};

gateway::gateway(service_directory& services, peer::peer_client& peers,
                 telemetry outputs, session::token_codec tokens,
                 api_limits limits, std::string instance)
    : m_services(services), m_peers(peers), m_telemetry(outputs),
      m_tokens(std::move(tokens)), m_limits(limits),
      m_instance(std::move(instance)), m_host(host_of(m_instance))
{
}

std::string gateway::next_trace()
{
    return m_instance + "-" + std::to_string(++m_last_trace);
}

bool gateway::is_ready() const
{
    return !m_draining && !m_services.routes()->routes().empty();
}

http::response gateway::health() const
{
    http::response response;
    response.body = R"({"status":"alive"})";
    return response;
}

http::response gateway::readiness() const
{
    http::response response;
    response.status = is_ready() ? 200 : 503;
    response.body = is_ready()   ? R"({"status":"ready"})"
                    : m_draining ? R"({"status":"leaving"})"
                                 : R"({"status":"no configuration"})";
    return response;
}

void gateway::handle(const http::request& message, http::responder respond)
{
    if (message.target == "/v1/health")
        return respond(health());
    if (message.target == "/v1/ready")
        return respond(readiness());
    auto trace = next_trace();
    auto call = decode_call(message, m_limits, m_tokens);
    if (!call)
    {
        const auto& error = core::last_error();
        m_telemetry.metrics.count("errors", core::name_of(error.kind));
        return respond(encode_error(error.kind, error.text, trace));
    }
    start(std::move(*call), std::move(trace), std::move(respond));
}

void gateway::start(api_call call, std::string trace, http::responder respond)
{
    const auto now = core::steady::now();
    const auto routes = m_services.routes();
    auto& request = call.request;
    const auto* route = routes->find(request.service);
    if (route == nullptr || request.slot >= route->intent.layout.slots)
        return respond(encode_error(error_kind::not_found,
                                    "no such service or slot", trace));
    if (request.required_freshness == coordinator::freshness::max_age)
        request.max_age = std::min(request.max_age, route->intent.max_age);
    request.trace = trace;
    std::optional<core::host> owner;
    if (const auto parts = coordinator::parse_handle(request.transaction))
        if (const auto* host = routes->host_named(host_of(parts->instance)))
            owner = *host;
    const auto deadline = now + request.time_left;
    forwarding forward(request, route->ranked, owner, deadline);
    auto pending = std::make_shared<exchange>(
        exchange{std::move(call), std::move(trace), std::move(respond),
                 deadline, std::move(forward)});
    carry_out_step(pending, pending->forward.start(now));
}

void gateway::carry_out_step(const std::shared_ptr<exchange>& pending,
                             forward_step step)
{
    if (!step.next_host)
        return finish(*pending, step.reply);
    send_to(pending, *step.next_host);
}

void gateway::send_to(const std::shared_ptr<exchange>& pending,
                      const core::host& host)
{
    auto request = pending->call.request;
    const auto left = std::chrono::duration_cast<core::millis>(
        pending->deadline - core::steady::now());
    request.time_left = std::max(left, core::millis(1));
    const auto on_reply = [this, pending](peer::call_outcome outcome,
                                          coordinator::caller_reply reply) {
        carry_out_step(pending, pending->forward.next(outcome, std::move(reply),
                                                      core::steady::now()));
    };
    if (host.name == m_host)
        return serve_peer(
            std::move(request), [on_reply](coordinator::caller_reply reply) {
                on_reply(peer::call_outcome::answered, std::move(reply));
            });
    const auto timeout = request.time_left + reply_margin;
    m_peers.call(
        host.peer, peer::frame_kind::request, peer::encode(request), timeout,
        [on_reply](peer::call_outcome outcome, const peer::frame& answer) {
            if (outcome != peer::call_outcome::answered)
                return on_reply(outcome, {});
            auto reply = peer::decode_reply(answer.payload);
            if (!reply)
                return on_reply(peer::call_outcome::lost, {});
            on_reply(outcome, std::move(*reply));
        });
}

void gateway::serve_peer(coordinator::caller_request request,
                         reply_handler handler)
{
    const auto coordinator = m_services.coordinator_of(request.service);
    if (!coordinator)
        return handler(
            coordinator::failure(error_kind::draining,
                                 "this host has no route for the service yet"));
    coordinator->submit(std::move(request), std::move(handler));
}

void gateway::finish(exchange& pending,
                     const coordinator::caller_reply& reply) const
{
    const auto& request = pending.call.request;
    std::string session_text;
    if (!reply.error)
    {
        auto& session = pending.call.session;
        session.merge({request.service, request.slot},
                      {reply.seen.term, reply.seen.position});
        session_text = m_tokens.encode(session);
    }
    auto response = encode_reply(reply, pending.trace, session_text);
    pending.respond(std::move(response));
}

} // namespace plantainward::daemon
