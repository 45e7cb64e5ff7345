#include <store_client.hpp>

#include <row_store/row_store.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;
using standin::store_fault;

namespace
{

const core::address store_address{support::loopback_ip(), 18090};
constexpr millis timeout{300};

} // namespace

TEST_GROUP(store_client)
{
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::unique_ptr<store_client> client;

    void setup() override
    {
        store = standin::row_store::listen(io, store_address,
                                           [](const std::string&,
                                              const std::string&,
                                              std::uint64_t) { return 200; });
        CHECK(store != nullptr);
        client = std::make_unique<store_client>(io, store_address);
    }

    void teardown() override
    {
        client.reset();
        store.reset();
    }

    /// Runs a call until its end.
    template <class Call>
    store_answer run(Call call)
    {
        std::optional<store_answer> answer;
        call([&](store_answer result) { answer = std::move(result); });
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!answer && std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(20));
        return answer.value_or(store_answer{});
    }

    store_answer write(const std::string& value, std::uint64_t expected)
    {
        return run([&](const store_handler& handler) {
            client->write({"t", "k", value, expected, false}, timeout, handler);
        });
    }

    store_answer read()
    {
        return run([&](const store_handler& handler) {
            client->read_table("t", timeout, handler);
        });
    }
};

TEST(store_client, a_write_needs_the_present_version_of_the_row)
{
    const auto first = write("a", 0);
    CHECK(first.outcome == store_outcome::done);
    CHECK(write("b", 0).outcome == store_outcome::conflict);
    CHECK(write("b", first.version).outcome == store_outcome::done);
    STRCMP_EQUAL("b", read().rows.front().value.c_str());
}

TEST(store_client, a_table_is_read_over_all_its_pages)
{
    for (int i = 0; i < 11; ++i)
        store->put("t", "k" + std::to_string(10 + i), "v");
    LONGS_EQUAL(11, read().rows.size());
}

TEST(store_client, a_value_of_any_bytes_is_read_back_unchanged)
{
    const std::string bytes("\0\xff\r\n\"", 5);
    write(bytes, 0);
    CHECK(read().rows.front().value == bytes);
}

TEST(store_client, a_feed_returns_changes_and_removals)
{
    store->put("t", "k", "1");
    const auto before = read().version;
    store->put("t", "k", "2");
    store->remove("t", "gone");
    const auto answer = run([&](const store_handler& handler) {
        client->follow("t", before, millis(200), handler);
    });
    CHECK(answer.outcome == store_outcome::done);
    LONGS_EQUAL(2, answer.rows.size());
    CHECK(answer.rows[0].removed != answer.rows[1].removed);
    const auto quiet = run([&](const store_handler& handler) {
        client->follow("t", answer.version, millis(50), handler);
    });
    CHECK(quiet.outcome == store_outcome::done);
    LONGS_EQUAL(0, quiet.rows.size());
}

TEST(store_client, each_fault_of_the_store_has_a_defined_outcome)
{
    struct fault_case
    {
        store_fault fault;
        store_outcome of_write;
        store_outcome of_feed;
    };
    const fault_case cases[] = {
        {store_fault::busy, store_outcome::refused, store_outcome::refused},
        {store_fault::too_many, store_outcome::refused, store_outcome::refused},
        {store_fault::lost_history, store_outcome::conflict,
         store_outcome::history_lost},
    };
    write("a", 0);
    for (const auto& expected : cases)
    {
        store->set_fault(expected.fault);
        CHECK(write("b", 0).outcome == expected.of_write);
        const auto feed = run([&](const store_handler& handler) {
            client->follow("t", 0, millis(50), handler);
        });
        CHECK(feed.outcome == expected.of_feed);
    }
}

TEST(store_client, a_write_whose_answer_is_lost_is_unknown_and_has_effect)
{
    store->set_fault(store_fault::lost_answers);
    CHECK(write("a", 0).outcome == store_outcome::unknown);
    store->set_fault(store_fault::none);
    STRCMP_EQUAL("a", read().rows.front().value.c_str());
}

TEST(store_client, a_call_to_a_store_that_does_not_listen_ends_as_refused)
{
    store.reset();
    CHECK(write("a", 0).outcome == store_outcome::refused);
}

TEST(store_client, versions_of_a_later_era_are_newer)
{
    store->put("t", "a", "1");
    store->put("t", "b", "1");
    const auto copy = store->version() - 1;
    const auto read = [&] {
        return run([&](const store_handler& handler) {
            client->read_table("t", timeout, handler);
        });
    };
    const auto before = read();
    store->restore(copy);
    const auto after = read();
    CHECK(after.version > before.version);
    CHECK(after.rows.front().version > before.rows.back().version);
}

TEST(store_client, a_version_of_an_earlier_era_is_no_condition_for_a_write)
{
    // Guards against a write whose condition held by chance, since the number
    // of the expected version had been given out again.
    const auto copy = store->version();
    store->put("t", "a", "1");
    const auto expected = run([&](const store_handler& handler) {
                              client->read_table("t", timeout, handler);
                          })
                              .rows.front()
                              .version;
    store->restore(copy);
    store->put("t", "a", "2");
    run([&](const store_handler& handler) {
        client->read_table("t", timeout, handler);
    });
    const auto outcome = run([&](const store_handler& handler) {
        client->write({"t", "a", "3", expected}, timeout, handler);
    });
    CHECK(outcome.outcome == store_outcome::conflict);
}
