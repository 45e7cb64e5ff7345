#pragma once

#include <plantainward/core/host.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace plantainward::peer
{

/// Receives the bytes of each datagram.
using datagram_handler = std::function<void(std::string_view)>;

/// A UDP socket for the datagrams that proxies exchange.
class datagram_socket : public std::enable_shared_from_this<datagram_socket>
{
public:
    /// Binds to an address and starts to receive; on failure null, with the
    /// reason in `core::last_error`.
    static std::shared_ptr<datagram_socket> bind(boost::asio::io_context& io,
                                                 const core::address& address,
                                                 datagram_handler on_datagram);

    /// Sends a datagram without blocking; one that can't be sent is dropped.
    void send(const core::address& address, const std::string& bytes);

    void close();

private:
    datagram_socket(boost::asio::io_context& io, datagram_handler on_datagram);
    void receive();

    boost::asio::ip::udp::socket m_socket;
    datagram_handler m_on_datagram;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
};

} // namespace plantainward::peer
