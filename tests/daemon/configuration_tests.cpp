#include <platform/platform_state.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/daemon/configuration.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using configuration =
    daemon::configuration<standin::platform_state, standin::platform_state>;

namespace
{

std::string body_of(int slots)
{
    std::string text =
        "[service.counter]\nslots = " + std::to_string(slots) + "\n";
    for (const char* name : {"one", "two", "three"})
        text += "[service.counter.database." + std::string(name) +
                "]\naddress = \"127.0.0.1:1\"\nfailure_domain = \"a\"\n";
    return intent::encode({{"a.toml", text}});
}

peer::revision_document document(std::uint64_t revision)
{
    const auto body = body_of(static_cast<int>(revision));
    return {revision, core::sha256_hex(body), body, "operator"};
}

} // namespace

TEST_GROUP(configuration)
{
    boost::asio::io_context io;
    standin::platform_state platform;
    peer::peer_client peers{io};
    observe::journal events{100};
    observe::metrics metrics;
    std::vector<std::uint64_t> in_force;
    std::shared_ptr<configuration> config = std::make_shared<configuration>(
        platform, platform, peers, daemon::telemetry{events, metrics}, "host",
        [this](const intent::accepted_revision& revision) {
            in_force.push_back(revision.revision);
        });
};

TEST(configuration, revisions_accepted_concurrently_come_into_force_in_order)
{
    for (int round = 0; round < 20; ++round)
    {
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (std::uint64_t i = 1; i <= 4; ++i)
            threads.emplace_back([&, revision = 4U * round + i] {
                config->accept(document(revision % 60 + 1), "a test");
            });
        for (auto& thread : threads)
            thread.join();
    }
    CHECK(std::is_sorted(in_force.begin(), in_force.end()));
    LONGS_EQUAL(in_force.back(), config->document().revision);
}

TEST(configuration, a_revision_is_also_read_from_the_head_row)
{
    const auto wanted = document(1);
    platform.put_object(wanted.digest, wanted.body, [](const auto&) {});
    platform.compare_and_set(
        std::string(intent::head_row), 0,
        intent::encode(intent::head{1, wanted.digest, "writer", "operator"}),
        [](const auto&) {});
    config->tick(core::steady::now(), 1);
    LONGS_EQUAL(1, config->document().revision);
}

TEST(configuration, a_platform_outage_leaves_the_revision_in_force)
{
    CHECK(config->accept(document(5), "a test"));
    platform.down = true;
    config->tick(core::steady::now(), 1);
    LONGS_EQUAL(5, config->document().revision);
}

TEST(configuration, a_corrupt_body_from_the_store_is_rejected_and_recorded)
{
    const auto wanted = document(1);
    platform.put_object(wanted.digest, "junk", [](const auto&) {});
    platform.compare_and_set(
        std::string(intent::head_row), 0,
        intent::encode(intent::head{1, wanted.digest, "writer", "operator"}),
        [](const auto&) {});
    config->tick(core::steady::now(), 1);
    LONGS_EQUAL(0, config->document().revision);
    LONGS_EQUAL(1, events.find("revision_rejected").size());
}
