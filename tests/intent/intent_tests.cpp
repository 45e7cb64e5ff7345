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

std::string database(const std::string& name,
                     const std::string& extra_lines = "")
{
    return "[service.counter.database." + name +
           "]\naddress = \"127.0.0.1:1\"\nfailure_domain = \"a\"\n" +
           extra_lines;
}

const std::string valid_intent = "[service.counter]\nslots = 3\n" +
                                 database("one") + database("two") +
                                 database("three");

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
    const char* expected_text;
};

const std::vector<faulty_intent> faults{
    {"a misspelt key", valid_intent + "\n[service.counter]\n", 0, "redefine"},
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
     "names must consist of"},
};

} // namespace

TEST_GROUP(intent){};

TEST(intent, a_valid_folder_is_read)
{
    std::vector<issue> issues;
    const auto parsed = intent::check({{"10.toml", valid_intent}}, issues);
    CHECK(parsed.has_value());
    const auto* service = parsed->find("counter");
    CHECK(service != nullptr);
    LONGS_EQUAL(3, service->layout.slots);
    LONGS_EQUAL(3, service->layout.databases.size());
    LONGS_EQUAL(50, service->layout.databases[0].connections);
}

TEST(intent, each_issue_names_its_file_and_line_and_the_error)
{
    for (const auto& row : faults)
    {
        const auto issues = issues_of(row.text);
        CHECK_TEXT(!issues.empty(), row.name);
        STRCMP_EQUAL_TEXT("10.toml", issues[0].file.c_str(), row.name);
        if (row.line > 0)
            LONGS_EQUAL_TEXT(row.line, issues[0].line, row.name);
        CHECK_TEXT(issues[0].text.find(row.expected_text) != std::string::npos,
                   row.name);
    }
}

TEST(intent, a_value_of_a_later_file_wins_and_names_that_file)
{
    const bundle files{
        {"10-morning.toml", valid_intent},
        {"50-noon.toml", "[service.counter.database.two]\nleaving = true\n"}};
    const auto merged = intent::merge(files);
    const auto& assigned =
        merged.values.at({"service", "counter", "database", "two", "leaving"});
    STRCMP_EQUAL("50-noon.toml", assigned.file.c_str());
    LONGS_EQUAL(2, assigned.line);
    std::vector<issue> issues;
    const auto parsed = intent::check(files, issues);
    CHECK(parsed->find("counter")->layout.databases[2].leaving);
}

TEST(intent, a_difference_shows_the_old_and_the_new_value)
{
    const auto before = intent::merge({{"a.toml", valid_intent}});
    const auto after =
        intent::merge({{"a.toml", valid_intent},
                       {"b.toml", "[service.counter]\nslots = 2\n"}});
    const auto differences = intent::diff(before, after);
    LONGS_EQUAL(1, differences.size());
    STRCMP_EQUAL("3", differences[0].before.c_str());
    STRCMP_EQUAL("2", differences[0].after.c_str());
}

TEST(intent, a_stored_body_decodes_to_the_same_files)
{
    const bundle files{{"a.toml", valid_intent}, {"b.toml", "x = \"\\\"\"\n"}};
    CHECK(intent::decode_bundle(intent::encode(files)) == files);
    CHECK_FALSE(intent::decode_bundle("{").has_value());
    CHECK_FALSE(intent::decode_bundle("{\"a\":1}").has_value());
}

TEST_GROUP(revision_store)
{
    intent::revision_store store;
    const std::string body = intent::encode({{"a.toml", valid_intent}});
    const std::string digest = core::sha256_hex(body);
};

TEST(revision_store, an_older_revision_never_replaces_a_newer_one)
{
    CHECK(store.accept(7, digest, body, "noon"));
    CHECK_FALSE(store.accept(6, digest, body, "morning"));
    CHECK_FALSE(store.accept(7, digest, body, "morning"));
    LONGS_EQUAL(7, store.revision());
    STRCMP_EQUAL("noon", store.current()->author.c_str());
}

TEST(revision_store, a_body_that_does_not_match_its_digest_is_rejected)
{
    CHECK(store.accept(1, digest, body, "noon"));
    CHECK_FALSE(store.accept(2, digest, body + " ", "noon"));
    LONGS_EQUAL(1, store.revision());
}

TEST(revision_store, an_intent_with_issues_is_rejected_as_a_whole)
{
    const auto faulty =
        intent::encode({{"a.toml", "[service.counter]\nslots = 0\n"}});
    CHECK(store.accept(1, digest, body, "noon"));
    CHECK_FALSE(store.accept(2, core::sha256_hex(faulty), faulty, "noon"));
    LONGS_EQUAL(1, store.revision());
}
