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

fleet::table_update some_news(std::uint64_t version)
{
    fleet::table_update made;
    made.versions.routing = version;
    made.is_current = true;
    made.routing.emplace();
    made.routing->version = version;
    made.routing->routes["cards"].timeout = millis(700);
    made.routing->services["ledger"].max_connections = 70;
    made.upstreams.emplace().push_back(
        {"i-1", "ledger", {"10.0.0.1", 5}, "a", false, true, 7});
    made.hosts.emplace()["host-1"] = {{"10.0.0.2", 6}, "b", 170};
    return made;
}

/// A host that follows the tables and one that hears from it.
struct news_case
{
    news_case()
    {
        relay_callbacks events;
        events.malformed = [] {
        };
        events.news =
            [this](const fleet::table_versions& theirs,
                   bool must_answer) -> std::optional<fleet::table_update> {
            ++questions;
            fleet::table_update made = some_news(version);
            made.is_current = is_current;
            if (made.versions.is_newer_than(theirs) || must_answer ||
                !is_current)
                return made;
            return std::nullopt;
        };
        source = relay_gateway::listen(io, where, events);
        update_callbacks wanted;
        wanted.sources = [this] {
            return sources;
        };
        wanted.known = [this] {
            return fleet::table_versions{known, 0, 0};
        };
        wanted.news = [this](const fleet::table_update& one) {
            known = std::max(known, one.versions.routing);
        };
        wanted.no_source = [this] {
            ++no_source;
        };
        follower.emplace(io, wanted);
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
    core::address where{"127.0.0.1", free_port(io)};
    std::vector<core::address> sources{where};
    std::unique_ptr<relay_gateway> source;
    std::optional<update_follower> follower;
    std::uint64_t version{1};
    std::uint64_t known{0};
    bool is_current{true};
    int questions{0};
    int no_source{0};
};

} // namespace

TEST_GROUP(update_message){};

TEST(update_message, news_survive_their_encoding)
{
    const auto found = decode_news(encode(some_news(9)));
    CHECK(found.has_value());
    LONGS_EQUAL(9, found->versions.routing);
    CHECK(found->is_current);
    LONGS_EQUAL(700, found->routing->routes.at("cards").timeout.count());
    LONGS_EQUAL(70, found->routing->services.at("ledger").max_connections);
    CHECK(found->upstreams == some_news(9).upstreams);
    CHECK(found->hosts == some_news(9).hosts);
    CHECK_FALSE(decode_news("x").has_value());
    CHECK_FALSE(decode_versions("").has_value());
}

TEST_GROUP(update_follower){};

TEST(update_follower, a_change_arrives_while_the_question_is_held)
{
    news_case c;
    c.follower->start();
    c.run(millis(300));
    LONGS_EQUAL(1, c.known);
    c.version = 2;
    c.run(millis(300));
    LONGS_EQUAL(2, c.known);
}

TEST(update_follower, nothing_is_asked_while_a_question_is_held)
{
    // Load: hundreds of hosts hold a question at the same time.
    news_case c;
    c.follower->start();
    c.run(millis(300));
    const auto before = c.known;
    c.run(millis(300));
    LONGS_EQUAL(before, c.known);
    CHECK(c.no_source == 0);
}

TEST(update_follower, a_source_that_does_not_listen_is_left_for_the_next)
{
    news_case c;
    c.sources = {{"127.0.0.1", free_port(c.io)}, c.where};
    c.follower->start();
    c.run(millis(500));
    LONGS_EQUAL(1, c.known);
}

TEST(update_follower, a_silent_source_is_left_within_the_bound_of_a_change)
{
    news_case c;
    boost::asio::ip::tcp::acceptor silent(
        c.io, {boost::asio::ip::address_v4::loopback(), 0});
    c.sources = {{"127.0.0.1", silent.local_endpoint().port()}, c.where};
    c.follower->start();
    c.run(millis(2000));
    LONGS_EQUAL(1, c.known);
}

TEST(update_follower, without_a_current_source_the_tables_are_read_elsewhere)
{
    news_case c;
    c.is_current = false;
    c.follower->start();
    c.run(millis(1500));
    CHECK(c.no_source >= 1);
    // Load: an outage of the table service; few questions, fewer reads.
    CHECK(c.no_source <= 2);
    CHECK(c.questions < 10);
}

TEST(update_follower, a_stopped_follower_asks_no_more)
{
    news_case c;
    c.follower->start();
    c.run(millis(200));
    c.follower->stop();
    c.version = 2;
    c.run(millis(300));
    const auto asked = c.questions;
    c.run(millis(300));
    LONGS_EQUAL(asked, c.questions);
}
