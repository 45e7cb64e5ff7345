#include <table_follower.hpp>

#include <row_store/row_store.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/asio/steady_timer.hpp>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;
using standin::store_fault;

namespace
{

const core::address store_address{support::loopback_ip(), 18091};
constexpr millis batch_interval{100};

} // namespace

TEST_GROUP(table_follower)
{
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::unique_ptr<store_client> client;
    std::unique_ptr<table_follower> follower;
    std::size_t rows{0};
    std::vector<bool> probes;

    void probe()
    {
        follower->probe([this](bool succeeded, core::boot_instant) {
            probes.push_back(succeeded);
        });
    }

    void setup() override
    {
        store = standin::row_store::listen(io, store_address,
                                           [](const std::string&,
                                              const std::string&,
                                              std::uint64_t) { return 200; });
        CHECK(store != nullptr);
        store->put("t", "a", "1");
        client = std::make_unique<store_client>(io, store_address);
        table_callbacks callbacks;
        callbacks.table_read = [this](const std::vector<store_row>& table,
                                      core::boot_instant) {
            rows = table.size();
        };
        callbacks.rows_changed = [this](const std::vector<store_row>& changed) {
            rows += changed.size();
        };
        callbacks.reachability_changed = [](bool) {
        };
        client->observe_era([this] { follower->restart(); });
        follower = std::make_unique<table_follower>(io, *client, "t",
                                                    batch_interval, callbacks);
    }

    void teardown() override
    {
        follower.reset();
        client.reset();
        store.reset();
    }

    void run_for(millis time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
    }
};

TEST(table_follower, a_table_is_read_and_its_changes_are_delivered)
{
    follower->start();
    run_for(millis(300));
    LONGS_EQUAL(1, rows);
    store->put("t", "b", "2");
    run_for(millis(400));
    LONGS_EQUAL(2, rows);
}

TEST(table_follower, a_table_whose_history_is_lost_is_not_read_in_a_loop)
{
    // While the store discards its history, every feed of every host ends at
    // once.
    store->set_fault(store_fault::lost_history);
    follower->start();
    run_for(millis(1000));
    LONGS_EQUAL(1, rows);
    // At most a feed and a read for each batch interval.
    CHECK(store->calls() <= 24);
}

TEST(table_follower, a_stopped_follower_makes_no_calls_and_can_start_again)
{
    follower->start();
    run_for(millis(300));
    follower->stop();
    store->put("t", "b", "2");
    run_for(millis(300));
    LONGS_EQUAL(1, rows);
    follower->start();
    run_for(millis(300));
    LONGS_EQUAL(2, rows);
}

TEST(table_follower, a_probe_delivers_changes_and_ends_without_waiting_for_one)
{
    probe();
    CHECK((probes == std::vector{false}));
    follower->start();
    run_for(millis(300));
    probe();
    run_for(millis(100));
    CHECK((probes == std::vector{false, true}));
    store->put("t", "b", "2");
    probe();
    run_for(millis(50));
    CHECK((probes == std::vector{false, true, true}));
    CHECK(rows >= 2);
}

// The number at which a probe would continue stands for another change then.
TEST(table_follower, a_probe_does_not_succeed_across_a_new_era)
{
    const auto copy = store->version();
    store->put("t", "b", "2");
    follower->start();
    run_for(millis(300));
    store->restore(copy);
    probe();
    run_for(millis(100));
    CHECK((probes == std::vector{false}));
    run_for(millis(600));
    probe();
    run_for(millis(100));
    CHECK((probes == std::vector{false, true}));
}

TEST(table_follower, a_table_that_was_restored_from_a_copy_is_read_again)
{
    // Guards against a host that discarded the restored table as outdated until
    // the store had given out as many versions again.
    const auto copy = store->version();
    for (const char* key : {"b", "c", "d"})
        store->put("t", key, "2");
    follower->start();
    run_for(millis(300));
    LONGS_EQUAL(4, rows);
    store->restore(copy);
    run_for(millis(600));
    LONGS_EQUAL(1, rows);
    store->put("t", "e", "3");
    run_for(millis(400));
    LONGS_EQUAL(2, rows);
}

TEST(table_follower, a_feed_does_not_continue_at_a_number_of_an_earlier_era)
{
    // Guards against a feed that missed the changes below a number which had
    // been given out again while the host did not follow the table.
    const auto copy = store->version();
    store->put("t", "b", "2");
    follower->start();
    run_for(millis(300));
    follower->stop();
    store->restore(copy);
    for (const char* key : {"c", "c", "d"})
        store->put("t", key, "3");
    client->read_table("t", millis(300), [](const store_answer&) {});
    run_for(millis(200));
    follower->start();
    run_for(millis(300));
    LONGS_EQUAL(3, rows);
}

// Guards against a second feed beside the first: a timer that had expired
// before a restart, and was handled after it, started one more.
TEST(table_follower, a_restart_after_a_stall_leaves_one_feed)
{
    follower->start();
    run_for(millis(300));
    // The feed ends with this change, and the next one waits for its pause.
    store->put("t", "b", "2");
    run_for(millis(20));
    // Expires before the pause; a stalled process handles both at once.
    boost::asio::steady_timer earlier(io, millis(1));
    earlier.async_wait(
        [this](boost::system::error_code) { follower->catch_up(); });
    std::this_thread::sleep_for(batch_interval * 4);
    const auto calls_before = store->calls();
    run_for(millis(1000));
    // A read of the table, and the feed that follows it.
    LONGS_EQUAL(calls_before + 2, store->calls());
}
