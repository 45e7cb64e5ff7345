#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/peer/frame.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/io_context.hpp>

namespace plantainward::peer
{

class peer_link;

/// How a call to a peer ended.
enum class call_outcome : std::uint8_t
{
    answered,
    /// The peer never got the call.
    not_sent,
    /// The peer may have got the call; no answer came.
    lost
};

/// Receives the end of a call, exactly once.
using call_handler = std::function<void(call_outcome, frame)>;

/// How links look for late calls and silent peers.
struct link_options
{
    /// Between looks at the calls of a link.
    core::millis sweep_interval{20};
    /// A link with calls is broken off after this time without a byte from the
    /// peer, which is asked to answer before; 0: never.
    core::millis silence_timeout{0};
};

/// Calls peers, over one multiplexed link to each.
class peer_client
{
public:
    explicit peer_client(boost::asio::io_context& io, link_options options = {})
        : m_io(io), m_options(options)
    {
    }

    /// Sends a frame and waits for the one that answers it.
    void call(const core::address& where, frame_kind kind, std::string payload,
              core::millis timeout, call_handler handler);

    /// Closes all links.
    void close();

private:
    boost::asio::io_context& m_io;
    link_options m_options;
    std::mutex m_mutex;
    std::map<core::address, std::shared_ptr<peer_link>> m_links;
};

} // namespace plantainward::peer
