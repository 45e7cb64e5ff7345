#include <upstream/gate_contract.hpp>

#include <database/database.hpp>
#include <database/database_server.hpp>

#include <plantainward/http/server.hpp>
#include <plantainward/upstream/http_gate.hpp>
#include <plantainward/upstream/wire.hpp>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

namespace
{

const core::address database_address{support::loopback_ip(), 17803};

/// A gate that calls a database directly.
class fake_gate
{
public:
    explicit fake_gate(standin::database& database) : m_database(database) {}

    void open(const core::address&, upstream::connection_number number,
              core::millis, const upstream::open_handler& handler)
    {
        const bool ok = m_database.open_session(number);
        if (ok)
            m_open.insert(number);
        handler(ok ? upstream::open_outcome::opened
                   : upstream::open_outcome::refused_by_limit);
    }

    void run(upstream::connection_number number,
             const upstream::run_order& order, core::millis,
             const upstream::run_handler& handler)
    {
        handler(m_open.contains(number) ? m_database.run(number, order)
                                        : upstream::run_result{});
    }

    void close(upstream::connection_number number)
    {
        m_open.erase(number);
        m_database.close_session(number);
    }

    void control(const core::address&, const upstream::control_order& order,
                 core::millis, const upstream::control_handler& handler)
    {
        handler(m_database.control(order));
    }

private:
    standin::database& m_database;
    std::set<upstream::connection_number> m_open;
};

static_assert(upstream::gate<fake_gate>);

void run_until(boost::asio::io_context& io,
               const std::function<bool()>& condition)
{
    const auto deadline = core::steady::now() + core::millis(5000);
    while (!condition() && core::steady::now() < deadline)
        io.run_one_for(core::millis(10));
}

} // namespace

TEST_GROUP(gate){};

TEST(gate, the_in_memory_gate_passes_all_checks_of_a_gate)
{
    standin::database database(1, 3);
    fake_gate gate(database);
    contract::gate_contract<fake_gate>(gate, database_address, [](const auto&) {
    }).check_all();
}

TEST_GROUP(http_gate)
{
    boost::asio::io_context io;
    std::shared_ptr<standin::database_server> database;
    std::optional<http::server> server;
    upstream::http_gate gate{io};

    void setup() override
    {
        database = std::make_shared<standin::database_server>(
            io, database_address, 1, 3, standin::database_faults{});
        server = http::server::listen(
            database_address, {}, io,
            [this](http::connection_id from, const http::request& message,
                   http::responder respond) {
                database->handle(from, message, std::move(respond));
            },
            [this](http::connection_id from) { database->handle_close(from); });
        CHECK(server.has_value());
    }

    void teardown() override
    {
        server.reset();
    }

    void set_faults(const char* body)
    {
        database->handle(0, {"POST", "/faults", {}, body},
                         [](const http::response&) {});
    }

    contract::gate_contract<upstream::http_gate> make_contract()
    {
        return {gate, database_address, [this](const auto& condition) {
                    run_until(io, condition);
                }};
    }
};

TEST(http_gate, the_http_gate_passes_all_checks_of_a_gate)
{
    make_contract().check_all();
}

TEST(http_gate, an_order_whose_answer_is_dropped_ends_as_lost)
{
    auto contract = make_contract();
    upstream::control_order claim;
    claim.kind = upstream::control_kind::grant;
    claim.term = 1;
    contract.control(claim);
    claim.kind = upstream::control_kind::promote;
    contract.control(claim);
    contract.open(1);
    set_faults(R"({"drop_answers":1})");
    upstream::run_order order;
    order.term = 1;
    order.id = "id-1";
    order.statements = {{upstream::verb::add, "n", "", 1}};
    CHECK(contract.run(1, order).outcome == upstream::run_outcome::lost);
    // The gate closed the connection, so nothing more is sent on it.
    CHECK(contract.run(1, order).outcome == upstream::run_outcome::not_sent);
    contract.open(2);
    CHECK(contract.run(2, order).answer.replayed);
}

TEST(http_gate, a_database_that_does_not_answer_times_out)
{
    auto contract = make_contract();
    contract.open(1);
    set_faults(R"({"cut_proxies":true})");
    CHECK(contract.run(1, {}).outcome == upstream::run_outcome::lost);
    CHECK(contract.control({}).outcome == upstream::control_outcome::timed_out);
}

TEST(http_gate, an_address_without_a_database_is_unreachable)
{
    server.reset();
    auto contract = make_contract();
    CHECK(contract.open(1) == upstream::open_outcome::failed);
    CHECK(contract.control({}).outcome ==
          upstream::control_outcome::unreachable);
}

TEST_GROUP(upstream_wire){};

TEST(upstream_wire, malformed_answers_are_refused)
{
    for (const char* text :
         {"", "{", "[]", "{}", R"({"results":5})",
          R"({"results":[],"seen":[1]})", R"({"refused":"no such kind"})"})
        CHECK_FALSE(upstream::wire::decode_run_result(text).has_value());
    for (const char* text : {"", "[]", R"({"slots":1})", R"({"slots":[1]})"})
        CHECK_FALSE(upstream::wire::decode_control_result(text).has_value());
}
