#pragma once

#include "record.hpp"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace review
{

/// The answer to one request of a caller.
struct caller_answer
{
    /// False when the connection ended or the time was over before the answer.
    bool is_complete{false};
    /// Error code and text; empty for a success.
    std::string error;
    std::string signature;
    std::vector<std::string> rows;
    /// State and position.
    std::string state;

    bool is_success() const { return is_complete && error.empty(); }
    std::string text() const;
};

/// A caller's session at one host.
class caller
{
public:
    caller(record& log, boost::asio::ip::tcp::endpoint host)
        : m_record(log), m_host(std::move(host)), m_socket(m_io)
    {
    }

    /// Opens the session; false when it is refused or not answered in 2 s.
    bool open(const std::string& database);
    /// Sends one request and does not wait for the answer; returns its id.
    std::string send(const std::string& text);
    /// Sends several requests in one segment; returns their ids.
    std::vector<std::string> send_all(const std::vector<std::string>& texts);
    /// Reads the answer to the oldest request that has none; `id` is for the
    /// record.
    caller_answer read(const std::string& id);
    /// Sends one request and reads its answer.
    caller_answer ask(const std::string& text);

private:
    std::optional<std::string> read_line(ms limit);
    std::string line_of(const std::string& text, std::string& id);

    record& m_record;
    boost::asio::ip::tcp::endpoint m_host;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_input;
};

} // namespace review
