#include <plantainward/core/last_error.hpp>
#include <plantainward/daemon/api.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::error_kind;
using daemon::decode_call;

namespace
{

struct bad_call
{
    const char* name;
    const char* target;
    std::string body;
    error_kind expected_error;
};

const std::string get_statement = R"("statements":[{"verb":"get","key":"a"}])";

const std::vector<bad_call> bad_calls{
    {"no JSON", "/v1/transactions", "{", error_kind::bad_request},
    {"not an object", "/v1/transactions", "[]", error_kind::bad_request},
    {"no service", "/v1/transactions", "{" + get_statement + "}",
     error_kind::bad_request},
    {"no statements", "/v1/transactions", R"({"service":"s"})",
     error_kind::bad_request},
    {"an unknown verb", "/v1/transactions",
     R"({"service":"s","statements":[{"verb":"drop","key":"a"}]})",
     error_kind::bad_request},
    {"a statement without a key", "/v1/transactions",
     R"({"service":"s","statements":[{"verb":"get"}]})",
     error_kind::bad_request},
    {"an unknown freshness", "/v1/transactions",
     R"({"service":"s","read":"newish",)" + get_statement + "}",
     error_kind::bad_request},
    {"an age without its freshness", "/v1/transactions",
     R"({"service":"s","max_age_ms":5,)" + get_statement + "}",
     error_kind::bad_request},
    {"the freshness without an age", "/v1/transactions",
     R"({"service":"s","read":"max_age",)" + get_statement + "}",
     error_kind::bad_request},
    {"a negative slot", "/v1/transactions",
     R"({"service":"s","slot":-1,)" + get_statement + "}",
     error_kind::bad_request},
    {"a deadline of no time", "/v1/transactions",
     R"({"service":"s","deadline_ms":0,)" + get_statement + "}",
     error_kind::bad_request},
    {"an id that is too long", "/v1/transactions",
     R"({"service":"s","id":")" + std::string(200, 'x') + "\"," +
         get_statement + "}",
     error_kind::bad_request},
    {"a malformed handle", "/v1/transactions/abc/commit", "{}",
     error_kind::not_found},
    {"an unknown resource", "/v2/transactions", "{}", error_kind::not_found},
    {"an unknown step", "/v1/transactions/h~s~0~1~m/abort", "{}",
     error_kind::not_found},
    {"a prefix of a resource", "/v1/transactionsx", "{}",
     error_kind::not_found},
};

} // namespace

TEST_GROUP(api)
{
    session::token_codec tokens =
        *session::token_codec::create({"0123456789abcdef"});
    daemon::api_limits limits;

    std::optional<daemon::api_call> call(const char* target,
                                         const std::string& body)
    {
        return decode_call({"POST", target, {}, body}, limits, tokens);
    }
};

TEST(api, each_malformed_call_is_refused_with_a_kind_and_a_reason)
{
    for (const auto& row : bad_calls)
    {
        CHECK_TEXT(!call(row.target, row.body), row.name);
        CHECK_TEXT(core::last_error().kind == row.expected_error, row.name);
        CHECK_TEXT(!core::last_error().text.empty(), row.name);
    }
}

TEST(api, all_fields_of_a_call_are_decoded)
{
    const auto read =
        call("/v1/transactions",
             R"({"service":"s","slot":2,"id":"i","tenant":"t","class":"bulk",)"
             R"("deadline_ms":700,"read":"max_age","max_age_ms":9,)" +
                 get_statement + "}");
    CHECK(read.has_value());
    const auto& request = read->request;
    LONGS_EQUAL(2, request.slot);
    CHECK(request.klass == coordinator::request_class::bulk);
    LONGS_EQUAL(700, request.time_left.count());
    LONGS_EQUAL(9, request.max_age.count());
    STRCMP_EQUAL("t", request.tenant.c_str());
}

TEST(api, a_deadline_over_the_limit_is_lowered_to_it)
{
    const auto read =
        call("/v1/transactions",
             R"({"service":"s","deadline_ms":9999999,)" + get_statement + "}");
    CHECK(read->request.time_left == limits.max_deadline);
}

TEST(api, the_log_point_of_the_session_comes_from_the_token)
{
    session::token token;
    token.merge({"s", 1}, {4, 40});
    const auto read =
        decode_call({"POST",
                     "/v1/transactions",
                     {{"session-token", tokens.encode(token)}},
                     R"({"service":"s","slot":1,)" + get_statement + "}"},
                    limits, tokens);
    CHECK(read->request.session == upstream::log_point({4, 40}));
}

TEST(api, a_forged_token_is_refused)
{
    CHECK_FALSE(decode_call({"POST",
                             "/v1/transactions",
                             {{"Session-Token", "pw1.AAAA"}},
                             R"({"service":"s",)" + get_statement + "}"},
                            limits, tokens)
                    .has_value());
    CHECK(core::last_error().kind == error_kind::bad_token);
}

TEST(api, an_error_says_what_ran_and_when_to_retry)
{
    const auto answer =
        daemon::encode_error(error_kind::overloaded, "busy", "trace-1");
    LONGS_EQUAL(503, answer.status);
    CHECK(answer.body.find(R"("ran":"not_run")") != std::string::npos);
    CHECK(answer.body.find(R"("retry_after_ms":200)") != std::string::npos);
    CHECK(answer.body.find("trace-1") != std::string::npos);
}
