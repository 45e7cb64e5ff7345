#include <plantainward/core/error_kind.hpp>
#include <plantainward/core/error_page.hpp>

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

namespace
{

std::string read_file(const std::string& name)
{
    std::ifstream in(PLANTAINWARD_SOURCE_DIR "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(error_page){};

TEST(error_page, the_page_in_docs_matches_the_table)
{
    CHECK(read_file("docs/ERRORS.md") == core::error_page());
}

TEST(error_page, the_openapi_schema_lists_every_kind_and_no_other)
{
    const auto schema = read_file("docs/openapi.yaml");
    std::size_t listed = 0;
    std::istringstream lines(schema);
    for (std::string line; std::getline(lines, line);)
    {
        const std::string item = "                - ";
        if (!line.starts_with(item))
            continue;
        ++listed;
        CHECK_TEXT(core::error_kind_named(line.substr(item.size())).has_value(),
                   line.c_str());
    }
    LONGS_EQUAL(core::error_table().size(), listed);
}
