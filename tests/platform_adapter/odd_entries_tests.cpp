// Guards against followers that stop because of one entry of another writer.

#include <table_follower.hpp>

#include <row_store/row_store.hpp>

#include <chrono>
#include <memory>
#include <set>

#include <support/loopback.hpp>
#include <support/odd_entries.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;

namespace
{

const core::address store_address{support::loopback_ip(), 18093};
constexpr const char* table = "servers";
constexpr const char* no_utf8 = "\xff\xfe";

} // namespace

TEST_GROUP(odd_entries)
{
    boost::asio::io_context io;
    std::unique_ptr<standin::row_store> store;
    std::unique_ptr<store_client> client;
    std::unique_ptr<table_follower> follower;
    std::set<std::string> keys;

    void setup() override
    {
        store = standin::row_store::listen(io, store_address,
                                           [](const std::string&,
                                              const std::string&,
                                              std::uint64_t) { return 200; });
        CHECK(store != nullptr);
        client = std::make_unique<store_client>(io, store_address);
        const auto add = [this](const std::vector<store_row>& rows) {
            for (const auto& row : rows)
                if (row.removed)
                    keys.erase(row.key);
                else
                    keys.insert(row.key);
        };
        table_callbacks callbacks;
        callbacks.table_read = [this, add](const std::vector<store_row>& rows,
                                           core::boot_instant) {
            keys.clear();
            add(rows);
        };
        callbacks.rows_changed = add;
        callbacks.reachability_changed = [](bool) {
        };
        follower = std::make_unique<table_follower>(io, *client, table,
                                                    millis(20), callbacks);
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

    void put_odd_entries()
    {
        int number = 0;
        for (const auto& [what, text] : support::odd_entries())
            store->put(table, "odd-" + std::to_string(++number), text);
        for (const auto& key : support::odd_keys())
            store->put(table, key, "x");
        store->put(table, no_utf8, "x");
    }
};

TEST(odd_entries, a_table_with_odd_entries_is_read_whole)
{
    put_odd_entries();
    store->put(table, "sound", "1");
    follower->start();
    run_for(millis(500));
    CHECK(keys.contains("sound"));
    for (const auto& key : support::odd_keys())
        CHECK_TEXT(keys.contains(key), key.c_str());
    CHECK(keys.contains(no_utf8));
}

TEST(odd_entries, changes_are_followed_after_odd_entries)
{
    follower->start();
    run_for(millis(200));
    put_odd_entries();
    run_for(millis(400));
    store->put(table, "sound", "1");
    run_for(millis(400));
    CHECK(keys.contains("sound"));
    store->remove(table, no_utf8);
    run_for(millis(400));
    CHECK_FALSE(keys.contains(no_utf8));
}

TEST(odd_entries, a_probe_succeeds_among_odd_entries)
{
    follower->start();
    run_for(millis(200));
    put_odd_entries();
    bool succeeded = false;
    follower->probe(
        [&](bool result, core::boot_instant) { succeeded = result; });
    run_for(millis(200));
    CHECK(succeeded);
}
