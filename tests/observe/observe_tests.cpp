#include <plantainward/observe/journal.hpp>
#include <plantainward/observe/metrics.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using observe::event_kind;

TEST_GROUP(journal){};

TEST(journal, only_the_newest_events_are_kept)
{
    observe::journal events(3);
    for (int i = 0; i < 10; ++i)
        events.record({event_kind::promotion, "s", i, {}, {}});
    const auto entries = events.find("");
    LONGS_EQUAL(3, entries.size());
    LONGS_EQUAL(8, entries.front().number);
}

TEST(journal, events_are_found_by_trace_subject_and_kind)
{
    observe::journal events(10);
    events.record({event_kind::promotion, "service", 0, {}, "a"});
    events.record({event_kind::request_refused, "other", 0, "trace-1", "b"});
    LONGS_EQUAL(1, events.find("service").size());
    LONGS_EQUAL(1, events.find("trace-1").size());
    LONGS_EQUAL(1, events.find("promotion").size());
    LONGS_EQUAL(0, events.find("unknown").size());
}

TEST_GROUP(metrics){};

TEST(metrics, the_page_contains_histograms_and_counters)
{
    observe::metrics numbers;
    numbers.observe(observe::measure::latency, "tenant", "booking", 12.5);
    numbers.count("errors", "overloaded", 2);
    const auto page = numbers.page();
    CHECK(page.find("plantainward_latency_ms_count{tenant=\"tenant\",class="
                    "\"booking\"} 1") != std::string::npos);
    CHECK(page.find("plantainward_errors_total{label=\"overloaded\"} 2") !=
          std::string::npos);
    LONGS_EQUAL(2, numbers.total("errors"));
}

TEST(metrics, labels_of_callers_cannot_grow_without_bound_or_break_the_page)
{
    observe::metrics numbers;
    for (int i = 0; i < 20'000; ++i)
        numbers.observe(observe::measure::latency, std::to_string(i), "view",
                        1);
    numbers.count("errors", "a\"b\nc");
    const auto page = numbers.page();
    CHECK(page.find("tenant=\"other\"") != std::string::npos);
    CHECK(page.find("a_b_c") != std::string::npos);
}
