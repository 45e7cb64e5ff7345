#include <line_database/line_database.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace standin
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct line_database::connection
{
    explicit connection(tcp::socket accepted_socket)
        : socket(std::move(accepted_socket)), timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    std::string input;
    bool started{false};
    bool in_transaction{false};
    std::vector<database_group::entry> pending;
    std::map<std::string, bool> prepared;
};

namespace
{

/// Removes the first word from a line and returns it.
std::string extract_word(std::string& rest)
{
    const auto space = rest.find(' ');
    auto word = rest.substr(0, space);
    rest = space == std::string::npos ? "" : rest.substr(space + 1);
    return word;
}

} // namespace

line_database::line_database(asio::io_context& io, std::string id,
                             const plantainward::core::address& address,
                             std::shared_ptr<database_group> group)
    : m_id(std::move(id)), m_group(std::move(group)),
      m_acceptor(io, {asio::ip::make_address(address.ip), address.port})
{
    accept();
}

void line_database::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error || !m_running)
            return;
        auto proxy_connection = std::make_shared<connection>(std::move(socket));
        m_connections.insert(proxy_connection);
        read(proxy_connection);
        accept();
    });
}

void line_database::crash()
{
    m_running = false;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& proxy_connection : std::exchange(m_connections, {}))
        proxy_connection->socket.close(ignored);
}

void line_database::read(const std::shared_ptr<connection>& proxy_connection)
{
    asio::async_read_until(
        proxy_connection->socket, asio::dynamic_buffer(proxy_connection->input),
        "\r\n", [this, proxy_connection](error_code error, std::size_t size) {
            if (error || !m_running)
                return void(m_connections.erase(proxy_connection));
            const auto line = proxy_connection->input.substr(0, size - 2);
            proxy_connection->input.erase(0, size);
            const auto answer = answer_line(*proxy_connection, line);
            const auto delay = delay_of(line);
            if (delay == std::chrono::milliseconds(0))
                return send(proxy_connection, answer);
            proxy_connection->timer.expires_after(delay);
            proxy_connection->timer.async_wait(
                [this, proxy_connection, answer](error_code) {
                    if (m_running)
                        send(proxy_connection, answer);
                });
        });
}

void line_database::send(const std::shared_ptr<connection>& proxy_connection,
                         const std::string& answer)
{
    error_code failed;
    asio::write(proxy_connection->socket, asio::buffer(answer), failed);
    read(proxy_connection);
}

// The proxy's own statements, which have the id `-`, are answered at once.
std::chrono::milliseconds line_database::delay_of(const std::string& line) const
{
    const std::lock_guard lock(m_group->mutex);
    const bool is_callers =
        line.starts_with("QUERY ") && !line.starts_with("QUERY - ");
    return is_callers ? m_group->answer_delay : std::chrono::milliseconds(0);
}

std::string line_database::ready_line(const connection& proxy_connection) const
{
    return std::string("READY ") +
           (proxy_connection.in_transaction ? "T " : "I ") +
           std::to_string(m_group->term) + "." +
           std::to_string(m_group->log.size()) + "\r\n";
}

std::string line_database::answer_line(connection& proxy_connection,
                                       const std::string& line)
{
    const std::lock_guard lock(m_group->mutex);
    auto rest = line;
    const auto word = extract_word(rest);
    if (word == "START")
    {
        const auto service = extract_word(rest);
        extract_word(rest);
        if (service != m_group->service || rest != m_id)
            return "ERROR MISROUTED " + m_id + "\r\n";
        return ready_line(proxy_connection);
    }
    const auto id = extract_word(rest);
    return run(proxy_connection, id, rest) + ready_line(proxy_connection);
}

std::string line_database::run(connection& proxy_connection,
                               const std::string& id, const std::string& text)
{
    const bool is_primary = m_group->primary == m_id;
    auto rest = text;
    auto word = extract_word(rest);
    if (word == "AFTER")
    {
        extract_word(rest);
        word = extract_word(rest);
    }
    if (id != "-")
        m_group->statement_runs.emplace_back(id, m_id);
    if (word == "STATUS")
        return std::string("ROW ") + (is_primary ? "primary " : "replica ") +
               std::to_string(m_group->term) + " " +
               std::to_string(m_group->term) + "." +
               std::to_string(m_group->log.size()) + " 0 0 1\r\nDONE -\r\n";
    if (word == "BEGIN")
    {
        if (rest.empty() && !is_primary)
            return "ERROR READONLY " + m_id + "\r\n";
        proxy_connection.in_transaction = true;
        return "DONE -\r\n";
    }
    if (word == "ROLLBACK" || word == "RESET")
    {
        proxy_connection.in_transaction = false;
        proxy_connection.pending.clear();
        return "DONE -\r\n";
    }
    if (word == "PREPARE")
    {
        const auto name = extract_word(rest);
        proxy_connection.prepared[name] = extract_word(rest) == "WRITE";
        return "DONE -\r\n";
    }
    if (word == "EXECUTE")
    {
        const auto statement =
            proxy_connection.prepared.find(extract_word(rest));
        if (statement == proxy_connection.prepared.end())
            return "ERROR NOSTMT " + m_id + "\r\n";
        word = statement->second ? "WRITE" : "READ";
    }
    if (word == "WRITE")
        return is_primary ? run_write(proxy_connection, rest)
                          : "ERROR READONLY " + m_id + "\r\n";
    if (word == "COMMIT")
    {
        proxy_connection.in_transaction = false;
        for (auto& entry : std::exchange(proxy_connection.pending, {}))
            m_group->log.push_back(std::move(entry));
        return "DONE " + m_id + "\r\n";
    }
    if (word != "READ")
        return "DONE -\r\n";
    std::string row = "-";
    for (const auto& entry : m_group->log)
        if (entry.item == rest)
            row = entry.data;
    return "ROW " + row + "\r\nDONE " + m_id + "\r\n";
}

std::string line_database::run_write(connection& proxy_connection,
                                     const std::string& rest)
{
    auto data = rest;
    const auto item = extract_word(data);
    auto& target = proxy_connection.in_transaction ? proxy_connection.pending
                                                   : m_group->log;
    target.push_back({item, data});
    return "DONE " + m_id + "\r\n";
}

} // namespace standin
