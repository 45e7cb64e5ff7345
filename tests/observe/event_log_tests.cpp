#include <plantainward/observe/event_log.hpp>

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::observe;

TEST_GROUP(event_log)
{
    std::vector<std::string> lines;
    bool is_full{false};
    event_log log{"host-1", [this](const std::string& line) {
                      if (!is_full)
                          lines.push_back(line);
                      return !is_full;
                  }};
};

TEST(event_log, a_line_is_one_json_object_with_its_fields)
{
    log.write(log_event::request_refused,
              {{"request", "q\"1"}, {"reason", "busy"}, {"upstream", ""}});
    LONGS_EQUAL(1, lines.size());
    CHECK(lines[0].find("\"event\":\"request_refused\"") != std::string::npos);
    CHECK(lines[0].find("\"request\":\"q\\\"1\"") != std::string::npos);
    CHECK(lines[0].find("upstream") == std::string::npos);
    CHECK(lines[0].back() == '\n');
}

TEST(event_log, lines_over_the_budget_are_counted_and_reported)
{
    // This load arises when a service without a primary refuses thousands of
    // requests.
    for (int i = 0; i < 5000; ++i)
        log.write(log_event::request_refused, {{"request", "q"}});
    const auto budget = row_of(log_event::request_refused).budget_per_s;
    CHECK(lines.size() <= static_cast<std::size_t>(2 * budget));
    const auto written = lines.size();
    log.flush();
    const auto expected =
        "\"lines\":\"" + std::to_string(5000 - written) + "\"";
    CHECK(lines.back().find(expected) != std::string::npos);
    CHECK(lines.back().find("\"of\":\"request_refused\"") != std::string::npos);
}

TEST(event_log, lines_that_could_not_be_written_are_reported_later)
{
    is_full = true;
    log.write(log_event::ready, {});
    is_full = false;
    log.flush();
    LONGS_EQUAL(1, lines.size());
    CHECK(lines[0].find("standard output was full") != std::string::npos);
}

TEST(event_log, the_operators_page_contains_the_table_of_events)
{
    std::ifstream file(PLANTAINWARD_SOURCE_DIR "/docs/OPERATIONS.md");
    std::ostringstream page;
    page << file.rdbuf();
    CHECK(page.str().find(log_event_page()) != std::string::npos);
}
