#include <plantainward/core/last_error.hpp>
#include <plantainward/session/token.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using session::token;
using session::token_codec;

namespace
{

const std::string key = "0123456789abcdef";
const std::string other_key = "fedcba9876543210";

} // namespace

TEST_GROUP(token)
{
    token_codec codec = *token_codec::create({key});
};

TEST(token, a_decoded_token_has_the_log_points_of_the_encoded_one)
{
    token token;
    CHECK(token.merge({"nibledger", 2}, {3, 17}));
    const auto decoded = codec.decode(codec.encode(token));
    CHECK(decoded.has_value());
    CHECK(decoded->seen({"nibledger", 2}) == session::token_point(3, 17));
    CHECK(decoded->seen({"nibledger", 1}) == session::token_point(0, 0));
}

TEST(token, merging_keeps_the_newest_point_by_term_first)
{
    token token;
    token.merge({"s", 0}, {2, 5});
    token.merge({"s", 0}, {1, 90});
    CHECK(token.seen({"s", 0}) == session::token_point(2, 5));
    token.merge({"s", 0}, {2, 6});
    CHECK(token.seen({"s", 0}) == session::token_point(2, 6));
}

TEST(token, a_token_with_any_changed_character_is_rejected)
{
    token token;
    token.merge({"s", 0}, {2, 5});
    const auto text = codec.encode(token);
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto damaged = text;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(damaged).has_value());
    }
}

TEST(token, foreign_oversize_and_malformed_tokens_are_rejected_with_an_error)
{
    const auto foreign = *token_codec::create({other_key});
    for (const auto& text :
         {foreign.encode({}), std::string("pw2.AAAA"), std::string("pw1."),
          std::string("pw1.***"), std::string("junk"),
          "pw1." + std::string(session::max_token_length, 'A')})
    {
        CHECK_FALSE(codec.decode(text).has_value());
        CHECK(core::last_error().kind == core::error_kind::bad_token);
    }
}

TEST(token, an_old_key_still_verifies_after_rotation)
{
    token token;
    token.merge({"s", 0}, {2, 5});
    const auto rotated = *token_codec::create({other_key, key});
    CHECK(rotated.decode(codec.encode(token)).has_value());
    CHECK_FALSE(codec.decode(rotated.encode(token)).has_value());
}

TEST(token, the_number_of_groups_and_the_length_are_limited)
{
    token token;
    for (std::size_t i = 0; i < session::max_token_groups; ++i)
        CHECK(
            token.merge({std::to_string(i) + std::string(61, 's'), 0}, {1, 1}));
    CHECK_FALSE(token.merge({"one-too-many", 0}, {1, 1}));
    CHECK(codec.encode(token).size() <= session::max_token_length);
}

TEST(token, short_or_missing_keys_are_rejected)
{
    CHECK_FALSE(token_codec::create({}).has_value());
    CHECK_FALSE(token_codec::create({"short"}).has_value());
}
