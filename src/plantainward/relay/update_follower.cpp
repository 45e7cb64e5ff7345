#include <plantainward/relay/update_follower.hpp>

#include <plantainward/relay/update_message.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::relay
{

namespace
{

// Longer than a source holds a question without news.
constexpr core::millis ask_timeout{8000};

// A source that is silent this long is left. A part of the 3 s within which a
// change must be in force.
constexpr core::millis silence{1000};
constexpr core::millis sweep_interval{250};

// Changes within this time come in one answer.
constexpr core::millis gather{100};

constexpr core::millis retry_pause{100};

// The same once several sources in a row had no answer, as in an outage.
constexpr core::millis outage_pause{500};

// Sources that are tried before the tables are read elsewhere.
constexpr std::size_t most_failed = 3;

// Between reads elsewhere while no source is current.
constexpr core::millis no_source_interval{2000};

} // namespace

update_follower::update_follower(boost::asio::io_context& io,
                                 update_callbacks events)
    : m_events(std::move(events)),
      m_client(io, peer::link_options{sweep_interval, silence}), m_timer(io)
{
}

void update_follower::start()
{
    m_runs = true;
    if (!m_busy)
        ask();
}

void update_follower::later(core::millis pause)
{
    m_busy = true;
    m_timer.expires_after(pause);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            ask();
    });
}

void update_follower::ask()
{
    m_busy = false;
    if (!m_runs)
        return;
    const auto sources = m_events.sources();
    if (sources.empty())
        return try_next();
    m_busy = true;
    m_client.call(sources[m_failed % sources.size()],
                  peer::frame_kind::fetch_table_update,
                  encode(m_events.known()), ask_timeout,
                  [this](peer::call_outcome end, const peer::frame& answer) {
                      on_answer(end, answer);
                  });
}

void update_follower::on_answer(peer::call_outcome end,
                                const peer::frame& answer)
{
    m_busy = false;
    const auto news = end == peer::call_outcome::answered &&
                              answer.kind == peer::frame_kind::table_update
                          ? decode_news(answer.payload)
                          : std::nullopt;
    if (news && m_runs)
        m_events.news(*news);
    if (!news || !news->is_current)
        return try_next();
    m_failed = 0;
    later(gather);
}

void update_follower::try_next()
{
    const auto now = core::boot_clock::now();
    ++m_failed;
    if (m_runs && m_failed >= most_failed &&
        now - m_last_no_source > no_source_interval)
    {
        m_last_no_source = now;
        m_events.no_source();
    }
    later(m_failed < most_failed ? retry_pause : outage_pause);
}

} // namespace plantainward::relay
