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
/// Answers are matched to calls by number; the answer to a call that has timed
/// out is dropped. When the connection breaks, its calls fail and the next call
/// connects again.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(boost::asio::io_context& io, core::address address,
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
    void on_answer(frame answer);
    void fail_all();
    void sweep();
    void check_silence(core::instant now);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_sweep;
    core::address m_address;
    link_options m_options;
    /// When the last frame came, or the first open call was made if that is
    /// later.
    core::instant m_silent_since{};
    /// Whether a probe was sent since then.
    bool m_probed{false};
    link_state m_state{link_state::idle};
    std::uint64_t m_last_number{0};
    /// Counts connections, so that handlers of an old one do nothing.
    std::uint64_t m_connection_number{0};
    std::unordered_map<std::uint64_t, pending_call> m_calls;
    std::deque<outgoing> m_outgoing;
    std::string m_writing;
    std::array<char, frame_header_bytes> m_header{};
    std::string m_body;
    bool m_sweeping{false};
};

} // namespace plantainward::peer
