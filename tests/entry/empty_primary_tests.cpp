// A primary that starts again with an empty log, under its id.

#include <support/fleet_world.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet with one acknowledged write, which all databases have.
struct written_world : fleet_world
{
    explicit written_world(std::size_t hosts) : fleet_world(hosts, 1)
    {
        run_for(millis(3000));
        CHECK_FALSE(call("host-0", "latest", "WRITE k1 1").error.has_value());
        run_for(millis(3000));
    }

    /// Counts the reads that do not return the write.
    void read_everywhere(const std::string& database)
    {
        for (std::size_t i = 0; i < host_count(); ++i)
        {
            const auto reply = call(host_name(i), database, "READ k1");
            if (reply.error || reply.signature.empty())
                continue;
            ++m_successes;
            m_stale += reply.rows == std::vector<std::string>{"1"} ? 0 : 1;
        }
    }

    std::size_t successes() const { return m_successes; }
    std::size_t stale() const { return m_stale; }

private:
    std::size_t m_successes{0};
    std::size_t m_stale{0};
};

} // namespace

TEST_GROUP(empty_primary_fleet){};

// Failure: the hosts read it as the primary until the table service was back.
TEST(empty_primary_fleet, is_not_read_while_the_table_service_is_down)
{
    written_world world(5);
    const auto primary = world.leader();
    world.set_store_up(false);
    world.run_for(millis(300));
    world.crash_database(primary);
    world.run_for(millis(1000));
    world.restart_empty(primary);
    for (const char* database : {"latest", "bounded"})
        world.read_everywhere(database);
    LONGS_EQUAL(0, world.stale());
    world.set_store_up(true);
    world.run_for(millis(12'000));
    CHECK(world.leader() != primary);
    const auto before = world.successes();
    world.read_everywhere("latest");
    LONGS_EQUAL(5, world.successes() - before);
    LONGS_EQUAL(0, world.stale());
}

// Failure: hosts that had just started knew nothing but the record, which
// names the id.
TEST(empty_primary_fleet, is_not_read_by_hosts_that_have_just_started)
{
    written_world world(5);
    const auto primary = world.leader();
    for (std::size_t i = 0; i < 5; ++i)
        world.stop(world.host_name(i));
    world.crash_database(primary);
    world.run_for(millis(500));
    world.restart_empty(primary);
    for (std::size_t i = 0; i < 5; ++i)
        world.restart(world.host_name(i));
    for (int round = 0; round < 20; ++round)
    {
        world.run_for(millis(100));
        for (const char* database : {"latest", "bounded"})
            world.read_everywhere(database);
    }
    LONGS_EQUAL(0, world.stale());
    world.run_for(millis(12'000));
    const auto before = world.successes();
    world.read_everywhere("latest");
    LONGS_EQUAL(5, world.successes() - before);
}

// Guards a primary that comes back with its log: it is read at once.
TEST(empty_primary_fleet, a_primary_with_its_log_is_read_again)
{
    written_world world(5);
    const auto primary = world.leader();
    world.set_store_up(false);
    world.run_for(millis(300));
    world.crash_database(primary);
    world.run_for(millis(200));
    world.recover_database(primary);
    world.run_for(millis(1000));
    world.read_everywhere("latest");
    LONGS_EQUAL(5, world.successes());
    LONGS_EQUAL(0, world.stale());
}
