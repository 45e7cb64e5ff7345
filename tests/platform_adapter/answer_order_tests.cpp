// The store's answers may arrive in another order than the requests were sent.
// Rows of an older answer must not replace newer ones.

#include <table_follower.hpp>

#include <plantainward/http/server.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include <support/loopback.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;

namespace
{

const core::address store_address{support::loopback_ip(), 18097};
constexpr millis batch_interval{50};

} // namespace

TEST_GROUP(answer_order)
{
    struct pending_request
    {
        http::responder respond;
    };

    boost::asio::io_context io;
    std::mutex mutex;
    std::vector<pending_request> requests;
    std::optional<http::server> server;
    std::unique_ptr<store_client> client;
    std::unique_ptr<table_follower> follower;
    std::set<std::string> rows;
    std::size_t table_reads{0};

    void setup() override
    {
        http::server_limits limits;
        limits.threads = 1;
        server = http::server::listen(store_address, limits, io,
                                      [this](http::connection_id,
                                             const http::request&,
                                             const http::responder& respond) {
                                          const std::lock_guard lock(mutex);
                                          requests.push_back({respond});
                                      });
        CHECK(server.has_value());
        client = std::make_unique<store_client>(io, store_address);
        table_callbacks callbacks;
        callbacks.table_read = [this](const std::vector<store_row>& table,
                                      core::boot_instant) {
            ++table_reads;
            rows.clear();
            for (const auto& row : table)
                rows.insert(row.key);
        };
        callbacks.rows_changed = [this](const std::vector<store_row>& changed) {
            for (const auto& row : changed)
                if (row.removed)
                    rows.erase(row.key);
                else
                    rows.insert(row.key);
        };
        callbacks.reachability_changed = [](bool) {
        };
        follower = std::make_unique<table_follower>(io, *client, "t",
                                                    batch_interval, callbacks);
    }

    void teardown() override
    {
        follower.reset();
        client.reset();
        server.reset();
    }

    void run_for(millis time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
    }

    /// Waits until this many requests have arrived.
    void await_requests(std::size_t count)
    {
        for (int i = 0; i < 200; ++i)
        {
            run_for(millis(10));
            const std::lock_guard lock(mutex);
            if (requests.size() >= count)
                return;
        }
        FAIL("an expected request did not arrive");
    }

    void answer(std::size_t index, const std::string& rows_json, int version)
    {
        http::response response;
        response.content_type = "application/json";
        response.body = R"({"rows":[)" + rows_json + R"(],"record_version":)" +
                        std::to_string(version) + R"(,"has_more":false})";
        {
            const std::lock_guard lock(mutex);
            requests.at(index).respond(response);
        }
        run_for(millis(150));
    }

    static std::string row_json(const std::string& key, int version,
                                bool removed = false)
    {
        return R"({"table":"t","part":"","key":")" + key +
               R"(","value":"","record_version":)" + std::to_string(version) +
               (removed ? R"(,"tombstone":true})" : "}");
    }
};

TEST(answer_order, a_late_feed_answer_does_not_undo_a_newer_read)
{
    // Guards against this: a late answer of the feed removed a host that had
    // registered again, and a claim did not wait for that host.
    follower->start();
    await_requests(1);
    answer(0, row_json("a", 5) + "," + row_json("b", 6), 10);
    await_requests(2);
    follower->refresh();
    await_requests(3);
    answer(2, row_json("a", 5) + "," + row_json("b", 20), 20);
    LONGS_EQUAL(2, rows.size());
    answer(1, row_json("b", 15, true), 15);
    LONGS_EQUAL(2, rows.size());
}

TEST(answer_order, a_read_that_is_older_than_the_feed_is_repeated)
{
    // Guards against this: a late answer to a read removed a host whose
    // registration had come from the feed, which did not send it again.
    follower->start();
    await_requests(1);
    answer(0, row_json("a", 5), 10);
    await_requests(2);
    follower->refresh();
    await_requests(3);
    answer(1, row_json("b", 25), 25);
    LONGS_EQUAL(2, rows.size());
    const auto requests_before = requests.size();
    answer(2, row_json("a", 5), 20);
    LONGS_EQUAL(2, rows.size());
    await_requests(requests_before + 1);
    answer(requests_before,
           row_json("a", 5) + "," + row_json("b", 25) + "," + row_json("c", 30),
           30);
    LONGS_EQUAL(3, rows.size());
}

TEST(answer_order, of_two_reads_the_one_with_the_newer_version_counts)
{
    // Guards against this: the list of hosts was older than the instant of the
    // read that it was attributed to.
    follower->start();
    await_requests(1);
    follower->refresh();
    await_requests(2);
    answer(1, row_json("a", 5) + "," + row_json("b", 20), 20);
    LONGS_EQUAL(2, rows.size());
    answer(0, row_json("a", 5), 10);
    LONGS_EQUAL(2, rows.size());
    LONGS_EQUAL(1, table_reads);
}
