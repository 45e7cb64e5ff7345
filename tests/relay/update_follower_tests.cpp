#include <plantainward/relay/relay_gateway.hpp>
#include <plantainward/relay/update_follower.hpp>
#include <plantainward/relay/update_message.hpp>

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>

using namespace plantainward;
using namespace plantainward::relay;
using core::millis;

namespace
{

std::uint16_t free_port(boost::asio::io_context& io)
{
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

fleet::table_update sample_update(std::uint64_t version)
{
    fleet::table_update update;
    update.versions.routing = version;
    update.is_current = true;
    update.routing_proof = fleet::sent_routing_proof{3, millis(-250)};
    update.routing.emplace();
    update.routing->version = version;
    update.routing->routes["cards"].timeout = millis(700);
    update.routing->services["ledger"] = {70, 1};
    update.upstreams.emplace().push_back(
        {"i-1", "ledger", {"10.0.0.1", 5}, "a", false, true, 7});
    update.hosts.emplace()["host-1"] = {{"10.0.0.2", 6}, "b", 170};
    return update;
}

/// A host that has the tables and a follower that fetches them from it.
struct follower_fixture
{
    follower_fixture()
    {
        relay_callbacks source_callbacks;
        source_callbacks.malformed = [] {
        };
        source_callbacks.find_update =
            [this](const fleet::table_versions& their_versions,
                   core::boot_instant received_at,
                   bool must_answer) -> std::optional<fleet::table_update> {
            ++update_lookups;
            fleet::table_update update = sample_update(version);
            update.is_current = is_current;
            update.routing_proof = fleet::sent_routing_proof{
                3, std::chrono::floor<millis>(proved_at - received_at)};
            if (update.versions.is_newer_than(their_versions) || must_answer ||
                !is_current)
                return update;
            return std::nullopt;
        };
        source = relay_gateway::listen(io, source_address, source_callbacks);
        update_callbacks follower_callbacks;
        follower_callbacks.sources = [this] {
            return sources;
        };
        follower_callbacks.known_versions = [this] {
            return fleet::table_versions{received_version, 0, 0};
        };
        follower_callbacks.update_received =
            [this](const fleet::table_update& update,
                   core::boot_instant requested_at) {
                dated_at = requested_at + update.routing_proof->after_request;
                received_version =
                    std::max(received_version, update.versions.routing);
                ++received_updates;
                // The process chooses its source anew when the hosts change.
                if (update.hosts)
                    follower->start();
            };
        follower_callbacks.no_current_source = [this] {
            ++service_reads;
        };
        follower.emplace(io, follower_callbacks);
    }

    void run(millis time)
    {
        const auto end = core::boot_clock::now() + time;
        while (core::boot_clock::now() < end)
        {
            io.restart();
            io.run_for(millis(10));
            source->tick(core::boot_clock::now());
        }
    }

    boost::asio::io_context io;
    core::address source_address{"127.0.0.1", free_port(io)};
    std::vector<core::address> sources{source_address};
    std::unique_ptr<relay_gateway> source;
    std::optional<update_follower> follower;
    std::uint64_t version{1};
    std::uint64_t received_version{0};
    bool is_current{true};
    core::boot_instant proved_at{core::boot_clock::now()};
    core::boot_instant dated_at{};
    int update_lookups{0};
    int received_updates{0};
    int service_reads{0};
};

} // namespace

TEST_GROUP(update_message){};

TEST(update_message, an_update_is_unchanged_by_encoding_and_decoding)
{
    const auto decoded = decode_update(encode(sample_update(9)));
    CHECK(decoded.has_value());
    LONGS_EQUAL(9, decoded->versions.routing);
    CHECK(decoded->is_current);
    CHECK(decoded->routing_proof == sample_update(9).routing_proof);
    LONGS_EQUAL(700, decoded->routing->routes.at("cards").timeout.count());
    LONGS_EQUAL(70, decoded->routing->services.at("ledger").max_connections);
    LONGS_EQUAL(1, decoded->routing->services.at("ledger").sync_replicas);
    CHECK(decoded->upstreams == sample_update(9).upstreams);
    CHECK(decoded->hosts == sample_update(9).hosts);
    CHECK_FALSE(decode_update("x").has_value());
    CHECK_FALSE(decode_versions("").has_value());
}

TEST_GROUP(update_follower){};

TEST(update_follower, a_held_fetch_is_answered_when_a_table_changes)
{
    follower_fixture fixture;
    fixture.follower->start();
    fixture.run(millis(300));
    LONGS_EQUAL(1, fixture.received_version);
    fixture.version = 2;
    fixture.run(millis(300));
    LONGS_EQUAL(2, fixture.received_version);
}

TEST(update_follower, a_proof_is_dated_by_the_sending_of_the_request)
{
    // A proof that is dated too late would let a host serve a withdrawn key.
    follower_fixture fixture;
    fixture.follower->start();
    fixture.run(millis(300));
    CHECK(fixture.dated_at <= fixture.proved_at);
    CHECK(fixture.dated_at > fixture.proved_at - millis(100));
}

TEST(update_follower, a_held_fetch_delivers_nothing_while_the_tables_stay)
{
    // In a large fleet hundreds of hosts have a held fetch at the same time.
    follower_fixture fixture;
    fixture.follower->start();
    fixture.run(millis(300));
    const auto version_before = fixture.received_version;
    fixture.run(millis(300));
    LONGS_EQUAL(version_before, fixture.received_version);
    CHECK(fixture.service_reads == 0);
}

TEST(update_follower, the_next_source_is_tried_when_one_does_not_listen)
{
    follower_fixture fixture;
    fixture.sources = {{"127.0.0.1", free_port(fixture.io)},
                       fixture.source_address};
    fixture.follower->start();
    fixture.run(millis(500));
    LONGS_EQUAL(1, fixture.received_version);
}

TEST(update_follower, the_next_source_is_tried_in_time_when_one_is_silent)
{
    follower_fixture fixture;
    boost::asio::ip::tcp::acceptor silent(
        fixture.io, {boost::asio::ip::address_v4::loopback(), 0});
    fixture.sources = {{"127.0.0.1", silent.local_endpoint().port()},
                       fixture.source_address};
    fixture.follower->start();
    fixture.run(millis(2000));
    LONGS_EQUAL(1, fixture.received_version);
}

TEST(update_follower, without_a_current_source_the_table_service_is_read)
{
    follower_fixture fixture;
    fixture.is_current = false;
    fixture.follower->start();
    fixture.run(millis(1500));
    CHECK(fixture.service_reads >= 1);
    // During an outage of the table service every host does this, so fetches
    // must be rare and reads rarer.
    CHECK(fixture.service_reads <= 2);
    CHECK(fixture.update_lookups < 10);
}

TEST(update_follower, a_stopped_follower_sends_no_further_fetch)
{
    follower_fixture fixture;
    fixture.follower->start();
    fixture.run(millis(200));
    fixture.follower->stop();
    fixture.version = 2;
    fixture.run(millis(300));
    const auto lookups_before = fixture.update_lookups;
    fixture.run(millis(300));
    LONGS_EQUAL(lookups_before, fixture.update_lookups);
}

TEST(update_follower, a_follower_that_is_started_in_its_callback_fetches_once)
{
    // Guards against a further fetch for each change of the hosts: each of them
    // was answered with all hosts, and one source that ended failed them all.
    follower_fixture fixture;
    fixture.follower->start();
    for (int change = 0; change < 4; ++change)
    {
        fixture.run(millis(300));
        ++fixture.version;
    }
    fixture.run(millis(300));
    LONGS_EQUAL(5, fixture.received_version);
    LONGS_EQUAL(5, fixture.received_updates);
}
