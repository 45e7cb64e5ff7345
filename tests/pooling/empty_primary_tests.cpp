// A primary that has started again with an empty log, under the same id, while
// the hosts still take it for the primary.

#include <support/pooler_case.hpp>

using namespace support;

namespace
{

constexpr upstream::log_point empty_log{1, 0};

struct empty_primary_case : pooler_case
{
    connection_id complete_open_of_empty_log()
    {
        const auto id = opened.back().connection;
        apply(pool.on_opened(id, empty_log, now));
        return id;
    }

    void read_on(const std::string& database)
    {
        open_session(1, database);
        submit(1, statement_kind::read, "READ k");
    }

    void succeed_empty(connection_id id,
                       transaction_state state = transaction_state::idle)
    {
        succeed(id, state, empty_log.position);
    }

    /// A database that does not lead refuses to begin, and then has nothing to
    /// roll back.
    void refuse_to_lead(connection_id id)
    {
        fail(id, refusal::read_only);
        fail(id, refusal::malformed);
    }

    std::size_t count_sent(command_kind kind) const
    {
        std::size_t count = 0;
        for (const auto& batch : sent)
            for (const auto& command : batch.commands)
                count += command.kind == kind ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_GROUP(empty_primary)
{
    empty_primary_case c;
};

// Failure: reads ran on the empty log of a primary that had started again.
TEST(empty_primary, gets_no_read_while_it_does_not_lead)
{
    c.read_on("cards");
    const auto id = c.complete_open_of_empty_log();
    LONGS_EQUAL(0, c.count_sent(command_kind::run));
    c.refuse_to_lead(id);
    LONGS_EQUAL(0, c.count_sent(command_kind::run));
    CHECK(c.replies.empty());
    CHECK(c.closed.empty());
}

// Failure: the same for the first statement of a transaction.
TEST(empty_primary, gets_no_read_only_transaction_while_it_does_not_lead)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::begin_read_only, "BEGIN READ");
    c.submit(1, statement_kind::read, "READ k");
    const auto id = c.complete_open_of_empty_log();
    c.refuse_to_lead(id);
    c.succeed_empty(id, transaction_state::open);
    LONGS_EQUAL(0, c.count_sent(command_kind::run));
    CHECK(c.last_command().kind == command_kind::rollback);
}

// Guards new deployments, whose logs are all empty.
TEST(empty_primary, gets_reads_once_it_has_shown_that_it_leads)
{
    c.read_on("cards");
    const auto id = c.complete_open_of_empty_log();
    c.succeed_empty(id, transaction_state::open);
    c.succeed_empty(id);
    CHECK(c.last_command().text == "READ k");
    c.succeed_empty(id);
    CHECK_FALSE(c.replies.back().reply.error.has_value());
    c.submit(1, statement_kind::read, "READ k");
    CHECK(c.last_command().text == "READ k");
    LONGS_EQUAL(1, c.count_sent(command_kind::begin));
}

TEST(empty_primary, is_not_asked_whether_it_leads_when_it_has_a_log)
{
    c.read_on("cards");
    c.complete_open();
    CHECK(c.last_command().text == "READ k");
    LONGS_EQUAL(0, c.count_sent(command_kind::begin));
}

TEST(empty_primary, is_not_asked_whether_it_leads_before_a_write)
{
    c.open_session(1, "cards");
    c.submit(1, statement_kind::write, "WRITE k 1");
    c.complete_open_of_empty_log();
    CHECK(c.last_command().text == "WRITE k 1");
}

// Failure: the empty log's end became the log point that replicas must have.
TEST(empty_primary, gives_no_watermark_while_it_does_not_lead)
{
    for (int i = 0; i < 20; ++i)
    {
        c.now += millis(200);
        const auto opened_before = c.opened.size();
        const auto sent_before = c.sent.size();
        c.apply(c.pool.tick(c.now));
        for (auto next = opened_before; next < c.opened.size(); ++next)
            c.apply(
                c.pool.on_opened(c.opened[next].connection, empty_log, c.now));
        for (auto next = sent_before; next < c.sent.size(); ++next)
        {
            const auto batch = c.sent[next];
            if (batch.commands.front().kind == command_kind::begin)
                c.refuse_to_lead(batch.connection);
            else
                c.succeed_empty(batch.connection);
        }
    }
    CHECK(c.count_sent(command_kind::begin) > 0);
    CHECK_FALSE(c.pool.newest_watermark("ledger").has_value());
}

// The read was placed at a replica, which became the primary before it was
// sent.
TEST(empty_primary, gives_no_watermark_when_it_was_a_replica_just_before)
{
    c.pool.add_watermark("ledger", {c.now, {1, 0}});
    c.pool.set_primary("ledger", {}, {}, c.now);
    c.open_session(1, "specs");
    c.submit(1, statement_kind::set_value, "SET v 1", "v", "1");
    c.submit(1, statement_kind::read, "READ k");
    const auto id = c.complete_open_of_empty_log();
    const auto upstream = c.opened.back().upstream.id;
    c.now += millis(10);
    c.pool.set_primary("ledger", upstream, c.now + millis(1000), c.now);
    c.succeed_empty(id);
    CHECK(c.last_command().text == "READ k");
    c.now += millis(10);
    c.succeed_empty(id);
    CHECK(c.pool.newest_watermark("ledger")->since < c.now - millis(15));
}

TEST(empty_primary, gives_a_watermark_once_it_has_shown_that_it_leads)
{
    c.read_on("cards");
    const auto id = c.complete_open_of_empty_log();
    c.succeed_empty(id, transaction_state::open);
    c.succeed_empty(id);
    c.succeed_empty(id);
    CHECK(c.pool.newest_watermark("ledger").has_value());
}
