#include <support/pooler_case.hpp>

#include <plantainward/pooling/placement.hpp>

using namespace support;

/// A service whose connections are divided among a few hosts, with the primary
/// "p" and the replicas "near" and "far"; this host is in domain "a".
TEST_GROUP(placement)
{
    const boot_instant now{std::chrono::seconds(100)};
    service_view service;
    work read;
    session caller;

    void setup() override
    {
        service.plan.is_shared = true;
        add("p", "a");
        add("near", "a");
        add("far", "b");
        service.set_primary("p", now + millis(10'000), now);
        service.watermarks.add({now - millis(100), {1, 5}});
        read.route.max_age = millis(1500);
        read.route.consistency = routes::read_consistency::bounded_age;
        read.received = now;
        caller.id = 1;
    }

    void add(const std::string& id, const std::string& domain)
    {
        const routes::upstream registration{id,    "ledger",  {id, 1}, domain,
                                            false, id == "p", 1};
        auto& pool =
            service.upstreams.try_emplace(id, registration, millis(5000))
                .first->second;
        pool.set_share(20);
        pool.load().start(now - millis(5000));
        pool.load().record_success(millis(15), now);
        pool.update_known_point({1, 9});
    }

    void run_statements(const std::string& id, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto number = static_cast<connection_id>(m_last_id) + 1;
            ++m_last_id;
            service.upstreams.at(id).add(number, {}, now).stage =
                connection_stage::running;
        }
    }

    void report(const std::string& id, std::size_t in_flight)
    {
        service.upstreams.at(id).reports().add("other", in_flight, now);
    }

    std::string chosen()
    {
        const auto result = place(service, read, caller, "a", now);
        return result ? result->upstream : "none";
    }

    int m_last_id = 0;
};

TEST(placement, reads_stay_in_the_own_domain_and_leave_a_busy_primary_alone)
{
    // Failure: a read was sent to the primary, where only writes can run, or
    // to another failure domain, for one statement in flight at the replica.
    run_statements("near", 1);
    run_statements("p", 2);
    STRCMP_EQUAL("near", chosen().c_str());
}

TEST(placement, reads_use_an_idle_primary_when_the_replica_is_busy)
{
    run_statements("near", 3);
    report("near", 3);
    report("p", 0);
    STRCMP_EQUAL("p", chosen().c_str());
}

TEST(placement, reads_avoid_a_primary_whose_writes_other_holders_report)
{
    // Failure: this host has no writes in flight, so the primary looked idle.
    run_statements("near", 2);
    report("near", 2);
    report("p", 6);
    STRCMP_EQUAL("near", chosen().c_str());
}

TEST(placement, reads_go_to_another_domain_when_the_own_one_lags)
{
    run_statements("p", 3);
    service.upstreams.at("near").record_missing_point({1, 5}, now);
    STRCMP_EQUAL("far", chosen().c_str());
}

TEST(placement, reads_go_to_another_domain_when_the_own_one_is_overloaded)
{
    run_statements("near", 12);
    run_statements("p", 12);
    STRCMP_EQUAL("far", chosen().c_str());
}

TEST(placement, an_ejected_database_gets_no_reads)
{
    run_statements("p", 3);
    service.ejected.record_success("far", now);
    for (int i = 0; i < 5; ++i)
        service.ejected.record_failure("near", 3, now);
    STRCMP_EQUAL("far", chosen().c_str());
}

TEST(placement, reads_that_need_different_points_do_not_reach_a_lagging_replica)
{
    // Failure: a refusal of a later point hid that of an earlier one, so reads
    // of both kinds alternated at a replica that lagged every time: 300 tries
    // in two seconds.
    auto& pool = service.upstreams.at("near");
    auto at = now;
    int tries = 0;
    for (int i = 0; i < 600; ++i, at += millis(3))
        for (const std::uint64_t position : {50, 90, 50})
        {
            const upstream::log_point point{
                1, position + static_cast<std::uint64_t>(i)};
            if (pool.is_behind(point, at))
                continue;
            ++tries;
            pool.note_point_required(point, at);
            pool.record_missing_point(point, at + millis(1));
        }
    CHECK(tries >= 3);
    CHECK(tries <= 10);
}

TEST(placement, one_read_at_a_time_tries_a_replica_that_lagged)
{
    // Failure: after the pause, all waiting reads were sent before the first
    // was answered.
    auto& pool = service.upstreams.at("near");
    pool.record_missing_point({1, 5}, now);
    const auto later = now + millis(100);
    CHECK_FALSE(pool.is_behind({1, 5}, later));
    pool.note_point_required({1, 5}, later);
    CHECK(pool.is_behind({1, 5}, later));
    pool.clear_missing_point({1, 4});
    CHECK(pool.is_behind({1, 5}, later));
    pool.clear_missing_point({1, 5});
    CHECK_FALSE(pool.is_behind({1, 5}, later));
}
