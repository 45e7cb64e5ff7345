#include <plantainward/http/internal/server_connection.hpp>

#include <utility>

#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace plantainward::http::internal
{

namespace beast_http = boost::beast::http;

namespace
{

std::string_view reason_phrase(int status)
{
    const auto text =
        beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    return {text.data(), text.size()};
}

std::string serialize(const response& reply, bool keep_alive, bool http_1_0)
{
    std::string text;
    text.reserve(reply.body.size() + 256);
    text += http_1_0 ? "HTTP/1.0 " : "HTTP/1.1 ";
    text += std::to_string(reply.status);
    text += ' ';
    text += reason_phrase(reply.status);
    text += "\r\nContent-Type: ";
    text += reply.content_type;
    text += "\r\nContent-Length: ";
    text += std::to_string(reply.body.size());
    text += keep_alive ? "\r\nConnection: keep-alive\r\n"
                       : "\r\nConnection: close\r\n";
    for (const auto& [name, value] : reply.fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "\r\n";
    text += reply.body;
    return text;
}

std::string error_body(std::string_view kind, std::string_view reason)
{
    std::string body = R"({"error":{"kind":")";
    body.append(kind).append(R"(","reason":")").append(reason);
    body += R"(","ran":"not_run","retryable":false,"retry_after_ms":0}})";
    return body;
}

} // namespace

server_connection::server_connection(connection_id id,
                                     boost::asio::io_context& io,
                                     int descriptor,
                                     std::shared_ptr<server_state> state)
    : m_id(id), m_state(std::move(state)), m_socket(io),
      m_last_activity(core::steady::now())
{
    boost::system::error_code ignored;
    m_socket.assign(boost::asio::ip::tcp::v4(), ::dup(descriptor), ignored);
    start_parser();
}

void server_connection::start_parser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_state->limits.max_header_bytes));
    m_parser->body_limit(m_state->limits.max_body_bytes);
}

void server_connection::feed(std::string_view bytes)
{
    std::vector<parsed_request> complete;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_open || !m_reading)
            return;
        m_last_activity = core::steady::now();
        m_input.append(bytes);
        complete = parse_available();
    }
    for (auto& [number, message] : complete)
    {
        m_state->on_request(
            m_id, std::move(message),
            [self = shared_from_this(), number = number](response reply) {
                self->answer(number, std::move(reply));
            });
    }
}

std::vector<server_connection::parsed_request>
server_connection::parse_available()
{
    std::vector<parsed_request> complete;
    while (m_reading && !m_input.empty())
    {
        if (!m_request_start)
            m_request_start = m_last_activity;
        boost::system::error_code error;
        const auto consumed =
            m_parser->put(boost::asio::buffer(m_input), error);
        m_input.erase(0, consumed);
        if (error == beast_http::error::need_more)
            break;
        if (error == beast_http::error::header_limit)
            refuse(431, "header_too_large", "the header is too large");
        else if (error == beast_http::error::body_limit)
            refuse(413, "too_large", "the body is too large");
        else if (error)
            refuse(400, "bad_request", "the request is malformed");
        if (error)
            break;
        if (!m_parser->is_done())
            continue;
        if (auto complete_request = release_request())
            complete.push_back(std::move(*complete_request));
    }
    return complete;
}

std::optional<server_connection::parsed_request>
server_connection::release_request()
{
    if (m_pending.size() >= m_state->limits.max_pipelined)
    {
        refuse(503, "overloaded", "too many pipelined requests");
        return std::nullopt;
    }
    auto message = m_parser->release();
    m_pending.push_back(
        {std::nullopt, message.keep_alive(), message.version() == 10});
    m_state->pending.fetch_add(1);
    m_request_start.reset();
    m_reading = message.keep_alive();
    start_parser();

    request converted;
    converted.method = std::string(message.method_string());
    converted.target = std::string(message.target());
    for (const auto& header_field : message)
        converted.fields.emplace_back(header_field.name_string(),
                                      header_field.value());
    converted.body = std::move(message.body());
    return parsed_request{m_first_number + m_pending.size() - 1,
                          std::move(converted)};
}

void server_connection::refuse(int status, std::string_view kind,
                               std::string_view text)
{
    m_reading = false;
    m_request_start.reset();
    response reply;
    reply.status = status;
    reply.body = error_body(kind, text);
    m_pending.push_back({std::move(reply), false, false});
    m_state->pending.fetch_add(1);
    flush();
}

void server_connection::answer(std::uint64_t number, response reply)
{
    const std::lock_guard lock(m_mutex);
    if (!m_open || number < m_first_number)
        return;
    auto& pending = m_pending.at(number - m_first_number);
    if (pending.answer)
        return;
    if (reply.close)
        pending.keep_alive = false;
    pending.answer = std::move(reply);
    flush();
}

void server_connection::flush()
{
    while (!m_pending.empty() && m_pending.front().answer)
    {
        const auto& front = m_pending.front();
        const bool is_last = !front.keep_alive || m_state->closing;
        m_output += serialize(*front.answer, !is_last, front.http_1_0);
        m_pending.pop_front();
        ++m_first_number;
        m_state->pending.fetch_sub(1);
        if (!is_last)
            continue;
        m_close_after_write = true;
        m_reading = false;
        m_first_number += m_pending.size();
        m_state->pending.fetch_sub(m_pending.size());
        m_pending.clear();
    }
    if (m_output.size() > m_state->limits.max_unsent_bytes)
        return shut_down();
    if (!m_write_active)
        write_more();
}

void server_connection::write_more()
{
    if (m_output.empty())
    {
        if (m_close_after_write)
            shut_down();
        return;
    }
    m_writing = std::exchange(m_output, {});
    m_write_active = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](
                                 boost::system::error_code error, std::size_t) {
                                 const std::lock_guard lock(self->m_mutex);
                                 self->m_write_active = false;
                                 if (error)
                                     return self->shut_down();
                                 self->write_more();
                             });
}

void server_connection::shut_down()
{
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
}

void server_connection::on_closed()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_open)
            return;
        m_open = false;
        m_state->pending.fetch_sub(m_pending.size());
        m_pending.clear();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    if (m_state->on_close)
        m_state->on_close(m_id);
}

void server_connection::check_timeouts(core::instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_open)
        return;
    if (m_request_start &&
        now - *m_request_start > m_state->limits.request_timeout)
        return refuse(408, "timed_out_reading",
                      "the request did not arrive in time");
    if (m_pending.empty() && !m_request_start &&
        now - m_last_activity > m_state->limits.idle_timeout)
        shut_down();
}

} // namespace plantainward::http::internal
