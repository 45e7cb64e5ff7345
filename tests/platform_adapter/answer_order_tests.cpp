// Answers of the store that arrive in another order than the questions.

#include <table_follower.hpp>

#include <plantainward/http/server.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using core::millis;

namespace
{

const core::address where{"127.0.0.1", 18097};
constexpr millis gather{50};

} // namespace

TEST_GROUP(answer_order)
{
    struct question
    {
        http::responder respond;
    };

    boost::asio::io_context io;
    std::mutex mutex;
    std::vector<question> questions;
    std::optional<http::server> server;
    std::unique_ptr<store_client> client;
    std::unique_ptr<table_follower> follower;
    std::set<std::string> rows;
    std::size_t wholes{0};

    void setup() override
    {
        http::server_limits limits;
        limits.threads = 1;
        server = http::server::listen(where, limits, io,
                                      [this](http::connection_id,
                                             const http::request&,
                                             const http::responder& respond) {
                                          const std::lock_guard lock(mutex);
                                          questions.push_back({respond});
                                      });
        CHECK(server.has_value());
        client = std::make_unique<store_client>(io, where);
        table_callbacks events;
        events.all = [this](const std::vector<store_row>& all,
                            core::boot_instant) {
            ++wholes;
            rows.clear();
            for (const auto& one : all)
                rows.insert(one.key);
        };
        events.changed = [this](const std::vector<store_row>& changed) {
            for (const auto& one : changed)
                if (one.removed)
                    rows.erase(one.key);
                else
                    rows.insert(one.key);
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
        server.reset();
    }

    void pass(millis time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(millis(10));
    }

    /// Waits for this many questions.
    void expect_questions(std::size_t count)
    {
        for (int i = 0; i < 200; ++i)
        {
            pass(millis(10));
            const std::lock_guard lock(mutex);
            if (questions.size() >= count)
                return;
        }
        FAIL("a question did not come");
    }

    void answer(std::size_t index, const std::string& rows_text, int version)
    {
        http::response made;
        made.content_type = "application/json";
        made.body = R"({"rows":[)" + rows_text + R"(],"record_version":)" +
                    std::to_string(version) + R"(,"has_more":false})";
        {
            const std::lock_guard lock(mutex);
            questions.at(index).respond(made);
        }
        pass(millis(150));
    }

    static std::string row(const std::string& key, int version,
                           bool removed = false)
    {
        return R"({"table":"t","part":"","key":")" + key +
               R"(","value":"","record_version":)" + std::to_string(version) +
               (removed ? R"(,"tombstone":true})" : "}");
    }
};

TEST(answer_order, a_change_that_a_later_read_covers_does_not_undo_it)
{
    // Failure: a feed's late answer took away a host that had registered
    // again, and a claim did not wait for that host.
    follower->start();
    expect_questions(1);
    answer(0, row("a", 5) + "," + row("b", 6), 10);
    expect_questions(2);
    follower->refresh();
    expect_questions(3);
    answer(2, row("a", 5) + "," + row("b", 20), 20);
    LONGS_EQUAL(2, rows.size());
    answer(1, row("b", 15, true), 15);
    LONGS_EQUAL(2, rows.size());
}

TEST(answer_order, a_read_that_is_older_than_a_change_is_asked_again)
{
    // Failure: a read's late answer took away a host whose registration the
    // feed had told, and the feed did not tell it again.
    follower->start();
    expect_questions(1);
    answer(0, row("a", 5), 10);
    expect_questions(2);
    follower->refresh();
    expect_questions(3);
    answer(1, row("b", 25), 25);
    LONGS_EQUAL(2, rows.size());
    const auto before = questions.size();
    answer(2, row("a", 5), 20);
    LONGS_EQUAL(2, rows.size());
    expect_questions(before + 1);
    answer(before, row("a", 5) + "," + row("b", 25) + "," + row("c", 30), 30);
    LONGS_EQUAL(3, rows.size());
}

TEST(answer_order, of_two_reads_the_newer_one_stands)
{
    // Failure: the list of hosts was older than the read that it was dated by.
    follower->start();
    expect_questions(1);
    follower->refresh();
    expect_questions(2);
    answer(1, row("a", 5) + "," + row("b", 20), 20);
    LONGS_EQUAL(2, rows.size());
    answer(0, row("a", 5), 10);
    LONGS_EQUAL(2, rows.size());
    LONGS_EQUAL(1, wholes);
}
