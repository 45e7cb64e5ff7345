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

/// A UDP socket for the datagrams between proxies.
class datagram_socket : public std::enable_shared_from_this<datagram_socket>
{
public:
    /// Binds; null with a reason on failure.
    static std::shared_ptr<datagram_socket> bind(boost::asio::io_context& io,
                                                 const core::address& where,
                                                 datagram_handler on_datagram);

    /// Sends without waiting; a datagram that can't be sent is lost.
    void send(const core::address& where, const std::string& bytes);

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
