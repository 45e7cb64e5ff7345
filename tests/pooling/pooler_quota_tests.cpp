#include <support/pooler_case.hpp>

#include <plantainward/pooling/session_rules.hpp>

using namespace support;

namespace
{

constexpr quota::token_grant no_tokens{quota::token_answer::retry_later, 0,
                                       millis(250)};

quota::token_grant tokens(std::uint32_t count)
{
    return {quota::token_answer::granted, count, millis(0)};
}

/// A pooler whose callers belong to the workspace "shop" with a quota, and the
/// requests for tokens that it returned.
struct quota_case : pooler_case
{
    /// Tokens live longer than a statement may wait for a database.
    static pooler_options options()
    {
        pooler_options result{"a"};
        result.quota.token_life = millis(1000);
        return result;
    }

    quota_case() : pooler_case(options())
    {
        auto routing = pool.routing();
        routing.version = 2;
        routing.has_workspaces = true;
        routing.workspaces["shop"] = {"shop", 0, routes::quota_limit{9, 9}};
        routing.workspaces["free"] = {"free", 0, {}};
        routing.workspace_by_key_digest = {{"k1", "shop"}, {"k2", "free"}};
        pool.set_routing(routing, now);
        pool.set_quota_voters(1, {{"v1", "b"}, {"v2", "a"}, {"v3", "c"}}, true,
                              now);
        CHECK(pool.open_session(1, "cards", "k1", now) == open_result::opened);
        CHECK(pool.open_session(2, "cards", "k1", now) == open_result::opened);
        CHECK(pool.open_session(3, "cards", "k2", now) == open_result::opened);
    }

    void apply_all(const actions& new_actions)
    {
        for (const auto& action : new_actions)
            if (const auto* request =
                    std::get_if<request_tokens_action>(&action))
                requests.push_back(*request);
        apply(new_actions);
    }

    void run(session_id id, statement_kind kind, const std::string& text)
    {
        sql::statement statement;
        statement.kind = kind;
        statement.id = "q" + std::to_string(++last_id);
        statement.text = text;
        apply_all(pool.on_statement(id, statement, now));
    }

    void grant(const quota::token_grant& answer)
    {
        apply_all(pool.on_token_grant(requests.back().request, answer, now));
    }

    void pass(millis time)
    {
        for (const auto end = now + time; now < end;)
            apply_all(pool.tick(now += millis(20)));
    }

    std::vector<request_tokens_action> requests;
};

} // namespace

TEST_GROUP(pooler_quota)
{
    quota_case c;
};

// Guards against statements that run without a token.
TEST(pooler_quota, a_statement_waits_for_its_token)
{
    c.run(1, statement_kind::read, "READ a");
    CHECK(c.opened.empty());
    LONGS_EQUAL(1, c.requests.size());
    STRCMP_EQUAL("shop", c.requests.back().workspace.c_str());
    // The owner in this host's failure domain is asked first.
    STRCMP_EQUAL("v2", c.requests.back().host.c_str());
    c.grant(tokens(1));
    LONGS_EQUAL(1, c.opened.size());
}

TEST(pooler_quota, an_operation_over_the_quota_is_refused_with_the_wait)
{
    std::string detail;
    std::string workspace;
    c.pool.observe(
        [&](const decision& report) {
            detail = report.detail;
            workspace = report.workspace;
        },
        {});
    c.run(1, statement_kind::read, "READ a");
    for (int i = 0; i < 3; ++i)
        c.grant(no_tokens);
    LONGS_EQUAL(3, c.requests.size());
    CHECK(c.replies.back().reply.error == error_kind::quota_exceeded);
    STRCMP_CONTAINS("3 of 3 owners", detail.c_str());
    STRCMP_EQUAL("shop", workspace.c_str());
    STRCMP_CONTAINS("retry after 250 ms", c.replies.back().reply.text.c_str());
    CHECK(c.opened.empty());
    CHECK_FALSE(c.pool.is_busy());
}

TEST(pooler_quota, a_workspace_without_a_quota_needs_no_token)
{
    c.run(3, statement_kind::read, "READ a");
    CHECK(c.requests.empty());
    LONGS_EQUAL(1, c.opened.size());
}

// Guards against a transaction that counts once for each statement.
TEST(pooler_quota, a_transaction_needs_one_token)
{
    c.run(1, statement_kind::begin, "BEGIN");
    CHECK(c.requests.empty());
    c.run(1, statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(1, c.requests.size());
    c.grant(tokens(1));
    const auto id = c.complete_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.run(1, statement_kind::write, "WRITE b 1");
    c.run(1, statement_kind::commit, "COMMIT");
    LONGS_EQUAL(1, c.requests.size());
}

TEST(pooler_quota, a_refused_first_statement_fails_its_transaction)
{
    c.run(1, statement_kind::begin, "BEGIN");
    c.run(1, statement_kind::write, "WRITE a 1");
    for (int i = 0; i < 3; ++i)
        c.grant(no_tokens);
    CHECK(c.replies.back().reply.error == error_kind::quota_exceeded);
    CHECK(c.replies.back().reply.state == transaction_state::failed);
    c.run(1, statement_kind::rollback, "ROLLBACK");
    CHECK(c.replies.back().reply.state == transaction_state::idle);
}

TEST(pooler_quota, a_retry_inside_the_proxy_needs_no_second_token)
{
    c.run(1, statement_kind::read, "READ a");
    c.grant(tokens(1));
    const auto id = c.complete_open();
    c.fail(id, refusal::busy);
    c.pass(millis(100));
    LONGS_EQUAL(1, c.requests.size());
    CHECK(c.sent.size() > 1);
}

// Guards against a wait without an end for owners that are gone.
TEST(pooler_quota, a_statement_is_refused_when_no_owner_answers)
{
    c.run(1, statement_kind::read, "READ a");
    c.pass(millis(340));
    LONGS_EQUAL(3, c.requests.size());
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
    STRCMP_CONTAINS("no owner", c.replies.back().reply.text.c_str());
    CHECK_FALSE(c.pool.is_busy());
}

TEST(pooler_quota, a_statement_that_waits_for_its_token_ends_with_its_session)
{
    c.run(1, statement_kind::read, "READ a");
    c.apply_all(c.pool.close_session(1, c.now));
    CHECK_FALSE(c.pool.is_busy());
    c.grant(tokens(1));
    CHECK(c.opened.empty());
    // The token serves another operation.
    c.run(2, statement_kind::read, "READ a");
    LONGS_EQUAL(1, c.requests.size());
    LONGS_EQUAL(1, c.opened.size());
}

// Guards against an operation that starts when its token no longer counts, as
// in a host that was suspended while the statement was queued.
TEST(pooler_quota, a_queued_statement_does_not_start_after_its_token_expired)
{
    c.pool.set_primary("ledger", "", {}, c.now);
    c.run(1, statement_kind::read, "READ a");
    c.grant(tokens(1));
    CHECK(c.opened.empty());
    c.now += millis(1100);
    c.apply_all(
        c.pool.set_primary("ledger", "p", c.now + millis(10'000), c.now));
    CHECK(c.opened.empty());
    c.pass(millis(20));
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
}

TEST(pooler_quota, the_token_of_a_statement_that_did_not_run_is_used_again)
{
    c.pool.set_primary("ledger", "", {}, c.now);
    c.run(1, statement_kind::read, "READ a");
    c.grant(tokens(1));
    c.pass(millis(400));
    CHECK(c.replies.back().reply.error == error_kind::overloaded);
    c.apply_all(
        c.pool.set_primary("ledger", "p", c.now + millis(10'000), c.now));
    // Probes have opened connections meanwhile.
    const auto opened_before = c.opened.size();
    c.run(2, statement_kind::read, "READ a");
    LONGS_EQUAL(1, c.requests.size());
    LONGS_EQUAL(opened_before + 1, c.opened.size());
}

// Guards against a token that serves two operations: the read whose answer was
// lost may have run.
TEST(pooler_quota, the_token_of_a_statement_that_may_have_run_is_not_used_again)
{
    c.run(1, statement_kind::read, "READ a");
    c.grant(tokens(1));
    const auto id = c.complete_open();
    c.pool.set_primary("ledger", "", {}, c.now);
    c.apply_all(c.pool.on_closed(id, c.now));
    c.pass(millis(420));
    CHECK(c.replies.back().reply.error.has_value());
    c.run(2, statement_kind::read, "READ a");
    LONGS_EQUAL(2, c.requests.size());
}

TEST(pooler_quota, an_owner_answers_requests_of_other_hosts)
{
    pooler owner{{"a", millis(3000), "v2", {}}};
    owner.set_routing(c.pool.routing(), c.now);
    owner.set_quota_voters(1, {{"v1", "b"}, {"v2", "a"}, {"v3", "c"}}, true,
                           c.now);
    owner.set_quota_majority_at(c.now, c.now);
    c.now += millis(1000);
    const auto answer = owner.on_token_request("host/1", 4, "shop", 2, c.now);
    const auto& grant = std::get<grant_tokens_action>(answer.at(0));
    STRCMP_EQUAL("host/1", grant.host.c_str());
    LONGS_EQUAL(4, grant.request);
    LONGS_EQUAL(2, grant.grant.count);
    // Its own callers need no message.
    CHECK(owner.open_session(1, "cards", "k1", c.now) == open_result::opened);
    sql::statement statement;
    statement.kind = statement_kind::read;
    statement.text = "READ a";
    for (const auto& action : owner.on_statement(1, statement, c.now))
        CHECK_FALSE(std::holds_alternative<request_tokens_action>(action));
}

// Guards against a second token for work that another host forwards.
TEST(pooler_quota, forwarded_work_needs_no_token_and_starts_in_time)
{
    c.pool.set_primary("ledger", "", {}, c.now);
    forwarded_work work;
    work.statement.kind = statement_kind::read;
    work.statement.text = "READ a";
    work.route = c.pool.routing().routes.at("cards");
    work.workspace = "shop";
    work.time_left = millis(800);
    work.start_within = millis(200);
    c.apply_all(c.pool.run_forwarded("host/1", 1, work, c.now));
    CHECK(c.requests.empty());
    CHECK(c.pool.is_busy());
    c.pass(millis(220));
    CHECK_FALSE(c.pool.is_busy());
}
