#include "database.hpp"

#include <sys/socket.h>

#include <thread>
#include <tuple>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace review
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Work of a read, write or commit, and the lag of a replica that follows.
constexpr ms work_time{6};
constexpr ms replica_lag{8};

std::string take_word(std::string& rest)
{
    const auto end = std::min(rest.find(' '), rest.size());
    auto word = rest.substr(0, end);
    rest.erase(0, std::min(end + 1, rest.size()));
    return word;
}

} // namespace

struct database::session
{
    unsigned number{0};
    bool has_started{false};
    bool has_failed{false};
    bool in_transaction{false};
    bool reads_only{false};
    std::vector<commit> writes;
    std::map<std::string, std::string> values;
    /// Mode and shape of the prepared statements.
    std::map<std::string, std::string> prepared;
};

database::database(record& log, database_group& group, std::string id,
                   tcp::endpoint address)
    : m_record(log), m_group(group), m_id(std::move(id)),
      m_address(std::move(address))
{
    listen();
    std::thread([this] { replicate(); }).detach();
}

void database::listen()
{
    m_acceptor = std::make_unique<tcp::acceptor>(m_io, m_address);
    m_born = std::chrono::duration_cast<ms>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_is_running = true;
    std::thread([this] { accept(); }).detach();
}

void database::stop()
{
    const std::lock_guard lock(m_group.mutex);
    m_record.line(m_id + " stops with its log at " + position());
    m_is_running = false;
    // Ends the blocking call, which a close alone does not.
    ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
    for (const auto& socket : m_sockets)
        ::shutdown(socket->native_handle(), SHUT_RDWR);
}

void database::start_empty()
{
    const std::lock_guard lock(m_group.mutex);
    m_log.clear();
    m_is_primary = false;
    m_acceptor.reset();
    m_record.line(m_id + " starts again with its log at " + position());
    listen();
}

void database::lead(std::uint64_t term)
{
    m_group.leader = this;
    m_group.term = term;
    m_term = term;
    m_is_primary = true;
    m_record.line(m_id + " leads term " + std::to_string(term) + " of " +
                  m_group.service + " from " + position());
}

void database::accept()
{
    for (;;)
    {
        error_code error;
        const auto socket =
            std::make_shared<tcp::socket>(m_acceptor->accept(error));
        if (error)
            return;
        std::thread([this, socket] {
            {
                const std::lock_guard lock(m_group.mutex);
                m_sockets.insert(socket);
            }
            serve(socket);
            const std::lock_guard lock(m_group.mutex);
            m_sockets.erase(socket);
        }).detach();
    }
}

void database::replicate()
{
    for (;;)
    {
        std::this_thread::sleep_for(replica_lag);
        const std::lock_guard lock(m_group.mutex);
        const auto* leader = m_group.leader;
        if (m_is_deaf || !m_is_running || leader == nullptr || leader == this ||
            !leader->m_is_running || !leader->m_is_primary)
            continue;
        m_is_primary = false;
        m_term = leader->m_term;
        m_log = leader->m_log;
    }
}

void database::serve(const std::shared_ptr<tcp::socket>& socket)
{
    session peer;
    peer.number = ++m_last_connection;
    std::string input;
    error_code error;
    for (;;)
    {
        const auto size = asio::read_until(*socket, asio::dynamic_buffer(input),
                                           "\r\n", error);
        if (error)
            return;
        const auto line = input.substr(0, size - 2);
        input.erase(0, size);
        const auto reply = answer(peer, line);
        if (!reply.empty())
            asio::write(*socket, asio::buffer(reply), error);
        if (reply.empty() || error || !peer.has_started)
            return;
    }
}

std::string database::answer(session& peer, const std::string& line)
{
    auto rest = line;
    const auto word = take_word(rest);
    if (word == "START")
    {
        const auto service = take_word(rest);
        take_word(rest);
        const std::lock_guard lock(m_group.mutex);
        if (service != m_group.service || (!rest.empty() && rest != m_id))
            return "ERROR MISROUTED " + m_id + "\r\n";
        peer.has_started = true;
        return ready_line(peer);
    }
    if (word != "QUERY" || !peer.has_started)
        return {};
    const auto id = take_word(rest);
    return run(peer, id, rest);
}

std::string database::position() const
{
    return std::to_string(m_log.empty() ? 1 : m_log.back().term) + "." +
           std::to_string(m_log.size());
}

bool database::has_position(const std::string& wanted) const
{
    const auto dot = wanted.find('.');
    const std::uint64_t term = std::stoull(wanted);
    const std::uint64_t number = std::stoull(wanted.substr(dot + 1));
    const std::uint64_t own_term = m_log.empty() ? 1 : m_log.back().term;
    const std::uint64_t own_number = m_log.size();
    return std::tie(own_term, own_number) >= std::tie(term, number);
}

std::string database::ready_line(const session& peer) const
{
    const char* state =
        !peer.in_transaction ? "I" : (peer.has_failed ? "E" : "T");
    return std::string("READY ") + state + " " + position() + "\r\n";
}

std::string database::fail(session& peer, const std::string& code) const
{
    peer.has_failed = peer.in_transaction;
    return "ERROR " + code + " " + m_id + "\r\n" + ready_line(peer);
}

std::string database::success(const session& peer, const std::string& signature,
                              const std::vector<std::string>& rows) const
{
    std::string lines;
    for (const auto& row : rows)
        lines += "ROW " + row + "\r\n";
    return lines + "DONE " + signature + "\r\n" + ready_line(peer);
}

std::string database::run(session& peer, const std::string& id,
                          std::string text)
{
    const auto whole = text;
    auto word = take_word(text);
    {
        const std::lock_guard lock(m_group.mutex);
        if (peer.has_failed && word != "ROLLBACK" && word != "COMMIT")
            return fail(peer, "MALFORMED");
        if (word == "AFTER")
        {
            if (!has_position(take_word(text)))
                return fail(peer, "LAGGING");
            word = take_word(text);
        }
    }
    auto prepared = peer.prepared.end();
    if (word == "EXECUTE")
    {
        prepared = peer.prepared.find(take_word(text));
        const std::lock_guard lock(m_group.mutex);
        if (prepared == peer.prepared.end())
            return fail(peer, "NOSTMT");
        word = prepared->second.substr(0, prepared->second.find(' '));
    }
    const bool works = word == "READ" || word == "WRITE" || word == "COMMIT";
    if (works)
        std::this_thread::sleep_for(work_time);
    const std::lock_guard lock(m_group.mutex);
    auto reply = run_statement(peer, id, word, text);
    if (id != "-")
        m_record.line(m_id + (m_is_primary ? " (primary)" : " (replica)") +
                      " connection " + std::to_string(peer.number) + " runs " +
                      id + " " + whole + ", log at " + position() + ": " +
                      reply.substr(0, reply.find("\r\nREADY")));
    return reply;
}

std::string database::run_statement(session& peer, const std::string& id,
                                    const std::string& word,
                                    const std::string& text)
{
    auto rest = text;
    const auto status = [&] {
        return success(peer, "-",
                       {std::string(m_is_primary ? "primary " : "replica ") +
                        std::to_string(m_term) + " " + position() +
                        " 0 0 0 1"});
    };
    const bool writes =
        word == "WRITE" ||
        (peer.in_transaction && !peer.reads_only && !peer.writes.empty());
    if (word == "STATUS")
        return status();
    if (word == "DEMOTE")
    {
        m_is_primary = m_is_primary && std::stoull(rest) <= m_term;
        return status();
    }
    if (word == "RESET")
    {
        peer.values.clear();
        peer.prepared.clear();
        return success(peer, "-");
    }
    if (word == "SET")
    {
        const auto name = take_word(rest);
        peer.values[name] = rest;
        return success(peer, "-");
    }
    if (word == "PREPARE")
    {
        const auto name = take_word(rest);
        peer.prepared[name] = rest;
        return success(peer, "-");
    }
    if (word == "BEGIN")
    {
        if (rest.empty() && !m_is_primary)
            return fail(peer, "READONLY");
        peer.in_transaction = true;
        peer.reads_only = !rest.empty();
        return success(peer, "-");
    }
    if (word == "ROLLBACK" || (word == "COMMIT" && peer.has_failed))
    {
        const bool was_committed = word == "COMMIT";
        peer.in_transaction = peer.has_failed = false;
        peer.writes.clear();
        return was_committed ? fail(peer, "FAILED") : success(peer, "-");
    }
    if (writes && !m_is_primary)
        return fail(peer, "READONLY");
    const auto signature =
        m_id + "." + id + "." + std::to_string(++m_last_signature);
    if (word == "COMMIT")
    {
        for (const auto& write : peer.writes)
            add_commit(write.id, write.item, write.data);
        peer.in_transaction = false;
        peer.writes.clear();
        return success(peer, signature);
    }
    if (word == "WRITE")
    {
        const auto item = take_word(rest);
        if (peer.in_transaction)
            peer.writes.push_back({m_term, id, item, rest});
        else
            add_commit(id, item, rest);
        return success(peer, signature);
    }
    if (word != "READ")
        return fail(peer, "MALFORMED");
    std::string data = "nothing";
    for (const auto& done : m_log)
        if (done.item == rest)
            data = done.data;
    return success(peer, signature, {rest + " is " + data});
}

void database::add_commit(const std::string& id, const std::string& item,
                          const std::string& data)
{
    m_log.push_back({m_term, id, item, data});
    m_record.line(m_id + " commits " + id + " at " + position());
}

} // namespace review
