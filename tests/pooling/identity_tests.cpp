#include <support/pooler_case.hpp>

using namespace support;

namespace
{

// The pooler with the workspaces "a" (key "k") and "b" (key "m"), and the
// public route "specs".
struct identity_case : pooler_case
{
    identity_case() { set_up_keys(); }

    void set_up_keys()
    {
        pool.observe_refusals([this](const identity_refusal& refusal) {
            refusals.push_back(refusal.cause);
        });
        put_keys({{"k", "a"}, {"m", "b"}});
    }

    /// Begins again with a pooler that has these options.
    void use(const pooler_options& options)
    {
        pool = pooler(options);
        set_up();
        set_up_keys();
    }

    void put_keys(const std::map<std::string, std::string>& keys)
    {
        auto routing = pool.routing();
        ++routing.version;
        routing.has_workspaces = true;
        routing.routes.at("specs").is_public = true;
        routing.workspaces.clear();
        routing.workspace_by_key_digest.clear();
        for (const auto& [key, workspace] : keys)
        {
            routing.workspaces[workspace].name = workspace;
            routing.workspace_by_key_digest.emplace(key, workspace);
        }
        CHECK(pool.set_routing(routing, now));
    }

    open_result open_with(session_id id, const std::string& database,
                          const std::string& key)
    {
        return pool.open_session(id, database, key, now);
    }

    const sql::reply& last_reply() const { return replies.back().reply; }

    /// Opens a transaction of session 1 under key "k" in which one statement
    /// has run, and returns its connection.
    connection_id begin_under_key()
    {
        CHECK(open_with(1, "cards", "k") == open_result::opened);
        submit(1, statement_kind::begin, "BEGIN");
        submit(1, statement_kind::write, "WRITE a 1");
        const auto id = complete_open();
        succeed(id, transaction_state::open);
        succeed(id, transaction_state::open);
        return id;
    }

    std::vector<identity_refusal_cause> refusals;
};

} // namespace

TEST_GROUP(identity)
{
    identity_case c;
};

TEST(identity, a_session_with_an_unknown_key_is_not_opened)
{
    CHECK(c.open_with(1, "cards", "x") == open_result::unknown_key);
    CHECK(c.open_with(2, "cards", "") == open_result::unknown_key);
    CHECK(c.open_with(3, "nothing", "k") == open_result::unknown_database);
    LONGS_EQUAL(0, c.pool.session_count());
    CHECK((c.refusals == std::vector{identity_refusal_cause::unknown_key,
                                     identity_refusal_cause::unknown_key}));
}

TEST(identity,
     a_statement_under_a_withdrawn_key_is_refused_and_the_session_stays)
{
    CHECK(c.open_with(1, "cards", "k") == open_result::opened);
    c.put_keys({{"m", "b"}});
    c.submit(1, statement_kind::write, "WRITE a 1");
    CHECK(c.last_reply().error == error_kind::unauthenticated);
    c.submit(1, statement_kind::begin, "BEGIN");
    CHECK(c.last_reply().error == error_kind::unauthenticated);
    CHECK(c.last_reply().state == transaction_state::idle);
    LONGS_EQUAL(0, c.opened.size());
    LONGS_EQUAL(1, c.pool.session_count());
    CHECK((c.refusals == std::vector{identity_refusal_cause::withdrawn_key,
                                     identity_refusal_cause::withdrawn_key}));
}

TEST(identity, a_workspace_that_is_removed_and_put_back_is_served_again)
{
    CHECK(c.open_with(1, "cards", "k") == open_result::opened);
    c.put_keys({{"m", "b"}});
    c.submit(1, statement_kind::write, "WRITE a 1");
    CHECK(c.last_reply().error == error_kind::unauthenticated);
    c.put_keys({{"k", "a"}, {"m", "b"}});
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.last_reply().error.has_value());
}

TEST(identity, a_statement_in_a_transaction_whose_key_is_withdrawn_aborts_it)
{
    const auto connection = c.begin_under_key();
    c.put_keys({{"m", "b"}});
    c.submit(1, statement_kind::write, "WRITE b 1");
    CHECK(c.last_reply().error == error_kind::transaction_lost);
    CHECK(c.last_reply().state == transaction_state::failed);
    LONGS_EQUAL(connection, c.sent.back().connection);
    CHECK(c.last_command().kind == command_kind::rollback);
    c.submit(1, statement_kind::rollback, "ROLLBACK");
    CHECK_FALSE(c.last_reply().error.has_value());
    CHECK(c.last_reply().state == transaction_state::idle);
}

TEST(identity, a_commit_under_a_withdrawn_key_rolls_back)
{
    c.begin_under_key();
    c.put_keys({{"m", "b"}});
    c.submit(1, statement_kind::commit, "COMMIT");
    CHECK(c.last_reply().error == error_kind::transaction_lost);
    CHECK(c.last_reply().state == transaction_state::idle);
    CHECK(c.last_command().kind == command_kind::rollback);
}

TEST(identity, a_transaction_whose_key_moves_to_another_workspace_is_aborted)
{
    c.begin_under_key();
    c.put_keys({{"k", "b"}});
    c.submit(1, statement_kind::write, "WRITE b 1");
    CHECK(c.last_reply().error == error_kind::transaction_lost);
    c.submit(1, statement_kind::rollback, "ROLLBACK");
    // The next transaction belongs to the new workspace.
    c.submit(1, statement_kind::begin, "BEGIN");
    CHECK_FALSE(c.last_reply().error.has_value());
}

TEST(identity, a_new_version_with_the_same_key_leaves_a_transaction_open)
{
    const auto connection = c.begin_under_key();
    c.put_keys({{"k", "a"}, {"new", "n"}});
    c.apply(c.pool.tick(c.now));
    c.submit(1, statement_kind::commit, "COMMIT");
    LONGS_EQUAL(connection, c.sent.back().connection);
    CHECK(c.last_command().kind == command_kind::run);
}

// An idle transaction holds locks, so it must not wait for its next statement.
TEST(identity, an_idle_transaction_under_a_withdrawn_key_is_rolled_back)
{
    c.begin_under_key();
    c.put_keys({{"m", "b"}});
    const auto reply_count = c.replies.size();
    c.apply(c.pool.tick(c.now));
    CHECK(c.last_command().kind == command_kind::rollback);
    LONGS_EQUAL(reply_count, c.replies.size());
    c.submit(1, statement_kind::write, "WRITE b 1");
    CHECK(c.last_reply().error == error_kind::transaction_lost);
}

TEST(identity, a_waiting_statement_under_a_withdrawn_key_is_refused)
{
    c.apply(c.pool.set_primary("ledger", "", {}, c.now));
    CHECK(c.open_with(1, "cards", "k") == open_result::opened);
    c.submit(1, statement_kind::write, "WRITE a 1");
    LONGS_EQUAL(0, c.replies.size());
    c.put_keys({{"m", "b"}});
    c.apply(c.pool.tick(c.now));
    CHECK(c.last_reply().error == error_kind::unauthenticated);
    CHECK_FALSE(c.pool.is_busy());
}

TEST(identity, a_public_route_needs_no_key)
{
    CHECK(c.open_with(1, "specs", "") == open_result::opened);
    CHECK(c.open_with(2, "specs", "x") == open_result::opened);
    c.submit(1, statement_kind::read, "READ a");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.last_reply().error.has_value());
    LONGS_EQUAL(0, c.refusals.size());
}

TEST(identity,
     a_route_that_stops_being_public_needs_a_key_at_the_next_statement)
{
    CHECK(c.open_with(1, "specs", "") == open_result::opened);
    auto routing = c.pool.routing();
    ++routing.version;
    routing.routes.at("specs").is_public = false;
    CHECK(c.pool.set_routing(routing, c.now));
    c.submit(1, statement_kind::read, "READ a");
    CHECK(c.last_reply().error == error_kind::unauthenticated);
}

TEST(identity, forwarded_statements_name_the_workspace_but_not_the_key)
{
    c.pool.set_plan("ledger", {0, {"h2"}, {}});
    std::vector<forward_action> forwarded;
    CHECK(c.open_with(1, "cards", "k") == open_result::opened);
    sql::statement statement;
    statement.kind = statement_kind::write;
    for (const auto& action : c.pool.on_statement(1, statement, c.now))
        if (const auto* forward = std::get_if<forward_action>(&action))
            forwarded.push_back(*forward);
    LONGS_EQUAL(1, forwarded.size());
    STRCMP_EQUAL("a", forwarded.back().work.workspace.c_str());
}

// The host that received the statement has checked the key; this host's version
// of the routing may be older than that check.
TEST(identity, a_statement_of_another_host_runs_under_the_name_that_it_sent)
{
    forwarded_work work;
    work.statement.kind = statement_kind::write;
    work.route = c.pool.routing().routes.at("cards");
    work.workspace = "not known here";
    work.time_left = millis(800);
    c.apply(c.pool.run_forwarded("h2", 1, work, c.now));
    LONGS_EQUAL(1, c.opened.size());
    LONGS_EQUAL(0, c.refusals.size());
}

TEST(identity, a_statement_under_a_key_needs_a_recent_proof_of_the_routing)
{
    pooler_options options;
    options.failure_domain = "a";
    options.max_proof_age = millis(4900);
    c.use(options);
    CHECK(c.open_with(1, "cards", "k") == open_result::opened);
    c.submit(1, statement_kind::write, "WRITE a 1");
    CHECK(c.last_reply().error == error_kind::overloaded);
    c.pool.set_routing_proof(c.now);
    c.now += millis(4900);
    c.submit(1, statement_kind::write, "WRITE a 1");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.last_reply().error.has_value());
    c.now += millis(1);
    c.submit(1, statement_kind::write, "WRITE a 1");
    CHECK(c.last_reply().error == error_kind::overloaded);
    c.submit(1, statement_kind::begin, "BEGIN");
    CHECK(c.last_reply().error == error_kind::overloaded);
    LONGS_EQUAL(1, c.opened.size());
    LONGS_EQUAL(3, c.refusals.size());
    CHECK(c.refusals.back() == identity_refusal_cause::routing_not_proved);
    // The session is served again with the next proof.
    c.pool.set_routing_proof(c.now);
    c.submit(1, statement_kind::begin, "BEGIN");
    CHECK_FALSE(c.last_reply().error.has_value());
}

TEST(identity, without_a_proof_an_open_transaction_is_rolled_back)
{
    pooler_options options;
    options.failure_domain = "a";
    options.max_proof_age = millis(4900);
    c.use(options);
    c.pool.set_routing_proof(c.now);
    c.begin_under_key();
    c.now += millis(5000);
    c.submit(1, statement_kind::commit, "COMMIT");
    CHECK(c.last_reply().error == error_kind::overloaded);
    CHECK(c.last_reply().state == transaction_state::idle);
    CHECK(c.last_command().kind == command_kind::rollback);
}

TEST(identity, a_public_route_needs_no_proof)
{
    pooler_options options;
    options.failure_domain = "a";
    options.max_proof_age = millis(4900);
    c.use(options);
    CHECK(c.open_with(1, "specs", "k") == open_result::opened);
    c.submit(1, statement_kind::read, "READ a");
    c.succeed(c.complete_open());
    CHECK_FALSE(c.last_reply().error.has_value());
}

TEST(identity, without_workspaces_no_proof_is_needed)
{
    pooler_case plain;
    pooler_options options;
    options.failure_domain = "a";
    options.max_proof_age = millis(4900);
    plain.pool = pooler(options);
    plain.set_up();
    plain.open_session(1, "cards");
    plain.submit(1, statement_kind::write, "WRITE a 1");
    plain.succeed(plain.complete_open());
    CHECK_FALSE(plain.replies.back().reply.error.has_value());
}

TEST(identity, without_workspaces_no_key_is_needed)
{
    pooler_case plain;
    CHECK(plain.pool.open_session(1, "cards", "any", plain.now) ==
          open_result::opened);
    plain.submit(1, statement_kind::write, "WRITE a 1");
    plain.succeed(plain.complete_open());
    CHECK_FALSE(plain.replies.back().reply.error.has_value());
}
