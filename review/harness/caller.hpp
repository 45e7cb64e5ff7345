#pragma once

#include "record.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace review
{

/// The answer to one request of a caller.
struct caller_answer
{
    /// The whole answer has arrived; false: the connection ended before.
    bool is_complete{false};
    std::vector<std::string> rows;
    std::string signature;
    /// Code of the error; empty after a success.
    std::string error;
    /// State of the session.
    char state{'?'};
};

/// A blocking session of a caller.
class caller
{
public:
    explicit caller(record& log) : m_log(&log) {}
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller() { close(); }

    /// Connects and opens a session on a database; false on failure.
    bool open(std::uint16_t port, const std::string& database,
              const std::string& user);
    /// Sends one request and waits for its answer.
    caller_answer query(const std::string& id, const std::string& text);
    /// The two halves of `query`, for requests that are sent in advance.
    bool send_request(const std::string& id, const std::string& text);
    caller_answer read_answer();
    void close();
    bool is_open() const { return m_socket >= 0; }

private:
    bool send(const std::string& bytes);
    bool read_line(std::string& line);

    record* m_log;
    std::deque<std::string> m_unanswered;
    int m_socket{-1};
    std::string m_input;
};

} // namespace review
