// Requests whose text is not part of the protocol.

#include <support/pooler_case.hpp>

using namespace support;

TEST_GROUP(malformed_request)
{
    pooler_case world;
};

TEST(malformed_request, the_answer_reports_the_state_of_the_session)
{
    // Guards against this: a caller took its transaction for ended, and its
    // next write ran inside it.
    const auto connection =
        world.begin_with(statement_kind::write, "WRITE a 1");
    world.replies.clear();
    world.submit(1, statement_kind::malformed, {}, {}, "unknown statement");
    LONGS_EQUAL(1, world.replies.size());
    CHECK(world.replies[0].reply.error == error_kind::bad_request);
    CHECK(world.replies[0].reply.state == transaction_state::open);
    world.submit(1, statement_kind::commit, "COMMIT");
    LONGS_EQUAL(connection, world.sent.back().connection);
}

TEST(malformed_request, it_is_answered_after_the_statement_before_it)
{
    // Guards against this: its error was taken for the answer to that
    // statement.
    world.open_session(1, "cards");
    world.submit(1, statement_kind::read, "READ a");
    const auto connection = world.complete_open();
    world.submit(1, statement_kind::malformed, {}, {}, "unknown statement");
    LONGS_EQUAL(0, world.replies.size());
    world.succeed(connection);
    LONGS_EQUAL(2, world.replies.size());
    CHECK_FALSE(world.replies[0].reply.error.has_value());
    CHECK(world.replies[1].reply.error == error_kind::bad_request);
}
