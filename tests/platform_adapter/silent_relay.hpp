#pragma once

#include <plantainward/core/host.hpp>

#include <array>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

/// Passes on the bytes of connections to a server, as a load balancer does. It
/// may lose the connections that are open without a reset: it goes on reading
/// and passes on nothing. Used from the thread that runs the I/O context.
class silent_relay
{
public:
    silent_relay(boost::asio::io_context& io,
                 const plantainward::core::address& own,
                 const plantainward::core::address& server)
        : m_io(io), m_server(endpoint_of(server)),
          m_acceptor(io, endpoint_of(own))
    {
        accept();
    }

    /// Makes the connections that are open silent for good; later ones work.
    void silence()
    {
        for (const auto& known : m_links)
            if (const auto open = known.lock())
                open->is_silent = true;
        m_links.clear();
    }

private:
    using tcp = boost::asio::ip::tcp;

    struct direction
    {
        tcp::socket& from;
        tcp::socket& to;
        std::array<char, 65'536> buffer{};
    };

    struct link
    {
        explicit link(boost::asio::io_context& io) : client(io), server(io) {}

        tcp::socket client;
        tcp::socket server;
        direction to_server{client, server};
        direction to_client{server, client};
        bool is_silent{false};
    };

    static tcp::endpoint endpoint_of(const plantainward::core::address& address)
    {
        return {boost::asio::ip::make_address(address.ip), address.port};
    }

    void accept()
    {
        auto accepted = std::make_shared<link>(m_io);
        m_acceptor.async_accept(
            accepted->client,
            [this, accepted](boost::system::error_code error) {
                if (error)
                    return;
                boost::system::error_code refused;
                accepted->server.connect(m_server, refused);
                if (!refused)
                {
                    m_links.push_back(accepted);
                    pass_on(accepted, accepted->to_server);
                    pass_on(accepted, accepted->to_client);
                }
                accept();
            });
    }

    static void pass_on(const std::shared_ptr<link>& open, direction& way)
    {
        way.from.async_read_some(
            boost::asio::buffer(way.buffer),
            [open, &way](boost::system::error_code error, std::size_t size) {
                boost::system::error_code failed = error;
                if (!error && !open->is_silent)
                    boost::asio::write(
                        way.to, boost::asio::buffer(way.buffer, size), failed);
                if (!failed)
                    return pass_on(open, way);
                if (open->is_silent && &way == &open->to_client)
                    return;
                boost::system::error_code ignored;
                open->client.close(ignored);
                open->server.close(ignored);
            });
    }

    boost::asio::io_context& m_io;
    tcp::endpoint m_server;
    tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<link>> m_links;
};
