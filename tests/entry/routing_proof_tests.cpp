#include <plantainward/entry/routing_proof.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::millis;
using entry::routing_proof;

TEST_GROUP(routing_proof)
{
    core::boot_instant now{std::chrono::seconds(100)};
    routing_proof proof;
};

TEST(routing_proof, a_new_host_has_no_proof_and_reads_in_the_order_of_ranks)
{
    CHECK_FALSE(proof.at().has_value());
    CHECK(proof.must_read(0, now));
    CHECK_FALSE(proof.must_read(2, now));
    CHECK(proof.must_read(2, now + millis(300)));
}

TEST(routing_proof, the_newest_proof_counts)
{
    proof.add(1, 5, 5, now);
    proof.add(1, 5, 5, now - millis(100));
    CHECK(proof.at() == now);
    proof.add(1, 5, 5, now + millis(100));
    CHECK(proof.at() == now + millis(100));
}

// The host doesn't have the keys of that version.
TEST(routing_proof, a_proof_of_a_newer_version_does_not_count)
{
    proof.add(1, 6, 5, now);
    CHECK_FALSE(proof.at().has_value());
    proof.add(1, 4, 5, now);
    CHECK(proof.at() == now);
}

TEST(routing_proof, proofs_of_an_earlier_era_are_dropped_and_ignored)
{
    proof.add(1, 5, 5, now);
    proof.note_era(2);
    CHECK_FALSE(proof.at().has_value());
    proof.add(1, 5, 5, now + millis(100));
    CHECK_FALSE(proof.at().has_value());
    proof.add(2, 5, 5, now + millis(50));
    CHECK(proof.at() == now + millis(50));
    // A peer may notice a new era first.
    proof.add(3, 5, 5, now);
    CHECK(proof.at() == now);
    LONGS_EQUAL(3, proof.era());
}

TEST(routing_proof, hosts_read_by_age_and_rank_and_one_read_at_a_time)
{
    proof.add(1, 5, 5, now);
    CHECK_FALSE(proof.must_read(0, now + millis(600)));
    CHECK(proof.must_read(0, now + millis(700)));
    CHECK_FALSE(proof.must_read(1, now + millis(1500)));
    CHECK(proof.must_read(1, now + millis(1600)));
    CHECK_FALSE(proof.must_read(2, now + millis(1700)));
    proof.note_read_sent(now + millis(700));
    CHECK_FALSE(proof.must_read(0, now + millis(800)));
    proof.note_read_ended(false, now + millis(900));
    CHECK_FALSE(proof.must_read(0, now + millis(1200)));
    CHECK(proof.must_read(0, now + millis(1300)));
}

// A host whose answer was lost, as in a freeze, must read again.
TEST(routing_proof, a_read_without_an_end_is_repeated)
{
    proof.note_read_sent(now);
    CHECK_FALSE(proof.must_read(0, now + millis(1400)));
    CHECK(proof.must_read(0, now + millis(1500)));
}
