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
constexpr int group_size = 3;
constexpr const char* lease_row = "/table/lease-baseline";

upstream::control_result control(const core::address& where,
                                 const upstream::control_order& order)
{
    const auto result = http::send_and_wait(
        where, {"POST", "/control", {}, wire::encode(order)}, exchange_timeout);
    return wire::decode_control_result(result.body)
        .value_or(upstream::control_result{});
}

} // namespace

lease_baseline::lease_baseline(const fleet& where, core::millis time_to_live)
    : m_fleet(where), m_time_to_live(time_to_live)
{
    take_over();
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
        m_fleet.platform_address(),
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
    auto renewed = core::steady::now();
    while (m_running)
    {
        std::this_thread::sleep_for(m_time_to_live / 3);
        const auto alive =
            control(m_fleet.database_address(m_primary), {}).outcome ==
            upstream::control_outcome::accepted;
        if (alive && renew())
            renewed = core::steady::now();
        // Nobody may promote before the lease has lapsed.
        if (core::steady::now() - renewed < m_time_to_live)
            continue;
        if (renew())
            take_over();
        renewed = core::steady::now();
    }
}

void lease_baseline::take_over()
{
    upstream::control_order order;
    upstream::log_point best;
    upstream::term_number highest = 0;
    int chosen = -1;
    for (int i = 0; i < group_size; ++i)
    {
        const auto status = control(m_fleet.database_address(i), {});
        if (status.status.empty())
            continue;
        highest = std::max(highest, status.status[0].granted);
        if (chosen >= 0 && status.status[0].last <= best)
            continue;
        best = status.status[0].last;
        chosen = i;
    }
    if (chosen < 0)
        return;
    order.term = highest + 1;
    order.claimant = "lease-baseline";
    for (int i = 0; i < group_size; ++i)
    {
        order.kind = upstream::control_kind::grant;
        control(m_fleet.database_address(i), order);
    }
    order.kind = upstream::control_kind::promote;
    control(m_fleet.database_address(chosen), order);
    order.kind = upstream::control_kind::follow;
    order.primary = m_fleet.database_address(chosen);
    for (int i = 0; i < group_size; ++i)
        if (i != chosen)
            control(m_fleet.database_address(i), order);
    m_term = order.term;
    m_primary = chosen;
}

bool lease_baseline::write()
{
    boost::asio::io_context io;
    bool done = false;
    const auto where = m_fleet.database_address(m_primary);
    auto connection = http::client_connection::create(io, where);
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
                        const auto end = wire::decode_run_result(result.body);
                        done = end &&
                               end->outcome == upstream::run_outcome::answered;
                        connection->close();
                    });
            });
    });
    io.run();
    return done;
}

} // namespace bench
