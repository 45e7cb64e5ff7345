#include <soak/checker.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace soak;

namespace
{

/// Builds a history of one service on two hosts; times in milliseconds.
class history_builder
{
public:
    history_builder()
    {
        m_history.host_names = {"front-a", "front-b"};
        add_version(1, 0, {{"cards", {"s", "primary", 0, 800}}});
    }

    void add_version(std::uint64_t version, std::int64_t at_ms,
                     std::map<std::string, route> routes)
    {
        m_history.configurations.push_back(
            {version, std::move(routes), from_ms(at_ms), from_ms(at_ms)});
    }

    request& ask(const std::string& id, const std::string& text,
                 std::int64_t at_ms, std::uint64_t transaction = 0)
    {
        request asked;
        asked.id = id;
        asked.text = text;
        asked.incarnation = 1;
        asked.database = "cards";
        asked.transaction = transaction;
        asked.attempt =
            transaction == 0 ? ++m_last_attempt : 1000 + transaction;
        asked.sent = from_ms(at_ms);
        m_history.requests.push_back(asked);
        return m_history.requests.back();
    }

    run& serve(const std::string& id, const std::string& text,
               std::int64_t at_ms, std::uint64_t connection = 1,
               std::uint64_t transaction = 0)
    {
        run item;
        item.service = "s";
        item.database = "db-0";
        item.connection = connection;
        item.sender = "front-a";
        item.transaction = transaction;
        item.id = id;
        item.text = text;
        item.arrived = item.started = from_ms(at_ms);
        item.ended = from_ms(at_ms + 5);
        item.signature = "sig-" + id;
        m_history.runs.push_back(item);
        return m_history.runs.back();
    }

    /// A request that is run and answered.
    void exchange(const std::string& id, const std::string& text,
                  std::int64_t at_ms, std::uint64_t connection = 1,
                  std::uint64_t transaction = 0,
                  std::uint64_t caller_transaction = 0)
    {
        auto& asked = ask(id, text, at_ms, caller_transaction);
        asked.answered = from_ms(at_ms + 10);
        asked.signature = "sig-" + id;
        serve(id, text, at_ms + 1, connection, transaction);
    }

    void begin(const std::string& id, std::int64_t at_ms,
               std::uint64_t transaction)
    {
        auto& asked = ask(id, "BEGIN", at_ms, transaction);
        asked.answered = from_ms(at_ms + 1);
        asked.signature = "-";
    }

    void add_commit(const std::string& id, std::vector<std::string> writes,
                    std::int64_t at_ms)
    {
        commit entry;
        entry.service = "s";
        entry.database = "db-0";
        entry.term = 1;
        entry.parent = m_history.commits.size();
        entry.number = m_history.commits.size() + 1;
        entry.id = id;
        entry.writes = std::move(writes);
        entry.at = from_ms(at_ms);
        entry.is_kept = true;
        m_history.commits.push_back(entry);
    }

    history& events() { return m_history; }

    std::size_t count(const std::string& rule) const
    {
        for (const auto& found : checker(m_history).check())
            if (found.rule == rule)
                return found.count;
        return 0;
    }

    std::size_t broken() const
    {
        const auto findings = checker(m_history).check();
        return static_cast<std::size_t>(
            std::count_if(findings.begin(), findings.end(),
                          [](const finding& f) { return f.is_broken_rule; }));
    }

private:
    history m_history;
    std::uint64_t m_last_attempt{0};
};

} // namespace

TEST_GROUP(soak_checker)
{
    history_builder built;

    // Two writes in a transaction, and its commit.
    void add_transaction()
    {
        built.begin("b", 100, 1);
        built.exchange("w1", "WRITE a x", 110, 5, 9, 1);
        built.exchange("w2", "WRITE b x", 130, 5, 9, 1);
        built.exchange("c", "COMMIT", 150, 5, 9, 1);
        built.add_commit("c", {"w1", "w2"}, 155);
    }
};

TEST(soak_checker, a_clean_history_passes)
{
    add_transaction();
    built.exchange("r1", "READ a", 300);
    built.events().runs.back().log_end = 1;
    LONGS_EQUAL(0, built.broken());
}

TEST(soak_checker, an_id_that_no_caller_sent_is_unasked)
{
    built.serve("x", "READ a", 10);
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, a_changed_text_is_unasked)
{
    built.ask("r1", "READ a", 10);
    built.serve("r1", "READ b", 11);
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, a_line_that_was_sent_in_part_is_unasked)
{
    built.ask("r1", "READ abc", 10).is_whole = false;
    built.serve("r1", "READ abc", 11);
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, a_write_of_the_systems_own_is_unasked)
{
    built.serve("-", "WRITE a x", 10);
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, after_before_a_write_is_unasked)
{
    built.ask("w1", "WRITE a x", 10);
    built.serve("w1", "WRITE a x", 11).after = "1.1";
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, a_commit_before_its_request_is_unasked)
{
    built.begin("b", 100, 1);
    built.exchange("w1", "WRITE a x", 110, 5, 9, 1);
    built.serve("-", "COMMIT", 130, 5, 9);
    LONGS_EQUAL(1, built.count("UNASKED"));
}

TEST(soak_checker, a_prepared_name_may_be_renamed)
{
    auto& asked = built.ask("e1", "EXECUTE s1 a", 10);
    asked.shape = "READ q1";
    built.serve("e1", "EXECUTE p77 a", 11).shape = "READ q1";
    LONGS_EQUAL(0, built.broken());
}

TEST(soak_checker, another_shape_breaks_pinned)
{
    built.ask("e1", "EXECUTE s1 a", 10).shape = "READ q1";
    built.serve("e1", "EXECUTE s1 a", 11).shape = "READ q2";
    LONGS_EQUAL(1, built.count("PINNED"));
}

TEST(soak_checker, other_session_values_break_pinned)
{
    built.ask("r1", "READ a", 10);
    built.serve("r1", "READ a", 11).values = {{"tenant", "v1"}};
    built.ask("r2", "READ a", 20).values = {{"tenant", "v1"}};
    built.serve("r2", "READ a", 21);
    LONGS_EQUAL(2, built.count("PINNED"));
}

TEST(soak_checker, a_value_whose_answer_is_outstanding_may_be_set_or_not)
{
    built.ask("r1", "READ a", 10).unanswered_values = {{"tenant", "v1"}};
    built.serve("r1", "READ a", 11).values = {{"tenant", "v1"}};
    built.ask("r2", "READ a", 20).unanswered_values = {{"tenant", "v1"}};
    built.serve("r2", "READ a", 21);
    LONGS_EQUAL(0, built.broken());
}

TEST(soak_checker, a_statement_outside_its_transaction_breaks_pinned)
{
    built.begin("b", 100, 1);
    built.exchange("w1", "WRITE a x", 110, 5, 9, 1);
    built.exchange("w2", "WRITE b x", 130, 5, 0, 1);
    LONGS_EQUAL(1, built.count("PINNED"));
}

TEST(soak_checker, a_single_statement_in_a_transaction_breaks_pinned)
{
    built.begin("b", 100, 1);
    built.exchange("w1", "WRITE a x", 110, 5, 9, 1);
    built.exchange("r1", "READ a", 130, 5, 9);
    CHECK(built.count("PINNED") >= 1);
}

TEST(soak_checker, a_second_connection_breaks_pinned)
{
    built.begin("b", 100, 1);
    built.exchange("w1", "WRITE a x", 110, 5, 9, 1);
    built.exchange("w2", "WRITE b x", 130, 6, 10, 1);
    LONGS_EQUAL(1, built.count("PINNED"));
}

TEST(soak_checker, a_first_statement_that_ran_twice_is_counted_apart)
{
    built.begin("b", 100, 1);
    built.ask("w1", "WRITE a x", 110, 1);
    built.serve("w1", "WRITE a x", 111, 5, 9);
    built.serve("w1", "WRITE a x", 140, 6, 10);
    built.exchange("w2", "WRITE b x", 160, 6, 10, 1);
    LONGS_EQUAL(1, built.count("PINNED (first statement ran twice)"));
    LONGS_EQUAL(1,
                built.count("PINNED (after a first statement that ran twice)"));
    LONGS_EQUAL(0, built.count("PINNED"));
    const std::string both_open =
        "PINNED (first statement ran twice, both open)";
    LONGS_EQUAL(1, built.count(both_open));
    built.events().transaction_ends[9] = from_ms(130);
    LONGS_EQUAL(0, built.count(both_open));
}

TEST(soak_checker, an_answer_without_a_run_breaks_mixed)
{
    auto& asked = built.ask("r1", "READ a", 10);
    asked.answered = from_ms(20);
    asked.signature = "made-up";
    built.serve("r1", "READ a", 11);
    LONGS_EQUAL(1, built.count("MIXED"));
}

TEST(soak_checker, rows_of_another_answer_break_mixed)
{
    built.exchange("r1", "READ a", 10);
    built.events().requests.back().rows = {"other"};
    LONGS_EQUAL(1, built.count("MIXED"));
}

TEST(soak_checker, a_write_with_two_effects_breaks_twice)
{
    built.exchange("w1", "WRITE a x", 10);
    built.add_commit("w1", {"w1"}, 12);
    built.add_commit("w1", {"w1"}, 14);
    LONGS_EQUAL(1, built.count("TWICE"));
}

TEST(soak_checker, a_kept_write_after_a_promise_breaks_refused)
{
    auto& asked = built.ask("w1", "WRITE a x", 10);
    asked.answered = from_ms(20);
    asked.code = "BUSY";
    built.serve("w1", "WRITE a x", 11);
    built.add_commit("w1", {"w1"}, 12);
    LONGS_EQUAL(1, built.count("REFUSED"));
}

TEST(soak_checker, a_service_that_was_never_allowed_breaks_route)
{
    built.ask("r1", "READ a", 10);
    built.serve("r1", "READ a", 11).service = "other";
    LONGS_EQUAL(1, built.count("ROUTE"));
}

TEST(soak_checker, the_old_service_after_the_bound_breaks_config)
{
    built.add_version(2, 1000, {{"cards", {"t", "primary", 0, 800}}});
    built.ask("r1", "READ a", 3900);
    built.serve("r1", "READ a", 3901);
    LONGS_EQUAL(0, built.count("CONFIG"));
    built.ask("r2", "READ a", 4001);
    built.serve("r2", "READ a", 4002);
    LONGS_EQUAL(1, built.count("CONFIG"));
}

TEST(soak_checker, a_machine_that_was_not_in_touch_may_be_late)
{
    built.add_version(2, 1000, {{"cards", {"t", "primary", 0, 800}}});
    built.events().disruptions.push_back(
        {0, "freeze", from_ms(3000), from_ms(3500)});
    built.ask("r1", "READ a", 4001);
    built.serve("r1", "READ a", 4002);
    LONGS_EQUAL(0, built.broken());
}

TEST(soak_checker, a_host_that_goes_back_breaks_config)
{
    built.add_version(2, 1000, {{"cards", {"t", "primary", 0, 800}}});
    built.ask("r1", "READ a", 1100);
    built.serve("r1", "READ a", 1101).service = "t";
    built.ask("r2", "READ a", 1400);
    built.serve("r2", "READ a", 1401);
    LONGS_EQUAL(1, built.count("CONFIG"));
}

TEST(soak_checker, a_name_that_is_there_and_refused_late_breaks_config)
{
    opening refused;
    refused.database = "cards";
    refused.sent = from_ms(3001);
    refused.answered = from_ms(3002);
    refused.code = "NODB";
    built.events().openings.push_back(refused);
    LONGS_EQUAL(1, built.count("CONFIG"));
}

TEST(soak_checker, a_read_that_lacks_an_acknowledged_commit_breaks_stale)
{
    built.exchange("w1", "WRITE a x", 10);
    built.add_commit("w1", {"w1"}, 12);
    built.exchange("r1", "READ a", 100);
    LONGS_EQUAL(1, built.count("STALE"));
}

TEST(soak_checker, a_message_without_a_request_breaks_mixed)
{
    built.events().stray_messages.push_back({1, 10, "ROW x"});
    built.events().stray_messages.push_back({1, 11, "ERROR BUSY"});
    LONGS_EQUAL(1, built.count("MIXED"));
}
