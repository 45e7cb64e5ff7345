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
    /// The call did not reach the peer.
    not_sent,
    /// The call may have reached the peer; no answer came in time.
    lost
};

/// Receives the outcome of a call, and the answer if there is one; called
/// exactly once.
using call_handler = std::function<void(call_outcome, frame)>;

/// Times at which a link checks its calls and its peer.
struct link_options
{
    /// Interval between checks of a link for calls that have timed out.
    core::millis sweep_interval{20};
    /// A link with open calls is closed after this time without a frame from
    /// the peer; a probe is sent at half of it. 0 turns this off.
    core::millis silence_timeout{0};
};

/// Calls peers over one link to each, which carries many calls at once.
class peer_client
{
public:
    explicit peer_client(boost::asio::io_context& io, link_options options = {})
        : m_io(io), m_options(options)
    {
    }

    /// Sends a frame; the handler gets the frame that answers it. The call ends
    /// as `lost` or `not_sent` when the timeout passes or the link breaks.
    void call(const core::address& address, frame_kind kind,
              std::string payload, core::millis timeout, call_handler handler);

    /// Closes all links.
    void close();

private:
    boost::asio::io_context& m_io;
    link_options m_options;
    std::mutex m_mutex;
    std::map<core::address, std::shared_ptr<peer_link>> m_links;
};

} // namespace plantainward::peer
