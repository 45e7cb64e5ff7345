#include <support/workspace_load.hpp>

#include <cstdio>

using namespace support;

namespace
{

workspace_load_result measure(const char* text, workspace_load_options options)
{
    workspace_load load(std::move(options));
    const auto result = load.run();
    char line[256];
    std::snprintf(line, sizeof line,
                  "\n%-28s share %zu, watchers %zu: %.1f openings/s, %.1f "
                  "operations/s, %.0f%% other domain, %.1f connections "
                  "(most %zu), %.1f ms, p99 %.0f ms",
                  text, load.share(), load.watchers(), result.openings_per_s,
                  result.operations_per_s, result.domain_hops * 100,
                  result.mean_connections, result.most_connections,
                  result.mean_ms, result.p99_ms);
    UT_PRINT(line);
    return result;
}

workspace_load_options calm()
{
    workspace_load_options options;
    options.warm_up = std::chrono::seconds(30);
    options.measured = std::chrono::seconds(30);
    return options;
}

/// Fails unless the databases' limit was kept and every statement ran on a
/// connection of its workspace.
void check_rules(const workspace_load_options& options,
                 const workspace_load_result& result)
{
    LONGS_EQUAL(0, result.misplaced);
    LONGS_EQUAL(0, result.failed);
    CHECK(result.most_connections <= options.max_connections);
}

} // namespace

TEST_GROUP(workspace_connections){};

TEST(workspace_connections, few_connections_are_opened_in_the_calm)
{
    // Failure: every holder served all workspaces, more than its connections,
    // and one of four operations had to open one.
    auto options = calm();
    options.scheme = holder_scheme::by_host;
    const auto before = measure("78 workspaces, by host", options);
    check_rules(options, before);
    options.scheme = holder_scheme::by_workspace;
    const auto after = measure("78 workspaces, by workspace", options);
    check_rules(options, after);
    CHECK(before.openings_per_s > 15);
    CHECK(after.openings_per_s < 4);
    CHECK(after.mean_ms < before.mean_ms);
}

TEST(workspace_connections, few_connections_are_opened_below_a_lower_limit)
{
    // Failure: as above, with more workspaces and fewer connections.
    auto options = calm();
    options.host_count = 131;
    options.workspace_count = 83;
    options.max_connections = 93;
    options.slot_count = 3;
    const auto result = measure("83 workspaces, by workspace", options);
    check_rules(options, result);
    CHECK(result.openings_per_s < 6);
}

TEST(workspace_connections, a_burst_of_one_workspace_keeps_the_limit)
{
    // Failure: the most active workspace at 7.5 times its rate opened more
    // connections than the databases accept.
    auto options = calm();
    options.burst = 7.5;
    const auto result = measure("largest at 7.5 times", options);
    LONGS_EQUAL(0, result.misplaced);
    CHECK(result.most_connections <= options.max_connections);
}
