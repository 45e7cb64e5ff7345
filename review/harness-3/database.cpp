#include "database.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace review
{

namespace
{

constexpr std::int64_t replication_interval_ms = 2;
constexpr std::int64_t handshake_ms = 12;

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::pair<std::uint64_t, std::uint64_t>
decode_position(const std::string& position)
{
    const auto dot = position.find('.');
    return {std::stoull(position.substr(0, dot)),
            std::stoull(position.substr(dot + 1))};
}

} // namespace

database::database(database_group& group, database_options options)
    : m_group(group), m_options(std::move(options)),
      m_is_primary(m_options.is_primary), m_term(1)
{
}

void database::start()
{
    m_listener = listen_on(m_group.m_options.ip, m_options.port);
    m_is_running = true;
    m_born = unix_ms();
    m_sequence = 0;
    std::thread([this, listener = m_listener] { accept(listener); }).detach();
}

void database::crash()
{
    const std::lock_guard lock(m_group.m_mutex);
    m_is_running = false;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    for (const auto& peer : m_sessions)
    {
        peer->is_ended = true;
        peer->channel.shut();
    }
    m_sessions.clear();
    m_group.m_record.line(m_options.id + " crashes");
}

void database::restart(bool keeps_log)
{
    const std::lock_guard lock(m_group.m_mutex);
    const auto* leader = m_group.leader();
    if (!keeps_log)
    {
        m_log.clear();
        m_term = 0;
    }
    m_is_primary = m_is_primary && keeps_log && leader == nullptr;
    start();
    m_group.m_record.line(m_options.id + " starts again, " +
                          (keeps_log ? "with its log" : "and knows nothing") +
                          ", as " + (m_is_primary ? "primary" : "replica"));
}

void database::report()
{
    boost::json::object entry;
    {
        const std::lock_guard lock(m_group.m_mutex);
        entry = {{"service", m_group.m_options.service},
                 {"address",
                  m_group.m_options.ip + ":" + std::to_string(m_options.port)},
                 {"zone", m_options.zone},
                 {"version", "1"},
                 {"slots", 3},
                 {"state", m_is_leaving ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},
                 {"sequence", ++m_sequence},
                 {"born", m_born},
                 {"database_role", m_is_primary ? "primary" : "replica"}};
    }
    m_group.m_store->put("servers", m_options.id,
                         boost::json::serialize(entry));
}

void database::accept(int listener)
{
    while (true)
    {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const auto peer = std::make_shared<session>(fd);
        const std::lock_guard lock(m_group.m_mutex);
        if (!m_is_running || listener != m_listener)
            return;
        m_sessions.insert(peer);
        std::thread([this, peer] { serve(peer); }).detach();
    }
}

void database::serve(const std::shared_ptr<session>& peer)
{
    while (auto line = peer->channel.read_line())
    {
        auto rest = *line;
        const auto word = take_word(rest);
        if (word == "BYE")
            break;
        if (word == "START")
        {
            if (!open(*peer, rest))
                break;
            continue;
        }
        const auto id = take_word(rest);
        const auto result = execute(*peer, id, rest);
        std::string text;
        for (const auto& row : result.rows)
            text += "ROW " + row + "\r\n";
        text += result.error.empty() ? "DONE " + result.signature + "\r\n"
                                     : "ERROR " + result.error + "\r\n";
        {
            const std::lock_guard lock(m_group.m_mutex);
            text += "READY ";
            text += !peer->in_transaction ? "I "
                    : peer->has_failed    ? "E "
                                          : "T ";
            text += position() + "\r\n";
        }
        if (!peer->channel.write(text))
            break;
    }
    peer->channel.shut();
    const std::lock_guard lock(m_group.m_mutex);
    peer->is_ended = true;
    m_sessions.erase(peer);
}

bool database::open(session& peer, std::string rest)
{
    sleep_ms(handshake_ms);
    const auto service = take_word(rest);
    take_word(rest);
    if (service != m_group.m_options.service ||
        (!rest.empty() && rest != m_options.id))
    {
        peer.channel.write("ERROR MISROUTED " + m_options.id + "\r\n");
        return false;
    }
    std::string ready;
    {
        const std::lock_guard lock(m_group.m_mutex);
        peer.is_open = true;
        ready = "READY I " + position() + "\r\n";
    }
    return peer.channel.write(ready);
}

std::string database::position() const
{
    return m_log.empty() ? "0.0"
                         : std::to_string(m_log.back().term) + "." +
                               std::to_string(m_log.back().number);
}

bool database::has_position(const std::string& position) const
{
    const auto [term, number] = decode_position(position);
    if (number == 0)
        return true;
    return number <= m_log.size() && m_log[number - 1].term >= term;
}

database::answer database::status() const
{
    answer result;
    result.rows = {std::string(m_is_primary ? "primary " : "replica ") +
                   std::to_string(m_term) + " " + position() + " " +
                   std::to_string(m_held_term) + " 0 0 " +
                   std::to_string(m_sessions.size())};
    return result;
}

database::answer database::execute(session& peer, const std::string& id,
                                   std::string text)
{
    auto rest = text;
    auto word = take_word(rest);
    const bool takes_time = word == "READ" || word == "WRITE" ||
                            word == "COMMIT" || word == "EXECUTE" ||
                            word == "AFTER";
    if (takes_time)
        sleep_ms(m_group.m_options.work_ms);
    const std::lock_guard lock(m_group.m_mutex);
    if (peer.is_ended || !m_is_running)
        return {"FAILED the database has ended"};
    if (word == "AFTER")
    {
        if (!has_position(take_word(rest)))
            return {"LAGGING " + m_options.id};
        text = rest;
        word = take_word(rest);
    }
    if (peer.has_failed && word != "ROLLBACK" && word != "COMMIT")
        return {"MALFORMED the transaction failed"};
    return execute_statement(peer, id, text, word);
}

database::answer database::execute_statement(session& peer,
                                             const std::string& id,
                                             const std::string& text,
                                             const std::string& word)
{
    auto rest = text;
    take_word(rest);
    if (id == "-" && (word == "BEGIN" || word == "ROLLBACK"))
        m_group.m_record.line(m_options.id + " gets the proxy's " + text);
    if (word == "STATUS")
        return status();
    if (word == "DEMOTE")
    {
        if (m_is_primary && std::stoull(rest) > m_term)
            m_is_primary = false;
        return status();
    }
    if (word == "PAUSE" || word == "RESUME")
    {
        m_held_term = word == "PAUSE" ? std::stoull(rest) : 0;
        return status();
    }
    if (word == "BEGIN")
    {
        if (peer.in_transaction)
            return {"MALFORMED a transaction is open"};
        if (rest.empty() && !m_is_primary)
            return {"READONLY " + m_options.id};
        peer.in_transaction = true;
        peer.is_read_only = !rest.empty();
        return {};
    }
    if (word == "ROLLBACK")
    {
        peer.in_transaction = peer.has_failed = false;
        peer.writes.clear();
        return {};
    }
    if (word == "RESET")
    {
        peer.values.clear();
        peer.prepared.clear();
        return {};
    }
    if (word == "SET")
    {
        const auto name = take_word(rest);
        peer.values[name] = rest;
        return {};
    }
    if (word == "PREPARE")
    {
        const auto name = take_word(rest);
        const auto mode = take_word(rest);
        peer.prepared[name] = {mode == "WRITE", rest};
        return {};
    }
    if (word == "DEALLOCATE")
    {
        peer.prepared.erase(rest);
        return {};
    }
    return run(peer, id, text, word, rest);
}

database::answer database::run(session& peer, const std::string& id,
                               const std::string& text, std::string word,
                               std::string rest)
{
    if (word == "EXECUTE")
    {
        const auto found = peer.prepared.find(take_word(rest));
        if (found == peer.prepared.end())
            return {"NOSTMT " + m_options.id};
        word = found->second.first ? "WRITE" : "READ";
    }
    const bool is_plain = peer.in_transaction && !peer.is_read_only;
    const bool is_empty_commit = word == "COMMIT" && peer.writes.empty();
    if ((word == "WRITE" || (is_plain && !is_empty_commit)) && !m_is_primary)
    {
        peer.has_failed = peer.in_transaction;
        return {"READONLY " + m_options.id};
    }
    statement_run run{id, text, m_options.id, now_ms(), m_log.size(), false};
    answer result;
    result.signature = m_options.id + "." + std::to_string(m_term) + "." + id;
    if (word == "READ")
        result.rows = {value_of(peer, rest)};
    else if (word == "WRITE")
    {
        const auto item = take_word(rest);
        if (peer.in_transaction)
            peer.writes.push_back({id, item, rest});
        else
            commit(id, {{id, item, rest}});
        run.committed = !peer.in_transaction;
    }
    else if (word == "COMMIT")
    {
        run.committed = !peer.writes.empty() && !peer.has_failed;
        if (run.committed)
            commit(id, peer.writes);
        peer.writes.clear();
        peer.in_transaction = peer.has_failed = false;
    }
    else
        return {"MALFORMED unknown statement"};
    m_group.m_record.line(m_options.id + " runs " + id + " \"" + text +
                          "\" on a log of " + std::to_string(run.log_end) +
                          " entries");
    m_group.m_runs.push_back(std::move(run));
    return result;
}

std::string database::value_of(const session& peer,
                               const std::string& item) const
{
    std::string value = "none";
    for (const auto& entry : m_log)
        for (const auto& write : entry.writes)
            if (write[1] == item)
                value = write[2];
    for (const auto& write : peer.writes)
        if (write[1] == item)
            value = write[2];
    return value;
}

void database::commit(const std::string& id,
                      std::vector<std::array<std::string, 3>> writes)
{
    m_log.push_back({m_term, m_log.size() + 1, std::move(writes), id});
}

database_group::database_group(group_options options, record& out)
    : m_options(std::move(options)), m_record(out)
{
}

database& database_group::add(database_options options)
{
    m_databases.push_back(
        std::make_unique<database>(*this, std::move(options)));
    return *m_databases.back();
}

database& database_group::find(const std::string& id)
{
    const auto found = std::find_if(
        m_databases.begin(), m_databases.end(),
        [&](const auto& entry) { return entry->m_options.id == id; });
    return **found;
}

void database_group::start(row_store& store)
{
    m_store = &store;
    for (const auto& entry : m_databases)
    {
        entry->start();
        entry->report();
    }
    std::thread([this] {
        while (true)
        {
            sleep_ms(replication_interval_ms);
            const std::lock_guard lock(m_mutex);
            replicate();
        }
    }).detach();
}

database* database_group::leader()
{
    database* found = nullptr;
    for (const auto& entry : m_databases)
        if (entry->m_is_primary && entry->m_is_running &&
            (found == nullptr || entry->m_term > found->m_term))
            found = entry.get();
    return found;
}

// What a replica lacks reaches it at once; a replica whose log differs is
// rolled back first.
void database_group::replicate()
{
    const auto* source = leader();
    if (source == nullptr)
        return;
    for (const auto& entry : m_databases)
    {
        if (entry.get() == source || !entry->m_is_running || entry->m_is_deaf ||
            entry->m_is_primary)
            continue;
        auto& log = entry->m_log;
        std::size_t common = 0;
        while (common < log.size() && common < source->m_log.size() &&
               log[common].term == source->m_log[common].term)
            ++common;
        log.resize(common);
        log.insert(log.end(),
                   source->m_log.begin() + static_cast<std::ptrdiff_t>(common),
                   source->m_log.end());
        entry->m_term = source->m_term;
    }
}

int database_group::promote(const std::string& id, const std::string& holder,
                            std::uint64_t token)
{
    const std::lock_guard lock(m_mutex);
    m_record.line("promotion of " + id + " by " + holder + ", token " +
                  std::to_string(token));
    auto& target = find(id);
    if (!target.m_is_running)
        return 409;
    if (leader() == &target)
        return 200;
    std::thread([this, id] {
        sleep_ms(m_options.promote_ms);
        lead(id);
    }).detach();
    return 200;
}

void database_group::lead(const std::string& id)
{
    std::uint64_t term = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto& target = find(id);
        if (!target.m_is_running)
            return;
        for (const auto& entry : m_databases)
            term = std::max(term, entry->m_term);
        target.m_term = term + 1;
        target.m_is_primary = true;
        m_record.line(id + " leads term " + std::to_string(target.m_term) +
                      " with " + std::to_string(target.m_log.size()) +
                      " entries");
    }
    find(id).report();
    sleep_ms(1000);
    const std::lock_guard lock(m_mutex);
    for (const auto& entry : m_databases)
        if (entry->m_is_primary && entry->m_term <= term)
            entry->m_is_primary = false;
}

void database_group::set_deaf(const std::string& id, bool is_deaf)
{
    const std::lock_guard lock(m_mutex);
    find(id).m_is_deaf = is_deaf;
    m_record.line(id + (is_deaf ? " receives nothing" : " receives again"));
}

void database_group::set_leaving(const std::string& id)
{
    {
        const std::lock_guard lock(m_mutex);
        find(id).m_is_leaving = true;
        m_record.line(id + " is draining");
    }
    find(id).report();
}

std::string database_group::primary()
{
    const std::lock_guard lock(m_mutex);
    const auto* found = leader();
    return found == nullptr ? std::string() : found->m_options.id;
}

std::vector<log_entry> database_group::log()
{
    const std::lock_guard lock(m_mutex);
    const auto* found = leader();
    return found == nullptr ? std::vector<log_entry>() : found->m_log;
}

std::vector<statement_run> database_group::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

} // namespace review
