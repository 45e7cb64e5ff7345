#include <plantainward/core/last_error.hpp>
#include <plantainward/settings/setting.hpp>
#include <plantainward/settings/settings.hpp>

#include <fstream>
#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

namespace core = plantainward::core;
using settings_type = plantainward::settings::settings;

namespace
{

const std::vector<std::string> required{
    "--host-name",        "h1",
    "--failure-domain",   "a",
    "--caller-address",   "127.0.0.1:1",
    "--peer-address",     "127.0.0.1:2",
    "--admin-address",    "127.0.0.1:3",
    "--platform-address", "127.0.0.1:4",
    "--token-keys",       "0123456789abcdef",
    "--peer-key",         "peer"};

std::optional<std::string> no_variable(const std::string&)
{
    return {};
}

std::vector<std::string> with_flags(std::vector<std::string> extra_flags)
{
    auto flags = required;
    flags.insert(flags.end(), extra_flags.begin(), extra_flags.end());
    return flags;
}

struct bad_setting
{
    std::vector<std::string> flags;
    const char* expected_text;
};

const std::vector<bad_setting> bad_settings{
    {{"--threads", "0"}, "--threads: '0' must be a whole number from 1 to 256"},
    {{"--threads", "many"}, "--threads: 'many'"},
    {{"--log-level", "loud"}, "--log-level: 'loud'"},
    {{"--no-such", "1"}, "no-such"},
    {{"--default-deadline-ms", "40000"}, "above --max-deadline-ms"},
    {{"--silence-ms", "150"}, "twice --probe-interval-ms"},
};

} // namespace

TEST_GROUP(settings_table){};

TEST(settings_table, a_setting_that_is_not_given_has_its_default)
{
    const auto parsed = settings_type::create(required, no_variable);
    CHECK(parsed.has_value());
    LONGS_EQUAL(1, parsed->number("threads"));
    LONGS_EQUAL(2, parsed->address("peer-address").port);
}

TEST(settings_table, a_flag_overrides_a_variable_which_overrides_the_default)
{
    const auto variable = [](const std::string& name) {
        return name == "PLANTAINWARD_THREADS" ? std::optional<std::string>("9")
                                              : std::nullopt;
    };
    LONGS_EQUAL(9,
                settings_type::create(required, variable)->number("threads"));
    LONGS_EQUAL(7,
                settings_type::create(with_flags({"--threads", "7"}), variable)
                    ->number("threads"));
}

TEST(settings_table, each_invalid_setting_is_named_with_its_fault)
{
    for (const auto& row : bad_settings)
    {
        CHECK_FALSE(settings_type::create(with_flags(row.flags), no_variable)
                        .has_value());
        const auto& text = core::last_error().text;
        CHECK_TEXT(text.find(row.expected_text) != std::string::npos,
                   text.c_str());
    }
}

TEST(settings_table, each_missing_setting_is_named)
{
    for (std::size_t i = 0; i < required.size(); i += 2)
    {
        auto flags = required;
        flags.erase(flags.begin() + static_cast<std::ptrdiff_t>(i),
                    flags.begin() + static_cast<std::ptrdiff_t>(i) + 2);
        CHECK_FALSE(settings_type::create(flags, no_variable).has_value());
        CHECK(core::last_error().text.starts_with(required[i]));
    }
}

TEST(settings_table, secrets_are_not_printed)
{
    const auto text = settings_type::create(required, no_variable)->print();
    CHECK(text.find("0123456789abcdef") == std::string::npos);
    CHECK(text.find("token-keys = (set)") != std::string::npos);
}

TEST(settings_table, the_page_in_docs_matches_the_table)
{
    std::ifstream in(PLANTAINWARD_SOURCE_DIR "/docs/SETTINGS.md");
    std::ostringstream text;
    text << in.rdbuf();
    CHECK(text.str() == plantainward::settings::settings_page());
}
