#include <plantainward/daemon/forwarding.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using coordinator::caller_request;
using coordinator::request_kind;
using core::error_kind;
using daemon::forwarding;
using peer::call_outcome;

namespace
{

core::host make_host(const char* name)
{
    return {name, "domain", {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

const std::vector<core::host> ranked{make_host("first"), make_host("second")};

caller_request write(const char* id)
{
    caller_request request;
    request.statements = {{upstream::verb::put, "key", "value", 0}};
    request.id = id;
    return request;
}

struct forward_case
{
    const char* name;
    caller_request request;
    call_outcome outcome;
    /// Error that the caller gets; empty when the request goes to another host.
    std::optional<error_kind> expected_error;
};

caller_request read()
{
    caller_request request;
    request.statements = {{upstream::verb::get, "key", "", 0}};
    return request;
}

caller_request begin()
{
    caller_request request;
    request.kind = request_kind::begin;
    return request;
}

const std::vector<forward_case> cases{
    {"a write that was not sent", write(""), call_outcome::not_sent, {}},
    {"a write without an id that was lost", write(""), call_outcome::lost,
     error_kind::outcome_unknown},
    {"a write with an id that was lost", write("id"), call_outcome::lost, {}},
    {"a read that was lost", read(), call_outcome::lost, {}},
    {"a begin that was lost", begin(), call_outcome::lost, {}},
};

} // namespace

TEST_GROUP(forwarding)
{
    core::instant now{};
    core::instant deadline{core::instant{} + core::millis(1000)};
};

TEST(forwarding, only_a_request_that_may_run_twice_is_sent_again)
{
    for (const auto& row : cases)
    {
        forwarding forwarder(row.request, ranked, std::nullopt, deadline);
        STRCMP_EQUAL_TEXT("first", forwarder.start(now).next_host->name.c_str(),
                          row.name);
        const auto step = forwarder.next(row.outcome, {}, now);
        CHECK_TEXT(step.next_host.has_value() == !row.expected_error, row.name);
        if (row.expected_error)
            CHECK_TEXT(step.reply.error == row.expected_error, row.name);
        else
            STRCMP_EQUAL_TEXT("second", step.next_host->name.c_str(), row.name);
    }
}

TEST(forwarding, a_refused_second_copy_leaves_the_outcome_of_the_first_unknown)
{
    forwarding forwarder(write("id"), ranked, std::nullopt, deadline);
    forwarder.start(now);
    forwarder.next(call_outcome::lost, {}, now);
    const auto step = forwarder.next(
        call_outcome::answered,
        coordinator::failure(error_kind::overloaded, "busy"), now);
    CHECK(step.reply.error == error_kind::outcome_unknown);
}

TEST(forwarding, a_settled_id_decides_the_outcome_after_a_lost_call)
{
    forwarding forwarder(write("id"), ranked, std::nullopt, deadline);
    forwarder.start(now);
    forwarder.next(call_outcome::lost, {}, now);
    const auto step = forwarder.next(
        call_outcome::answered,
        coordinator::failure(error_kind::id_voided, "void"), now);
    CHECK(step.reply.error == error_kind::id_voided);
}

TEST(forwarding, a_draining_coordinator_is_skipped)
{
    forwarding forwarder(write(""), ranked, std::nullopt, deadline);
    forwarder.start(now);
    const auto step = forwarder.next(
        call_outcome::answered,
        coordinator::failure(error_kind::draining, "leaving"), now);
    STRCMP_EQUAL("second", step.next_host->name.c_str());
}

TEST(forwarding, nothing_is_sent_after_the_deadline)
{
    forwarding forwarder(write(""), ranked, std::nullopt, deadline);
    forwarder.start(now);
    const auto step = forwarder.next(call_outcome::not_sent, {}, deadline);
    CHECK(step.reply.error == error_kind::deadline_passed);
}

TEST(forwarding, a_transaction_goes_to_its_owner_only)
{
    caller_request request;
    request.kind = request_kind::execute;
    forwarding forwarder(request, ranked, make_host("owner"), deadline);
    STRCMP_EQUAL("owner", forwarder.start(now).next_host->name.c_str());
    CHECK(forwarder.next(call_outcome::lost, {}, now).reply.error ==
          error_kind::outcome_unknown);
    forwarding without_owner(request, ranked, std::nullopt, deadline);
    CHECK(without_owner.start(now).reply.error == error_kind::transaction_lost);
}

TEST(forwarding, a_lost_commit_with_an_id_is_settled_by_another_coordinator)
{
    caller_request request;
    request.kind = request_kind::commit;
    request.id = "commit-1";
    forwarding forwarder(request, ranked, make_host("owner"), deadline);
    forwarder.start(now);
    const auto step = forwarder.next(call_outcome::lost, {}, now);
    STRCMP_EQUAL("first", step.next_host->name.c_str());
    const auto settled = forwarder.next(
        call_outcome::answered,
        coordinator::failure(error_kind::transaction_lost, "void"), now);
    CHECK(settled.reply.error == error_kind::transaction_lost);
}
