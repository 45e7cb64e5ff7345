#include "database_session.hpp"

#include <algorithm>
#include <utility>

namespace soak
{

namespace
{

// A database drops a connection whose other end is unreachable after this time.
constexpr std::chrono::seconds unreachable_time{3};
// A primary that was replaced goes on for this long.
constexpr std::chrono::seconds old_lead_time{1};

} // namespace

std::shared_ptr<database> database_group::find(const std::string& id) const
{
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const auto& member) { return member->id() == id; });
    return found == members.end() ? nullptr : *found;
}

database::database(database_world& world, database_group& group, std::string id,
                   tcp::endpoint address, std::string zone)
    : m_world(world), m_group(group), m_id(std::move(id)),
      m_address(std::move(address)), m_zone(std::move(zone)),
      m_dice(world.seed, std::hash<std::string>{}(m_id))
{
}

bool database::start()
{
    error_code error;
    m_acceptor = std::make_unique<tcp::acceptor>(m_world.io);
    m_acceptor->open(tcp::v4(), error);
    m_acceptor->set_option(asio::socket_base::reuse_address(true), error);
    if (m_acceptor->bind(m_address, error) ||
        m_acceptor->listen(asio::socket_base::max_listen_connections, error))
        return false;
    m_is_running = true;
    m_held_term = 0;
    m_last_pull = m_world.record.now();
    const auto number = ++m_start_number;
    m_world.record.line(m_id + " of " + m_group.service + " starts at " +
                        m_address.address().to_string() + " with " +
                        position());
    spawn(m_world.io,
          [self = shared_from_this(), number] { return self->accept(number); });
    spawn(m_world.io, [self = shared_from_this(), number] {
        return self->replicate(number);
    });
    return true;
}

void database::stop()
{
    if (!m_is_running)
        return;
    m_world.record.line(m_id + " ends with " + position());
    m_is_running = false;
    m_is_primary = false;
    error_code ignored;
    m_acceptor->close(ignored);
    reset_connections();
}

void database::mute_connections()
{
    m_world.record.line(m_id + ": its connections go silent");
    for (const auto& peer : m_sessions)
    {
        peer->is_muted = true;
        peer->is_unreachable = true;
        spawn(m_world.io, [self = shared_from_this(), peer]() -> task {
            co_await pause(unreachable_time);
            self->end_session(*peer);
        });
    }
}

void database::reset_connections()
{
    for (const auto& peer : std::set(m_sessions))
    {
        peer->channel.reset();
        end_session(*peer);
    }
}

void database::lead(std::uint64_t new_term)
{
    m_group.leader = m_id;
    m_group.term = new_term;
    m_own_term = new_term;
    m_is_primary = true;
    m_held_term = 0;
    m_world.record.line(m_id + " leads term " + std::to_string(new_term) +
                        " of " + m_group.service + " from " + position());
    if (m_on_role_change)
        m_on_role_change();
}

void database::follow()
{
    if (!m_is_primary)
        return;
    m_is_primary = false;
    m_world.record.line(m_id + " follows");
    if (m_on_role_change)
        m_on_role_change();
}

task database::accept(unsigned start_number)
{
    while (m_is_running && m_start_number == start_number)
    {
        auto [error, socket] = co_await m_acceptor->async_accept(use_result);
        if (error)
            co_return;
        const auto peer = std::make_shared<session>(std::move(socket));
        peer->number = ++m_world.last_connection;
        m_sessions.insert(peer);
        spawn(m_world.io,
              [self = shared_from_this(), peer] { return self->read(peer); });
        spawn(m_world.io,
              [self = shared_from_this(), peer] { return self->serve(peer); });
    }
}

task database::read(session_pointer peer)
{
    while (auto line = co_await peer->channel.read_line())
    {
        peer->lines.push_back({std::move(*line), m_world.record.now()});
        peer->wakeup.cancel();
    }
    // Nobody learns of the end of a connection whose path is dead.
    if (!peer->is_unreachable)
        end_session(*peer);
}

task database::serve(session_pointer peer)
{
    const auto self = shared_from_this();
    while (!peer->is_ended)
    {
        if (peer->lines.empty() || peer->is_muted)
        {
            peer->wakeup.expires_after(std::chrono::hours(1));
            co_await peer->wakeup.async_wait(use_result);
            continue;
        }
        const auto line = std::move(peer->lines.front());
        peer->lines.pop_front();
        bool goes_on = false;
        if (peer->has_started)
            goes_on = co_await query(peer, line.text, line.at);
        else
            goes_on = co_await open(peer, line.text);
        if (!goes_on)
            break;
    }
    end_session(*peer);
}

// A closed connection rolls back.
void database::end_session(session& peer)
{
    if (peer.is_ended)
        return;
    peer.is_ended = true;
    roll_back(peer);
    peer.channel.close();
    peer.wakeup.cancel();
    std::erase_if(m_sessions,
                  [&](const auto& other) { return other.get() == &peer; });
}

void database::roll_back(session& peer)
{
    if (peer.transaction != 0)
        m_world.record.events().transaction_ends[peer.transaction] =
            m_world.record.now();
    peer.transaction = 0;
    peer.has_failed = false;
    peer.is_read_only = false;
    peer.writes.clear();
}

asio::awaitable<bool> database::acquire_slot()
{
    if (m_busy < m_world.options.slots)
    {
        ++m_busy;
        co_return true;
    }
    if (m_waiting.size() >= m_world.options.queue)
        co_return false;
    auto turn = std::make_shared<asio::steady_timer>(m_world.io);
    turn->expires_after(std::chrono::hours(1));
    m_waiting.push_back(turn);
    co_await turn->async_wait(use_result);
    co_return true;
}

void database::release_slot()
{
    if (m_waiting.empty())
    {
        --m_busy;
        return;
    }
    // The slot passes to the next one.
    m_waiting.front()->cancel();
    m_waiting.pop_front();
}

task database::replicate(unsigned start_number)
{
    const auto self = shared_from_this();
    while (m_is_running && m_start_number == start_number)
    {
        const auto lag = m_world.options.lag_ms;
        co_await pause(m_dice.spread(lag, lag * 6));
        const auto leader = m_group.find(m_group.leader);
        if (!m_is_running || leader.get() == this || !leader ||
            !leader->is_running() || !leader->is_primary())
            continue;
        if (m_is_primary)
        {
            co_await pause(old_lead_time);
            if (m_group.leader != m_id)
                follow();
        }
        else if (!m_is_deaf && m_held_term == 0)
            pull(*leader);
    }
}

void database::pull(const database& leader)
{
    m_last_pull = m_world.record.now();
    m_own_term = leader.m_own_term;
    if (m_log != leader.m_log)
        m_log = leader.m_log;
}

void database::add_commit(const std::string& id,
                          std::vector<std::string> writes)
{
    auto& events = m_world.record.events();
    commit entry;
    entry.service = m_group.service;
    entry.database = m_id;
    entry.term = m_own_term;
    entry.number = m_log.size() + 1;
    entry.parent = m_log.empty() ? 0 : m_log.back() + 1;
    entry.id = id;
    entry.writes = std::move(writes);
    entry.at = m_world.record.now();
    m_log.push_back(events.commits.size());
    events.commits.push_back(std::move(entry));
}

std::uint64_t database::term() const
{
    return m_log.empty() ? 1
                         : m_world.record.events().commits[m_log.back()].term;
}

std::string database::position() const
{
    return std::to_string(term()) + "." + std::to_string(m_log.size());
}

// Whether the log holds the commit at a position TERM.NUMBER.
bool database::has_position(const std::string& wanted) const
{
    const auto dot = wanted.find('.');
    if (dot == std::string::npos)
        return false;
    const auto wanted_term = std::stoull(wanted);
    const auto number = std::stoull(wanted.substr(dot + 1));
    return std::pair(term(), std::uint64_t{m_log.size()}) >=
           std::pair(std::uint64_t{wanted_term}, std::uint64_t{number});
}

} // namespace soak
