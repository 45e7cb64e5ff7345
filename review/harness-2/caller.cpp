#include "caller.hpp"

#include <atomic>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace review
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

// Longer than any deadline of the callers.
constexpr ms answer_limit{5000};
constexpr ms open_limit{2000};

std::atomic<unsigned> last_request{0};

} // namespace

std::string caller_answer::text() const
{
    if (!is_complete)
        return "no complete answer";
    if (!error.empty())
        return "ERROR " + error + ", READY " + state;
    std::string lines;
    for (const auto& row : rows)
        lines += "ROW " + row + ", ";
    return lines + "DONE " + signature + ", READY " + state;
}

std::optional<std::string> caller::read_line(ms limit)
{
    std::optional<std::size_t> size;
    asio::async_read_until(m_socket, asio::dynamic_buffer(m_input), "\r\n",
                           [&](error_code error, std::size_t length) {
                               if (!error)
                                   size = length;
                           });
    m_io.restart();
    m_io.run_for(limit);
    if (!size)
    {
        // The read that is still under way refers to `size`.
        error_code ignored;
        m_socket.close(ignored);
        m_io.restart();
        m_io.run();
        return std::nullopt;
    }
    auto line = m_input.substr(0, *size - 2);
    m_input.erase(0, *size);
    return line;
}

bool caller::open(const std::string& database)
{
    error_code error;
    m_socket.connect(m_host, error);
    if (!error)
        asio::write(m_socket, asio::buffer("START " + database + " caller\r\n"),
                    error);
    const auto line = error ? std::nullopt : read_line(open_limit);
    m_record.line("a caller opens a session for " + database + " at " +
                  m_host.address().to_string() + ": " +
                  line.value_or("no answer"));
    return line && line->starts_with("READY ");
}

std::string caller::line_of(const std::string& text, std::string& id)
{
    id = "r" + std::to_string(++last_request);
    m_record.line("caller sends " + id + " " + text);
    return "QUERY " + id + " " + text + "\r\n";
}

std::string caller::send(const std::string& text)
{
    return send_all({text}).front();
}

std::vector<std::string> caller::send_all(const std::vector<std::string>& texts)
{
    std::vector<std::string> ids(texts.size());
    std::string lines;
    for (std::size_t i = 0; i < texts.size(); ++i)
        lines += line_of(texts[i], ids[i]);
    error_code ignored;
    asio::write(m_socket, asio::buffer(lines), ignored);
    return ids;
}

caller_answer caller::read(const std::string& id)
{
    caller_answer answer;
    while (!answer.is_complete)
    {
        const auto line = read_line(answer_limit);
        if (!line)
            break;
        const auto word = line->substr(0, line->find(' '));
        const auto rest = line->substr(std::min(word.size() + 1, line->size()));
        if (word == "ROW")
            answer.rows.push_back(rest);
        else if (word == "DONE")
            answer.signature = rest;
        else if (word == "ERROR")
            answer.error = rest;
        else if (word == "READY")
        {
            answer.state = rest;
            answer.is_complete = true;
        }
    }
    m_record.line("caller takes for " + id + ": " + answer.text());
    return answer;
}

caller_answer caller::ask(const std::string& text)
{
    return read(send(text));
}

} // namespace review
