#include <plantainward/peer/peer_server.hpp>

#include <plantainward/core/last_error.hpp>

#include <array>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace plantainward::peer
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Limit on the unsent answer bytes of a link; a peer that reads more slowly is
/// disconnected.
constexpr std::size_t max_unsent_bytes = std::size_t{128} * 1024 * 1024;

/// One link from a peer; answers leave in the order in which they are ready.
class incoming_link : public std::enable_shared_from_this<incoming_link>
{
public:
    incoming_link(tcp::socket socket, frame_handler on_frame,
                  drop_handler on_drop)
        : m_strand(socket.get_executor()), m_socket(std::move(socket)),
          m_on_frame(std::move(on_frame)), m_on_drop(std::move(on_drop))
    {
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }

    void read_header()
    {
        asio::async_read(
            m_socket, asio::buffer(m_header),
            asio::bind_executor(m_strand, [self = shared_from_this()](
                                              error_code error, std::size_t) {
                if (!error)
                    self->on_header();
            }));
    }

private:
    void on_header()
    {
        const auto length = decode_header({m_header.data(), m_header.size()});
        if (!length)
            return drop();
        m_body.resize(*length);
        asio::async_read(
            m_socket, asio::buffer(m_body),
            asio::bind_executor(m_strand, [self = shared_from_this()](
                                              error_code error, std::size_t) {
                if (!error)
                    self->on_body();
            }));
    }

    void on_body()
    {
        auto received = decode_body(m_body);
        if (!received)
            return drop();
        if (received->kind == frame_kind::probe)
        {
            answer({frame_kind::probe, received->number, {}});
            return read_header();
        }
        m_on_frame(received->kind, std::move(received->payload),
                   [self = shared_from_this(), number = received->number](
                       frame_kind kind, std::string bytes) {
                       self->answer({kind, number, std::move(bytes)});
                   });
        read_header();
    }

    void drop()
    {
        m_on_drop();
        error_code ignored;
        m_socket.close(ignored);
    }

    void answer(const frame& reply)
    {
        asio::dispatch(m_strand,
                       [self = shared_from_this(), bytes = encode(reply)] {
                           self->m_outgoing += bytes;
                           if (self->m_outgoing.size() > max_unsent_bytes)
                               return self->drop();
                           if (self->m_writing.empty())
                               self->write_more();
                       });
    }

    void write_more()
    {
        if (m_outgoing.empty())
            return;
        m_writing = std::exchange(m_outgoing, {});
        asio::async_write(
            m_socket, asio::buffer(m_writing),
            asio::bind_executor(m_strand, [self = shared_from_this()](
                                              error_code error, std::size_t) {
                self->m_writing.clear();
                if (!error)
                    self->write_more();
            }));
    }

    asio::any_io_executor m_strand;
    tcp::socket m_socket;
    frame_handler m_on_frame;
    drop_handler m_on_drop;
    std::array<char, frame_header_bytes> m_header{};
    std::string m_body;
    std::string m_outgoing;
    std::string m_writing;
};

} // namespace

class peer_server::acceptor
    : public std::enable_shared_from_this<peer_server::acceptor>
{
public:
    acceptor(asio::io_context& io, frame_handler on_frame, drop_handler on_drop)
        : m_io(io), m_acceptor(io), m_on_frame(std::move(on_frame)),
          m_on_drop(std::move(on_drop))
    {
    }

    error_code open(const core::address& address)
    {
        error_code error;
        const auto ip = asio::ip::make_address(address.ip, error);
        if (error)
            return error;
        const tcp::endpoint endpoint(ip, address.port);
        m_acceptor.open(endpoint.protocol(), error);
        if (error)
            return error;
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
        if (error)
            return error;
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        return error;
    }

    void accept()
    {
        m_acceptor.async_accept(
            asio::make_strand(m_io),
            [self = shared_from_this()](error_code error, tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    std::make_shared<incoming_link>(
                        std::move(socket), self->m_on_frame, self->m_on_drop)
                        ->read_header();
                self->accept();
            });
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    frame_handler m_on_frame;
    drop_handler m_on_drop;
};

std::optional<peer_server> peer_server::listen(asio::io_context& io,
                                               const core::address& address,
                                               frame_handler on_frame,
                                               drop_handler on_drop)
{
    auto listening =
        std::make_shared<acceptor>(io, std::move(on_frame), std::move(on_drop));
    if (const auto error = listening->open(address))
        return core::fail(core::error_kind::unavailable,
                          "cannot listen on " + core::to_string(address) +
                              ": " + error.message());
    listening->accept();
    return peer_server(std::move(listening));
}

peer_server::peer_server(std::shared_ptr<acceptor> listening)
    : m_acceptor(std::move(listening))
{
}

peer_server::peer_server(peer_server&&) noexcept = default;
peer_server& peer_server::operator=(peer_server&&) noexcept = default;

peer_server::~peer_server()
{
    if (m_acceptor)
        m_acceptor->close();
}

} // namespace plantainward::peer
