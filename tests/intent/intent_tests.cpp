#include <plantainward/core/last_error.hpp>
#include <plantainward/intent/revision_store.hpp>
#include <plantainward/intent/routing_intent.hpp>

#include <plantainward/core/digest.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using intent::bundle;
using intent::issue;

namespace
{

std::string database(const std::string& name, const std::string& more = "")
{
    return "[service.counter.database." + name +
           "]\naddress = \"127.0.0.1:1\"\nfailure_domain = \"a\"\n" + more;
}

const std::string sound = "[service.counter]\nslots = 3\n" + database("one") +
                          database("two") + database("three");

std::vector<issue> issues_of(const std::string& text)
{
    std::vector<issue> issues;
    intent::check({{"10.toml", text}}, issues);
    return issues;
}

struct faulty_intent
{
    const char* name;
    std::string text;
    std::uint32_t line;
    const char* says;
};

const std::vector<faulty_intent> faults{
    {"a misspelt key", sound + "\n[service.counter]\n", 0, "redefine"},
    {"an unknown key", "[service.counter]\nslosts = 3\n", 2,
     "did you mean service.counter.slots"},
    {"a wrong type", "[service.counter]\nslots = \"three\"\n", 2,
     "whole number from 1 to 64"},
    {"a value out of range", "[service.counter]\nslots = 0\n", 2,
     "from 1 to 64"},
    {"an address without a port",
     "[service.counter.database.one]\naddress = \"here\"\n", 2, "ip:port"},
    {"a float", "[service.counter]\nslots = 1.5\n", 2, "neither"},
    {"broken TOML", "[service.counter\nslots = 1\n", 1, ""},
    {"two databases", "[service.counter]\n" + database("one") + database("two"),
     3, "needs 3 databases, not 2"},
    {"two leaving",
     database("one", "leaving = true\n") + database("two", "leaving = true\n") +
         database("three"),
     2, "more than one leaving"},
    {"an unknown policy", "[service.counter]\nacknowledge = \"maybe\"\n", 2,
     "\"replica\" or \"primary\""},
    {"a name with a tilde", "[service.\"a~b\"]\nslots = 1\n", 2,
     "names are of"},
};

} // namespace

TEST_GROUP(intent){};

TEST(intent, a_sound_folder_is_read)
{
    std::vector<issue> issues;
    const auto read = intent::check({{"10.toml", sound}}, issues);
    CHECK(read.has_value());
    const auto* service = read->find("counter");
    CHECK(service != nullptr);
    LONGS_EQUAL(3, service->layout.slots);
    LONGS_EQUAL(3, service->layout.databases.size());
    LONGS_EQUAL(50, service->layout.databases[0].connections);
}

TEST(intent, each_fault_names_its_file_line_and_key)
{
    for (const auto& row : faults)
    {
        const auto issues = issues_of(row.text);
        CHECK_TEXT(!issues.empty(), row.name);
        STRCMP_EQUAL_TEXT("10.toml", issues[0].file.c_str(), row.name);
        if (row.line > 0)
            LONGS_EQUAL_TEXT(row.line, issues[0].line, row.name);
        CHECK_TEXT(issues[0].text.find(row.says) != std::string::npos,
                   row.name);
    }
}

TEST(intent, a_later_file_overrides_and_is_named_as_the_source)
{
    const bundle files{
        {"10-morning.toml", sound},
        {"50-noon.toml", "[service.counter.database.two]\nleaving = true\n"}};
    const auto merged = intent::merge(files);
    const auto& set =
        merged.values.at({"service", "counter", "database", "two", "leaving"});
    STRCMP_EQUAL("50-noon.toml", set.file.c_str());
    LONGS_EQUAL(2, set.line);
    std::vector<issue> issues;
    const auto read = intent::check(files, issues);
    CHECK(read->find("counter")->layout.databases[2].leaving);
}

TEST(intent, a_difference_shows_what_was_and_what_will_be)
{
    const auto before = intent::merge({{"a.toml", sound}});
    const auto after = intent::merge(
        {{"a.toml", sound}, {"b.toml", "[service.counter]\nslots = 2\n"}});
    const auto found = intent::diff(before, after);
    LONGS_EQUAL(1, found.size());
    STRCMP_EQUAL("3", found[0].before.c_str());
    STRCMP_EQUAL("2", found[0].after.c_str());
}

TEST(intent, the_stored_body_returns_the_files)
{
    const bundle files{{"a.toml", sound}, {"b.toml", "x = \"\\\"\"\n"}};
    CHECK(intent::decode_bundle(intent::encode(files)) == files);
    CHECK_FALSE(intent::decode_bundle("{").has_value());
    CHECK_FALSE(intent::decode_bundle("{\"a\":1}").has_value());
}

TEST_GROUP(revision_store)
{
    intent::revision_store keeper;
    const std::string body = intent::encode({{"a.toml", sound}});
    const std::string digest = core::sha256_hex(body);
};

TEST(revision_store, an_older_revision_never_replaces_a_newer_one)
{
    CHECK(keeper.accept(7, digest, body, "noon"));
    CHECK_FALSE(keeper.accept(6, digest, body, "morning"));
    CHECK_FALSE(keeper.accept(7, digest, body, "morning"));
    LONGS_EQUAL(7, keeper.revision());
    STRCMP_EQUAL("noon", keeper.current()->author.c_str());
}

TEST(revision_store, a_body_that_does_not_match_its_digest_is_refused)
{
    CHECK(keeper.accept(1, digest, body, "noon"));
    CHECK_FALSE(keeper.accept(2, digest, body + " ", "noon"));
    LONGS_EQUAL(1, keeper.revision());
}

TEST(revision_store, a_faulty_intent_is_refused_whole)
{
    const auto faulty =
        intent::encode({{"a.toml", "[service.counter]\nslots = 0\n"}});
    CHECK(keeper.accept(1, digest, body, "noon"));
    CHECK_FALSE(keeper.accept(2, core::sha256_hex(faulty), faulty, "noon"));
    LONGS_EQUAL(1, keeper.revision());
}
