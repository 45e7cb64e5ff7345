#pragma once

#include <plantainward/http/server.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace plantainward::http::internal
{

/// State that the connections of one server share.
struct server_state
{
    server_limits limits;
    request_handler on_request;
    close_handler on_close;
    std::atomic<std::size_t> pending{0};
    std::atomic<bool> closing{false};
};

/// One caller's connection: parses input and writes responses in order.
///
/// It writes through a duplicate of the descriptor that Pistache reads from.
/// After Pistache has closed its own, the same number may go to another
/// caller's connection, which a late response must never reach.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(connection_id id, boost::asio::io_context& io,
                      int descriptor, std::shared_ptr<server_state> state);

    /// Parses bytes from the caller and passes each complete request on.
    void feed(std::string_view bytes);

    /// Drops the unanswered requests after the caller has closed the
    /// connection.
    void on_closed();

    /// Refuses a request that arrives too slowly and closes an idle connection
    /// after its timeout.
    void check_timeouts(core::instant now);

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    struct pending_response
    {
        std::optional<response> answer;
        bool keep_alive{true};
        bool http_1_0{false};
    };

    struct parsed_request
    {
        std::uint64_t number;
        request message;
    };

    void start_parser();
    std::vector<parsed_request> parse_available();
    std::optional<parsed_request> release_request();
    void refuse(int status, std::string_view kind, std::string_view text);
    void answer(std::uint64_t number, response reply);
    void flush();
    void write_more();
    void shut_down();

    const connection_id m_id;
    const std::shared_ptr<server_state> m_state;
    std::mutex m_mutex;
    boost::asio::ip::tcp::socket m_socket;
    std::optional<parser> m_parser;
    std::string m_input;
    std::deque<pending_response> m_pending;
    std::uint64_t m_first_number{0};
    std::string m_output;
    std::string m_writing;
    core::instant m_last_activity;
    std::optional<core::instant> m_request_start;
    bool m_reading{true};
    bool m_write_active{false};
    bool m_close_after_write{false};
    bool m_open{true};
};

} // namespace plantainward::http::internal
