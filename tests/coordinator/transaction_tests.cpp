#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;
using coordinator::request_kind;

namespace
{

/// An interactive transaction, driven by a caller through any gateway.
class interactive_transaction
{
public:
    interactive_transaction(simulation& simulated, int gateway)
        : m_simulation(simulated)
    {
        auto begin = make_request({});
        begin.kind = request_kind::begin;
        m_handle = m_simulation.send_and_wait(gateway, begin).transaction;
    }

    coordinator::caller_reply
    execute(int gateway, std::vector<upstream::statement> statements)
    {
        auto request = make_request(std::move(statements));
        request.kind = request_kind::execute;
        request.transaction = m_handle;
        return m_simulation.send_and_wait(gateway, request);
    }

    coordinator::caller_reply end(int gateway, request_kind kind,
                                  const std::string& id = "")
    {
        auto request = make_request({});
        request.kind = kind;
        request.transaction = m_handle;
        request.id = id;
        return m_simulation.send_and_wait(gateway, request);
    }

    bool is_open() const { return !m_handle.empty(); }

private:
    simulation& m_simulation;
    std::string m_handle;
};

std::string read(simulation& fleet, const std::string& key)
{
    return value_of(fleet.send_and_wait(1, get(key)));
}

std::size_t open_sessions_in_transaction(simulation& fleet)
{
    return fleet.coordinator_at(0).is_busy() ||
                   fleet.coordinator_at(1).is_busy()
               ? 1
               : 0;
}

const std::vector<fault_case> deaths{
    {"the coordinator dies",
     [](simulation& fleet, int) {
         fleet.kill_host(0);
     }},
    {"the primary is killed",
     [](simulation& fleet, int primary) {
         fleet.kill_database(primary);
     }},
    {"the primary is frozen",
     [](simulation& fleet, int primary) {
         fleet.freeze_database(primary, true);
         fleet.run_for(core::millis(1500));
     }},
    {"the primary is cut off",
     [](simulation& fleet, int primary) {
         fleet.cut_replication(primary, true);
         fleet.run_for(core::millis(2500));
     }},
    {"the caller sends nothing until the idle time-out",
     [](simulation& fleet, int) {
         fleet.run_for(core::millis(11'000));
     }},
};

} // namespace

// Guards against a transaction that is kept in part after a fault, or whose
// statements end up in another one.
TEST_GROUP(transactions){};

TEST(transactions, a_transaction_can_be_driven_through_any_gateway)
{
    auto fleet = ready_simulation();
    interactive_transaction transaction(fleet, 0);
    CHECK(transaction.is_open());
    CHECK(!transaction.execute(1, {{upstream::verb::put, "a", "1", 0}}).error);
    CHECK(!transaction.execute(0, {{upstream::verb::put, "b", "1", 0}}).error);
    STRCMP_EQUAL("", read(fleet, "a").c_str());
    CHECK(!transaction.end(1, request_kind::commit, "commit-1").error);
    STRCMP_EQUAL("1", read(fleet, "a").c_str());
    STRCMP_EQUAL("1", read(fleet, "b").c_str());
}

TEST(transactions, statements_of_two_transactions_never_mix)
{
    auto fleet = ready_simulation();
    interactive_transaction kept(fleet, 0);
    interactive_transaction dropped(fleet, 0);
    kept.execute(0, {{upstream::verb::put, "kept", "1", 0}});
    dropped.execute(0, {{upstream::verb::put, "dropped", "1", 0}});
    fleet.send_and_wait(0, put("other", "1", "id-1"));
    CHECK(!dropped.end(1, request_kind::rollback).error);
    CHECK(!kept.end(1, request_kind::commit).error);
    STRCMP_EQUAL("1", read(fleet, "kept").c_str());
    STRCMP_EQUAL("", read(fleet, "dropped").c_str());
    STRCMP_EQUAL("1", read(fleet, "other").c_str());
}

TEST(transactions, nothing_of_an_aborted_transaction_is_kept)
{
    for (const auto& row : deaths)
    {
        auto fleet = ready_simulation();
        interactive_transaction transaction(fleet, 0);
        transaction.execute(0, {{upstream::verb::put, "half", "1", 0}});
        row.inject(fleet, *fleet.primary());
        const auto reply = transaction.end(1, request_kind::commit);
        // The commit has no id, so it can't be repeated: it fails, perhaps with
        // an unknown outcome.
        CHECK_TEXT(reply.error.has_value(), row.name);
        fleet.heal();
        // Later requests must not commit the broken transaction with them.
        for (int i = 0; i < 20; ++i)
            CHECK_TEXT(
                !fleet
                     .send_and_wait(
                         i % 2, put("after", "1", "id-" + std::to_string(i)))
                     .error,
                row.name);
        STRCMP_EQUAL_TEXT("", read(fleet, "half").c_str(), row.name);
        LONGS_EQUAL_TEXT(0, open_sessions_in_transaction(fleet), row.name);
    }
}

TEST(transactions,
     a_failed_statement_ends_the_transaction_and_frees_its_connection)
{
    auto fleet = ready_simulation();
    fleet.send_and_wait(0, put("taken", "1", "id-1"));
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::put, "half", "1", 0}});
    const auto failed = transaction.execute(
        0, {{upstream::verb::put_if_absent, "taken", "2", 0}});
    CHECK(failed.error == core::error_kind::statement_failed);
    CHECK(transaction.end(0, request_kind::commit).error ==
          core::error_kind::transaction_lost);
    fleet.send_and_wait(0, put("after", "1", "id-2"));
    STRCMP_EQUAL("", read(fleet, "half").c_str());
}

TEST(transactions, a_lost_rollback_keeps_nothing)
{
    auto fleet = ready_simulation();
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::put, "half", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    transaction.end(0, request_kind::rollback);
    fleet.send_and_wait(0, put("after", "1", "id-2"));
    STRCMP_EQUAL("", read(fleet, "half").c_str());
}

TEST(transactions, a_lost_commit_with_an_id_is_settled)
{
    auto fleet = ready_simulation();
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    const auto reply = transaction.end(0, request_kind::commit, "commit-1");
    CHECK(!reply.error);
    CHECK(reply.replayed);
    STRCMP_EQUAL("1", read(fleet, "whole").c_str());
}

TEST(transactions, a_lost_commit_without_an_id_is_reported_as_unknown)
{
    auto fleet = ready_simulation();
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    CHECK(transaction.end(0, request_kind::commit).error ==
          core::error_kind::outcome_unknown);
}

TEST(transactions, a_commit_repeated_after_the_coordinator_died_is_settled)
{
    auto fleet = ready_simulation();
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.kill_host(0);
    const auto reply = transaction.end(1, request_kind::commit, "commit-1");
    CHECK(reply.error == core::error_kind::transaction_lost);
    // The id is void now, so a late copy of the commit can't run any more.
    STRCMP_EQUAL("", read(fleet, "whole").c_str());
}

TEST(transactions, a_conflict_is_refused_and_nothing_is_kept)
{
    auto fleet = ready_simulation();
    fleet.send_and_wait(0, put("stock", "1", "id-0"));
    interactive_transaction transaction(fleet, 0);
    transaction.execute(0, {{upstream::verb::get, "stock", "", 0}});
    fleet.send_and_wait(0, put("stock", "0", "id-1"));
    transaction.execute(0, {{upstream::verb::put, "promised", "1", 0}});
    CHECK(transaction.end(0, request_kind::commit).error ==
          core::error_kind::conflict);
    STRCMP_EQUAL("", read(fleet, "promised").c_str());
}

TEST(transactions, another_tenant_cannot_use_a_handle)
{
    auto fleet = ready_simulation();
    auto begin = make_request({});
    begin.kind = request_kind::begin;
    const auto handle = fleet.send_and_wait(0, begin).transaction;
    auto foreign = make_request({{upstream::verb::put, "a", "1", 0}});
    foreign.kind = request_kind::execute;
    foreign.transaction = handle;
    foreign.tenant = "somebody else";
    CHECK(fleet.send_and_wait(0, foreign).error ==
          core::error_kind::transaction_lost);
}
