// Sockets, time and the record of a case.

#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>

namespace review
{

/// Milliseconds since the start of the case, of the steady clock.
std::int64_t now_ms();

void sleep_ms(std::int64_t time_ms);

/// The file that says what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : m_file(path) {}

    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Listens on a loopback address; exits with 2 on failure.
int listen_on(const std::string& ip, std::uint16_t port);

/// Connects to a loopback address; -1 on failure.
int connect_to(const std::string& ip, std::uint16_t port);

/// A connection with a buffer for what was received and not yet used.
class stream
{
public:
    explicit stream(int fd) : m_fd(fd) {}
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream();

    /// A line without its end; empty when the connection has ended or the time
    /// is over.
    std::optional<std::string> read_line(std::int64_t timeout_ms = -1);
    std::optional<std::string> read_bytes(std::size_t size);
    bool write(const std::string& bytes) const;
    /// Ends the connection; a reader in another thread returns.
    void shut() const;

private:
    bool receive(std::int64_t timeout_ms);

    int m_fd;
    std::string m_buffer;
};

/// Removes the first word of a text and returns it.
std::string take_word(std::string& rest);

} // namespace review
