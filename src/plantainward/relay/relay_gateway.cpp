#include <plantainward/relay/relay_gateway.hpp>

#include <plantainward/relay/relay_message.hpp>
#include <plantainward/relay/update_message.hpp>

namespace plantainward::relay
{

namespace
{

using peer::frame_kind;

// A host that owes an answer and sends nothing for this long counts as lost; it
// is probed after half of this time. Above the longest pause of a busy host
// with a tenth of a core.
constexpr core::millis silence_timeout{400};

constexpr core::millis sweep_interval{50};

// Added to the time limit of a statement, so that the statement's own limit is
// reached first.
constexpr core::millis answer_slack{500};

// A fetch without an update is answered after this time.
constexpr core::millis max_hold_time{5000};

// Limit of the call that reports the end of an operation.
constexpr core::millis end_operation_timeout{1000};

// Limit of a request for tokens. The requesting side stops waiting sooner, but
// uses tokens that arrive until then.
constexpr core::millis token_request_timeout{1000};

} // namespace

relay_gateway::relay_gateway(boost::asio::io_context& io,
                             relay_callbacks callbacks)
    : m_callbacks(std::move(callbacks)),
      m_client(io, peer::link_options{sweep_interval, silence_timeout})
{
}

std::unique_ptr<relay_gateway>
relay_gateway::listen(boost::asio::io_context& io, const core::address& address,
                      relay_callbacks callbacks)
{
    std::unique_ptr<relay_gateway> gateway(
        new relay_gateway(io, std::move(callbacks)));
    gateway->m_server = peer::peer_server::listen(
        io, address,
        [self = gateway.get()](frame_kind kind, const std::string& bytes,
                               const peer::frame_responder& respond) {
            self->on_frame(kind, bytes, respond);
        },
        [self = gateway.get()] { self->m_callbacks.malformed(); });
    if (!gateway->m_server)
        return nullptr;
    return gateway;
}

void relay_gateway::forward(const core::address& address,
                            const pooling::forward_action& action)
{
    const auto session = action.session;
    const auto operation = action.operation;
    m_client.call(address, frame_kind::statement,
                  encode(statement_message{m_origin, operation, action.work}),
                  action.work.time_left + answer_slack,
                  [this, session, operation](peer::call_outcome end,
                                             const peer::frame& answer) {
                      if (end != peer::call_outcome::answered)
                          return m_callbacks.lost(session, operation,
                                                  end ==
                                                      peer::call_outcome::lost);
                      auto reply = answer.kind == frame_kind::statement_reply
                                       ? decode_reply(answer.payload)
                                       : std::nullopt;
                      if (reply)
                          return m_callbacks.answered(session, operation,
                                                      std::move(*reply));
                      m_callbacks.malformed();
                      m_callbacks.lost(session, operation, true);
                  });
}

void relay_gateway::end(const core::address& address,
                        pooling::operation_id operation)
{
    // The other host ends idle operations by itself; if this message is lost,
    // it only keeps a database connection for longer.
    m_client.call(address, frame_kind::end_operation,
                  encode(end_message{m_origin, operation}),
                  end_operation_timeout,
                  [](peer::call_outcome, const peer::frame&) {});
}

void relay_gateway::reply(const pooling::forwarded_reply_action& action)
{
    const auto pending =
        m_pending_replies.find({action.host, action.operation});
    if (pending == m_pending_replies.end())
        return;
    const auto respond = std::move(pending->second);
    m_pending_replies.erase(pending);
    respond(frame_kind::statement_reply, encode(action.reply));
}

void relay_gateway::refuse(const std::string& origin,
                           pooling::operation_id operation)
{
    pooling::forwarded_reply_action action{origin, operation, {}};
    action.reply.reply.error = core::error_kind::unavailable;
    action.reply.reply.text = "the host is starting";
    action.reply.try_elsewhere = true;
    reply(action);
}

void relay_gateway::request_tokens(const core::address& address,
                                   const pooling::request_tokens_action& action)
{
    const auto request = action.request;
    m_client.call(
        address, frame_kind::request_tokens,
        encode(token_request_message{m_origin, request, action.workspace,
                                     action.count}),
        token_request_timeout,
        [this, request](peer::call_outcome end, const peer::frame& answer) {
            if (end != peer::call_outcome::answered)
                return m_callbacks.token_request_lost(request);
            const auto grant = answer.kind == frame_kind::grant_tokens
                                   ? decode_grant(answer.payload)
                                   : std::nullopt;
            if (grant)
                return m_callbacks.tokens_granted(request, *grant);
            m_callbacks.malformed();
            m_callbacks.token_request_lost(request);
        });
}

void relay_gateway::grant(const pooling::grant_tokens_action& action)
{
    const auto pending = m_pending_grants.find({action.host, action.request});
    if (pending == m_pending_grants.end())
        return;
    const auto respond = std::move(pending->second);
    m_pending_grants.erase(pending);
    respond(frame_kind::grant_tokens, encode(action.grant));
}

void relay_gateway::refuse_tokens(const std::string& origin,
                                  std::uint64_t request)
{
    grant({origin,
           request,
           {quota::token_answer::no_majority, 0, core::millis(0)}});
}

void relay_gateway::on_token_request(const std::string& bytes,
                                     const peer::frame_responder& respond)
{
    const auto message = decode_token_request(bytes);
    if (!message)
    {
        m_callbacks.malformed();
        return respond(frame_kind::refused, {});
    }
    const auto [position, is_new] = m_pending_grants.try_emplace(
        {message->origin, message->request}, respond);
    if (!is_new)
        return respond(frame_kind::refused, {});
    m_callbacks.tokens_requested(message->origin, message->request,
                                 message->workspace, message->count);
}

void relay_gateway::on_frame(frame_kind kind, const std::string& bytes,
                             const peer::frame_responder& respond)
{
    if (kind == frame_kind::statement)
        return on_statement(bytes, respond);
    if (kind == frame_kind::fetch_table_update)
        return on_fetch(bytes, respond);
    if (kind == frame_kind::request_tokens)
        return on_token_request(bytes, respond);
    const auto message =
        kind == frame_kind::end_operation ? decode_end(bytes) : std::nullopt;
    if (!message)
    {
        m_callbacks.malformed();
        return respond(frame_kind::refused, {});
    }
    m_pending_replies.erase({message->origin, message->operation});
    m_callbacks.operation_ended(message->origin, message->operation);
    respond(frame_kind::end_operation, {});
}

void relay_gateway::on_statement(const std::string& bytes,
                                 const peer::frame_responder& respond)
{
    auto message = decode_statement(bytes);
    if (!message)
    {
        m_callbacks.malformed();
        return respond(frame_kind::refused, {});
    }
    const auto [position, is_new] = m_pending_replies.try_emplace(
        {message->origin, message->operation}, respond);
    if (!is_new)
        return respond(frame_kind::refused, {});
    m_callbacks.statement_received(message->origin, message->operation,
                                   std::move(message->work));
}

void relay_gateway::on_fetch(const std::string& bytes,
                             const peer::frame_responder& respond)
{
    const auto known_versions = decode_versions(bytes);
    if (!known_versions)
    {
        m_callbacks.malformed();
        return respond(frame_kind::refused, {});
    }
    const auto now = core::boot_clock::now();
    held_fetch fetch{*known_versions, now, respond};
    if (!try_answer(fetch, now))
        m_held_fetches.push_back(std::move(fetch));
}

bool relay_gateway::try_answer(const held_fetch& fetch, core::boot_instant now)
{
    const bool must_answer = now - fetch.received_at > max_hold_time;
    const auto update = m_callbacks.find_update(fetch.known_versions,
                                                fetch.received_at, must_answer);
    if (update)
        fetch.respond(frame_kind::table_update, encode(*update));
    return update.has_value();
}

void relay_gateway::tick(core::boot_instant now)
{
    std::erase_if(m_held_fetches,
                  [&](const auto& fetch) { return try_answer(fetch, now); });
}

} // namespace plantainward::relay
