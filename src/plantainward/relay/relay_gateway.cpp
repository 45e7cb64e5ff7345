#include <plantainward/relay/relay_gateway.hpp>

#include <plantainward/relay/relay_message.hpp>
#include <plantainward/relay/update_message.hpp>

namespace plantainward::relay
{

namespace
{

using peer::frame_kind;

// A host that sends nothing for this long while it owes an answer is taken for
// lost; it is asked to answer after half of it. Above the longest pause of a
// busy host of a tenth of a core.
constexpr core::millis silence{400};

constexpr core::millis sweep_interval{50};

// Added to what a statement may take, so that its own time limit comes first.
constexpr core::millis answer_slack{500};

// Time for which a question for news is held without any.
constexpr core::millis news_hold{5000};

// Limit of the message that an operation has ended.
constexpr core::millis end_timeout{1000};

} // namespace

relay_gateway::relay_gateway(boost::asio::io_context& io,
                             relay_callbacks events)
    : m_events(std::move(events)),
      m_client(io, peer::link_options{sweep_interval, silence})
{
}

std::unique_ptr<relay_gateway>
relay_gateway::listen(boost::asio::io_context& io, const core::address& where,
                      relay_callbacks events)
{
    std::unique_ptr<relay_gateway> made(
        new relay_gateway(io, std::move(events)));
    made->m_server = peer::peer_server::listen(
        io, where,
        [self = made.get()](frame_kind kind, const std::string& bytes,
                            const peer::frame_responder& respond) {
            self->on_frame(kind, bytes, respond);
        },
        [self = made.get()] { self->m_events.malformed(); });
    if (!made->m_server)
        return nullptr;
    return made;
}

void relay_gateway::forward(const core::address& where,
                            const pooling::forward_action& action)
{
    const auto session = action.session;
    const auto operation = action.operation;
    m_client.call(where, frame_kind::statement,
                  encode(statement_message{m_origin, operation, action.work}),
                  action.work.time_left + answer_slack,
                  [this, session, operation](peer::call_outcome end,
                                             const peer::frame& answer) {
                      if (end != peer::call_outcome::answered)
                          return m_events.lost(session, operation,
                                               end == peer::call_outcome::lost);
                      auto reply = answer.kind == frame_kind::statement_reply
                                       ? decode_reply(answer.payload)
                                       : std::nullopt;
                      if (reply)
                          return m_events.answered(session, operation,
                                                   std::move(*reply));
                      m_events.malformed();
                      m_events.lost(session, operation, true);
                  });
}

void relay_gateway::end(const core::address& where,
                        pooling::operation_id operation)
{
    // The other host ends idle operations by itself, so a lost message only
    // keeps a connection for longer.
    m_client.call(where, frame_kind::end_operation,
                  encode(end_message{m_origin, operation}), end_timeout,
                  [](peer::call_outcome, const peer::frame&) {});
}

void relay_gateway::reply(const pooling::forwarded_reply_action& action)
{
    const auto found = m_running.find({action.host, action.operation});
    if (found == m_running.end())
        return;
    const auto respond = std::move(found->second);
    m_running.erase(found);
    respond(frame_kind::statement_reply, encode(action.reply));
}

void relay_gateway::refuse(const std::string& host,
                           pooling::operation_id operation)
{
    pooling::forwarded_reply_action made{host, operation, {}};
    made.reply.reply.error = core::error_kind::unavailable;
    made.reply.reply.text = "the host is starting";
    made.reply.try_elsewhere = true;
    reply(made);
}

void relay_gateway::on_frame(frame_kind kind, const std::string& bytes,
                             const peer::frame_responder& respond)
{
    if (kind == frame_kind::statement)
        return on_statement(bytes, respond);
    if (kind == frame_kind::fetch_table_update)
        return on_fetch(bytes, respond);
    const auto ended =
        kind == frame_kind::end_operation ? decode_end(bytes) : std::nullopt;
    if (!ended)
    {
        m_events.malformed();
        return respond(frame_kind::refused, {});
    }
    m_running.erase({ended->origin, ended->operation});
    m_events.end(ended->origin, ended->operation);
    respond(frame_kind::end_operation, {});
}

void relay_gateway::on_statement(const std::string& bytes,
                                 const peer::frame_responder& respond)
{
    auto one = decode_statement(bytes);
    if (!one)
    {
        m_events.malformed();
        return respond(frame_kind::refused, {});
    }
    const auto [place, is_new] =
        m_running.try_emplace({one->origin, one->operation}, respond);
    if (!is_new)
        return respond(frame_kind::refused, {});
    m_events.run(one->origin, one->operation, std::move(one->work));
}

void relay_gateway::on_fetch(const std::string& bytes,
                             const peer::frame_responder& respond)
{
    const auto known = decode_versions(bytes);
    if (!known)
    {
        m_events.malformed();
        return respond(frame_kind::refused, {});
    }
    const auto now = core::boot_clock::now();
    held_question one{*known, now, respond};
    if (!try_answer(one, now))
        m_held.push_back(std::move(one));
}

bool relay_gateway::try_answer(const held_question& one, core::boot_instant now)
{
    const bool is_late = now - one.since > news_hold;
    const auto news = m_events.news(one.known, is_late);
    if (news)
        one.respond(frame_kind::table_update, encode(*news));
    return news.has_value();
}

void relay_gateway::tick(core::boot_instant now)
{
    std::erase_if(m_held,
                  [&](const auto& one) { return try_answer(one, now); });
}

} // namespace plantainward::relay
