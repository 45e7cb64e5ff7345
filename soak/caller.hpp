#pragma once

#include "async.hpp"
#include "fleet.hpp"
#include "line_channel.hpp"
#include "recorder.hpp"
#include "routing.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace soak
{

/// What all callers of a run share.
struct caller_world
{
    asio::io_context& io;
    recorder& record;
    fleet& hosts;
    const routing& routes;
    std::uint64_t seed{0};
    /// Some prepared shapes have blanks.
    bool has_odd_shapes{false};
    std::uint64_t last_transaction{0};
    std::uint64_t last_attempt{0};
    std::size_t last_session{0};
    bool is_stopping{false};
    std::size_t running{0};
    std::size_t succeeded{0};
    std::size_t failed{0};
};

/// One caller: sessions one after the other, each with operations.
class caller
{
public:
    caller(caller_world& world, std::size_t number, std::string zone);

    /// Runs until the world stops.
    task run();

private:
    enum class outcome : std::uint8_t
    {
        done,
        /// May be tried again with new ids.
        may_repeat,
        failed
    };

    asio::awaitable<bool> open();
    task serve_session();
    asio::awaitable<outcome> attempt();
    asio::awaitable<outcome> single();
    asio::awaitable<outcome> transaction();
    asio::awaitable<outcome> transaction_at_once();
    /// Sends SET, PREPARE or DEALLOCATE; false: the session must end.
    asio::awaitable<bool> prepare_session();
    /// Leaves in the middle of a line or while an answer is outstanding.
    task leave();

    /// Notes a request and returns its line.
    std::string note(const std::string& text, bool is_whole = true);
    /// Writes bytes, split at random places or at once.
    asio::awaitable<bool> send(const std::string& bytes);
    /// Reads the answers to all requests that are outstanding; false if the
    /// connection has ended or the time is over.
    asio::awaitable<bool> read_answers();
    asio::awaitable<bool> ask(const std::string& text);
    void take_answer(request& asked);
    void check_strays();
    std::string statement();
    std::string data();
    std::string set_statement();
    std::string prepare_statement();
    outcome outcome_of_failure(bool wrote) const;
    request& at(std::size_t index)
    {
        return m_world.record.events().requests[index];
    }

    caller_world& m_world;
    std::size_t m_number;
    /// A session is a connection.
    std::size_t m_session{0};
    std::string m_zone;
    dice m_dice;
    std::unique_ptr<line_channel> m_channel;
    std::size_t m_opened{0};
    std::size_t m_host{0};
    std::string m_database;
    std::string m_kind;
    /// Acknowledged values, and prepared names with `READ` or `WRITE` and
    /// their shape.
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_unanswered_values;
    std::map<std::string, std::string> m_shapes;
    std::vector<std::size_t> m_outstanding;
    std::uint64_t m_transaction{0};
    std::uint64_t m_attempt{0};
    char m_state{'I'};
    std::string m_code;
};

} // namespace soak
