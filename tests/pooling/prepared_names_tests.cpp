// The names under which prepared statements are shared between sessions.

#include <plantainward/core/digest.hpp>
#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>
#include <set>

#include <support/pooler_case.hpp>

using namespace support;

namespace
{

// A shape is the last field of its line, so it may contain blanks.
const std::vector<std::string> shapes{
    "q2c", "two words", "w READ q", "x WRITE y z", " q2c", "q2c ", "a\tb"};

bool is_word(const std::string& text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
        return c == ' ' || c == '\t';
    });
}

} // namespace

TEST_GROUP(prepared_names)
{
    pooler_case world;

    void prepare(const std::string& name, const std::string& shape)
    {
        world.submit(1, statement_kind::prepare,
                     "PREPARE " + name + " READ " + shape, name, shape);
    }

    /// Executes a prepared statement of session 1 and returns the commands that
    /// the database received for it.
    std::vector<sql::command> execute(const std::string& name)
    {
        world.sent.clear();
        world.submit(1, statement_kind::execute, "EXECUTE " + name + " item",
                     name, "item");
        if (world.sent.empty())
            world.complete_open();
        std::vector<sql::command> commands;
        for (std::size_t i = 0; i < world.sent.size(); ++i)
        {
            const auto send = world.sent[i];
            for (const auto& command : send.commands)
            {
                commands.push_back(command);
                world.succeed(send.connection);
            }
        }
        return commands;
    }
};

TEST(prepared_names, a_shape_with_blanks_is_prepared_under_one_word)
{
    // Guards against this: the database took the rest of the name for the mode
    // and the shape, and ran another text than the caller had sent.
    world.open_session(1, "cards");
    for (const auto& shape : shapes)
    {
        prepare("s1", shape);
        const auto commands = execute("s1");
        LONGS_EQUAL(2, commands.size());
        const auto& prepare_command = commands.front();
        const auto& execute_command = commands.back();
        CHECK(prepare_command.kind == command_kind::prepare);
        CHECK(execute_command.kind == command_kind::execute);
        CHECK(is_word(prepare_command.name));
        STRCMP_EQUAL(prepare_command.name.c_str(),
                     execute_command.name.c_str());
        STRCMP_EQUAL(shape.c_str(), prepare_command.value.c_str());
        STRCMP_EQUAL("item", execute_command.value.c_str());
    }
}

TEST(prepared_names, different_statements_have_different_names)
{
    // Guards against this: a prepared name runs the shape of another caller.
    auto distinct = shapes;
    for (const auto& shape : shapes)
        distinct.push_back(core::sha256_hex(shape));
    std::set<std::string> names;
    for (const auto& shape : distinct)
        for (const bool writes : {false, true})
            CHECK(names.insert(shared_name({writes, shape})).second);
}

TEST(prepared_names, the_name_of_a_long_shape_is_short)
{
    // Guards against this: the line that prepares a long shape is longer than a
    // database accepts, since it holds the shape twice.
    const std::string shape(600'000, 'q');
    CHECK(shared_name({true, shape}).size() < 100);
    CHECK(shared_name({true, shape}) != shared_name({true, shape + "r"}));
}
