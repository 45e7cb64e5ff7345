#pragma once

#include <database/slot_member.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace standin
{

/// An in-memory database with a fixed number of slots and a limit on its
/// connections. Not thread-safe.
class database
{
public:
    database(int slots, std::size_t connection_limit);

    /// Opens a session, one per connection; false at the connection limit.
    bool open_session(std::uint64_t session);

    /// Ends a session and the transaction that is open on it.
    void close_session(std::uint64_t session);

    /// Runs an order on a session. Refusals say why in the result.
    upstream::run_result run(std::uint64_t session,
                             const upstream::run_order& order);

    /// Runs a grant, promote, follow or status order. Answers status orders at
    /// once; waiting for a log point is up to the server.
    upstream::control_result control(const upstream::control_order& order);

    slot_member& member(int slot) { return m_members.at(slot); }
    const slot_member& member(int slot) const { return m_members.at(slot); }
    int slots() const { return static_cast<int>(m_members.size()); }
    std::size_t sessions() const { return m_sessions.size(); }
    /// The most sessions that were open at the same time.
    std::size_t peak_sessions() const { return m_peak_sessions; }

private:
    struct session_state
    {
        bool in_transaction{false};
        open_transaction transaction;
    };

    upstream::run_result run_in(session_state& session,
                                const upstream::run_order& order);

    std::vector<slot_member> m_members;
    std::size_t m_connection_limit;
    std::size_t m_peak_sessions{0};
    std::map<std::uint64_t, session_state> m_sessions;
};

} // namespace standin
