#include <plantainward/core/last_error.hpp>
#include <plantainward/daemon/api.hpp>
#include <plantainward/upstream/statement.hpp>

#include <fstream>
#include <random>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

namespace
{

std::string schema()
{
    std::ifstream in(PLANTAINWARD_SOURCE_DIR "/docs/openapi.yaml");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// The paths of the schema under `/v1/transactions`, with a valid handle in
/// place of `{handle}`.
std::vector<std::string> resources()
{
    std::vector<std::string> paths;
    std::istringstream lines(schema());
    for (std::string line; std::getline(lines, line);)
    {
        if (!line.starts_with("  /v1/transactions"))
            continue;
        auto path = line.substr(2, line.size() - 3);
        const auto handle_position = path.find("{handle}");
        if (handle_position != std::string::npos)
            path.replace(handle_position, 8, "h.1~s~0~1~m");
        paths.push_back(path);
    }
    return paths;
}

/// The text between the brackets of an enumeration in the schema.
std::string listed(const std::string& key)
{
    const auto text = schema();
    const auto key_position = text.find("        " + key + ":\n");
    const auto list_start = text.find('[', key_position);
    return text.substr(list_start + 1,
                       text.find(']', list_start) - list_start - 1);
}

/// The first names of an enumeration, joined as the schema lists them.
template <class Enum, class Names>
std::string joined(const Names& names, int count)
{
    std::string text;
    for (int value = 0; value < count; ++value)
        text += (text.empty() ? "" : ", ") +
                std::string(names[static_cast<Enum>(value)]);
    return text;
}

} // namespace

TEST_GROUP(openapi)
{
    session::token_codec tokens =
        *session::token_codec::create({"0123456789abcdef"});
};

TEST(openapi, every_resource_of_the_schema_is_served)
{
    LONGS_EQUAL(5, resources().size());
    for (const auto& path : resources())
    {
        daemon::decode_call({"POST",
                             path,
                             {},
                             R"({"service":"s","statements":)"
                             R"([{"verb":"get","key":"k"}]})"},
                            {}, tokens);
        const auto read = daemon::decode_call(
            {"POST",
             path,
             {},
             R"({"service":"s","statements":[{"verb":"get","key":"k"}]})"},
            {}, tokens);
        CHECK_TEXT(read.has_value(), path.c_str());
    }
}

TEST(openapi, the_enumerations_of_the_schema_match_the_code)
{
    STRCMP_EQUAL(joined<upstream::verb>(upstream::verb_names, 6).c_str(),
                 listed("verb").c_str());
    STRCMP_EQUAL(
        joined<coordinator::freshness>(coordinator::freshness_names, 3).c_str(),
        listed("read").c_str());
    STRCMP_EQUAL(
        joined<coordinator::request_class>(coordinator::request_class_names, 3)
            .c_str(),
        listed("class").c_str());
}

TEST(openapi, a_damaged_body_is_decoded_or_refused_with_a_reason)
{
    const std::string sound =
        R"({"service":"s","slot":1,"id":"i","read":"max_age","max_age_ms":5,)"
        R"("statements":[{"verb":"add","key":"k","amount":1}]})";
    std::mt19937_64 random(11);
    for (int i = 0; i < 20'000; ++i)
    {
        auto body = sound;
        for (int k = 0; k < 3; ++k)
            body[random() % body.size()] = static_cast<char>(random());
        core::fail(core::error_kind::internal, "");
        const auto read = daemon::decode_call(
            {"POST", "/v1/transactions", {}, body}, {}, tokens);
        CHECK(read || !core::last_error().text.empty());
    }
}
