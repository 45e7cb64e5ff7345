#include <plantainward/upstream/http_gate.hpp>

#include <plantainward/upstream/wire.hpp>

#include <utility>

namespace plantainward::upstream
{

namespace
{

constexpr int status_ok = 200;

/// Estimated bytes of the HTTP and packet headers of one exchange, in both
/// directions together.
constexpr std::uint64_t exchange_overhead = 400;

http::request post(std::string target, std::string body)
{
    return {"POST", std::move(target), {}, std::move(body)};
}

run_result to_run_result(const http::exchange_result& exchange)
{
    run_result lost;
    lost.outcome = exchange.outcome == http::exchange_outcome::not_sent
                       ? run_outcome::not_sent
                       : run_outcome::lost;
    if (exchange.outcome != http::exchange_outcome::answered)
        return lost;
    return wire::decode_run_result(exchange.body).value_or(lost);
}

control_result to_control_result(const http::exchange_result& exchange)
{
    control_result failed;
    if (exchange.outcome == http::exchange_outcome::timed_out)
        failed.outcome = control_outcome::timed_out;
    if (exchange.outcome != http::exchange_outcome::answered ||
        exchange.status != status_ok)
        return failed;
    return wire::decode_control_result(exchange.body).value_or(failed);
}

} // namespace

http_gate::http_gate(boost::asio::io_context& io)
    : m_io(io), m_control_client(http::client::create(io))
{
}

http_gate::connection http_gate::find(connection_number number) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(number);
    return found == m_connections.end() ? connection{} : found->second;
}

void http_gate::open(const core::address& database, connection_number number,
                     core::millis timeout, open_handler handler)
{
    auto new_connection = http::client_connection::create(m_io, database);
    {
        const std::lock_guard lock(m_mutex);
        m_connections[number] = new_connection;
    }
    new_connection->open(
        timeout, [this, new_connection, number, timeout,
                  handler = std::move(handler)](bool ok) mutable {
            if (!ok)
            {
                close(number);
                return handler(open_outcome::failed);
            }
            new_connection->exchange(
                post("/session", "{}"), timeout,
                [this, number, handler = std::move(handler)](
                    const http::exchange_result& result) {
                    const bool answered =
                        result.outcome == http::exchange_outcome::answered;
                    if (answered && result.status == status_ok)
                        return handler(open_outcome::opened);
                    close(number);
                    handler(answered ? open_outcome::refused_by_limit
                                     : open_outcome::failed);
                });
        });
}

void http_gate::run(connection_number number, const run_order& order,
                    core::millis timeout, run_handler handler)
{
    const auto open_connection = find(number);
    if (!open_connection)
        return handler({});
    open_connection->exchange(post("/run", wire::encode(order)), timeout,
                              [this, number, handler = std::move(handler)](
                                  const http::exchange_result& exchange) {
                                  auto result = to_run_result(exchange);
                                  if (result.outcome == run_outcome::lost ||
                                      result.outcome == run_outcome::not_sent)
                                      close(number);
                                  handler(std::move(result));
                              });
}

void http_gate::close(connection_number number)
{
    connection closing;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(number);
        if (found == m_connections.end())
            return;
        closing = std::move(found->second);
        m_connections.erase(found);
    }
    closing->close();
}

void http_gate::control(const core::address& database,
                        const control_order& order, core::millis timeout,
                        control_handler handler)
{
    auto body = wire::encode(order);
    m_control_bytes += exchange_overhead + body.size();
    m_control_client->send(database, post("/control", std::move(body)), timeout,
                           [this, handler = std::move(handler)](
                               const http::exchange_result& exchange) {
                               m_control_bytes += exchange.body.size();
                               handler(to_control_result(exchange));
                           });
}

} // namespace plantainward::upstream
