#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review
{

namespace
{

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void send_at_once(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::int64_t now_ms()
{
    using clock = std::chrono::steady_clock;
    static const auto start = clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                                 start)
        .count();
}

void sleep_ms(std::int64_t time_ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_file << now_ms() << " ms  " << text << std::endl;
}

int listen_on(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(ip, port);
    constexpr int backlog = 256;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(fd, backlog) != 0)
    {
        std::cerr << "cannot listen on " << ip << ':' << port << '\n';
        std::_Exit(2);
    }
    return fd;
}

int connect_to(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(fd);
        return -1;
    }
    send_at_once(fd);
    return fd;
}

stream::~stream()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool stream::receive(std::int64_t timeout_ms)
{
    pollfd waiting{m_fd, POLLIN, 0};
    if (m_fd < 0 || ::poll(&waiting, 1, static_cast<int>(timeout_ms)) <= 0)
        return false;
    std::array<char, 16384> bytes{};
    const auto size = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> stream::read_line(std::int64_t timeout_ms)
{
    const auto end_ms = now_ms() + timeout_ms;
    while (true)
    {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos)
        {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return line;
        }
        const auto left = timeout_ms < 0 ? -1 : end_ms - now_ms();
        if ((timeout_ms >= 0 && left <= 0) || !receive(left))
            return std::nullopt;
    }
}

std::optional<std::string> stream::read_bytes(std::size_t size)
{
    while (m_buffer.size() < size)
        if (!receive(-1))
            return std::nullopt;
    auto bytes = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return bytes;
}

bool stream::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void stream::shut() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

std::string take_word(std::string& rest)
{
    const auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    return word;
}

} // namespace review
