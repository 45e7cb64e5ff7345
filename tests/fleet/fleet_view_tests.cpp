#include <plantainward/fleet/fleet_view.hpp>

#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::fleet;
using core::boot_instant;
using core::millis;

namespace
{

constexpr const char* service = "ledger";

/// A heartbeat of a peer that echoes a sequence of host "me".
heartbeat beat(const std::string& host, std::uint32_t sequence,
               std::uint32_t echo, std::uint64_t version)
{
    heartbeat made;
    made.host = host;
    made.incarnation = 100;
    made.sequence = sequence;
    made.echo_incarnation = 1;
    made.echo_sequence = echo;
    made.knows_records = true;
    made.services[key_of(service)].record_version = version;
    return made;
}

} // namespace

TEST_GROUP(fleet_view)
{
    boot_instant now{std::chrono::seconds(100)};
    fleet_view view{"me", 1, {}};

    void setup() override
    {
        view.set_members({{"me", {{"1", 1}, "z", 100}},
                          {"a", {{"2", 1}, "z", 100}},
                          {"b", {{"3", 1}, "z", 100}},
                          {"c", {{"4", 1}, "z", 100}}},
                         now);
    }
};

TEST(fleet_view, a_quorum_is_dated_by_the_heartbeats_that_the_peers_echo)
{
    view.start_round(now);
    CHECK(view.on_heartbeat(beat("a", 1, 1, 5), now + millis(700)));
    CHECK(view.on_heartbeat(beat("b", 1, 1, 5), now + millis(900)));
    const auto at = view.quorum_instant(service, 5, now + millis(1000));
    CHECK(at == now);
}

TEST(fleet_view, a_peer_that_knows_a_newer_record_confirms_nothing)
{
    view.start_round(now);
    view.on_heartbeat(beat("a", 1, 1, 5), now);
    view.on_heartbeat(beat("b", 1, 1, 6), now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, a_peer_that_has_read_no_record_confirms_nothing)
{
    view.start_round(now);
    view.on_heartbeat(beat("a", 1, 1, 5), now);
    auto fresh = beat("b", 1, 1, 5);
    fresh.knows_records = false;
    view.on_heartbeat(fresh, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, an_echo_of_an_earlier_start_of_this_host_confirms_nothing)
{
    view.start_round(now);
    auto old = beat("a", 1, 1, 5);
    old.echo_incarnation = 77;
    view.on_heartbeat(old, now);
    view.on_heartbeat(beat("b", 1, 1, 5), now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, a_late_heartbeat_does_not_replace_a_newer_one)
{
    view.start_round(now);
    view.on_heartbeat(beat("a", 2, 1, 6), now);
    CHECK_FALSE(view.on_heartbeat(beat("a", 1, 1, 5), now));
    LONGS_EQUAL(6, view.version_known_by("a", service));
}

TEST(fleet_view, a_heartbeat_of_an_unregistered_host_is_refused)
{
    CHECK_FALSE(view.on_heartbeat(beat("stranger", 1, 1, 5), now));
}

TEST(fleet_view, a_restarted_member_counts_as_aware_only_with_the_record)
{
    // Failure: it counted while it knew no record, and read an older one later.
    view.start_round(now);
    auto fresh = beat("a", 1, 1, 0);
    fresh.knows_records = false;
    view.on_heartbeat(fresh, now);
    LONGS_EQUAL(1, view.voters_acknowledged(service, 6));
    view.on_heartbeat(beat("a", 2, 1, 5), now);
    LONGS_EQUAL(1, view.voters_acknowledged(service, 6));
    view.on_heartbeat(beat("a", 3, 1, 6), now);
    LONGS_EQUAL(2, view.voters_acknowledged(service, 6));
}

TEST(fleet_view, members_are_removed_later_by_a_host_that_sees_no_majority)
{
    CHECK(view.lost(now + millis(9000)).empty());
    LONGS_EQUAL(3, view.lost(now + millis(25'000)).size());
    view.start_round(now);
    view.on_heartbeat(beat("a", 1, 1, 5), now + millis(8900));
    view.on_heartbeat(beat("b", 1, 1, 5), now + millis(8900));
    const auto lost = view.lost(now + millis(9000));
    LONGS_EQUAL(1, lost.size());
    STRCMP_EQUAL("c", lost.front().c_str());
}

TEST_GROUP(heartbeat){};

TEST(heartbeat, it_survives_its_encoding)
{
    auto one = beat("a", 3, 4, 9);
    one.routing_version = 12;
    one.upstreams_version = 34;
    auto& news = one.services[key_of(service)];
    news.suspects_primary = true;
    news.mark = {3, 77};
    news.mark_age_ms = 250;
    news.record = succession::leadership{
        9, succession::leadership_phase::settled, "i-1", 55, "host"};
    const auto got = decode_heartbeat(encode(one));
    CHECK(got.has_value());
    STRCMP_EQUAL("a", got->host.c_str());
    LONGS_EQUAL(12, got->routing_version);
    LONGS_EQUAL(34, got->upstreams_version);
    const auto& back = got->services.at(key_of(service));
    CHECK(back.suspects_primary);
    LONGS_EQUAL(77, back.mark.position);
    LONGS_EQUAL(250, back.mark_age_ms);
    CHECK(back.record == news.record);
}

TEST(heartbeat, without_records_it_stays_small)
{
    CHECK(encode(beat("front-skt-a-12", 3, 4, 9)).size() < 100);
}

TEST(heartbeat, damaged_bytes_are_refused_or_read_but_never_break)
{
    std::mt19937 random(7);
    const auto whole = encode(beat("a", 3, 4, 9));
    for (int i = 0; i < 20'000; ++i)
    {
        auto bytes = whole.substr(0, random() % (whole.size() + 1));
        for (int j = 0; j < 3 && !bytes.empty(); ++j)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        (void)decode_heartbeat(bytes);
    }
    CHECK_FALSE(decode_heartbeat("").has_value());
}

TEST(fleet_view, a_restarted_host_is_not_taken_to_know_what_it_knew_before)
{
    for (const char* name : {"a", "b", "c"})
        view.on_heartbeat(beat(name, 1, 1, 5), now);
    CHECK(view.all_acknowledged(service, 5, now));
    auto restarted = beat("a", 1, 0, 0);
    restarted.incarnation = 200;
    restarted.services.clear();
    view.on_heartbeat(restarted, now);
    CHECK_FALSE(view.all_acknowledged(service, 5, now));
    LONGS_EQUAL(0, view.version_known_by("a", service));
}

TEST(fleet_view, a_host_that_leaves_out_a_service_still_knows_its_record)
{
    view.on_heartbeat(beat("a", 1, 1, 5), now);
    auto narrower = beat("a", 2, 1, 0);
    narrower.services.clear();
    view.on_heartbeat(narrower, now);
    LONGS_EQUAL(5, view.version_known_by("a", service));
}

TEST(fleet_view, a_heartbeat_without_a_service_confirms_nothing_of_its_record)
{
    // Failure: a host that takes itself for a non-voter leaves out services,
    // and one that takes it for a voter counted that as knowing nothing newer.
    view.start_round(now);
    view.on_heartbeat(beat("a", 1, 1, 5), now);
    view.on_heartbeat(beat("b", 1, 1, 6), now);
    auto narrower = beat("b", 2, 1, 0);
    narrower.services.clear();
    view.on_heartbeat(narrower, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
    auto other = beat("c", 1, 1, 0);
    other.services.clear();
    view.on_heartbeat(other, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
    view.on_heartbeat(beat("c", 2, 1, 5), now);
    CHECK(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, a_host_that_left_the_list_is_waited_for_until_leases_are_over)
{
    // Failure: a host that was taken from the list while others still
    // confirmed its leases was not asked, and used the replaced primary on.
    const auto without_c = fleet::members{{"me", {{"1", 1}, "z", 100}},
                                          {"a", {{"2", 1}, "z", 100}},
                                          {"b", {{"3", 1}, "z", 100}}};
    for (const char* name : {"a", "b"})
        view.on_heartbeat(beat(name, 1, 1, 6), now);
    view.on_heartbeat(beat("c", 1, 1, 5), now);
    view.set_members(without_c, now);
    LONGS_EQUAL(3, view.member_count());
    CHECK_FALSE(view.all_acknowledged(service, 6, now));
    CHECK_FALSE(view.all_acknowledged(service, 6, now + millis(1500)));
    LONGS_EQUAL(1, view.unacknowledged(service, 6, now).size());
    STRCMP_EQUAL("4", view.address_of("c")->ip.c_str());
    CHECK(view.all_acknowledged(service, 6, now + millis(1700)));
    // It counts as nothing else, but its agreement is taken.
    CHECK_FALSE(view.on_heartbeat(beat("c", 2, 1, 6), now));
    CHECK(view.all_acknowledged(service, 6, now));
    LONGS_EQUAL(3, view.voter_count());
}

TEST(fleet_view, a_voters_proof_does_not_outlive_a_restart_of_either_side)
{
    // 30 members: "me" has to be one that does not vote.
    members all;
    for (int i = 0; i < 30; ++i)
        all["m" + std::to_string(i)] = {{std::to_string(i), 1}, "z", 100};
    fleet_view chooser("m0", 1, {});
    chooser.set_members(all, now);
    const auto voter = *chooser.voters().begin();
    std::string other;
    for (const auto& [name, one] : all)
        if (!chooser.voters().contains(name))
            other = name;
    fleet_view rests(other, 1, {});
    rests.set_members(all, now);
    rests.start_round(now);
    auto proof = beat(voter, 1, 1, 5);
    proof.services[key_of(service)].proof_age_ms = 100;
    rests.on_heartbeat(proof, now + millis(400));
    CHECK(rests.proof_instant(service, 5, now + millis(400)) ==
          now - millis(100));
    // A start of the voter that echoes nothing of this host yet.
    auto restarted = beat(voter, 1, 0, 5);
    restarted.incarnation = 200;
    restarted.services[key_of(service)].proof_age_ms = 0;
    rests.on_heartbeat(restarted, now + millis(500));
    CHECK_FALSE(rests.proof_instant(service, 5, now + millis(500)).has_value());
    // A late heartbeat of before its restart.
    proof.sequence = 9;
    rests.on_heartbeat(proof, now + millis(600));
    CHECK_FALSE(rests.proof_instant(service, 5, now + millis(600)).has_value());
    // An echo of an earlier start of this host.
    fleet_view again(other, 2, {});
    again.set_members(all, now);
    again.start_round(now);
    again.on_heartbeat(proof, now + millis(700));
    CHECK_FALSE(again.proof_instant(service, 5, now + millis(700)).has_value());
}
