#include "database.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace review
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

std::string take_word(std::string& rest)
{
    const auto space = rest.find(' ');
    auto word = rest.substr(0, space);
    rest = space == std::string::npos ? "" : rest.substr(space + 1);
    return word;
}

constexpr millis replication_time{1};

struct prepared_shape
{
    bool writes{false};
    std::string shape;
};

} // namespace

struct database::connection
{
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::uint64_t number{0};
    std::array<char, 16384> buffer{};
    std::string input;
    std::deque<std::string> lines;
    bool is_serving{false};
    bool is_closed{false};
    bool has_started{false};
    bool in_transaction{false};
    bool has_failed{false};
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> prepared;
    std::map<std::string, std::string> pending;
};

database::database(asio::io_context& io, std::string id, std::uint16_t port,
                   database_group& group, database_options options, record& log)
    : m_io(io), m_id(std::move(id)), m_port(port), m_group(group),
      m_options(options), m_log(log),
      m_acceptor(io, {asio::ip::make_address("127.0.0.1"), port})
{
    accept();
}

void database::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        socket.set_option(tcp::no_delay(true));
        auto peer = std::make_shared<connection>(std::move(socket));
        peer->number = ++m_last_connection;
        m_connections.push_back(peer);
        peer->is_closed = !m_is_running;
        ++m_open;
        read(peer);
        accept();
    });
}

void database::read(const connection_pointer& peer)
{
    peer->socket.async_read_some(
        asio::buffer(peer->buffer),
        [this, peer](error_code error, std::size_t size) {
            if (error)
            {
                peer->is_closed = true;
                --m_open;
                std::erase(m_connections, peer);
                return;
            }
            peer->input.append(peer->buffer.data(), size);
            for (auto end = peer->input.find("\r\n"); end != std::string::npos;
                 end = peer->input.find("\r\n"))
            {
                peer->lines.push_back(peer->input.substr(0, end));
                peer->input.erase(0, end + 2);
            }
            serve(peer);
            read(peer);
        });
}

void database::serve(const connection_pointer& peer)
{
    if (peer->is_serving || peer->lines.empty() || peer->is_closed)
        return;
    peer->is_serving = true;
    const auto line = std::move(peer->lines.front());
    peer->lines.pop_front();
    serve_line(peer, line);
}

void database::serve_line(const connection_pointer& peer,
                          const std::string& line)
{
    auto rest = line;
    const auto word = take_word(rest);
    if (word == "START")
    {
        const auto service = take_word(rest);
        take_word(rest);
        if (service != m_group.service || (!rest.empty() && rest != m_id))
            return answer(peer, "ERROR MISROUTED " + m_id + "\r\n");
        if (m_open > m_options.max_connections)
            return answer(peer, "ERROR TOOMANY " + m_id + "\r\n");
        peer->has_started = true;
        return answer(peer, ready_line(*peer));
    }
    if (word != "QUERY" || !peer->has_started)
    {
        error_code ignored;
        peer->socket.close(ignored);
        return;
    }
    const auto id = take_word(rest);
    run(peer, id, rest);
}

void database::run(const connection_pointer& peer, const std::string& id,
                   std::string text)
{
    auto rest = text;
    auto word = take_word(rest);
    bool lacks_position = false;
    if (word == "AFTER")
    {
        const auto wanted = take_word(rest);
        const std::uint64_t number =
            std::stoull(wanted.substr(wanted.find('.') + 1));
        const std::uint64_t term = std::stoull(wanted);
        const std::uint64_t own_term =
            m_received == 0 ? 1 : m_group.log[m_received - 1].term;
        lacks_position = std::pair(own_term, std::uint64_t{m_received}) <
                         std::pair(term, number);
        text = rest;
        word = take_word(rest);
    }
    const auto code = m_refusal ? m_refusal(m_id, id, text) : std::string();
    if (!code.empty())
    {
        m_log.line(m_id + " connection " + std::to_string(peer->number) +
                   " refuses " + id + " " + text + ": " + code);
        return answer(peer, "ERROR " + code + " " + m_id + "\r\n" +
                                ready_line(*peer));
    }
    if (lacks_position)
        return answer(peer,
                      "ERROR LAGGING " + m_id + "\r\n" + ready_line(*peer));
    const auto done = [&] {
        answer(peer, "DONE -\r\n" + ready_line(*peer));
    };
    const auto fail = [&](const char* reason) {
        peer->has_failed = peer->in_transaction;
        answer(peer, std::string("ERROR ") + reason + " " + m_id + "\r\n" +
                         ready_line(*peer));
    };
    if (word == "RESET")
    {
        peer->values.clear();
        peer->prepared.clear();
        return done();
    }
    if (word == "SET")
    {
        const auto name = take_word(rest);
        peer->values[name] = rest;
        return done();
    }
    if (word == "PREPARE")
    {
        const auto name = take_word(rest);
        const auto mode = take_word(rest);
        peer->prepared[name] = {mode == "WRITE", rest};
        return done();
    }
    if (word == "BEGIN")
    {
        if (rest.empty() && !is_primary())
            return fail("READONLY");
        peer->in_transaction = true;
        return done();
    }
    if (word == "ROLLBACK")
    {
        peer->in_transaction = false;
        peer->has_failed = false;
        peer->pending.clear();
        return done();
    }
    if (word == "DEMOTE" || word == "PAUSE" || word == "RESUME" ||
        word == "STATUS")
        return answer(
            peer, std::string("ROW ") +
                      (is_primary() ? "primary " : "replica ") +
                      std::to_string(m_group.term) + " " + position() + " " +
                      std::to_string(m_group.term) + " 0 " +
                      std::to_string(m_busy) + " " + std::to_string(m_open) +
                      "\r\nDONE -\r\n" + ready_line(*peer));
    if (word == "EXECUTE")
    {
        const auto found = peer->prepared.find(take_word(rest));
        if (found == peer->prepared.end())
            return fail("NOSTMT");
        word = found->second.writes ? "WRITE" : "READ";
    }
    if (word == "WRITE" && !is_primary())
        return fail("READONLY");
    if (word == "READ" || word == "WRITE" || word == "COMMIT")
        return run_in_slot(peer, id, text, word, rest);
    fail("MALFORMED");
}

void database::run_in_slot(const connection_pointer& peer,
                           const std::string& id, const std::string& text,
                           const std::string& word, const std::string& rest)
{
    if (m_jobs.size() >= m_options.queue)
        return answer(peer, "ERROR BUSY " + m_id + "\r\n" + ready_line(*peer));
    auto& runs = m_group.runs[id];
    runs.push_back({m_id,
                    peer->number,
                    text,
                    peer->values,
                    peer->in_transaction,
                    steady::now(),
                    {}});
    std::string values;
    for (const auto& [name, value] : peer->values)
        values.append(" ").append(name).append("=").append(value);
    m_log.line(m_id + " connection " + std::to_string(peer->number) +
               " takes " + id + " " + text + ", values:" + values +
               (peer->in_transaction ? ", in a transaction" : ""));
    m_jobs.push_back({peer, id, word, rest, runs.size() - 1});
    start_jobs();
}

void database::start_jobs()
{
    while (m_busy < m_options.slots && !m_jobs.empty())
    {
        auto next = std::move(m_jobs.front());
        m_jobs.pop_front();
        if (next.peer->is_closed)
            continue;
        ++m_busy;
        auto timer = std::make_shared<asio::steady_timer>(m_io, m_options.work);
        timer->async_wait([this, timer, next = std::move(next)](error_code) {
            --m_busy;
            if (!next.peer->is_closed)
            {
                complete(next);
            }
            start_jobs();
        });
    }
}

void database::complete(const job& completed)
{
    auto& peer = *completed.peer;
    const auto signature = "DONE s." + completed.id + "." + m_id + "\r\n";
    if (completed.word == "WRITE")
    {
        auto data = completed.rest;
        const auto item = take_word(data);
        if (!peer.in_transaction)
            return commit(completed, {{item, data}});
        peer.pending[item] = data;
        return finish(completed, signature);
    }
    if (completed.word == "COMMIT")
    {
        peer.in_transaction = false;
        if (peer.pending.empty())
            return finish(completed, signature);
        return commit(completed, std::exchange(peer.pending, {}));
    }
    std::string row = "-";
    for (auto i = m_received; i > 0 && row == "-"; --i)
        if (const auto& data = m_group.log[i - 1].data;
            data.contains(completed.rest))
            row = data.at(completed.rest);
    if (const auto own = peer.pending.find(completed.rest);
        own != peer.pending.end())
        row = own->second;
    finish(completed, "ROW " + row + "\r\n" + signature);
}

void database::commit(const job& committed,
                      std::map<std::string, std::string> data)
{
    m_group.log.resize(m_received);
    m_group.log.push_back({m_group.term, committed.id, std::move(data)});
    m_received = m_group.log.size();
    m_waiting.push_back({committed, m_received,
                         "DONE s." + committed.id + "." + m_id + "\r\n"});
    for (auto* replica : m_peers)
    {
        auto timer =
            std::make_shared<asio::steady_timer>(m_io, replication_time);
        timer->async_wait(
            [this, replica, length = m_received, timer](error_code) {
                replica->receive(length);
                answer_received();
            });
    }
    answer_received();
}

void database::receive(std::size_t length)
{
    if (m_is_receiving && m_is_running && length <= m_group.log.size())
        m_received = std::max(m_received, length);
}

void database::set_receiving(bool receiving)
{
    m_is_receiving = receiving;
    m_log.line(m_id + (receiving ? " receives commits again"
                                 : " receives no commits from now on"));
    if (receiving)
        receive(m_group.log.size());
}

// Acknowledges the commits that enough replicas have received.
void database::answer_received()
{
    if (!m_is_running)
        return;
    for (auto& waiting : std::exchange(m_waiting, {}))
    {
        std::size_t replicas = 0;
        for (const auto* replica : m_peers)
            replicas += replica->received() >= waiting.length ? 1 : 0;
        if (replicas >= m_group.sync_replicas)
            finish(waiting.committed, waiting.lines);
        else
            m_waiting.push_back(std::move(waiting));
    }
}

void database::cut_back(std::size_t length)
{
    m_received = std::min(m_received, length);
    m_waiting.clear();
}

void database::lead()
{
    m_group.log.resize(m_received);
    for (auto* other : m_peers)
        other->cut_back(m_received);
    m_group.primary = m_id;
    ++m_group.term;
    m_log.line(m_id + " leads term " + std::to_string(m_group.term) + " with " +
               std::to_string(m_received) + " commits");
}

void database::crash()
{
    m_log.line(m_id + " crashes with " + std::to_string(m_received) +
               " commits");
    m_is_running = false;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& peer : std::exchange(m_connections, {}))
    {
        peer->is_closed = true;
        peer->socket.close(ignored);
    }
    m_waiting.clear();
    m_jobs.clear();
}

void database::go_dark()
{
    m_log.line(m_id + " goes dark with " + std::to_string(m_received) +
               " commits");
    m_is_running = false;
    for (const auto& peer : m_connections)
        peer->is_closed = true;
    m_waiting.clear();
    m_jobs.clear();
}

void database::restart()
{
    m_log.line(m_id + " starts again");
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& peer : std::exchange(m_connections, {}))
    {
        peer->is_closed = true;
        peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        peer->socket.close(ignored);
    }
    m_acceptor =
        tcp::acceptor(m_io, {asio::ip::make_address("127.0.0.1"), m_port});
    m_is_running = true;
    accept();
}

void database::finish(const job& finished, const std::string& lines)
{
    if (finished.peer->is_closed)
        return;
    m_group.runs[finished.id][finished.run].answered = steady::now();
    m_log.line(m_id + " answers " + finished.id);
    answer(finished.peer, lines + ready_line(*finished.peer));
}

void database::answer(const connection_pointer& peer, const std::string& lines)
{
    auto text = std::make_shared<std::string>(lines);
    asio::async_write(peer->socket, asio::buffer(*text),
                      [this, peer, text](error_code error, std::size_t) {
                          peer->is_serving = false;
                          if (!error)
                              serve(peer);
                      });
}

std::string database::position() const
{
    const auto term = m_received == 0 ? 1 : m_group.log[m_received - 1].term;
    return std::to_string(term) + "." + std::to_string(m_received);
}

std::string database::ready_line(const connection& peer) const
{
    const char* state = "I ";
    if (peer.in_transaction)
        state = peer.has_failed ? "E " : "T ";
    return std::string("READY ") + state + position() + "\r\n";
}

} // namespace review
