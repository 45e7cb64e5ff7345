#include <plantainward/core/error_kind.hpp>
#include <plantainward/core/last_error.hpp>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

TEST_GROUP(error_kind){};

TEST(error_kind, every_kind_has_one_row_with_its_own_name)
{
    std::set<std::string_view> names;
    for (const auto& row : core::error_table())
    {
        CHECK(core::answer_for(row.kind).name == row.name);
        CHECK(core::error_kind_named(row.name) == row.kind);
        names.insert(row.name);
    }
    LONGS_EQUAL(core::error_table().size(), names.size());
}

TEST(error_kind, an_uncertain_outcome_is_not_reported_as_not_run)
{
    CHECK(core::answer_for(core::error_kind::outcome_unknown).ran ==
          core::effect::unknown);
    CHECK(core::answer_for(core::error_kind::internal).ran ==
          core::effect::unknown);
    CHECK(core::answer_for(core::error_kind::overloaded).ran ==
          core::effect::not_run);
}

TEST(error_kind, a_failure_sets_the_last_error)
{
    const auto failing = []() -> std::optional<int> {
        return core::fail(core::error_kind::bad_token, "damaged");
    };
    CHECK_FALSE(failing().has_value());
    CHECK(core::last_error().kind == core::error_kind::bad_token);
    CHECK(core::last_error().text == "damaged");
}
