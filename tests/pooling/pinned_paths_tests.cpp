// A transaction is bound to the connection to which its first statement was
// sent: what happens when that connection, its answers or its host are lost.

#include <support/pooler_case.hpp>

#include <plantainward/pooling/session_rules.hpp>

#include <algorithm>

using namespace support;

namespace
{

/// A pooler whose session 1 has begun a transaction.
struct first_statement_case : pooler_case
{
    explicit first_statement_case(const char* begin_text = "BEGIN")
    {
        open_session(1, "cards");
        submit(1,
               std::string(begin_text) == "BEGIN"
                   ? statement_kind::begin
                   : statement_kind::begin_read_only,
               begin_text);
    }

    /// Sends the first statement; its answer is outstanding.
    connection_id send_first(statement_kind kind, const std::string& text)
    {
        submit(1, kind, text);
        const auto id = complete_open();
        succeed(id, transaction_state::open);
        STRCMP_EQUAL(text.c_str(), last_command().text.c_str());
        return id;
    }

    void close(connection_id id) { apply(pool.on_closed(id, now)); }

    /// Statements with this text that were sent to databases.
    std::size_t runs_of(const std::string& text) const
    {
        std::size_t count = 0;
        for (const auto& send : sent)
            for (const auto& command : send.commands)
                count += command.text == text ? 1 : 0;
        return count;
    }

    void check_aborted()
    {
        CHECK(replies.back().reply.error == error_kind::transaction_lost);
        CHECK(replies.back().reply.state == transaction_state::failed);
        pass(millis(700));
        LONGS_EQUAL(0, pool.work_count());
    }

    void pass(millis time)
    {
        for (const auto end = now + time; now < end;)
            apply(pool.tick(now += millis(20)));
    }
};

} // namespace

TEST_GROUP(pinned_paths)
{
    first_statement_case c;
};

// Guards against a transaction whose first statement runs on one connection and
// the rest on another: the answer to the first statement was lost.
TEST(pinned_paths, a_transaction_whose_first_write_is_lost_is_aborted)
{
    c.close(c.send_first(statement_kind::write, "WRITE a 1"));
    c.check_aborted();
    LONGS_EQUAL(1, c.runs_of("WRITE a 1"));
}

TEST(pinned_paths, a_transaction_whose_first_read_is_lost_is_aborted)
{
    c.close(c.send_first(statement_kind::read, "READ a"));
    c.check_aborted();
    LONGS_EQUAL(1, c.runs_of("READ a"));
    c.submit(1, statement_kind::rollback, "ROLLBACK");
    CHECK(c.replies.back().reply.state == transaction_state::idle);
}

TEST(pinned_paths, a_read_only_transaction_whose_first_read_is_lost_is_aborted)
{
    first_statement_case reader("BEGIN READ");
    reader.close(reader.send_first(statement_kind::read, "READ a"));
    reader.check_aborted();
    LONGS_EQUAL(1, reader.runs_of("READ a"));
}

// Guards against the same for an answer that is presumed lost: the database is
// still at work on the statement.
TEST(pinned_paths, a_transaction_whose_first_answer_is_presumed_lost_is_aborted)
{
    const auto id = c.send_first(statement_kind::write, "WRITE a 1");
    c.pass(millis(520));
    LONGS_EQUAL(id, c.closed.front());
    c.check_aborted();
    LONGS_EQUAL(1, c.runs_of("WRITE a 1"));
}

// Guards against the same for a database that starts again under its id.
TEST(pinned_paths, a_transaction_whose_database_restarts_is_aborted)
{
    c.send_first(statement_kind::write, "WRITE a 1");
    auto restarted = first_statement_case::upstream("p");
    restarted.started_at_ms = 2;
    c.apply(c.pool.set_upstreams(
        {restarted, first_statement_case::upstream("r")}, c.now));
    c.check_aborted();
    LONGS_EQUAL(1, c.runs_of("WRITE a 1"));
}

TEST(pinned_paths, a_lost_commit_that_is_the_first_statement_is_unknown)
{
    c.close(c.send_first(statement_kind::commit, "COMMIT"));
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
    LONGS_EQUAL(1, c.runs_of("COMMIT"));
}

TEST(pinned_paths, a_transaction_begins_elsewhere_while_its_connection_opens)
{
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto first = c.opened.back().connection;
    c.apply(c.pool.on_closed(first, c.now));
    const auto second = c.complete_open();
    CHECK(first != second);
    c.succeed(second, transaction_state::open);
    c.succeed(second, transaction_state::open);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    LONGS_EQUAL(1, c.runs_of("WRITE a 1"));
}

TEST(pinned_paths, a_transaction_begins_elsewhere_when_its_begin_is_lost)
{
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto first = c.complete_open();
    CHECK(c.last_command().kind == command_kind::begin);
    c.close(first);
    const auto second = c.complete_open();
    CHECK(first != second);
    c.succeed(second, transaction_state::open);
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    c.succeed(second, transaction_state::open);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    LONGS_EQUAL(1, c.runs_of("WRITE a 1"));
}

TEST(pinned_paths, a_transaction_begins_elsewhere_when_its_statement_is_refused)
{
    c.fail(c.send_first(statement_kind::write, "WRITE a 1"), refusal::busy,
           transaction_state::open);
    CHECK(c.last_command().kind == command_kind::rollback);
    c.succeed(c.sent.back().connection);
    c.pass(millis(100));
    CHECK(c.last_command().kind == command_kind::begin);
}

TEST_GROUP(unexpected_answers)
{
    pooler_case c;

    void setup() override
    {
        c.pool.set_plan("ledger", {1, {}, {}});
        c.open_session(1, "cards");
    }

    bool was_closed(connection_id id) const
    {
        return std::find(c.closed.begin(), c.closed.end(), id) !=
               c.closed.end();
    }
};

// Guards against statements under the values and names of a connection that the
// database has cleared on its own.
TEST(unexpected_answers, a_connection_that_lost_a_confirmed_name_is_closed)
{
    c.submit(1, statement_kind::prepare, "", "s", "shape");
    c.submit(1, statement_kind::begin, "BEGIN");
    c.submit(1, statement_kind::read, "READ a");
    const auto id = c.complete_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.submit(1, statement_kind::execute, "", "s", "x");
    CHECK(c.last_command().kind == command_kind::prepare);
    c.succeed(id, transaction_state::open);
    c.fail(id, refusal::unknown_statement, transaction_state::open);
    CHECK(c.replies.back().reply.error.has_value());
    CHECK(was_closed(id));
}

TEST(unexpected_answers, a_statement_with_a_lost_name_runs_elsewhere)
{
    c.submit(1, statement_kind::set_value, "", "role", "a");
    c.submit(1, statement_kind::prepare, "", "s", "shape");
    c.submit(1, statement_kind::execute, "", "s", "x");
    const auto id = c.complete_open();
    c.succeed(id);
    c.succeed(id);
    c.fail(id, refusal::unknown_statement);
    CHECK(was_closed(id));
    c.now += millis(100);
    c.apply(c.pool.tick(c.now));
    for (const auto& open : c.opened)
        if (open.upstream.id == "p" && open.connection != id)
            c.apply(c.pool.on_opened(open.connection,
                                     upstream::log_point{1, 10}, c.now));
    LONGS_EQUAL(2, c.sent.back().commands.size());
}

// Guards against a success that is rolled back: the database answers from
// inside a transaction that nobody has begun.
TEST(unexpected_answers, a_write_that_ran_in_an_unknown_transaction_is_unknown)
{
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open();
    c.succeed(id, transaction_state::open);
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(was_closed(id));
}

TEST(unexpected_answers, a_read_that_ran_in_an_unknown_transaction_runs_again)
{
    c.submit(1, statement_kind::read, "READ a");
    const auto first = c.complete_open();
    c.succeed(first, transaction_state::failed);
    CHECK(was_closed(first));
    const auto second = c.complete_open();
    CHECK(first != second);
    c.succeed(second);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
}

TEST(unexpected_answers, a_commit_that_leaves_its_transaction_open_is_unknown)
{
    c.submit(1, statement_kind::begin, "BEGIN");
    c.submit(1, statement_kind::write, "WRITE a 1");
    const auto id = c.complete_open();
    c.succeed(id, transaction_state::open);
    c.succeed(id, transaction_state::open);
    c.submit(1, statement_kind::commit, "COMMIT");
    c.succeed(id, transaction_state::open);
    CHECK(c.replies.back().reply.error == error_kind::outcome_unknown);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
    CHECK(was_closed(id));
}

namespace
{

/// A host that prefers the host "first" for statements and runs them itself
/// when that host can't.
struct forwarded_transaction_case : pooler_case
{
    forwarded_transaction_case()
    {
        // Without a valid lease, the statement is forwarded.
        pool.set_plan("ledger", {2, {"first"}, {}});
        open_session(1, "cards");
        submit_forwarded(statement_kind::begin, "BEGIN");
    }

    void submit_forwarded(statement_kind kind, const std::string& text)
    {
        sql::statement statement;
        statement.kind = kind;
        statement.id = "q" + std::to_string(++last_id);
        statement.text = text;
        record(pool.on_statement(1, statement, now));
    }

    void record(const actions& new_actions)
    {
        for (const auto& action : new_actions)
            if (const auto* forward = std::get_if<forward_action>(&action))
                forwarded.push_back(*forward);
        apply(new_actions);
    }

    void reply(forwarded_reply answer)
    {
        record(pool.on_forwarded_reply(1, forwarded.back().operation,
                                       std::move(answer), now));
    }

    void run_first_statement()
    {
        submit_forwarded(statement_kind::write, "WRITE a 1");
        forwarded_reply answer;
        answer.reply.signature = "s";
        reply(answer);
        CHECK_FALSE(replies.back().reply.error.has_value());
    }

    std::vector<forward_action> forwarded;
};

forwarded_reply returned_statement()
{
    forwarded_reply answer;
    answer.reply.error = error_kind::unavailable;
    answer.reply.text = "the host is starting";
    answer.try_elsewhere = true;
    return answer;
}

} // namespace

TEST_GROUP(forwarded_transaction)
{
    forwarded_transaction_case c;
};

TEST(forwarded_transaction, a_lost_first_statement_aborts_it)
{
    c.submit_forwarded(statement_kind::write, "WRITE a 1");
    c.record(
        c.pool.on_forward_lost(1, c.forwarded.back().operation, true, c.now));
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    LONGS_EQUAL(1, c.forwarded.size());
}

TEST(forwarded_transaction, a_first_statement_that_was_not_sent_runs_elsewhere)
{
    c.pool.set_plan("ledger", {2, {"first", "second"}, {}});
    c.submit_forwarded(statement_kind::write, "WRITE a 1");
    c.record(
        c.pool.on_forward_lost(1, c.forwarded.back().operation, false, c.now));
    LONGS_EQUAL(2, c.forwarded.size());
    STRCMP_EQUAL("second", c.forwarded.back().host.c_str());
    CHECK(c.forwarded.back().work.part == transaction_part::first);
}

// Guards against a statement that runs outside its transaction: the host that
// ran the transaction had restarted, and returned the statement while it was
// starting.
TEST(forwarded_transaction, a_later_statement_that_its_host_returns_aborts_it)
{
    c.run_first_statement();
    c.pool.set_plan("ledger", {2, {}, {}});
    c.submit_forwarded(statement_kind::write, "WRITE b 1");
    c.reply(returned_statement());
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    LONGS_EQUAL(0, c.opened.size());
}

TEST(forwarded_transaction, a_commit_that_its_host_returns_is_not_sent_on)
{
    c.run_first_statement();
    c.pool.set_plan("ledger", {2, {"second"}, {}});
    c.submit_forwarded(statement_kind::commit, "COMMIT");
    c.reply(returned_statement());
    CHECK(c.replies.back().reply.error == error_kind::transaction_lost);
    CHECK(c.replies.back().reply.state == transaction_state::idle);
    LONGS_EQUAL(2, c.forwarded.size());
}

TEST_GROUP(shared_names){};

// Guards against a name of two words: the shape is the last field of its line
// and may contain blanks.
TEST(shared_names, a_shape_with_blanks_has_a_name_of_one_word)
{
    const auto name = shared_name({true, "a b"});
    CHECK(name.find(' ') == std::string::npos);
    CHECK(name != shared_name({true, "a%20b"}));
    CHECK(name != shared_name({true, "ab"}));
    STRCMP_EQUAL("w_q2c", shared_name({true, "q2c"}).c_str());
}

TEST_GROUP(remote_transaction)
{
    pooler_case c;
    std::vector<forwarded_reply> replies;

    void record(const actions& new_actions)
    {
        for (const auto& action : new_actions)
            if (const auto* reply =
                    std::get_if<forwarded_reply_action>(&action))
                replies.push_back(reply->reply);
        c.apply(new_actions);
    }
};

// Guards against a first statement that another host runs again although this
// host had sent it.
TEST(remote_transaction, a_host_that_lost_a_sent_statement_does_not_return_it)
{
    forwarded_work work;
    work.statement.kind = statement_kind::write;
    work.statement.id = "q1";
    work.statement.text = "WRITE a 1";
    work.route = c.pool.routing().routes.at("cards");
    work.part = transaction_part::first;
    work.time_left = millis(800);
    record(c.pool.run_forwarded("front/1", 1, work, c.now));
    const auto id = c.complete_open();
    c.succeed(id, transaction_state::open);
    STRCMP_EQUAL("WRITE a 1", c.last_command().text.c_str());
    record(c.pool.on_closed(id, c.now));
    LONGS_EQUAL(1, replies.size());
    CHECK(replies.back().reply.error == error_kind::transaction_lost);
    CHECK_FALSE(replies.back().try_elsewhere);
    CHECK_FALSE(replies.back().was_not_run);
    LONGS_EQUAL(0, c.pool.session_count());
}
