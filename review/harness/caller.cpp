#include "caller.hpp"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

// Above every time limit of a statement, so that only a lost answer ends here.
constexpr timeval receive_timeout{10, 0};

} // namespace

bool caller::open(std::uint16_t port, const std::string& database,
                  const std::string& user)
{
    close();
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                 sizeof receive_timeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    std::string line;
    const bool opened =
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
        send("START " + database + " " + user + "\r\n") && read_line(line) &&
        line.starts_with("READY ");
    if (!opened)
        close();
    return opened;
}

void caller::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
    m_input.clear();
    m_unanswered.clear();
}

bool caller::send(const std::string& bytes)
{
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
}

bool caller::read_line(std::string& line)
{
    for (;;)
    {
        const auto end = m_input.find("\r\n");
        if (end != std::string::npos)
        {
            line = m_input.substr(0, end);
            m_input.erase(0, end + 2);
            return true;
        }
        std::array<char, 4096> buffer{};
        const auto size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return false;
        m_input.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

caller_answer caller::query(const std::string& id, const std::string& text)
{
    return send_request(id, text) ? read_answer() : caller_answer{};
}

bool caller::send_request(const std::string& id, const std::string& text)
{
    m_log->line("caller sends " + id + " " + text);
    m_unanswered.push_back(id);
    return send("QUERY " + id + " " + text + "\r\n");
}

caller_answer caller::read_answer()
{
    caller_answer answer;
    const auto id =
        m_unanswered.empty() ? std::string("-") : m_unanswered.front();
    if (!m_unanswered.empty())
        m_unanswered.pop_front();
    std::string line;
    while (!answer.is_complete && read_line(line))
    {
        const auto space = line.find(' ');
        const auto word = line.substr(0, space);
        const auto rest =
            space == std::string::npos ? std::string() : line.substr(space + 1);
        if (word == "ROW")
            answer.rows.push_back(rest);
        else if (word == "DONE")
            answer.signature = rest;
        else if (word == "ERROR")
            answer.error = rest.substr(0, rest.find(' '));
        else if (word == "READY")
        {
            answer.is_complete = true;
            answer.state = rest.empty() ? '?' : rest.front();
        }
    }
    m_log->line("caller gets for " + id + ": " +
                (!answer.is_complete    ? "no complete answer"
                 : answer.error.empty() ? "DONE " + answer.signature
                                        : "ERROR " + answer.error) +
                ", state " + answer.state);
    return answer;
}

} // namespace review
