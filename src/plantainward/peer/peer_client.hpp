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
enum class call_end : std::uint8_t
{
    answered,
    /// The peer never got the call.
    not_sent,
    /// The peer may have got the call; no answer came.
    lost
};

/// Receives the end of a call, exactly once.
using call_handler = std::function<void(call_end, frame)>;

/// Calls peers, over one multiplexed link to each.
class peer_client
{
public:
    explicit peer_client(boost::asio::io_context& io) : m_io(io) {}

    /// Sends a frame and waits for the one that answers it.
    void call(const core::address& where, frame_kind kind, std::string payload,
              core::millis timeout, call_handler handler);

    /// Closes all links.
    void close();

private:
    boost::asio::io_context& m_io;
    std::mutex m_mutex;
    std::map<core::address, std::shared_ptr<peer_link>> m_links;
};

} // namespace plantainward::peer
