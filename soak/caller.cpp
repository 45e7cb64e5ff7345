#include "caller.hpp"

#include "statement_text.hpp"

#include <algorithm>
#include <array>

namespace soak
{

namespace
{

constexpr std::chrono::seconds open_limit{2};
constexpr unsigned max_attempts = 3;
constexpr double leave_share = 0.03;
constexpr double pipelined_share = 0.15;

} // namespace

caller::caller(caller_world& world, std::size_t number, std::string zone)
    : m_world(world), m_number(number), m_zone(std::move(zone)),
      m_dice(world.seed, 1000 + number)
{
}

task caller::run()
{
    ++m_world.running;
    co_await pause(m_dice.spread(400, 2000));
    while (!m_world.is_stopping)
    {
        const bool is_open = co_await open();
        if (is_open)
            co_await serve_session();
        m_channel.reset();
        co_await pause(m_dice.spread(100, 500));
    }
    --m_world.running;
}

asio::awaitable<bool> caller::open()
{
    ++m_opened;
    // Retries reach other hosts.
    const auto hash =
        m_number * 7 + m_number / 5 + (m_dice.chance(0.5) ? 0 : m_opened);
    const auto host = m_world.hosts.choose(m_zone, hash);
    if (!host)
        co_return false;
    m_host = *host;
    m_session = ++m_world.last_session;
    m_database = m_world.routes.choose_name(m_dice);
    const auto* rule = m_world.routes.find(m_database);
    m_kind = rule == nullptr ? "primary" : rule->kind;
    m_values.clear();
    m_unanswered_values.clear();
    m_shapes.clear();
    m_outstanding.clear();
    m_transaction = 0;
    m_state = 'I';
    auto& events = m_world.record.events();
    tcp::socket socket(m_world.io);
    const auto [error] = co_await socket.async_connect(
        m_world.hosts.addresses().caller(m_host), use_result);
    if (error)
        co_return false;
    m_channel = std::make_unique<line_channel>(std::move(socket));
    const auto index = events.openings.size();
    opening noted;
    noted.session = m_session;
    noted.host = m_host;
    noted.incarnation = m_world.hosts.hosts()[m_host].incarnation;
    noted.database = m_database;
    noted.sent = m_world.record.now();
    events.openings.push_back(std::move(noted));
    const auto start =
        "START " + m_database + " u" + std::to_string(m_number) + "\r\n";
    co_await send(start);
    const auto line = co_await m_channel->read_line(open_limit);
    if (!line)
        co_return false;
    auto& done = events.openings[index];
    done.answered = m_world.record.now();
    auto rest = *line;
    if (take_word(rest) == "READY")
        co_return true;
    done.code = take_word(rest);
    co_return false;
}

task caller::serve_session()
{
    // Some sessions serve one operation; some are idle most of the time.
    const bool is_short = m_dice.chance(0.25);
    const double idle_ms = m_dice.chance(0.2) ? 4000 : 450;
    for (std::size_t left = is_short ? 1 : 5 + m_dice.below(120);
         left > 0 && !m_world.is_stopping; --left)
    {
        co_await pause(m_dice.spread(is_short ? 20 : idle_ms, 8000));
        if (m_dice.chance(leave_share))
        {
            co_await leave();
            co_return;
        }
        auto result = outcome::may_repeat;
        for (unsigned tries = 0;
             tries < max_attempts && result == outcome::may_repeat; ++tries)
        {
            check_strays();
            if (!m_channel->is_open())
            {
                const bool is_open = co_await open();
                if (!is_open)
                    break;
            }
            m_attempt = ++m_world.last_attempt;
            result = co_await attempt();
            m_transaction = 0;
            if (m_state != 'I' || !m_outstanding.empty())
                m_channel->close();
        }
        ++(result == outcome::done ? m_world.succeeded : m_world.failed);
        if (!m_channel->is_open())
            co_return;
    }
    const std::string bye = "BYE\r\n";
    if (m_channel->is_open())
        co_await send(bye);
}

asio::awaitable<caller::outcome> caller::attempt()
{
    if (m_dice.chance(0.2))
    {
        const bool goes_on = co_await prepare_session();
        if (!goes_on)
        {
            m_channel->close();
            co_return outcome::failed;
        }
    }
    const double share = m_kind == "primary"             ? 0.4
                         : m_kind == "bounded_staleness" ? 0.1
                                                         : 0.12;
    if (m_dice.chance(share))
    {
        if (m_kind != "bounded_staleness" && m_dice.chance(0.1))
            co_return co_await transaction_at_once();
        co_return co_await transaction();
    }
    co_return co_await single();
}

asio::awaitable<bool> caller::prepare_session()
{
    std::string text = set_statement();
    if (m_dice.chance(0.5))
        text = prepare_statement();
    else if (!m_shapes.empty() && m_dice.chance(0.2))
        text = "DEALLOCATE " + m_shapes.begin()->first;
    const bool is_answered = co_await ask(text);
    co_return is_answered&& m_code.empty();
}

asio::awaitable<caller::outcome> caller::single()
{
    const auto text = statement();
    if (m_dice.chance(pipelined_share))
    {
        // A value and the statement in one segment.
        auto lines = note(set_statement());
        lines += note(text);
        const bool is_sent = co_await send(lines);
        const bool is_answered = is_sent && co_await read_answers();
        if (is_answered && m_code.empty())
            co_return outcome::done;
        m_channel->close();
        co_return outcome::failed;
    }
    const bool is_answered = co_await ask(text);
    if (is_answered && m_code.empty())
        co_return outcome::done;
    co_return outcome_of_failure(!text.starts_with("READ"));
}

// A whole transaction in one segment.
asio::awaitable<caller::outcome> caller::transaction_at_once()
{
    m_transaction = ++m_world.last_transaction;
    auto lines = note("BEGIN");
    for (auto left = 1 + m_dice.below(4); left > 0; --left)
        lines += note(statement());
    lines += note("COMMIT");
    const bool is_sent = co_await send(lines);
    const bool is_answered = is_sent && co_await read_answers();
    if (is_answered && m_code.empty())
        co_return outcome::done;
    m_channel->close();
    co_return outcome::failed;
}

asio::awaitable<caller::outcome> caller::transaction()
{
    const bool reads_only =
        m_kind == "bounded_staleness" || m_dice.chance(0.25);
    m_transaction = ++m_world.last_transaction;
    const std::string begin = reads_only ? "BEGIN READ" : "BEGIN";
    bool is_answered = co_await ask(begin);
    if (!is_answered || !m_code.empty())
        co_return outcome_of_failure(false);
    for (auto left = 1 + m_dice.below(12); left > 0; --left)
    {
        if (m_dice.chance(0.3))
            co_await pause(m_dice.spread(60, 1200));
        if (m_dice.chance(leave_share / 2))
        {
            co_await leave();
            co_return outcome::failed;
        }
        auto text = statement();
        if (m_dice.chance(0.08))
            text = m_dice.chance(0.5) ? set_statement() : prepare_statement();
        if (reads_only &&
            (text.starts_with("WRITE") || text.starts_with("EXECUTE")))
            text = "READ " + m_dice.hex(3);
        is_answered = co_await ask(text);
        if (!is_answered)
            co_return outcome_of_failure(false);
        if (m_code.empty())
            continue;
        const auto code = m_code;
        const std::string rollback = "ROLLBACK";
        if (m_state != 'I')
            co_await ask(rollback);
        m_code = code;
        co_return outcome_of_failure(false);
    }
    const std::string end = m_dice.chance(0.1) ? "ROLLBACK" : "COMMIT";
    is_answered = co_await ask(end);
    if (is_answered && m_code.empty())
        co_return outcome::done;
    co_return outcome_of_failure(true);
}

caller::outcome caller::outcome_of_failure(bool wrote) const
{
    constexpr std::array<const char*, 6> promises{
        "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};
    const bool is_promise =
        std::find(promises.begin(), promises.end(), m_code) != promises.end();
    return is_promise || !wrote ? outcome::may_repeat : outcome::failed;
}

task caller::leave()
{
    m_attempt = ++m_world.last_attempt;
    auto line = note(statement(), m_dice.chance(0.5));
    auto& left = at(m_outstanding.back());
    const bool is_whole = left.is_whole;
    m_world.record.line("session " + std::to_string(m_session) + " leaves at " +
                        left.id);
    if (!is_whole)
        line.resize(m_dice.below(line.size() - 1));
    co_await send(line);
    if (m_dice.chance(0.3))
        co_await pause(m_dice.spread(10, 60));
    switch (m_dice.below(3))
    {
    case 0:
        m_channel->reset();
        break;
    case 1:
        m_channel->half_close();
        co_await pause(std::chrono::milliseconds(100));
        m_channel->close();
        break;
    default:
        m_channel->close();
    }
}

} // namespace soak
