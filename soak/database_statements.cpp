#include "database_session.hpp"
#include "statement_text.hpp"

#include <utility>

namespace soak
{

asio::awaitable<bool> database::open(session_pointer peer,
                                     const std::string& text)
{
    auto line = text;
    const std::string id_line = " " + m_id + "\r\n";
    std::string refusal;
    const auto word = take_word(line);
    const auto service = take_word(line);
    peer->sender = take_word(line);
    if (word != "START")
        co_return false;
    if (service != m_group.service || (!line.empty() && line != m_id))
        refusal = "ERROR MISROUTED";
    else if (m_sessions.size() > m_world.options.max_connections)
        refusal = "ERROR TOOMANY";
    else
    {
        const bool has_slot = co_await acquire_slot();
        if (!has_slot)
            refusal = "ERROR BUSY";
    }
    if (!refusal.empty())
    {
        refusal += id_line;
        co_await peer->channel.write(refusal);
        co_return false;
    }
    co_await pause(m_dice.spread(m_world.options.handshake_ms, 40));
    release_slot();
    peer->has_started = true;
    if (peer->is_muted)
        co_return true;
    const auto ready = "READY I " + position() + "\r\n";
    const bool is_written = co_await peer->channel.write(ready);
    co_return is_written;
}

asio::awaitable<bool> database::query(session_pointer peer,
                                      const std::string& text, instant arrived)
{
    auto line = text;
    if (take_word(line) != "QUERY")
        co_return false;
    auto& record = m_world.record;
    run item;
    item.service = m_group.service;
    item.database = m_id;
    item.connection = peer->number;
    item.sender = peer->sender;
    item.id = take_word(line);
    item.text = line;
    if (first_word(line) == "AFTER")
    {
        take_word(line);
        item.after = take_word(line);
        item.text = line;
    }
    item.arrived = arrived;
    const auto index = record.events().runs.size();
    record.events().runs.push_back(std::move(item));

    auto result = co_await execute(peer, index);
    auto& done = run_at(index);
    done.ended = record.now();
    done.code = result.code;
    done.signature = result.signature;
    done.rows = result.rows;
    if (peer->transaction != 0 && !result.code.empty())
        peer->has_failed = true;
    record.line(m_id + " connection " + std::to_string(peer->number) + " of " +
                peer->sender + " " + done.id + " " +
                (done.after.empty() ? "" : "AFTER " + done.after + " ") +
                done.text + ": " +
                (done.code.empty() ? "DONE " + done.signature : done.code) +
                ", transaction " + std::to_string(done.transaction) +
                ", arrived " + std::to_string(arrived / 1000) + ", started " +
                std::to_string(done.started / 1000) +
                (peer->is_muted   ? ", silent"
                 : peer->is_ended ? ", closed"
                                  : ""));
    if (peer->is_ended)
        co_return false;
    if (peer->is_muted)
        co_return true;

    std::string lines;
    for (const auto& row : result.rows)
        lines += "ROW " + row + "\r\n";
    lines += result.code.empty() ? "DONE " + result.signature
                                 : "ERROR " + result.code + " " + m_id;
    lines += "\r\nREADY ";
    lines += peer->transaction == 0 ? "I " : peer->has_failed ? "E " : "T ";
    lines += position() + "\r\n";
    const auto& faults = m_world.faults;
    if (m_dice.chance(faults.lost))
    {
        // The connection delivers nothing further.
        record.line(m_id + ": this answer is lost");
        peer->is_muted = true;
        co_return true;
    }
    if (m_dice.chance(faults.closed))
        co_return false;
    if (m_dice.chance(faults.reset))
    {
        peer->channel.reset();
        co_return false;
    }
    if (m_dice.chance(faults.cut))
    {
        lines.resize(m_dice.below(lines.size()));
        co_await peer->channel.write(lines);
        co_return false;
    }
    const bool is_written = co_await peer->channel.write(lines);
    co_return is_written;
}

asio::awaitable<database::answer> database::execute(session_pointer peer,
                                                    std::size_t index)
{
    auto rest = run_at(index).text;
    const auto word = take_word(rest);
    const bool is_plain = word != "STATUS" && word != "PAUSE" &&
                          word != "RESUME" && word != "DEMOTE";
    if (peer->has_failed && word != "ROLLBACK" && word != "COMMIT")
        co_return answer{"MALFORMED"};
    if (is_plain && m_dice.chance(m_world.faults.refused))
    {
        const char* codes[] = {"BUSY", "FAILED", "TIMEOUT"};
        const std::string code = codes[m_dice.below(3)];
        auto& item = run_at(index);
        item.transaction = peer->transaction;
        item.values = peer->values;
        if (code != "BUSY")
        {
            item.started = m_world.record.now();
            const auto name = rest.substr(0, rest.find(' '));
            if (word == "EXECUTE" && peer->shapes.contains(name))
                item.shape = peer->shapes.at(name);
        }
        co_return answer{code};
    }
    if (!run_at(index).after.empty() && !has_position(run_at(index).after))
        co_return answer{"LAGGING"};
    if (needs_database(word) || word == "STATUS")
        co_return co_await work(peer, index);
    run_at(index).started = m_world.record.now();
    run_at(index).transaction = peer->transaction;
    if (word == "BEGIN")
        co_return begin(*peer, index);
    if (word == "ROLLBACK")
        roll_back(*peer);
    else if (word == "RESET")
    {
        peer->values.clear();
        peer->shapes.clear();
    }
    else if (word == "SET")
    {
        const auto name = take_word(rest);
        peer->values[name] = rest;
    }
    else if (word == "PREPARE")
    {
        const auto name = take_word(rest);
        peer->shapes[name] = rest;
    }
    else if (word == "DEALLOCATE")
    {
        if (peer->shapes.erase(rest) == 0)
            co_return answer{"NOSTMT"};
    }
    else if (word == "PAUSE")
    {
        if (!m_is_primary && std::stoull(rest) > m_group.term)
            m_held_term = std::stoull(rest);
        co_return status();
    }
    else if (word == "RESUME")
    {
        m_held_term = 0;
        co_return status();
    }
    else if (word == "DEMOTE")
    {
        if (m_is_primary && std::stoull(rest) > m_own_term)
            follow();
        co_return status();
    }
    else
        co_return answer{"MALFORMED"};
    co_return answer{};
}

database::answer database::begin(session& peer, std::size_t index)
{
    auto& item = run_at(index);
    if (peer.transaction != 0)
        return {"MALFORMED"};
    if (item.text == "BEGIN" && !m_is_primary)
        return {"READONLY"};
    peer.transaction = ++m_world.last_transaction;
    peer.is_read_only = item.text != "BEGIN";
    item.transaction = peer.transaction;
    return {};
}

asio::awaitable<database::answer> database::work(session_pointer peer,
                                                 std::size_t index)
{
    auto rest = run_at(index).text;
    auto word = take_word(rest);
    if (word == "EXECUTE")
    {
        const auto found = peer->shapes.find(take_word(rest));
        if (found == peer->shapes.end())
            co_return answer{"NOSTMT"};
        run_at(index).shape = found->second;
        word = first_word(found->second);
    }
    const bool has_slot = co_await acquire_slot();
    if (!has_slot)
        co_return answer{"BUSY"};
    if (peer->is_ended || !m_is_running)
    {
        release_slot();
        co_return answer{"BUSY"};
    }
    auto& item = run_at(index);
    item.transaction = peer->transaction;
    item.values = peer->values;
    const bool is_plain = peer->transaction != 0 && !peer->is_read_only;
    const bool is_empty_commit = word == "COMMIT" && peer->writes.empty();
    const bool needs_lead =
        word == "WRITE" || (is_plain && !is_empty_commit && word != "STATUS");
    const auto start_number = m_start_number;
    if (needs_lead && !m_is_primary)
    {
        release_slot();
        co_return answer{"READONLY"};
    }
    item.started = m_world.record.now();
    item.log_end = m_log.empty() ? 0 : m_log.back() + 1;
    const auto time = word == "STATUS"
                          ? std::chrono::microseconds(500)
                          : m_dice.spread(m_world.options.work_ms,
                                          m_world.options.max_work_ms);
    co_await pause(time);
    release_slot();
    if (word == "STATUS")
        co_return status();
    // What a crash interrupts has no effect. A closed connection rolls back
    // its transaction; a single write that has begun is completed.
    const bool is_single = run_at(index).transaction == 0;
    if (start_number != m_start_number || !m_is_running ||
        (peer->is_ended && !is_single))
        co_return answer{"FAILED"};
    if (needs_lead && !m_is_primary)
        co_return answer{"READONLY"};
    co_return finish(*peer, index, word);
}

database::answer database::finish(session& peer, std::size_t index,
                                  const std::string& word)
{
    const auto id = run_at(index).id;
    answer result;
    result.signature = m_dice.hex(2) + "." + m_dice.hex(16);
    if (word == "READ")
        for (auto rows = m_dice.below(3); rows > 0; --rows)
            result.rows.push_back(m_dice.hex(12));
    else if (word == "WRITE" && peer.transaction == 0)
        add_commit(id, {id});
    else if (word == "WRITE")
        peer.writes.push_back(id);
    else if (word == "COMMIT")
    {
        const bool has_failed = peer.has_failed;
        auto writes = std::exchange(peer.writes, {});
        if (!has_failed && !writes.empty())
            add_commit(id, std::move(writes));
        roll_back(peer);
        if (has_failed)
            return {"FAILED"};
    }
    return result;
}

database::answer database::status()
{
    answer result;
    const auto lag_ms =
        m_is_primary ? 0 : (m_world.record.now() - m_last_pull) / 1000;
    result.rows = {std::string(m_is_primary ? "primary " : "replica ") +
                   std::to_string(m_own_term) + " " + position() + " " +
                   std::to_string(m_held_term) + " " + std::to_string(lag_ms) +
                   " " + std::to_string(m_busy) + " " +
                   std::to_string(m_sessions.size())};
    return result;
}

} // namespace soak
