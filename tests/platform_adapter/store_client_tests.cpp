#include <store_client.hpp>

#include <row_store/row_store.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;
using standin::store_fault;

namespace
{

const core::address where{"127.0.0.1", 18090};
constexpr millis timeout{300};

} // namespace

TEST_GROUP(store_client)
{
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::unique_ptr<store_client> client;

    void setup() override
    {
        store = standin::row_store::listen(io, where,
                                           [](const std::string&,
                                              const std::string&,
                                              std::uint64_t) { return 200; });
        CHECK(store != nullptr);
        client = std::make_unique<store_client>(io, where);
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
        std::optional<store_answer> got;
        call([&](store_answer one) { got = std::move(one); });
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!got && std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(20));
        return got.value_or(store_answer{});
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

TEST(store_client, a_conditional_write_takes_the_version_of_the_row)
{
    const auto first = write("a", 0);
    CHECK(first.end == store_end::done);
    CHECK(write("b", 0).end == store_end::conflict);
    CHECK(write("b", first.version).end == store_end::done);
    STRCMP_EQUAL("b", read().rows.front().value.c_str());
}

TEST(store_client, a_table_is_read_over_all_its_pages)
{
    for (int i = 0; i < 11; ++i)
        store->put("t", "k" + std::to_string(10 + i), "v");
    LONGS_EQUAL(11, read().rows.size());
}

TEST(store_client, bytes_of_any_value_come_back)
{
    const std::string bytes("\0\xff\r\n\"", 5);
    write(bytes, 0);
    CHECK(read().rows.front().value == bytes);
}

TEST(store_client, a_feed_tells_of_changes_and_removals)
{
    store->put("t", "k", "1");
    const auto before = read().version;
    store->put("t", "k", "2");
    store->remove("t", "gone");
    const auto got = run([&](const store_handler& handler) {
        client->follow("t", before, millis(200), handler);
    });
    CHECK(got.end == store_end::done);
    LONGS_EQUAL(2, got.rows.size());
    CHECK(got.rows[0].removed != got.rows[1].removed);
    const auto quiet = run([&](const store_handler& handler) {
        client->follow("t", got.version, millis(50), handler);
    });
    CHECK(quiet.end == store_end::done);
    LONGS_EQUAL(0, quiet.rows.size());
}

TEST(store_client, every_fault_has_its_own_end)
{
    struct fault_case
    {
        store_fault fault;
        store_end of_write;
        store_end of_feed;
    };
    const fault_case cases[] = {
        {store_fault::busy, store_end::refused, store_end::refused},
        {store_fault::too_many, store_end::refused, store_end::refused},
        {store_fault::lost_history, store_end::conflict,
         store_end::history_lost},
    };
    write("a", 0);
    for (const auto& one : cases)
    {
        store->set_fault(one.fault);
        CHECK(write("b", 0).end == one.of_write);
        const auto feed = run([&](const store_handler& handler) {
            client->follow("t", 0, millis(50), handler);
        });
        CHECK(feed.end == one.of_feed);
    }
}

TEST(store_client, a_lost_answer_is_unknown_though_the_write_was_done)
{
    store->set_fault(store_fault::lost_answers);
    CHECK(write("a", 0).end == store_end::unknown);
    store->set_fault(store_fault::none);
    STRCMP_EQUAL("a", read().rows.front().value.c_str());
}

TEST(store_client, a_store_that_does_not_listen_has_done_nothing)
{
    store.reset();
    CHECK(write("a", 0).end == store_end::refused);
}
