#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/fleet/table_update.hpp>
#include <plantainward/peer/peer_client.hpp>
#include <plantainward/peer/peer_server.hpp>
#include <plantainward/pooling/action.hpp>

#include <cstdint>
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

/// Functions that a gateway calls. The string names the process that an
/// operation belongs to, see `relay_gateway::set_origin`.
struct relay_callbacks
{
    /// Another host has sent a statement to run here; it is answered by
    /// `relay_gateway::reply` or `refuse`.
    std::function<void(const std::string&, pooling::operation_id,
                       pooling::forwarded_work)>
        statement_received;
    /// Another host has ended its operation.
    std::function<void(const std::string&, pooling::operation_id)>
        operation_ended;
    /// Another host has answered a statement of this host.
    std::function<void(pooling::session_id, pooling::operation_id,
                       pooling::forwarded_reply)>
        answered;
    /// No answer to a statement of this host will come; true when the statement
    /// may have run.
    std::function<void(pooling::session_id, pooling::operation_id, bool)> lost;
    /// Another host requests tokens of a workspace; answered by
    /// `relay_gateway::grant` or `refuse_tokens`.
    std::function<void(const std::string&, std::uint64_t request,
                       const std::string& workspace, std::uint32_t count)>
        tokens_requested;
    /// Another host has answered a request for tokens of this host.
    std::function<void(std::uint64_t request, const quota::token_grant&)>
        tokens_granted;
    /// No answer to a request for tokens of this host will come.
    std::function<void(std::uint64_t request)> token_request_lost;
    /// Returns the update for a host with these table versions, whose request
    /// arrived at an instant. Empty when its tables are current: the fetch is
    /// held, and this is called again on each tick. With `must_answer` the
    /// result is not empty.
    std::function<std::optional<fleet::table_update>(
        const fleet::table_versions&, core::boot_instant received_at,
        bool must_answer)>
        find_update;
    /// A message was rejected as malformed, with the last error.
    std::function<void()> malformed;
};

/// Sends statements to other hosts, over one link to each, and receives theirs;
/// also answers their fetches of tables. Used from one thread.
class relay_gateway
{
public:
    /// Listens on an address; null with a reason on failure.
    static std::unique_ptr<relay_gateway> listen(boost::asio::io_context& io,
                                                 const core::address& address,
                                                 relay_callbacks callbacks);

    /// Sets the name of this process in messages to other hosts.
    void set_origin(std::string origin) { m_origin = std::move(origin); }

    /// Sends a statement to the host at an address; ends in one call of
    /// `answered` or `lost`.
    void forward(const core::address& address,
                 const pooling::forward_action& action);

    /// Tells the host at an address that an operation of this host has ended.
    void end(const core::address& address, pooling::operation_id operation);

    /// Answers another host's statement; does nothing when its operation has
    /// ended.
    void reply(const pooling::forwarded_reply_action& action);

    /// Answers another host's statement as not run, so that a further host may
    /// run it.
    void refuse(const std::string& origin, pooling::operation_id operation);

    /// Requests tokens from the host at an address; ends in one call of
    /// `tokens_granted` or `token_request_lost`.
    void request_tokens(const core::address& address,
                        const pooling::request_tokens_action& action);

    /// Answers another host's request for tokens.
    void grant(const pooling::grant_tokens_action& action);

    /// Answers another host's request for tokens while this host is starting.
    void refuse_tokens(const std::string& origin, std::uint64_t request);

    /// Answers held fetches for which there is an update or whose time is up.
    void tick(core::boot_instant now);

private:
    struct held_fetch
    {
        fleet::table_versions known_versions;
        core::boot_instant received_at;
        peer::frame_responder respond;
    };

    relay_gateway(boost::asio::io_context& io, relay_callbacks callbacks);
    void on_frame(peer::frame_kind kind, const std::string& bytes,
                  const peer::frame_responder& respond);
    void on_statement(const std::string& bytes,
                      const peer::frame_responder& respond);
    void on_token_request(const std::string& bytes,
                          const peer::frame_responder& respond);
    void on_fetch(const std::string& bytes,
                  const peer::frame_responder& respond);
    bool try_answer(const held_fetch& fetch, core::boot_instant now);

    relay_callbacks m_callbacks;
    std::vector<held_fetch> m_held_fetches;
    std::string m_origin;
    peer::peer_client m_client;
    std::optional<peer::peer_server> m_server;
    std::map<std::pair<std::string, pooling::operation_id>,
             peer::frame_responder>
        m_pending_replies;
    /// Requests for tokens that are not answered, by origin and number.
    std::map<std::pair<std::string, std::uint64_t>, peer::frame_responder>
        m_pending_grants;
};

} // namespace plantainward::relay
