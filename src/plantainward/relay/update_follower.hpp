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

/// Functions that a follower calls.
struct update_callbacks
{
    /// Returns the hosts to fetch from, in order of preference.
    std::function<std::vector<core::address>()> sources;
    /// Returns the versions of the tables that this host has.
    std::function<fleet::table_versions()> known_versions;
    /// Receives the answer of a source: its tables that are newer than
    /// `known_versions`; also the instant before the request was sent.
    std::function<void(const fleet::table_update&, core::boot_instant)>
        update_received;
    /// No source has current tables: they must be read from the table service.
    std::function<void()> no_current_source;
};

/// Fetches new versions of a host's tables from another host; used from one
/// thread.
class update_follower
{
public:
    update_follower(boost::asio::io_context& io, update_callbacks callbacks);

    /// Starts to fetch; does nothing when it already does.
    void start();
    /// Stops; the answer to a fetch that is under way is discarded.
    void stop() { m_is_running = false; }

    /// Fetches a newer routing from one host, whether this follower runs or
    /// not. The handler is not called when there is no answer in time.
    void fetch_routing(const core::address& source,
                       std::function<void(const fleet::table_update&)> handler);

private:
    void fetch();
    void schedule_fetch(core::millis delay);
    void on_answer(peer::call_outcome end, const peer::frame& answer,
                   core::boot_instant requested_at);
    void try_next_source();

    update_callbacks m_callbacks;
    peer::peer_client m_client;
    boost::asio::steady_timer m_timer;
    bool m_is_running{false};
    /// A fetch is under way or scheduled.
    bool m_is_busy{false};
    /// Number of sources that failed in a row.
    std::size_t m_failed_sources{0};
    core::boot_instant m_last_service_read{};
};

} // namespace plantainward::relay
