#include "lease_baseline.hpp"

#include <plantainward/platform/wire.hpp>
#include <plantainward/upstream/wire.hpp>

namespace bench
{

namespace wire = plantainward::upstream::wire;
namespace platform = plantainward::platform;

namespace
{

constexpr core::millis exchange_timeout{100};
constexpr int database_count = 3;
constexpr const char* lease_row = "/table/lease-baseline";

upstream::control_result control(const core::address& database,
                                 const upstream::control_order& order)
{
    const auto result = http::send_and_wait(
        database, {"POST", "/control", {}, wire::encode(order)},
        exchange_timeout);
    return wire::decode_control_result(result.body)
        .value_or(upstream::control_result{});
}

} // namespace

lease_baseline::lease_baseline(const fleet& databases,
                               core::millis time_to_live)
    : m_databases(databases), m_time_to_live(time_to_live)
{
    promote_replica();
    renew();
    m_agent = std::thread([this] { run(); });
}

lease_baseline::~lease_baseline()
{
    m_running = false;
    m_agent.join();
}

bool lease_baseline::renew()
{
    const auto result = http::send_and_wait(
        m_databases.platform_address(),
        {"PUT",
         lease_row,
         {},
         platform::wire::encode(platform::table_row{"lease", m_version})},
        exchange_timeout);
    const auto row = platform::wire::decode_row(result.body);
    if (row)
        m_version = row->version;
    return result.status == 200;
}

void lease_baseline::run()
{
    auto renewed_at = core::steady::now();
    while (m_running)
    {
        std::this_thread::sleep_for(m_time_to_live / 3);
        const auto primary_answers =
            control(m_databases.database_address(m_primary), {}).outcome ==
            upstream::control_outcome::accepted;
        if (primary_answers && renew())
            renewed_at = core::steady::now();
        // Nobody may promote before the lease has expired.
        if (core::steady::now() - renewed_at < m_time_to_live)
            continue;
        if (renew())
            promote_replica();
        renewed_at = core::steady::now();
    }
}

void lease_baseline::promote_replica()
{
    upstream::control_order order;
    upstream::log_point longest_log;
    upstream::term_number highest_term = 0;
    int candidate = -1;
    for (int i = 0; i < database_count; ++i)
    {
        const auto status = control(m_databases.database_address(i), {});
        if (status.status.empty())
            continue;
        highest_term = std::max(highest_term, status.status[0].granted);
        if (candidate >= 0 && status.status[0].last <= longest_log)
            continue;
        longest_log = status.status[0].last;
        candidate = i;
    }
    if (candidate < 0)
        return;
    order.term = highest_term + 1;
    order.claimant = "lease-baseline";
    for (int i = 0; i < database_count; ++i)
    {
        order.kind = upstream::control_kind::grant;
        control(m_databases.database_address(i), order);
    }
    order.kind = upstream::control_kind::promote;
    control(m_databases.database_address(candidate), order);
    order.kind = upstream::control_kind::follow;
    order.primary = m_databases.database_address(candidate);
    for (int i = 0; i < database_count; ++i)
        if (i != candidate)
            control(m_databases.database_address(i), order);
    m_term = order.term;
    m_primary = candidate;
}

bool lease_baseline::write()
{
    boost::asio::io_context io;
    bool done = false;
    const auto primary_address = m_databases.database_address(m_primary);
    auto connection = http::client_connection::create(io, primary_address);
    upstream::run_order order;
    order.term = m_term;
    order.statements = {{upstream::verb::add, "baseline", "", 1}};
    const http::request run{"POST", "/run", {}, wire::encode(order)};
    connection->open(exchange_timeout, [&](bool ok) {
        if (!ok)
            return;
        connection->exchange(
            {"POST", "/session", {}, "{}"}, exchange_timeout,
            [&](const http::exchange_result&) {
                connection->exchange(
                    run, exchange_timeout,
                    [&](const http::exchange_result& result) {
                        const auto outcome =
                            wire::decode_run_result(result.body);
                        done = outcome && outcome->outcome ==
                                              upstream::run_outcome::answered;
                        connection->close();
                    });
            });
    });
    io.run();
    return done;
}

} // namespace bench
