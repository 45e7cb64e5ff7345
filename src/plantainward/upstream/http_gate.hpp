#pragma once

#include <plantainward/http/client.hpp>
#include <plantainward/upstream/gate.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

namespace plantainward::upstream
{

/// Gate for databases that speak the HTTP protocol.
class http_gate
{
public:
    explicit http_gate(boost::asio::io_context& io);

    /// Opens a connection and a session on it, which counts towards the
    /// database's limit of connections.
    void open(const core::address& database, connection_number number,
              core::millis timeout, open_handler handler);

    /// Runs an order on an open connection; on any other the order ends as not
    /// sent.
    void run(connection_number number, const run_order& order,
             core::millis timeout, run_handler handler);

    /// Closes a connection; the database rolls back its open transaction.
    void close(connection_number number);

    /// Sends a control order to a database.
    void control(const core::address& database, const control_order& order,
                 core::millis timeout, control_handler handler);

    /// Total bytes of the control orders and their answers so far, with an
    /// estimate for HTTP headers and packet headers.
    std::uint64_t control_bytes() const { return m_control_bytes; }

private:
    using connection = std::shared_ptr<http::client_connection>;

    connection find(connection_number number) const;

    boost::asio::io_context& m_io;
    std::shared_ptr<http::client> m_control_client;
    std::atomic<std::uint64_t> m_control_bytes{0};
    mutable std::mutex m_mutex;
    std::unordered_map<connection_number, connection> m_connections;
};

static_assert(gate<http_gate>);

} // namespace plantainward::upstream
