// Random callers, databases and hosts with faults: what databases ran is
// checked against what callers sent and were told.

#include "pinned_world.hpp"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using plantainward::core::millis;
using support::pinned_world;

namespace
{

constexpr std::uint64_t seed_count = 300;
constexpr millis time_of_run{6000};

} // namespace

TEST_GROUP(pinned_world){};

// Guards against statements that run with other values, under another prepared
// name, outside their transaction or on another connection than its first
// statement, and against data that is kept unasked.
TEST(pinned_world, statements_run_where_their_callers_expect_them)
{
    std::size_t runs = 0;
    std::size_t transactions = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        pinned_world world(seed);
        world.run(time_of_run);
        runs += world.judge().runs();
        transactions += world.judge().transactions();
        for (const auto& violation : world.judge().violations())
            std::printf("seed %llu: %s\n",
                        static_cast<unsigned long long>(seed),
                        violation.c_str());
        violations += world.judge().violations().size();
    }
    std::printf("%zu statements, %zu transactions, %zu violations\n", runs,
                transactions, violations);
    LONGS_EQUAL(0, violations);
    CHECK(runs > 10'000);
    CHECK(transactions > 1'000);
}
