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

TEST(token, what_was_seen_survives_the_text_form)
{
    token one;
    CHECK(one.merge({"nibledger", 2}, {3, 17}));
    const auto read = codec.decode(codec.encode(one));
    CHECK(read.has_value());
    CHECK(read->seen({"nibledger", 2}) == session::token_point(3, 17));
    CHECK(read->seen({"nibledger", 1}) == session::token_point(0, 0));
}

TEST(token, merging_keeps_the_newest_point_by_term_first)
{
    token one;
    one.merge({"s", 0}, {2, 5});
    one.merge({"s", 0}, {1, 90});
    CHECK(one.seen({"s", 0}) == session::token_point(2, 5));
    one.merge({"s", 0}, {2, 6});
    CHECK(one.seen({"s", 0}) == session::token_point(2, 6));
}

TEST(token, any_changed_character_is_noticed)
{
    token one;
    one.merge({"s", 0}, {2, 5});
    const auto text = codec.encode(one);
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto damaged = text;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(damaged).has_value());
    }
}

TEST(token, forged_foreign_oversize_and_malformed_tokens_get_a_reason)
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
    token one;
    one.merge({"s", 0}, {2, 5});
    const auto rotated = *token_codec::create({other_key, key});
    CHECK(rotated.decode(codec.encode(one)).has_value());
    CHECK_FALSE(codec.decode(rotated.encode(one)).has_value());
}

TEST(token, its_size_is_bounded)
{
    token one;
    for (std::size_t i = 0; i < session::max_token_groups; ++i)
        CHECK(one.merge({std::to_string(i) + std::string(61, 's'), 0}, {1, 1}));
    CHECK_FALSE(one.merge({"one-too-many", 0}, {1, 1}));
    CHECK(codec.encode(one).size() <= session::max_token_length);
}

TEST(token, short_or_missing_keys_are_refused)
{
    CHECK_FALSE(token_codec::create({}).has_value());
    CHECK_FALSE(token_codec::create({"short"}).has_value());
}
