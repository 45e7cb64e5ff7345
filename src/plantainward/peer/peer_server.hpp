#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/peer/frame.hpp>

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace plantainward::peer
{

/// Sends the answer to one frame. May be called later and from any thread, but
/// only once.
using frame_responder = std::function<void(frame_kind, std::string)>;

/// Receives the kind and payload of each frame, and the function that answers
/// it.
using frame_handler =
    std::function<void(frame_kind, std::string, frame_responder)>;

/// Called when a link is closed because of a malformed frame or because its
/// unsent answers exceed a limit.
using drop_handler = std::function<void()>;

/// Accepts links from peers and passes on their frames; answers probes itself.
class peer_server
{
public:
    /// Listens on an address; on failure an empty optional, with the reason in
    /// `core::last_error`.
    static std::optional<peer_server> listen(boost::asio::io_context& io,
                                             const core::address& address,
                                             frame_handler on_frame,
                                             drop_handler on_drop);

    peer_server(peer_server&&) noexcept;
    peer_server& operator=(peer_server&&) noexcept;
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

private:
    class acceptor;
    explicit peer_server(std::shared_ptr<acceptor> listening);
    std::shared_ptr<acceptor> m_acceptor;
};

} // namespace plantainward::peer
