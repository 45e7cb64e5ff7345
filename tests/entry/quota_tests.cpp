#include <plantainward/quota/quota_bounds.hpp>
#include <support/fleet_world.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

constexpr routes::quota_limit limit{60, 60};

/// Hosts in three failure domains, of which all vote.
struct limited_world : fleet_world
{
    explicit limited_world(std::uint64_t seed) : fleet_world(6, seed, 60, 3)
    {
        run_for(millis(3000));
        set_quota(limit);
        run_for(millis(3000));
    }

    std::vector<std::string> owners() const
    {
        quota::voter_domains voters;
        for (std::size_t i = 0; i < host_count(); ++i)
            voters[host_name(i)] =
                std::string(1, static_cast<char>('a' + i % 3));
        return quota::quota_owners(voters, "shop");
    }

    /// Largest number of operations that started in one window.
    std::size_t most_in_window()
    {
        std::vector<boot_instant> starts;
        for (const auto& [id, at] : history().started)
            starts.push_back(at);
        std::sort(starts.begin(), starts.end());
        std::size_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first)
        {
            const auto end =
                std::upper_bound(first, starts.end(), *first + millis(5000));
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    std::size_t started_in(millis time)
    {
        const auto before = history().started.size();
        run_for(time);
        return history().started.size() - before;
    }
};

void check_bound(limited_world& world)
{
    CHECK(static_cast<double>(world.most_in_window()) <=
          quota::max_operations(limit, {}));
    CHECK(world.history().faults.empty());
}

} // namespace

TEST_GROUP(quota){};

// Guards against tokens that never reach a statement, and against statements
// that run without one.
TEST(quota, a_fleet_above_its_limit_runs_the_limit)
{
    limited_world world(1);
    world.start_load(millis(4));
    world.run_for(millis(10'000));
    const auto started = world.started_in(millis(10'000));
    CHECK(started >= 540);
    CHECK(static_cast<double>(started) <= 2 * quota::max_operations(limit, {}));
    CHECK(world.history().over_quota > 1000);
    check_bound(world);
}

// Guards against an owner that grants its burst again after a restart, and
// against operations that fail below the limit while it is away.
TEST(quota, an_owner_that_is_killed_and_restarted_keeps_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        limited_world world(seed);
        const auto owner = world.owners().at(seed % 3);
        world.start_load(millis(4));
        world.run_for(millis(8000));
        for (int i = 0; i < 3; ++i)
        {
            world.restart(owner);
            world.run_for(millis(1700));
        }
        world.stop(owner);
        world.run_for(millis(1000));
        // Two thirds of the limit are left.
        CHECK(world.started_in(millis(5000)) >= 180);
        world.restart(owner);
        world.run_for(millis(5000));
        CHECK(world.started_in(millis(5000)) >= 270);
        world.freeze(owner, millis(3000));
        world.run_for(millis(8000));
        check_bound(world);
    }
}

// Guards against refusals below the limit.
TEST(quota, a_calm_fleet_is_not_refused_while_an_owner_is_away)
{
    limited_world world(4);
    const auto owner = world.owners().front();
    world.start_load(millis(33));
    world.run_for(millis(10'000));
    CHECK_EQUAL(0, world.history().over_quota);
    world.stop(owner);
    world.run_for(millis(10'000));
    CHECK_EQUAL(0, world.history().over_quota);
    check_bound(world);
}

// Guards against a cost for deployments without workspaces.
TEST(quota, hosts_without_workspaces_request_no_tokens)
{
    fleet_world world(6, 1, 60, 3);
    world.run_for(millis(3000));
    world.start_load(millis(10));
    world.run_for(millis(3000));
    CHECK_EQUAL(0, world.history().token_requests);
    CHECK(world.history().served > 200);
}

// Guards against two partitions that each run the whole limit.
TEST(quota, a_partitioned_fleet_keeps_the_bound)
{
    limited_world world(5);
    world.start_load(millis(4));
    world.run_for(millis(5000));
    for (std::size_t i = 0; i < world.host_count(); ++i)
        for (std::size_t j = 0; j < i; ++j)
            if ((i % 3 == 0) != (j % 3 == 0))
                world.cut(world.host_name(i), world.host_name(j));
    world.run_for(millis(20'000));
    check_bound(world);
}

// Guards against two owners of one third: the previous one is suspended while
// it is replaced, and resumes as if nothing had happened.
TEST(quota, an_owner_that_is_replaced_while_suspended_keeps_the_bound)
{
    limited_world world(6);
    const auto owner = world.owners().front();
    const auto changes = world.history().voter_changes;
    world.start_load(millis(4));
    world.run_for(millis(5000));
    world.freeze(owner, millis(50'000));
    world.run_for(millis(45'000));
    CHECK(world.history().voter_changes > changes);
    // The new owner grants its third.
    CHECK(world.started_in(millis(5000)) >= 270);
    world.run_for(millis(10'000));
    check_bound(world);
}
