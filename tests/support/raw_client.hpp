#pragma once

#include <plantainward/core/host.hpp>

#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace support
{

/// A TCP client that sends arbitrary bytes and collects what it receives.
class raw_client
{
public:
    explicit raw_client(const plantainward::core::address& address)
        : m_socket(m_io)
    {
        m_socket.connect(
            {boost::asio::ip::make_address(address.ip), address.port});
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Reads until the received text holds `end` or the connection ends;
    /// returns all text received so far.
    std::string read_until(const std::string& end)
    {
        while (m_text.find(end) == std::string::npos && read_some())
        {
        }
        return m_text;
    }

    /// Reads until one of two texts has arrived or the connection ends; returns
    /// all that was read.
    std::string read_until_either(const std::string& end,
                                  const std::string& other_end)
    {
        while (m_text.find(end) == std::string::npos &&
               m_text.find(other_end) == std::string::npos && read_some())
        {
        }
        return m_text;
    }

    /// Forgets the text that was received so far.
    void discard_text() { m_text.clear(); }

    /// Reads until the connection ends; returns all text received so far.
    std::string read_to_end()
    {
        while (read_some())
        {
        }
        return m_text;
    }

private:
    bool read_some()
    {
        char buffer[65'536];
        boost::system::error_code error;
        const auto size =
            m_socket.read_some(boost::asio::buffer(buffer), error);
        m_text.append(buffer, size);
        return !error;
    }

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_text;
};

} // namespace support
