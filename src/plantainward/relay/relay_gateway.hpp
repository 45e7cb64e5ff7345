#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/fleet/table_update.hpp>
#include <plantainward/peer/peer_client.hpp>
#include <plantainward/peer/peer_server.hpp>
#include <plantainward/pooling/action.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace plantainward::relay
{

/// What the gateway tells the host's decisions.
struct relay_callbacks
{
    /// Another host's statement is to be run.
    std::function<void(const std::string&, pooling::operation_id,
                       pooling::forwarded_work)>
        run;
    /// Another host's operation has ended there.
    std::function<void(const std::string&, pooling::operation_id)> end;
    /// The answer to a statement of this host has come.
    std::function<void(pooling::session_id, pooling::operation_id,
                       pooling::forwarded_reply)>
        answered;
    /// The answer will not come; true when the statement may have run.
    std::function<void(pooling::session_id, pooling::operation_id, bool)> lost;
    /// News for a host that knows these versions; empty when there is none,
    /// and the question is held. `must_answer` ends the holding.
    std::function<std::optional<fleet::table_update>(
        const fleet::table_versions&, bool must_answer)>
        news;
    /// A message was malformed, with the last reason.
    std::function<void()> malformed;
};

/// Carries statements between hosts, over one link to each; used from one
/// thread.
class relay_gateway
{
public:
    /// Listens; null with a reason on failure.
    static std::unique_ptr<relay_gateway> listen(boost::asio::io_context& io,
                                                 const core::address& where,
                                                 relay_callbacks events);

    /// Names this process to other hosts.
    void set_origin(std::string origin) { m_origin = std::move(origin); }

    void forward(const core::address& where,
                 const pooling::forward_action& action);
    void end(const core::address& where, pooling::operation_id operation);
    void reply(const pooling::forwarded_reply_action& action);
    /// Answers a statement that was not run and that another host may run.
    void refuse(const std::string& host, pooling::operation_id operation);

    /// Answers the hosts that ask for news, as far as there is some.
    void tick(core::boot_instant now);

private:
    struct held_question
    {
        fleet::table_versions known;
        core::boot_instant since;
        peer::frame_responder respond;
    };

    relay_gateway(boost::asio::io_context& io, relay_callbacks events);
    void on_frame(peer::frame_kind kind, const std::string& bytes,
                  const peer::frame_responder& respond);
    void on_statement(const std::string& bytes,
                      const peer::frame_responder& respond);
    void on_fetch(const std::string& bytes,
                  const peer::frame_responder& respond);
    bool try_answer(const held_question& one, core::boot_instant now);

    relay_callbacks m_events;
    std::vector<held_question> m_held;
    std::string m_origin;
    peer::peer_client m_client;
    std::optional<peer::peer_server> m_server;
    std::map<std::pair<std::string, pooling::operation_id>,
             peer::frame_responder>
        m_running;
};

} // namespace plantainward::relay
