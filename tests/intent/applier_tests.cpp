#include <platform/platform_state.hpp>

#include <plantainward/intent/applier.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using applier =
    intent::applier<standin::platform_state, standin::platform_state>;

TEST_GROUP(applier)
{
    standin::platform_state platform;

    intent::apply_result apply(const std::string& body,
                               std::uint64_t base_revision,
                               const std::string& writer)
    {
        intent::apply_result result;
        std::make_shared<applier>(platform, platform)
            ->apply(body, base_revision, writer, writer,
                    [&](intent::apply_result outcome) {
                        result = std::move(outcome);
                    });
        return result;
    }

    std::string head_writer()
    {
        std::string writer;
        platform.read_row(std::string(intent::head_row), [&](const auto& row) {
            writer =
                intent::decode_head(row.value.value, row.value.version)->writer;
        });
        return writer;
    }
};

TEST(applier, revision_numbers_increase_by_one)
{
    LONGS_EQUAL(1, apply("a", 0, "morning").current_head.revision);
    LONGS_EQUAL(2, apply("b", 1, "noon").current_head.revision);
}

TEST(applier, the_second_of_two_racing_operators_gets_a_conflict)
{
    CHECK_FALSE(apply("a", 0, "morning").error.has_value());
    const auto second = apply("b", 0, "noon");
    CHECK(second.error == core::error_kind::revision_conflict);
    STRCMP_EQUAL("morning", second.current_head.author.c_str());
    STRCMP_EQUAL("morning", head_writer().c_str());
}

TEST(applier, an_apply_whose_answers_are_lost_after_their_effect_is_settled)
{
    // The answers that are lost are those to the write of the object, to the
    // write of the head row, or to both.
    for (int lost_answers = 1; lost_answers <= 4; ++lost_answers)
    {
        standin::platform_state fresh;
        platform = fresh;
        platform.drop_answers = lost_answers;
        const auto result = apply("a", 0, "morning");
        CHECK_FALSE(result.error.has_value());
        LONGS_EQUAL(1, result.current_head.revision);
        STRCMP_EQUAL("morning", head_writer().c_str());
    }
}

TEST(applier, a_head_row_whose_answer_is_lost_is_settled_by_its_writer)
{
    platform.drop_row_answers = 1;
    const auto result = apply("a", 0, "morning");
    CHECK_FALSE(result.error.has_value());
    LONGS_EQUAL(1, result.current_head.revision);
    platform.drop_row_answers = 1;
    CHECK_FALSE(apply("b", 1, "noon").error.has_value());
    STRCMP_EQUAL("noon", head_writer().c_str());
}

TEST(applier, a_lost_answer_to_an_operator_who_lost_the_race_is_a_conflict)
{
    CHECK_FALSE(apply("a", 0, "morning").error.has_value());
    platform.drop_answers = 1;
    CHECK(apply("b", 0, "noon").error == core::error_kind::revision_conflict);
}

TEST(applier, an_apply_while_the_store_is_down_fails_and_can_be_repeated)
{
    platform.down = true;
    CHECK(apply("a", 0, "morning").error == core::error_kind::platform_down);
    platform.down = false;
    CHECK_FALSE(apply("a", 0, "morning").error.has_value());
}
