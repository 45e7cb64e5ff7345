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

/// A heartbeat of a peer that echoes a sequence of the host "me" and knows a
/// version of the record.
heartbeat heartbeat_of(const std::string& host, std::uint32_t sequence,
                       std::uint32_t echo, std::uint64_t version)
{
    heartbeat message;
    message.host = host;
    message.incarnation = 100;
    message.sequence = sequence;
    message.echo_incarnation = 1;
    message.echo_sequence = echo;
    message.knows_records = true;
    message.has_read_lately = true;
    message.voters_version = 1;
    message.services[key_of(service)].record_version = version;
    return message;
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
        view.set_voters({1, {"me", "a", "b", "c"}, {}});
        view.note_records_read(1, now);
    }
};

TEST(fleet_view, a_quorum_is_dated_by_the_heartbeats_that_peers_echo)
{
    view.start_round(now);
    CHECK(view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now + millis(700)));
    CHECK(view.on_heartbeat(heartbeat_of("b", 1, 1, 5), now + millis(900)));
    const auto at = view.quorum_instant(service, 5, now + millis(1000));
    CHECK(at == now);
}

TEST(fleet_view, a_peer_that_knows_a_newer_record_confirms_nothing)
{
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now);
    view.on_heartbeat(heartbeat_of("b", 1, 1, 6), now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, a_peer_that_has_read_no_record_confirms_nothing)
{
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now);
    auto fresh = heartbeat_of("b", 1, 1, 5);
    fresh.knows_records = false;
    view.on_heartbeat(fresh, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, an_echo_of_an_earlier_start_of_this_host_confirms_nothing)
{
    view.start_round(now);
    auto old = heartbeat_of("a", 1, 1, 5);
    old.echo_incarnation = 77;
    view.on_heartbeat(old, now);
    view.on_heartbeat(heartbeat_of("b", 1, 1, 5), now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view, a_late_heartbeat_does_not_replace_a_newer_one)
{
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 2, 1, 6), now);
    CHECK_FALSE(view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now));
    LONGS_EQUAL(6, view.version_known_by("a", service));
}

TEST(fleet_view, a_heartbeat_of_an_unregistered_host_is_ignored)
{
    CHECK_FALSE(view.on_heartbeat(heartbeat_of("stranger", 1, 1, 5), now));
}

TEST(fleet_view, a_restarted_member_acknowledges_a_record_only_once_it_knows_it)
{
    // Guards against a fence that counts a host which knows no record yet: it
    // may read an older record later and use the old primary.
    view.start_round(now);
    auto fresh = heartbeat_of("a", 1, 1, 0);
    fresh.knows_records = false;
    view.on_heartbeat(fresh, now);
    view.on_heartbeat(heartbeat_of("b", 1, 1, 6), now);
    CHECK_FALSE(view.majority_acknowledged(service, 6));
    view.on_heartbeat(heartbeat_of("a", 2, 1, 5), now);
    CHECK_FALSE(view.majority_acknowledged(service, 6));
    view.on_heartbeat(heartbeat_of("a", 3, 1, 6), now);
    CHECK(view.majority_acknowledged(service, 6));
}

TEST(fleet_view, a_member_that_most_voters_do_not_hear_is_removed)
{
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now + millis(8900));
    view.on_heartbeat(heartbeat_of("b", 1, 1, 5), now + millis(8900));
    const auto lost = view.lost_voters(now + millis(9000));
    LONGS_EQUAL(1, lost.size());
    STRCMP_EQUAL("c", lost.front().c_str());
}

TEST_GROUP(heartbeat){};

TEST(heartbeat, decoding_returns_the_encoded_heartbeat)
{
    auto sent = heartbeat_of("a", 3, 4, 9);
    sent.routing_version = 12;
    sent.upstreams_version = 34;
    auto& status = sent.services[key_of(service)];
    status.suspects_primary = true;
    status.watermark = {3, 77};
    status.watermark_age_ms = 250;
    status.record = succession::leadership{
        9, succession::leadership_phase::settled, "i-1", 55, "host"};
    status.in_flight = {3, 0, 255};
    const auto received = decode_heartbeat(encode(sent));
    CHECK(received.has_value());
    STRCMP_EQUAL("a", received->host.c_str());
    LONGS_EQUAL(12, received->routing_version);
    LONGS_EQUAL(34, received->upstreams_version);
    const auto& received_status = received->services.at(key_of(service));
    CHECK(received_status.suspects_primary);
    LONGS_EQUAL(77, received_status.watermark.position);
    LONGS_EQUAL(250, received_status.watermark_age_ms);
    CHECK(received_status.record == status.record);
    CHECK(received_status.in_flight == status.in_flight);
}

TEST(heartbeat, a_heartbeat_without_records_is_small)
{
    CHECK(encode(heartbeat_of("front-skt-a-12", 3, 4, 9)).size() < 100);
}

TEST(heartbeat, the_number_of_reported_databases_is_bounded)
{
    auto sent = heartbeat_of("a", 3, 4, 9);
    const auto size = encode(sent).size();
    sent.services.at(key_of(service)).in_flight.assign(500, 7);
    const auto bytes = encode(sent);
    LONGS_EQUAL(size + max_reported_databases, bytes.size());
    const auto received = decode_heartbeat(bytes);
    LONGS_EQUAL(max_reported_databases,
                received->services.at(key_of(service)).in_flight.size());
}

TEST(heartbeat, decoding_damaged_bytes_fails_or_returns_a_heartbeat)
{
    std::mt19937 random(7);
    const auto whole = encode(heartbeat_of("a", 3, 4, 9));
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
        view.on_heartbeat(heartbeat_of(name, 1, 1, 5), now);
    CHECK(view.all_acknowledged(service, 5, now));
    auto restarted = heartbeat_of("a", 1, 0, 0);
    restarted.incarnation = 200;
    restarted.services.clear();
    view.on_heartbeat(restarted, now);
    CHECK_FALSE(view.all_acknowledged(service, 5, now));
    LONGS_EQUAL(0, view.version_known_by("a", service));
}

TEST(fleet_view,
     a_host_whose_heartbeat_leaves_out_a_service_still_knows_its_record)
{
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now);
    auto narrower = heartbeat_of("a", 2, 1, 0);
    narrower.services.clear();
    view.on_heartbeat(narrower, now);
    LONGS_EQUAL(5, view.version_known_by("a", service));
}

TEST(fleet_view, a_heartbeat_that_leaves_out_a_service_confirms_no_record_of_it)
{
    // Guards against a lease on an old record: a host that takes itself for a
    // non-voter leaves out services, and a host that takes it for a voter
    // counted that as a confirmation that there is no newer record.
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now);
    view.on_heartbeat(heartbeat_of("b", 1, 1, 6), now);
    auto narrower = heartbeat_of("b", 2, 1, 0);
    narrower.services.clear();
    view.on_heartbeat(narrower, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
    auto other = heartbeat_of("c", 1, 1, 0);
    other.services.clear();
    view.on_heartbeat(other, now);
    CHECK_FALSE(view.quorum_instant(service, 5, now).has_value());
    view.on_heartbeat(heartbeat_of("c", 2, 1, 5), now);
    CHECK(view.quorum_instant(service, 5, now).has_value());
}

TEST(fleet_view,
     a_host_that_left_the_list_is_waited_for_until_its_lease_is_over)
{
    // Guards against a host that uses a replaced primary: it was removed from
    // the list while others still confirmed its leases, and the claim did not
    // wait for it.
    const auto without_c = fleet::members{{"me", {{"1", 1}, "z", 100}},
                                          {"a", {{"2", 1}, "z", 100}},
                                          {"b", {{"3", 1}, "z", 100}}};
    for (const char* name : {"a", "b"})
        view.on_heartbeat(heartbeat_of(name, 1, 1, 6), now);
    view.on_heartbeat(heartbeat_of("c", 1, 1, 5), now);
    view.set_members(without_c, now);
    LONGS_EQUAL(3, view.member_count());
    CHECK_FALSE(view.all_acknowledged(service, 6, now));
    CHECK_FALSE(view.all_acknowledged(service, 6, now + millis(1500)));
    LONGS_EQUAL(1, view.unacknowledged(service, 6, now).size());
    STRCMP_EQUAL("4", view.address_of("c")->ip.c_str());
    CHECK(view.all_acknowledged(service, 6, now + millis(1700)));
    // Its heartbeats are ignored, but its acknowledgement counts.
    CHECK_FALSE(view.on_heartbeat(heartbeat_of("c", 2, 1, 6), now));
    CHECK(view.all_acknowledged(service, 6, now));
    CHECK(view.voters().names.contains("c"));
}

TEST(fleet_view, a_voters_proof_does_not_outlive_a_restart_of_either_side)
{
    // In a fleet of 30 members some do not vote; this host is one of them.
    members all;
    for (int i = 0; i < 30; ++i)
        all["m" + std::to_string(i)] = {{std::to_string(i), 1}, "z", 100};
    const voter_set voters{1, choose_voters(all, 15), {}};
    const auto voter = *voters.names.begin();
    std::string other;
    for (const auto& [name, registered] : all)
        if (!voters.names.contains(name))
            other = name;
    fleet_view non_voter(other, 1, {});
    non_voter.set_members(all, now);
    non_voter.set_voters(voters);
    non_voter.start_round(now);
    auto proof = heartbeat_of(voter, 1, 1, 5);
    proof.services[key_of(service)].proof_age_ms = 100;
    non_voter.on_heartbeat(proof, now + millis(400));
    CHECK(non_voter.proof_instant(service, 5, now + millis(400)) ==
          now - millis(100));
    // The voter has restarted and has not received a heartbeat of this host
    // yet.
    auto restarted = heartbeat_of(voter, 1, 0, 5);
    restarted.incarnation = 200;
    restarted.services[key_of(service)].proof_age_ms = 0;
    non_voter.on_heartbeat(restarted, now + millis(500));
    CHECK_FALSE(
        non_voter.proof_instant(service, 5, now + millis(500)).has_value());
    // A heartbeat from before its restart arrives late.
    proof.sequence = 9;
    non_voter.on_heartbeat(proof, now + millis(600));
    CHECK_FALSE(
        non_voter.proof_instant(service, 5, now + millis(600)).has_value());
    // This host has restarted, and the voter echoes a heartbeat from before.
    fleet_view restarted_view(other, 2, {});
    restarted_view.set_members(all, now);
    restarted_view.set_voters(voters);
    restarted_view.start_round(now);
    restarted_view.on_heartbeat(proof, now + millis(700));
    CHECK_FALSE(restarted_view.proof_instant(service, 5, now + millis(700))
                    .has_value());
}

// Guards against a suspended host that takes heartbeats which waited in its
// socket for a present majority.
TEST(fleet_view, a_majority_is_dated_by_the_heartbeats_that_voters_echo)
{
    view.start_round(now);
    const auto later = now + millis(5000);
    CHECK(view.on_heartbeat(heartbeat_of("a", 1, 1, 5), later));
    CHECK_FALSE(view.majority_instant(later).has_value());
    CHECK(view.on_heartbeat(heartbeat_of("b", 1, 1, 5), later));
    CHECK(view.majority_instant(later) == now);
}

// Failure: voters that were cut off from the table service, and replaced, went
// on as owners of quotas beside the owners among the new voters.
TEST(fleet_view, voters_that_have_not_read_lately_are_no_majority)
{
    const auto later = now + voter_set::max_read_age + millis(100);
    view.start_round(later);
    const auto hear_unread = [&](const char* name, std::uint32_t sequence,
                                 bool has_read) {
        auto message = heartbeat_of(name, sequence, 1, 5);
        message.has_read_lately = has_read;
        view.on_heartbeat(message, later);
    };
    for (const char* name : {"a", "b", "c"})
        hear_unread(name, 1, false);
    CHECK_FALSE(view.majority_instant(later).has_value());
    view.note_records_read(1, later);
    for (const char* name : {"a", "b"})
        hear_unread(name, 2, true);
    CHECK(view.majority_instant(later) == later);
}

// Guards against owners of quotas under two voter sets at once.
TEST(fleet_view, voters_with_another_set_do_not_count_for_a_majority)
{
    view.start_round(now);
    view.on_heartbeat(heartbeat_of("a", 1, 1, 5), now);
    view.on_heartbeat(heartbeat_of("b", 1, 1, 5), now);
    CHECK(view.majority_instant(now).has_value());
    auto changed = heartbeat_of("b", 2, 1, 5);
    changed.voters_version = 2;
    view.on_heartbeat(changed, now);
    CHECK_FALSE(view.majority_instant(now).has_value());
}

TEST(fleet_view, a_change_of_the_voters_needs_majorities_of_both_sets)
{
    view.set_voters({2, {"me", "a", "c"}, {"me", "a", "b", "d"}});
    view.start_round(now);
    for (const char* name : {"a", "c"})
    {
        auto message = heartbeat_of(name, 1, 1, 5);
        message.voters_version = 2;
        view.on_heartbeat(message, now);
    }
    CHECK_FALSE(view.majority_instant(now).has_value());
    auto message = heartbeat_of("b", 1, 1, 5);
    message.voters_version = 2;
    view.on_heartbeat(message, now);
    CHECK(view.majority_instant(now).has_value());
}

TEST(fleet_view, heartbeats_go_to_a_voter_of_the_own_domain_and_to_one_more)
{
    // Failure: both voters that a host relies on were in other failure
    // domains, so all of its heartbeats crossed them.
    for (int i = 0; i < 20; ++i)
    {
        const auto self = "host-" + std::to_string(i);
        fleet_view host{self, 1, {}};
        const members listed{
            {self, {{"1", 1}, "x", 100}}, {"a", {{"2", 1}, "x", 100}},
            {"b", {{"3", 1}, "y", 100}},  {"c", {{"4", 1}, "y", 100}},
            {"d", {{"5", 1}, "z", 100}},  {"e", {{"6", 1}, "z", 100}}};
        host.set_members(listed, now);
        host.set_voters({1, {"a", "b", "c", "d", "e"}, {}});
        host.start_round(now);
        for (const auto* voter : {"a", "b", "c", "d", "e"})
        {
            auto message = heartbeat_of(voter, 1, 1, 1);
            host.on_heartbeat(message, now);
        }
        const auto targets = host.targets(now);
        CHECK(targets.size() >= 2);
        STRCMP_EQUAL("a", targets.front().c_str());
    }
}
