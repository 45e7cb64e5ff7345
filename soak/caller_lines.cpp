#include "caller.hpp"

#include "statement_text.hpp"

#include <array>

namespace soak
{

namespace
{

constexpr std::chrono::milliseconds answer_limit{3000};
constexpr std::array<const char*, 3> value_names{"tenant", "zone", "role"};
constexpr std::array<const char*, 4> prepared_names{"s1", "s2", "q", "job"};

} // namespace

std::string caller::note(const std::string& text, bool is_whole)
{
    request noted;
    noted.id = m_dice.hex(16);
    noted.text = text;
    noted.session = m_session;
    noted.host = m_host;
    noted.incarnation = m_world.hosts.hosts()[m_host].incarnation;
    noted.database = m_database;
    noted.transaction = m_transaction;
    noted.attempt = m_attempt;
    noted.is_whole = is_whole;
    noted.values = m_values;
    noted.unanswered_values = m_unanswered_values;
    auto rest = text;
    const auto word = take_word(rest);
    if (word == "EXECUTE")
        noted.shape = m_shapes[take_word(rest)];
    if (word == "SET")
    {
        const auto name = take_word(rest);
        m_unanswered_values[name] = rest;
    }
    noted.sent = m_world.record.now();
    auto& requests = m_world.record.events().requests;
    m_outstanding.push_back(requests.size());
    auto line = "QUERY " + noted.id + " " + text + "\r\n";
    m_world.record.line("session " + std::to_string(m_session) + " at " +
                        m_world.hosts.hosts()[m_host].name + " to " +
                        m_database + " sends " + noted.id + " " + text +
                        (is_whole ? "" : " (in part)") + ", transaction " +
                        std::to_string(m_transaction));
    requests.push_back(std::move(noted));
    return line;
}

asio::awaitable<bool> caller::send(const std::string& bytes)
{
    std::string part = bytes;
    std::string rest;
    while (part.size() > 1 && m_dice.chance(0.1))
    {
        const auto size = 1 + m_dice.below(part.size() - 1);
        rest = part.substr(size);
        part.resize(size);
        const bool is_sent = co_await m_channel->write(part);
        if (!is_sent)
            co_return false;
        part = rest;
        co_await pause(m_dice.spread(2, 20));
    }
    const bool is_sent = co_await m_channel->write(part);
    co_return is_sent;
}

asio::awaitable<bool> caller::ask(const std::string& text)
{
    auto line = note(text);
    const bool is_sent = co_await send(line);
    co_return is_sent&& co_await read_answers();
}

asio::awaitable<bool> caller::read_answers()
{
    m_code.clear();
    while (!m_outstanding.empty())
    {
        const auto index = m_outstanding.front();
        std::vector<std::string> rows;
        std::string signature;
        std::string code;
        for (;;)
        {
            const auto line = co_await m_channel->read_line(answer_limit);
            if (!line)
            {
                m_world.record.line("session " + std::to_string(m_session) +
                                    " gets no answer to " + at(index).id);
                m_channel->close();
                co_return false;
            }
            auto rest = *line;
            const auto word = take_word(rest);
            if (word == "ROW")
                rows.push_back(rest);
            else if (word == "DONE")
                signature = rest;
            else if (word == "ERROR")
                code = take_word(rest);
            else if (word == "READY")
            {
                m_state = rest.empty() ? '?' : rest.front();
                break;
            }
        }
        m_outstanding.erase(m_outstanding.begin());
        auto& asked = at(index);
        asked.answered = m_world.record.now();
        asked.rows = std::move(rows);
        asked.signature = std::move(signature);
        asked.code = std::move(code);
        take_answer(asked);
    }
    co_return true;
}

void caller::take_answer(request& asked)
{
    m_world.record.line("session " + std::to_string(m_session) + " gets for " +
                        asked.id + ": " +
                        (asked.code.empty() ? "DONE " + asked.signature
                                            : "ERROR " + asked.code) +
                        ", state " + m_state);
    if (m_code.empty())
        m_code = asked.code;
    auto rest = asked.text;
    const auto word = take_word(rest);
    const auto name = take_word(rest);
    if (word == "SET")
        m_unanswered_values.erase(name);
    if (!asked.code.empty())
        return;
    if (word == "SET")
        m_values[name] = rest;
    else if (word == "PREPARE")
        m_shapes[name] = rest;
    else if (word == "DEALLOCATE")
        m_shapes.erase(name);
}

void caller::check_strays()
{
    while (auto line = m_channel->take_arrived_line())
        m_world.record.events().stray_messages.push_back(
            {m_session, m_world.record.now(), *line});
}

// The last field of a line extends to its end, so it may have blanks.
std::string caller::data()
{
    if (m_dice.chance(0.03))
        return m_dice.hex(static_cast<int>(1000 + m_dice.below(20000)));
    return m_dice.chance(0.15) ? m_dice.hex(4) + " " + m_dice.hex(3) + "  x"
                               : m_dice.hex(8);
}

std::string caller::set_statement()
{
    return std::string("SET ") + value_names[m_dice.below(3)] + " v" +
           std::to_string(m_dice.below(6)) + (m_dice.chance(0.1) ? " w" : "");
}

std::string caller::prepare_statement()
{
    return std::string("PREPARE ") + prepared_names[m_dice.below(4)] +
           (m_kind != "bounded_staleness" && m_dice.chance(0.2) ? " WRITE "
                                                                : " READ ") +
           "q" + m_dice.hex(2) +
           (m_world.has_odd_shapes && m_dice.chance(0.1) ? " x" : "");
}

std::string caller::statement()
{
    const auto item = m_dice.hex(3);
    if (!m_shapes.empty() && m_dice.chance(0.3))
    {
        auto chosen = m_shapes.begin();
        std::advance(chosen, m_dice.below(m_shapes.size()));
        return "EXECUTE " + chosen->first + " " + item +
               (chosen->second.starts_with("WRITE") ? " " + data() : "");
    }
    const double writes = m_kind == "primary"             ? 0.2
                          : m_kind == "bounded_staleness" ? 0.0
                                                          : 0.12;
    return m_dice.chance(writes) ? "WRITE " + item + " " + data()
                                 : "READ " + item;
}

} // namespace soak
