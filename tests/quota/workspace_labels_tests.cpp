#include <plantainward/quota/workspace_labels.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

TEST_GROUP(workspace_labels){};

// Guards against metrics that grow with the number of workspaces.
TEST(workspace_labels, only_the_largest_workspaces_are_named)
{
    quota::limits_by_workspace limits;
    for (int i = 0; i < 40; ++i)
        limits["w" + std::to_string(100 + i)] = {static_cast<double>(i), 1};
    quota::workspace_labels labels;
    labels.set_limits(limits);
    STRCMP_EQUAL("w139", labels.of("w139").c_str());
    STRCMP_EQUAL("w124", labels.of("w124").c_str());
    STRCMP_EQUAL("other", labels.of("w123").c_str());
    STRCMP_EQUAL("", labels.of("").c_str());
}
