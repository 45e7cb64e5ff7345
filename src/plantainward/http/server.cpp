#include <plantainward/http/server.hpp>

#include <plantainward/core/last_error.hpp>
#include <plantainward/http/internal/server_connection.hpp>

#include <exception>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/tcp.h>

namespace plantainward::http
{

namespace
{

constexpr core::millis sweep_interval{250};
constexpr std::string_view connection_key = "plantainward";

/// The open connections of a server.
class connection_table
{
public:
    std::shared_ptr<internal::server_connection>
    add(boost::asio::io_context& io, int descriptor,
        const std::shared_ptr<internal::server_state>& state)
    {
        const std::lock_guard lock(m_mutex);
        const auto id = ++m_last_id;
        auto connection = std::make_shared<internal::server_connection>(
            id, io, descriptor, state);
        m_connections.emplace(connection.get(), connection);
        return connection;
    }

    void remove(internal::server_connection* connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }

    std::vector<std::shared_ptr<internal::server_connection>> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<internal::server_connection>> copy;
        copy.reserve(m_connections.size());
        for (const auto& [key, connection] : m_connections)
            copy.push_back(connection);
        return copy;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    mutable std::mutex m_mutex;
    connection_id m_last_id{0};
    std::unordered_map<internal::server_connection*,
                       std::shared_ptr<internal::server_connection>>
        m_connections;
};

/// Passes the bytes that Pistache reads to the connections.
class input_handler : public Pistache::Tcp::Handler
{
public:
    input_handler(boost::asio::io_context& io,
                  std::shared_ptr<internal::server_state> state,
                  std::shared_ptr<connection_table> connections)
        : m_io(io), m_state(std::move(state)),
          m_connections(std::move(connections))
    {
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        peer->putData(std::string(connection_key),
                      m_connections->add(m_io, peer->fd(), m_state));
    }

    void onInput(const char* buffer, std::size_t size,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        if (auto* connection = connection_of(*peer))
            connection->feed({buffer, size});
    }

    void
    onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        auto* connection = connection_of(*peer);
        if (connection == nullptr)
            return;
        connection->on_closed();
        m_connections->remove(connection);
    }

    std::shared_ptr<Pistache::Tcp::Handler> clone() const override
    {
        return std::make_shared<input_handler>(m_io, m_state, m_connections);
    }

private:
    static internal::server_connection*
    connection_of(const Pistache::Tcp::Peer& peer)
    {
        return static_cast<internal::server_connection*>(
            peer.tryGetData(std::string(connection_key)).get());
    }

    boost::asio::io_context& m_io;
    std::shared_ptr<internal::server_state> m_state;
    std::shared_ptr<connection_table> m_connections;
};

} // namespace

struct server::impl
{
    impl(boost::asio::io_context& io, const core::address& address)
        : listener(Pistache::Address(address.ip, address.port)), sweep(io)
    {
    }

    void schedule_sweep()
    {
        sweep.expires_after(sweep_interval);
        sweep.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            const auto now = core::steady::now();
            for (const auto& connection : connections->all())
                connection->check_timeouts(now);
            schedule_sweep();
        });
    }

    std::shared_ptr<internal::server_state> state{
        std::make_shared<internal::server_state>()};
    std::shared_ptr<connection_table> connections{
        std::make_shared<connection_table>()};
    Pistache::Tcp::Listener listener;
    boost::asio::steady_timer sweep;
};

std::optional<server> server::listen(const core::address& address,
                                     const server_limits& limits,
                                     boost::asio::io_context& io,
                                     request_handler on_request,
                                     close_handler on_close)
{
    try
    {
        auto started = std::make_unique<impl>(io, address);
        started->state->limits = limits;
        started->state->on_request = std::move(on_request);
        started->state->on_close = std::move(on_close);
        using Pistache::Tcp::Options;
        started->listener.init(limits.threads,
                               Pistache::Flags<Options>(Options::ReuseAddr) |
                                   Options::NoDelay | Options::CloseOnExec,
                               "http");
        started->listener.setHandler(std::make_shared<input_handler>(
            io, started->state, started->connections));
        started->listener.bind();
        started->listener.runThreaded();
        started->schedule_sweep();
        return server(std::move(started));
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::unavailable,
                          "cannot listen on " + core::to_string(address) +
                              ": " + error.what());
    }
}

server::server(std::unique_ptr<impl> state) : m_impl(std::move(state)) {}
server::server(server&&) noexcept = default;
server& server::operator=(server&&) noexcept = default;

server::~server()
{
    if (!m_impl)
        return;
    m_impl->sweep.cancel();
    m_impl->listener.shutdown();
}

void server::close_after_responses()
{
    m_impl->state->closing = true;
}

std::size_t server::pending_requests() const
{
    return m_impl->state->pending;
}

std::size_t server::connections() const
{
    return m_impl->connections->size();
}

} // namespace plantainward::http
