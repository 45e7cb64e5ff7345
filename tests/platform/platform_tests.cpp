#include <platform/platform_server.hpp>
#include <platform/platform_state.hpp>

#include <plantainward/http/server.hpp>
#include <plantainward/platform/http_platform.hpp>
#include <plantainward/platform/wire.hpp>

#include <functional>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using platform::platform_outcome;

namespace
{

const core::address platform_address{support::loopback_ip(), 17804};

/// Checks the behaviour that every table service, object store and host list
/// must have.
template <class Platform>
class platform_contract
{
public:
    platform_contract(Platform& services,
                      std::function<void(const std::function<bool()>&)> wait)
        : m_services(services), m_wait(std::move(wait))
    {
    }

    platform::reply<platform::table_row> read(const char* name)
    {
        return get<platform::table_row>(
            [&](auto handler) { m_services.read_row(name, handler); });
    }

    platform::reply<platform::table_row>
    write(const char* name, std::uint64_t expected_version, const char* value)
    {
        return get<platform::table_row>([&](auto handler) {
            m_services.compare_and_set(name, expected_version, value, handler);
        });
    }

    void check_all()
    {
        CHECK(read("row").outcome == platform_outcome::not_found);
        CHECK(write("row", 0, "a").value.version == 1);
        CHECK(write("row", 0, "b").outcome == platform_outcome::conflict);
        CHECK(write("row", 1, "c").value.version == 2);
        CHECK(read("row").value.value == "c");
        const auto put = get<std::string>([&](auto handler) {
            m_services.put_object("key", "body \"x\"\n", handler);
        });
        CHECK(put.outcome == platform_outcome::ok);
        const auto object = get<std::string>(
            [&](auto handler) { m_services.get_object("key", handler); });
        STRCMP_EQUAL("body \"x\"\n", object.value.c_str());
        const auto none = get<std::string>(
            [&](auto handler) { m_services.get_object("none", handler); });
        CHECK(none.outcome == platform_outcome::not_found);
        const auto hosts = get<platform::listed_hosts>(
            [&](auto handler) { m_services.list_hosts(handler); });
        CHECK(hosts.outcome == platform_outcome::ok);
    }

private:
    template <class T, class Call>
    platform::reply<T> get(Call call)
    {
        std::optional<platform::reply<T>> result;
        call([&](platform::reply<T> reply) { result = std::move(reply); });
        m_wait([&] { return result.has_value(); });
        return *result;
    }

    Platform& m_services;
    std::function<void(const std::function<bool()>&)> m_wait;
};

} // namespace

TEST_GROUP(platform){};

TEST(platform, the_in_memory_platform_fulfils_the_contract)
{
    standin::platform_state state;
    platform_contract(state, [](const auto&) {}).check_all();
}

TEST_GROUP(http_platform)
{
    boost::asio::io_context io;
    standin::platform_server state;
    std::optional<http::server> server;
    // Time limit of a whole call: 300 ms to connect and 300 ms for the answer.
    platform::http_platform services{io, platform_address, core::millis(600)};

    void setup() override
    {
        server = http::server::listen(platform_address, {}, io,
                                      [this](http::connection_id,
                                             const http::request& message,
                                             const http::responder& respond) {
                                          state.handle(message, respond);
                                      });
        CHECK(server.has_value());
    }

    void teardown() override
    {
        server.reset();
    }

    platform_contract<platform::http_platform> make_contract()
    {
        return {services, [this](const std::function<bool()>& condition) {
                    while (!condition())
                        io.run_one_for(core::millis(10));
                }};
    }

    void set_faults(const char* body)
    {
        state.handle({"POST", "/faults", {}, body},
                     [](const http::response&) {});
    }
};

TEST(http_platform, the_http_client_and_its_stand_in_fulfil_the_contract)
{
    make_contract().check_all();
}

TEST(http_platform, a_write_whose_answer_is_lost_is_unknown_and_has_effect)
{
    auto contract = make_contract();
    set_faults(R"({"drop_answers":1})");
    CHECK(contract.write("row", 0, "a").outcome == platform_outcome::unknown);
    CHECK(contract.read("row").value.value == "a");
}

TEST(http_platform, a_call_during_an_outage_ends_as_unknown_or_down)
{
    auto contract = make_contract();
    set_faults(R"({"hung":true})");
    CHECK(contract.read("row").outcome == platform_outcome::unknown);
    server.reset();
    CHECK(contract.read("row").outcome == platform_outcome::down);
}

TEST_GROUP(platform_wire){};

TEST(platform_wire, malformed_answers_are_rejected)
{
    for (const char* text : {"", "[]", "{}", R"({"value":1,"version":2})"})
    {
        CHECK_FALSE(platform::wire::decode_row(text).has_value());
        CHECK_FALSE(platform::wire::decode_hosts(text).has_value());
    }
}

// Guards against a list that is not followed any more because of one entry.
TEST(platform_wire, a_malformed_entry_of_the_host_list_hides_no_other)
{
    const std::string sound = R"({"name":"h","failure_domain":"a",
        "caller":"127.0.0.1:1","peer":"127.0.0.1:2"})";
    const auto with_entry = [&](const std::string& entry) {
        return platform::wire::decode_hosts(
            R"({"proxies":[)" + entry + "," + sound +
            R"(],"leaving_upstreams":[)" + entry + R"(,"127.0.0.1:3"]})");
    };
    for (const char* entry :
         {"null", "7", "1e400", "[]", "{}", R"("127.0.0.1:65536")",
          R"({"name":7,"failure_domain":"a","caller":"127.0.0.1:1",
              "peer":"127.0.0.1:2"})",
          R"({"name":"x","failure_domain":"a","caller":"127.0.0.1:65536",
              "peer":"127.0.0.1:2"})",
          R"({"name":"x","failure_domain":"a","caller":"127.0.0.1:1"})"})
    {
        const auto hosts = with_entry(entry);
        CHECK_TEXT(hosts.has_value(), entry);
        LONGS_EQUAL(1, hosts->proxies.size());
        STRCMP_EQUAL("h", hosts->proxies.front().name.c_str());
        LONGS_EQUAL(1, hosts->leaving_upstreams.size());
    }
}
