#include <line_database/line_database.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace standin
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct line_database::connection
{
    explicit connection(tcp::socket made) : socket(std::move(made)) {}

    tcp::socket socket;
    std::string input;
    bool started{false};
    bool in_transaction{false};
    std::vector<database_group::entry> pending;
    std::map<std::string, bool> prepared;
};

namespace
{

std::string take_word(std::string& rest)
{
    const auto space = rest.find(' ');
    auto word = rest.substr(0, space);
    rest = space == std::string::npos ? "" : rest.substr(space + 1);
    return word;
}

} // namespace

line_database::line_database(asio::io_context& io, std::string id,
                             const plantainward::core::address& where,
                             std::shared_ptr<database_group> group)
    : m_id(std::move(id)), m_group(std::move(group)),
      m_acceptor(io, {asio::ip::make_address(where.ip), where.port})
{
    accept();
}

void line_database::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error || !m_up)
            return;
        auto one = std::make_shared<connection>(std::move(socket));
        m_connections.insert(one);
        read(one);
        accept();
    });
}

void line_database::crash()
{
    m_up = false;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& one : std::exchange(m_connections, {}))
        one->socket.close(ignored);
}

void line_database::read(const std::shared_ptr<connection>& one)
{
    asio::async_read_until(
        one->socket, asio::dynamic_buffer(one->input), "\r\n",
        [this, one](error_code error, std::size_t size) {
            if (error || !m_up)
                return void(m_connections.erase(one));
            const auto line = one->input.substr(0, size - 2);
            one->input.erase(0, size);
            error_code failed;
            asio::write(one->socket, asio::buffer(answer(*one, line)), failed);
            read(one);
        });
}

std::string line_database::ready(const connection& one) const
{
    return std::string("READY ") + (one.in_transaction ? "T " : "I ") +
           std::to_string(m_group->term) + "." +
           std::to_string(m_group->log.size()) + "\r\n";
}

std::string line_database::answer(connection& one, const std::string& line)
{
    const std::lock_guard lock(m_group->mutex);
    auto rest = line;
    const auto word = take_word(rest);
    if (word == "START")
    {
        const auto service = take_word(rest);
        take_word(rest);
        if (service != m_group->service || rest != m_id)
            return "ERROR MISROUTED " + m_id + "\r\n";
        return ready(one);
    }
    const auto id = take_word(rest);
    return run(one, id, rest) + ready(one);
}

std::string line_database::run(connection& one, const std::string& id,
                               const std::string& text)
{
    const bool is_primary = m_group->primary == m_id;
    auto rest = text;
    auto word = take_word(rest);
    if (word == "AFTER")
    {
        take_word(rest);
        word = take_word(rest);
    }
    if (id != "-")
        m_group->runs.emplace_back(id, m_id);
    if (word == "STATUS")
        return std::string("ROW ") + (is_primary ? "primary " : "replica ") +
               std::to_string(m_group->term) + " " +
               std::to_string(m_group->term) + "." +
               std::to_string(m_group->log.size()) + " 0 0 1\r\nDONE -\r\n";
    if (word == "BEGIN")
    {
        if (rest.empty() && !is_primary)
            return "ERROR READONLY " + m_id + "\r\n";
        one.in_transaction = true;
        return "DONE -\r\n";
    }
    if (word == "ROLLBACK" || word == "RESET")
    {
        one.in_transaction = false;
        one.pending.clear();
        return "DONE -\r\n";
    }
    if (word == "PREPARE")
    {
        const auto name = take_word(rest);
        one.prepared[name] = take_word(rest) == "WRITE";
        return "DONE -\r\n";
    }
    if (word == "EXECUTE")
    {
        const auto known = one.prepared.find(take_word(rest));
        if (known == one.prepared.end())
            return "ERROR NOSTMT " + m_id + "\r\n";
        word = known->second ? "WRITE" : "READ";
    }
    if (word == "WRITE")
        return is_primary ? run_write(one, rest)
                          : "ERROR READONLY " + m_id + "\r\n";
    if (word == "COMMIT")
    {
        one.in_transaction = false;
        for (auto& each : std::exchange(one.pending, {}))
            m_group->log.push_back(std::move(each));
        return "DONE " + m_id + "\r\n";
    }
    if (word != "READ")
        return "DONE -\r\n";
    std::string row = "-";
    for (const auto& each : m_group->log)
        if (each.item == rest)
            row = each.data;
    return "ROW " + row + "\r\nDONE " + m_id + "\r\n";
}

std::string line_database::run_write(connection& one, const std::string& rest)
{
    auto data = rest;
    const auto item = take_word(data);
    auto& target = one.in_transaction ? one.pending : m_group->log;
    target.push_back({item, data});
    return "DONE " + m_id + "\r\n";
}

} // namespace standin
