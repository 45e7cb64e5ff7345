#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/peer/frame.hpp>

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace plantainward::peer
{

/// Answers one frame; may be called later and from any thread, once.
using frame_responder = std::function<void(frame_kind, std::string)>;

/// Receives each frame of a server.
using frame_handler =
    std::function<void(frame_kind, std::string, frame_responder)>;

/// Told of a frame that was dropped, with the reason.
using drop_handler = std::function<void()>;

/// Accepts links from peers.
class peer_server
{
public:
    /// Listens; empty optional with a reason on failure.
    static std::optional<peer_server> listen(boost::asio::io_context& io,
                                             const core::address& where,
                                             frame_handler on_frame,
                                             drop_handler on_drop);

    peer_server(peer_server&&) noexcept;
    peer_server& operator=(peer_server&&) noexcept;
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

private:
    class acceptor;
    explicit peer_server(std::shared_ptr<acceptor> one);
    std::shared_ptr<acceptor> m_acceptor;
};

} // namespace plantainward::peer
