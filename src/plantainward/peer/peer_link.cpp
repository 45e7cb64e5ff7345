#include <plantainward/peer/peer_link.hpp>

#include <utility>
#include <vector>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace plantainward::peer
{

namespace asio = boost::asio;
using boost::system::error_code;

peer_link::peer_link(asio::io_context& io, core::address address,
                     link_options options)
    : m_strand(asio::make_strand(io)), m_socket(m_strand), m_sweep(m_strand),
      m_address(std::move(address)), m_options(options)
{
}

void peer_link::call(frame_kind kind, std::string payload, core::millis timeout,
                     call_handler handler)
{
    asio::dispatch(m_strand, [self = shared_from_this(), kind,
                              payload = std::move(payload), timeout,
                              handler = std::move(handler)]() mutable {
        self->start_call(kind, std::move(payload), timeout, std::move(handler));
    });
}

void peer_link::start_call(frame_kind kind, std::string payload,
                           core::millis timeout, call_handler handler)
{
    const auto number = ++m_last_number;
    if (m_calls.empty())
        m_silent_since = core::steady::now();
    m_calls.emplace(number, pending_call{std::move(handler),
                                         core::steady::now() + timeout, false});
    m_outgoing.push_back({number, encode({kind, number, std::move(payload)})});
    if (!std::exchange(m_sweeping, true))
        sweep();
    if (m_state == link_state::idle)
        connect();
    else if (m_state == link_state::connected && m_writing.empty())
        write_more();
}

void peer_link::connect()
{
    error_code bad_address;
    const auto ip = asio::ip::make_address(m_address.ip, bad_address);
    if (bad_address)
        return fail_all();
    m_state = link_state::connecting;
    const auto connection_number = ++m_connection_number;
    m_socket.async_connect(
        asio::ip::tcp::endpoint(ip, m_address.port),
        asio::bind_executor(m_strand, [self = shared_from_this(),
                                       connection_number](error_code error) {
            if (connection_number != self->m_connection_number)
                return;
            if (error)
                return self->fail_all();
            error_code ignored;
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_state = link_state::connected;
            self->write_more();
            self->read_header();
        }));
}

void peer_link::write_more()
{
    while (!m_outgoing.empty())
    {
        auto& next = m_outgoing.front();
        const auto found = m_calls.find(next.number);
        // A call that timed out in the queue is not sent.
        if (found != m_calls.end())
            found->second.written = true;
        if (found != m_calls.end() || next.number == 0)
            m_writing += next.bytes;
        m_outgoing.pop_front();
    }
    if (m_writing.empty())
        return;
    asio::async_write(
        m_socket, asio::buffer(m_writing),
        asio::bind_executor(m_strand, [self = shared_from_this(),
                                       connection_number = m_connection_number](
                                          error_code error, std::size_t) {
            if (connection_number != self->m_connection_number)
                return;
            self->m_writing.clear();
            if (error)
                return self->fail_all();
            self->write_more();
        }));
}

void peer_link::read_header()
{
    asio::async_read(
        m_socket, asio::buffer(m_header),
        asio::bind_executor(m_strand, [self = shared_from_this(),
                                       connection_number = m_connection_number](
                                          error_code error, std::size_t) {
            if (connection_number != self->m_connection_number)
                return;
            const auto length = error ? std::nullopt
                                      : decode_header({self->m_header.data(),
                                                       self->m_header.size()});
            if (!length)
                return self->fail_all();
            self->read_body(*length);
        }));
}

void peer_link::read_body(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(
        m_socket, asio::buffer(m_body),
        asio::bind_executor(m_strand, [self = shared_from_this(),
                                       connection_number = m_connection_number](
                                          error_code error, std::size_t) {
            if (connection_number != self->m_connection_number)
                return;
            auto answer = error ? std::nullopt : decode_body(self->m_body);
            if (!answer)
                return self->fail_all();
            self->on_answer(std::move(*answer));
            self->read_header();
        }));
}

void peer_link::on_answer(frame answer)
{
    m_silent_since = core::steady::now();
    m_probed = false;
    const auto found = m_calls.find(answer.number);
    if (found == m_calls.end())
        return;
    auto handler = std::move(found->second.handler);
    m_calls.erase(found);
    handler(call_outcome::answered, std::move(answer));
}

void peer_link::fail_all()
{
    ++m_connection_number;
    m_state = link_state::idle;
    error_code ignored;
    m_socket.close(ignored);
    m_writing.clear();
    m_outgoing.clear();
    m_probed = false;
    auto calls = std::exchange(m_calls, {});
    for (auto& [number, call] : calls)
        call.handler(call.written ? call_outcome::lost : call_outcome::not_sent,
                     {});
}

void peer_link::sweep()
{
    m_sweep.expires_after(m_options.sweep_interval);
    m_sweep.async_wait(asio::bind_executor(
        m_strand, [self = shared_from_this()](error_code error) {
            if (error)
                return;
            const auto now = core::steady::now();
            std::vector<pending_call> expired;
            std::erase_if(self->m_calls, [&](auto& item) {
                if (item.second.deadline > now)
                    return false;
                expired.push_back(std::move(item.second));
                return true;
            });
            for (auto& call : expired)
                call.handler(call.written ? call_outcome::lost
                                          : call_outcome::not_sent,
                             {});
            self->check_silence(now);
            if (self->m_calls.empty())
                self->m_sweeping = false;
            else
                self->sweep();
        }));
}

void peer_link::check_silence(core::instant now)
{
    if (m_options.silence_timeout == core::millis(0) || m_calls.empty())
        return;
    const auto silent = now - m_silent_since;
    if (silent > m_options.silence_timeout)
        return fail_all();
    if (silent * 2 < m_options.silence_timeout || m_probed ||
        m_state != link_state::connected)
        return;
    m_probed = true;
    m_outgoing.push_back({0, encode({frame_kind::probe, 0, {}})});
    if (m_writing.empty())
        write_more();
}

void peer_link::close()
{
    asio::dispatch(m_strand, [self = shared_from_this()] { self->fail_all(); });
}

} // namespace plantainward::peer
