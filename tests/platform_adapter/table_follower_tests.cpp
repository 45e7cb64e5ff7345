#include <table_follower.hpp>

#include <row_store/row_store.hpp>

#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;
using standin::store_fault;

namespace
{

const core::address where{"127.0.0.1", 18091};
constexpr millis gather{100};

} // namespace

TEST_GROUP(table_follower)
{
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::unique_ptr<store_client> client;
    std::unique_ptr<table_follower> follower;
    std::size_t rows{0};

    void setup() override
    {
        store = standin::row_store::listen(io, where,
                                           [](const std::string&,
                                              const std::string&,
                                              std::uint64_t) { return 200; });
        CHECK(store != nullptr);
        store->put("t", "a", "1");
        client = std::make_unique<store_client>(io, where);
        table_callbacks events;
        events.all = [this](const std::vector<store_row>& all,
                            core::boot_instant) {
            rows = all.size();
        };
        events.changed = [this](const std::vector<store_row>& changed) {
            rows += changed.size();
        };
        events.reachable = [](bool) {
        };
        follower =
            std::make_unique<table_follower>(io, *client, "t", gather, events);
    }

    void teardown() override
    {
        follower.reset();
        client.reset();
        store.reset();
    }

    void pass(millis time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
    }
};

TEST(table_follower, a_table_is_read_and_its_changes_are_told)
{
    follower->start();
    pass(millis(300));
    LONGS_EQUAL(1, rows);
    store->put("t", "b", "2");
    pass(millis(400));
    LONGS_EQUAL(2, rows);
}

TEST(table_follower, a_table_whose_history_is_lost_is_not_read_in_a_loop)
{
    // Load: the service discards its history for seconds; each feed of each
    // host ends at once.
    store->set_fault(store_fault::lost_history);
    follower->start();
    pass(millis(1000));
    LONGS_EQUAL(1, rows);
    // At most a feed and a read for each time that changes are gathered.
    CHECK(store->calls() <= 24);
}

TEST(table_follower, a_stopped_follower_asks_no_more_and_can_start_again)
{
    follower->start();
    pass(millis(300));
    follower->stop();
    store->put("t", "b", "2");
    pass(millis(300));
    LONGS_EQUAL(1, rows);
    follower->start();
    pass(millis(300));
    LONGS_EQUAL(2, rows);
}
