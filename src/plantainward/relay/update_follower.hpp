#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/fleet/table_update.hpp>
#include <plantainward/peer/peer_client.hpp>

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plantainward::relay
{

/// What the follower asks of the host's decisions, and tells them.
struct update_callbacks
{
    /// Hosts to ask, in order of preference.
    std::function<std::vector<core::address>()> sources;
    std::function<fleet::table_versions()> known;
    std::function<void(const fleet::table_update&)> news;
    /// No source knows the present tables; they must be read elsewhere.
    std::function<void()> no_source;
};

/// Keeps a host's tables up with those of another host; used from one thread.
class update_follower
{
public:
    update_follower(boost::asio::io_context& io, update_callbacks events);

    /// Starts to ask; does nothing when it runs already.
    void start();
    /// Asks no more after the present question.
    void stop() { m_runs = false; }

private:
    void ask();
    void later(core::millis pause);
    void on_answer(peer::call_outcome end, const peer::frame& answer);
    void try_next();

    update_callbacks m_events;
    peer::peer_client m_client;
    boost::asio::steady_timer m_timer;
    bool m_runs{false};
    /// A question or a pause is going on.
    bool m_busy{false};
    /// Sources that failed in a row.
    std::size_t m_failed{0};
    core::boot_instant m_last_no_source{};
};

} // namespace plantainward::relay
