#include <plantainward/peer/datagram_socket.hpp>

#include <plantainward/core/last_error.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>

namespace plantainward::peer
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

datagram_socket::datagram_socket(asio::io_context& io,
                                 datagram_handler on_datagram)
    : m_socket(io), m_on_datagram(std::move(on_datagram))
{
}

std::shared_ptr<datagram_socket>
datagram_socket::bind(asio::io_context& io, const core::address& address,
                      datagram_handler on_datagram)
{
    std::shared_ptr<datagram_socket> bound(
        new datagram_socket(io, std::move(on_datagram)));
    error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (!error)
        bound->m_socket.open(udp::v4(), error);
    if (!error)
        bound->m_socket.bind({ip, address.port}, error);
    if (!error)
        bound->m_socket.non_blocking(true, error);
    if (error)
    {
        core::fail(core::error_kind::unavailable, "cannot bind " +
                                                      core::to_string(address) +
                                                      ": " + error.message());
        return nullptr;
    }
    bound->receive();
    return bound;
}

void datagram_socket::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender,
        [self = shared_from_this()](error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                self->m_on_datagram({self->m_buffer.data(), size});
            self->receive();
        });
}

void datagram_socket::send(const core::address& address,
                           const std::string& bytes)
{
    error_code ignored;
    const auto ip = asio::ip::make_address(address.ip, ignored);
    m_socket.send_to(asio::buffer(bytes), {ip, address.port}, 0, ignored);
}

void datagram_socket::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace plantainward::peer
