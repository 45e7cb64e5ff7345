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
datagram_socket::bind(asio::io_context& io, const core::address& where,
                      datagram_handler on_datagram)
{
    std::shared_ptr<datagram_socket> made(
        new datagram_socket(io, std::move(on_datagram)));
    error_code error;
    const auto ip = asio::ip::make_address(where.ip, error);
    if (!error)
        made->m_socket.open(udp::v4(), error);
    if (!error)
        made->m_socket.bind({ip, where.port}, error);
    if (!error)
        made->m_socket.non_blocking(true, error);
    if (error)
    {
        core::fail(core::error_kind::unavailable, "cannot bind " +
                                                      core::to_string(where) +
                                                      ": " + error.message());
        return nullptr;
    }
    made->receive();
    return made;
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

void datagram_socket::send(const core::address& where, const std::string& bytes)
{
    error_code ignored;
    const auto ip = asio::ip::make_address(where.ip, ignored);
    m_socket.send_to(asio::buffer(bytes), {ip, where.port}, 0, ignored);
}

void datagram_socket::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace plantainward::peer
