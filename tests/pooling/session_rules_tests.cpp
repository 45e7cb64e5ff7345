#include <plantainward/pooling/session_rules.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::pooling;
using core::error_kind;
using sql::statement_kind;

namespace
{

sql::statement make_statement(statement_kind kind, const std::string& name = {},
                              const std::string& value = {})
{
    sql::statement statement;
    statement.kind = kind;
    statement.name = name;
    statement.value = value;
    return statement;
}

} // namespace

TEST_GROUP(session_rules)
{
    session caller_session;
};

TEST(session_rules, values_are_kept_by_the_session)
{
    answer_locally(caller_session,
                   make_statement(statement_kind::set_value, "lang", "nl"));
    STRCMP_EQUAL("nl", caller_session.values.at("lang").c_str());
}

TEST(session_rules, a_prepared_name_is_known_until_it_is_deallocated)
{
    answer_locally(caller_session,
                   make_statement(statement_kind::prepare, "s1", "shape"));
    CHECK_FALSE(answer_locally(caller_session,
                               make_statement(statement_kind::execute, "s1"))
                    .has_value());
    answer_locally(caller_session,
                   make_statement(statement_kind::deallocate, "s1"));
    const auto reply = answer_locally(
        caller_session, make_statement(statement_kind::execute, "s1"));
    CHECK(reply->error == error_kind::bad_request);
}

TEST(session_rules, the_same_name_of_two_shapes_has_two_shared_names)
{
    CHECK(shared_name({false, "x"}) != shared_name({true, "x"}));
    CHECK(shared_name({false, "x"}) != shared_name({false, "y"}));
}

TEST(session_rules, a_failed_transaction_accepts_only_its_end)
{
    caller_session.transaction.emplace();
    caller_session.failed = true;
    const auto read_reply =
        answer_locally(caller_session, make_statement(statement_kind::read));
    CHECK(read_reply->error == error_kind::bad_request);
    CHECK(read_reply->state == sql::transaction_state::failed);
    const auto end_reply = answer_locally(
        caller_session, make_statement(statement_kind::rollback));
    CHECK_FALSE(end_reply->error.has_value());
    CHECK(end_reply->state == sql::transaction_state::idle);
}

TEST(session_rules, the_commit_of_a_failed_transaction_is_an_error)
{
    caller_session.transaction.emplace();
    caller_session.failed = true;
    const auto reply =
        answer_locally(caller_session, make_statement(statement_kind::commit));
    CHECK(reply->error == error_kind::transaction_lost);
    CHECK(reply->state == sql::transaction_state::idle);
}

TEST(session_rules, an_unreported_failure_of_a_transaction_is_reported_once)
{
    caller_session.transaction.emplace();
    caller_session.failed = true;
    caller_session.has_unreported_failure = true;
    const auto first_reply =
        answer_locally(caller_session, make_statement(statement_kind::read));
    CHECK(first_reply->error == error_kind::transaction_lost);
    const auto second_reply =
        answer_locally(caller_session, make_statement(statement_kind::read));
    CHECK(second_reply->error == error_kind::bad_request);
}

TEST(session_rules,
     a_begin_in_a_transaction_and_a_commit_outside_one_are_refused)
{
    CHECK(answer_locally(caller_session, make_statement(statement_kind::commit))
              ->error == error_kind::bad_request);
    caller_session.transaction.emplace();
    CHECK(answer_locally(caller_session, make_statement(statement_kind::begin))
              ->error == error_kind::bad_request);
}

TEST(session_rules, the_number_of_session_values_is_limited)
{
    for (int i = 0; i < 5000; ++i)
        answer_locally(caller_session, make_statement(statement_kind::set_value,
                                                      std::to_string(i)));
    CHECK(caller_session.values.size() < 1000);
}
