#include <line_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace plantainward;
using namespace plantainward::platform_adapter;
using sql::refusal;
using sql::statement;
using sql::statement_kind;
using result = line_splitter::result;

namespace
{

struct statement_case
{
    const char* line;
    statement_kind kind;
    const char* name;
    const char* value;
    bool writes;
};

const statement_case statement_cases[] = {
    {"QUERY 1 BEGIN", statement_kind::begin, "", "", false},
    {"QUERY 1 BEGIN READ", statement_kind::begin_read_only, "", "", false},
    {"QUERY 1 COMMIT", statement_kind::commit, "", "", false},
    {"QUERY 1 ROLLBACK", statement_kind::rollback, "", "", false},
    {"QUERY 1 READ 1a4", statement_kind::read, "", "", false},
    {"QUERY 1 WRITE 1a4 some data", statement_kind::write, "", "", false},
    {"QUERY 1 SET lang a b", statement_kind::set_value, "lang", "a b", false},
    {"QUERY 1 PREPARE s READ q2", statement_kind::prepare, "s", "q2", false},
    {"QUERY 1 PREPARE s WRITE q2", statement_kind::prepare, "s", "q2", true},
    {"QUERY 1 EXECUTE s 1a4 x", statement_kind::execute, "s", "1a4 x", false},
    {"QUERY 1 DEALLOCATE s", statement_kind::deallocate, "s", "", false},
};

/// Lines that must not be decoded as a statement.
const char* const malformed_lines[] = {
    "",
    "HELLO",
    "QUERY",
    "QUERY 1",
    "QUERY - READ a",
    "QUERY 1 READ",
    "QUERY 1 BEGIN WRITE",
    "QUERY 1 COMMIT now",
    "QUERY 1 PREPARE s BOTH q",
    "QUERY 1 EXECUTE s",
    "QUERY 1 AFTER 3.1 READ a",
    "QUERY 1 STATUS",
    "QUERY 1 RESET",
    "QUERY 1 PAUSE 7",
    "QUERY 1 DEMOTE 7",
    "START",
};

} // namespace

TEST_GROUP(line_splitter)
{
    line_splitter lines;
    std::string line;
};

TEST(line_splitter, lines_are_read_however_the_bytes_are_split)
{
    const std::string bytes = "START a b\r\nQUERY 1 READ x\r\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
    {
        line_splitter splitter;
        std::vector<std::string> read_lines;
        for (const auto& part : {bytes.substr(0, cut), bytes.substr(cut)})
        {
            splitter.feed(part);
            while (splitter.next(line) == result::line)
                read_lines.push_back(line);
        }
        LONGS_EQUAL(2, read_lines.size());
        STRCMP_EQUAL("START a b", read_lines[0].c_str());
        STRCMP_EQUAL("QUERY 1 READ x", read_lines[1].c_str());
        CHECK_FALSE(splitter.has_partial());
    }
}

TEST(line_splitter, control_bytes_inside_a_line_are_rejected)
{
    for (const std::string& bytes :
         {std::string("READ a\nQUERY 2 WRITE b\r\n"),
          std::string("READ a\rb\r\n"), std::string("READ a\0b\r\n", 10)})
    {
        line_splitter splitter;
        splitter.feed(bytes);
        CHECK(splitter.next(line) == result::malformed);
    }
}

TEST(line_splitter, a_line_over_the_limit_is_rejected)
{
    lines.feed(std::string(max_line_bytes + 1, 'x'));
    CHECK(lines.next(line) == result::malformed);
}

TEST(line_splitter, a_partial_line_is_incomplete)
{
    lines.feed("QUERY 1 RE");
    CHECK(lines.next(line) == result::incomplete);
    CHECK(lines.has_partial());
}

TEST_GROUP(caller_lines){};

TEST(caller_lines, every_statement_is_decoded)
{
    for (const auto& expected : statement_cases)
    {
        const auto decoded = decode_caller_line(expected.line);
        const auto* request = std::get_if<statement>(&decoded);
        CHECK_TEXT(request != nullptr, expected.line);
        CHECK_TEXT(request->kind == expected.kind, expected.line);
        STRCMP_EQUAL(expected.name, request->name.c_str());
        STRCMP_EQUAL(expected.value, request->value.c_str());
        CHECK_TEXT(request->writes == expected.writes, expected.line);
        STRCMP_EQUAL(std::string(expected.line).substr(8).c_str(),
                     request->text.c_str());
    }
}

TEST(caller_lines, malformed_lines_and_database_commands_are_rejected)
{
    for (const auto* line : malformed_lines)
        CHECK_TEXT(
            std::holds_alternative<caller_error>(decode_caller_line(line)),
            line);
}

TEST(caller_lines, random_bytes_are_decoded_without_a_crash)
{
    std::mt19937 random(11);
    for (int i = 0; i < 20'000; ++i)
    {
        std::string line = "QUERY 1 PREPARE s WRITE shape data";
        line.resize(random() % line.size());
        for (int j = 0; j < 3 && !line.empty(); ++j)
            line[random() % line.size()] = static_cast<char>(random());
        (void)decode_caller_line(line);
        answer_reader reader;
        (void)reader.feed(line);
    }
}

TEST(caller_lines, a_reply_ends_with_the_state_and_the_position)
{
    sql::reply reply;
    reply.rows = {"x y"};
    reply.signature = "7.1";
    reply.state = sql::transaction_state::open;
    reply.position = upstream::log_point{3, 9};
    STRCMP_EQUAL("ROW x y\r\nDONE 7.1\r\nREADY T 3.9\r\n",
                 encode_reply(reply).c_str());
    sql::reply failed;
    failed.error = core::error_kind::overloaded;
    failed.text = "later";
    STRCMP_EQUAL("ERROR BUSY later\r\nREADY I -\r\n",
                 encode_reply(failed).c_str());
}

TEST(caller_lines, words_that_mean_not_run_are_used_only_if_nothing_has_run)
{
    using core::error_kind;
    const auto word = [](error_kind kind) {
        const auto line = encode_error(kind, "text");
        return line.substr(6, line.find(' ', 6) - 6);
    };
    for (const auto& row : core::error_table())
    {
        const auto error_word = word(row.kind);
        const bool promises =
            error_word == "BUSY" || error_word == "ABORTED" ||
            error_word == "LAGGING" || error_word == "READONLY" ||
            error_word == "MISROUTED" || error_word == "TOOMANY";
        if (row.ran != core::effect::not_run)
            CHECK_FALSE_TEXT(promises, std::string(row.name).c_str());
    }
    STRCMP_EQUAL("UNKNOWN", word(error_kind::outcome_unknown).c_str());
}

TEST_GROUP(upstream_lines)
{
    answer_reader reader;
};

TEST(upstream_lines, commands_carry_the_callers_id_and_text)
{
    sql::command command;
    command.id = "5c0e";
    command.text = "READ 1a4";
    command.after = upstream::log_point{3, 1207};
    STRCMP_EQUAL("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n",
                 encode_command(command).c_str());
    sql::command begin;
    begin.kind = sql::command_kind::begin_read_only;
    STRCMP_EQUAL("QUERY - BEGIN READ\r\n", encode_command(begin).c_str());
}

TEST(upstream_lines, an_answer_is_complete_with_its_state)
{
    CHECK(reader.feed("ROW abc def") == false);
    CHECK(reader.feed("DONE 7.1f3") == false);
    CHECK(reader.feed("READY T 3.1209") == true);
    const auto answer = reader.extract_answer();
    STRCMP_EQUAL("abc def", answer.rows.front().c_str());
    STRCMP_EQUAL("7.1f3", answer.signature.c_str());
    CHECK(answer.state == sql::transaction_state::open);
    CHECK((answer.position == upstream::log_point{3, 1209}));
}

TEST(upstream_lines, every_refusal_word_is_decoded)
{
    const std::pair<const char*, refusal> cases[] = {
        {"BUSY", refusal::busy},
        {"LAGGING", refusal::behind},
        {"READONLY", refusal::read_only},
        {"NOSTMT", refusal::unknown_statement},
        {"MISROUTED", refusal::wrong_upstream},
        {"TOOMANY", refusal::too_many_connections},
        {"FAILED", refusal::failed},
        {"TIMEOUT", refusal::timed_out},
        {"SOMETHING", refusal::other},
    };
    for (const auto& [word, kind] : cases)
    {
        reader.feed(std::string("ERROR ") + word + " text");
        reader.feed("READY I -");
        CHECK_TEXT(reader.extract_answer().error == kind, word);
    }
}

TEST(upstream_lines, a_line_of_another_protocol_is_rejected)
{
    CHECK_FALSE(reader.feed("HTTP/1.1 200 OK").has_value());
    CHECK_FALSE(reader.feed("READY X -").has_value());
}

TEST(upstream_lines, a_status_is_decoded_and_a_damaged_one_is_rejected)
{
    sql::command_answer answer;
    answer.rows = {"replica 3 3.1209 0 12 2 17"};
    const auto status = decode_status(answer);
    CHECK(status.has_value());
    CHECK_FALSE(status->is_primary);
    LONGS_EQUAL(1209, status->received.position);
    for (const char* row : {"", "replica", "leader 3 3.1 0 0 0 0",
                            "replica x 3.1 0", "replica 3 31 0"})
    {
        answer.rows = {row};
        CHECK_FALSE_TEXT(decode_status(answer).has_value(), row);
    }
}
