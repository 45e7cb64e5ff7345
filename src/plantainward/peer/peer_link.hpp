#pragma once

#include <plantainward/peer/peer_client.hpp>

#include <array>
#include <deque>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace plantainward::peer
{

/// A link to one peer that carries many calls at once.
///
/// Answers are matched by number; one whose call has timed out is dropped.
/// A broken link fails its calls and the next call connects anew.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(boost::asio::io_context& io, core::address where,
              link_options options);

    void call(frame_kind kind, std::string payload, core::millis timeout,
              call_handler handler);
    void close();

private:
    struct pending_call
    {
        call_handler handler;
        core::instant deadline;
        bool written{false};
    };

    enum class link_state : std::uint8_t
    {
        idle,
        connecting,
        connected
    };

    struct outgoing
    {
        std::uint64_t number;
        std::string bytes;
    };

    void start_call(frame_kind kind, std::string payload, core::millis timeout,
                    call_handler handler);
    void connect();
    void write_more();
    void read_header();
    void read_body(std::size_t length);
    void take(frame answer);
    void fail_all();
    void sweep();
    void watch_silence(core::instant now);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_sweep;
    core::address m_where;
    link_options m_options;
    /// Since when nothing has come although something was owed.
    core::instant m_silent_since{};
    bool m_probed{false};
    link_state m_state{link_state::idle};
    std::uint64_t m_last_number{0};
    /// Counts connections, so that events of an old one are dropped.
    std::uint64_t m_connection{0};
    std::unordered_map<std::uint64_t, pending_call> m_calls;
    std::deque<outgoing> m_outgoing;
    std::string m_writing;
    std::array<char, frame_header_bytes> m_header{};
    std::string m_body;
    bool m_sweeping{false};
};

} // namespace plantainward::peer
