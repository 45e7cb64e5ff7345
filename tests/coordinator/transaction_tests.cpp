#include <support/fault_case.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;
using coordinator::request_kind;

namespace
{

/// An interactive transaction as a caller drives it, through any gateway.
class interactive
{
public:
    interactive(simulation& where, int gateway) : m_world(where)
    {
        auto begin = make_request({});
        begin.kind = request_kind::begin;
        m_handle = m_world.ask(gateway, begin).transaction;
    }

    coordinator::caller_reply
    execute(int gateway, std::vector<upstream::statement> statements)
    {
        auto request = make_request(std::move(statements));
        request.kind = request_kind::execute;
        request.transaction = m_handle;
        return m_world.ask(gateway, request);
    }

    coordinator::caller_reply end(int gateway, request_kind how,
                                  const std::string& id = "")
    {
        auto request = make_request({});
        request.kind = how;
        request.transaction = m_handle;
        request.id = id;
        return m_world.ask(gateway, request);
    }

    bool is_open() const { return !m_handle.empty(); }

private:
    simulation& m_world;
    std::string m_handle;
};

std::string read(simulation& fleet, const std::string& key)
{
    return value_of(fleet.ask(1, get(key)));
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
     [](simulation& w, int) {
         w.kill_host(0);
     }},
    {"the primary is killed",
     [](simulation& w, int primary) {
         w.kill_database(primary);
     }},
    {"the primary is frozen",
     [](simulation& w, int primary) {
         w.freeze_database(primary, true);
         w.run_for(core::millis(1500));
     }},
    {"the primary is cut off",
     [](simulation& w, int primary) {
         w.cut_replication(primary, true);
         w.run_for(core::millis(2500));
     }},
    {"the caller stays away until the idle bound",
     [](simulation& w, int) {
         w.run_for(core::millis(11'000));
     }},
};

} // namespace

TEST_GROUP(transactions){};

TEST(transactions, one_can_be_driven_through_any_gateway)
{
    auto fleet = ready_simulation();
    interactive one(fleet, 0);
    CHECK(one.is_open());
    CHECK(!one.execute(1, {{upstream::verb::put, "a", "1", 0}}).error);
    CHECK(!one.execute(0, {{upstream::verb::put, "b", "1", 0}}).error);
    STRCMP_EQUAL("", read(fleet, "a").c_str());
    CHECK(!one.end(1, request_kind::commit, "commit-1").error);
    STRCMP_EQUAL("1", read(fleet, "a").c_str());
    STRCMP_EQUAL("1", read(fleet, "b").c_str());
}

TEST(transactions, statements_of_two_never_mix)
{
    auto fleet = ready_simulation();
    interactive kept(fleet, 0);
    interactive dropped(fleet, 0);
    kept.execute(0, {{upstream::verb::put, "kept", "1", 0}});
    dropped.execute(0, {{upstream::verb::put, "dropped", "1", 0}});
    fleet.ask(0, put("other", "1", "id-1"));
    CHECK(!dropped.end(1, request_kind::rollback).error);
    CHECK(!kept.end(1, request_kind::commit).error);
    STRCMP_EQUAL("1", read(fleet, "kept").c_str());
    STRCMP_EQUAL("", read(fleet, "dropped").c_str());
    STRCMP_EQUAL("1", read(fleet, "other").c_str());
}

TEST(transactions, nothing_of_one_that_was_broken_off_is_kept)
{
    for (const auto& row : deaths)
    {
        auto fleet = ready_simulation();
        interactive one(fleet, 0);
        one.execute(0, {{upstream::verb::put, "half", "1", 0}});
        row.strike(fleet, *fleet.primary());
        const auto reply = one.end(1, request_kind::commit);
        // Without an id a commit that was sent into the fault stays unknown.
        CHECK_TEXT(reply.error.has_value(), row.name);
        fleet.heal();
        // Work that follows must not carry the broken transaction along.
        for (int i = 0; i < 20; ++i)
            CHECK_TEXT(
                !fleet.ask(i % 2, put("after", "1", "id-" + std::to_string(i)))
                     .error,
                row.name);
        STRCMP_EQUAL_TEXT("", read(fleet, "half").c_str(), row.name);
        LONGS_EQUAL_TEXT(0, open_sessions_in_transaction(fleet), row.name);
    }
}

TEST(transactions, a_failed_statement_ends_one_and_frees_its_connection)
{
    auto fleet = ready_simulation();
    fleet.ask(0, put("taken", "1", "id-1"));
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::put, "half", "1", 0}});
    const auto failed =
        one.execute(0, {{upstream::verb::put_if_absent, "taken", "2", 0}});
    CHECK(failed.error == core::error_kind::statement_failed);
    CHECK(one.end(0, request_kind::commit).error ==
          core::error_kind::transaction_lost);
    fleet.ask(0, put("after", "1", "id-2"));
    STRCMP_EQUAL("", read(fleet, "half").c_str());
}

TEST(transactions, a_lost_rollback_keeps_nothing)
{
    auto fleet = ready_simulation();
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::put, "half", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    one.end(0, request_kind::rollback);
    fleet.ask(0, put("after", "1", "id-2"));
    STRCMP_EQUAL("", read(fleet, "half").c_str());
}

TEST(transactions, a_lost_commit_with_an_id_is_settled)
{
    auto fleet = ready_simulation();
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    const auto reply = one.end(0, request_kind::commit, "commit-1");
    CHECK(!reply.error);
    CHECK(reply.replayed);
    STRCMP_EQUAL("1", read(fleet, "whole").c_str());
}

TEST(transactions, a_lost_commit_without_an_id_is_called_unknown)
{
    auto fleet = ready_simulation();
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.lose_next_answer(*fleet.primary());
    CHECK(one.end(0, request_kind::commit).error ==
          core::error_kind::outcome_unknown);
}

TEST(transactions, a_commit_asked_again_after_the_coordinator_died_is_settled)
{
    auto fleet = ready_simulation();
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::put, "whole", "1", 0}});
    fleet.kill_host(0);
    const auto reply = one.end(1, request_kind::commit, "commit-1");
    CHECK(reply.error == core::error_kind::transaction_lost);
    // The id is void now: a late copy of the commit can't run any more.
    STRCMP_EQUAL("", read(fleet, "whole").c_str());
}

TEST(transactions, a_conflict_is_refused_and_nothing_is_kept)
{
    auto fleet = ready_simulation();
    fleet.ask(0, put("stock", "1", "id-0"));
    interactive one(fleet, 0);
    one.execute(0, {{upstream::verb::get, "stock", "", 0}});
    fleet.ask(0, put("stock", "0", "id-1"));
    one.execute(0, {{upstream::verb::put, "promised", "1", 0}});
    CHECK(one.end(0, request_kind::commit).error == core::error_kind::conflict);
    STRCMP_EQUAL("", read(fleet, "promised").c_str());
}

TEST(transactions, another_tenant_cannot_use_a_handle)
{
    auto fleet = ready_simulation();
    auto begin = make_request({});
    begin.kind = request_kind::begin;
    const auto handle = fleet.ask(0, begin).transaction;
    auto foreign = make_request({{upstream::verb::put, "a", "1", 0}});
    foreign.kind = request_kind::execute;
    foreign.transaction = handle;
    foreign.tenant = "somebody else";
    CHECK(fleet.ask(0, foreign).error == core::error_kind::transaction_lost);
}
