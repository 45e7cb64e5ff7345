#include <plantainward/relay/update_follower.hpp>

#include <plantainward/relay/update_message.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::relay
{

namespace
{

// Above the time for which a source holds a fetch without an update.
constexpr core::millis fetch_timeout{8000};

// After this time without a byte from a source the next one is tried. It is
// part of the 3 s within which a change must be in force.
constexpr core::millis silence_timeout{1000};
constexpr core::millis sweep_interval{250};

// A host that has a newer routing answers at once.
constexpr core::millis routing_fetch_timeout{1000};

// Changes within this interval come in one answer.
constexpr core::millis batch_interval{100};

constexpr core::millis retry_interval{100};

// Interval once several sources in a row have failed, as in an outage.
constexpr core::millis outage_retry_interval{500};

// Sources that may fail in a row before the tables are read from the table
// service.
constexpr std::size_t max_failed_sources = 3;

// Between reads from the table service while no source has current tables.
constexpr core::millis service_read_interval{2000};

} // namespace

update_follower::update_follower(boost::asio::io_context& io,
                                 update_callbacks callbacks)
    : m_callbacks(std::move(callbacks)),
      m_client(io, peer::link_options{sweep_interval, silence_timeout}),
      m_timer(io)
{
}

void update_follower::start()
{
    m_is_running = true;
    if (!m_is_busy)
        fetch();
}

void update_follower::schedule_fetch(core::millis delay)
{
    m_is_busy = true;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            fetch();
    });
}

void update_follower::fetch()
{
    m_is_busy = false;
    if (!m_is_running)
        return;
    const auto sources = m_callbacks.sources();
    if (sources.empty())
        return try_next_source();
    m_is_busy = true;
    const auto requested_at = core::boot_clock::now();
    m_client.call(sources[m_failed_sources % sources.size()],
                  peer::frame_kind::fetch_table_update,
                  encode(m_callbacks.known_versions()), fetch_timeout,
                  [this, requested_at](peer::call_outcome end,
                                       const peer::frame& answer) {
                      on_answer(end, answer, requested_at);
                  });
}

// Stays busy until the next fetch is scheduled, since the receiver of an update
// may call `start`.
void update_follower::on_answer(peer::call_outcome end,
                                const peer::frame& answer,
                                core::boot_instant requested_at)
{
    const auto update = end == peer::call_outcome::answered &&
                                answer.kind == peer::frame_kind::table_update
                            ? decode_update(answer.payload)
                            : std::nullopt;
    if (update && m_is_running)
        m_callbacks.update_received(*update, requested_at);
    if (!update || !update->is_current)
        return try_next_source();
    m_failed_sources = 0;
    schedule_fetch(batch_interval);
}

void update_follower::fetch_routing(
    const core::address& source,
    std::function<void(const fleet::table_update&)> handler)
{
    m_client.call(source, peer::frame_kind::fetch_table_update,
                  encode(m_callbacks.known_versions().for_routing_only()),
                  routing_fetch_timeout,
                  [handler = std::move(handler)](peer::call_outcome end,
                                                 const peer::frame& answer) {
                      if (end != peer::call_outcome::answered ||
                          answer.kind != peer::frame_kind::table_update)
                          return;
                      if (const auto update = decode_update(answer.payload))
                          handler(*update);
                  });
}

void update_follower::try_next_source()
{
    const auto now = core::boot_clock::now();
    ++m_failed_sources;
    if (m_is_running && m_failed_sources >= max_failed_sources &&
        now - m_last_service_read > service_read_interval)
    {
        m_last_service_read = now;
        m_callbacks.no_current_source();
    }
    schedule_fetch(m_failed_sources < max_failed_sources
                       ? retry_interval
                       : outage_retry_interval);
}

} // namespace plantainward::relay
