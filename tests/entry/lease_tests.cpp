// A host must hold no lease once another host may replace the primary.

#include <plantainward/entry/entry_host.hpp>

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using core::boot_instant;
using core::millis;

namespace
{

constexpr const char* service = "ledger";

fleet::members two_hosts()
{
    return {{"deciding", {{"deciding", 1}, "a", 100}},
            {"restarted", {{"restarted", 1}, "a", 100}}};
}

routes::routing one_service()
{
    routes::routing routing;
    routing.version = 1;
    routing.services[service].max_connections = 60;
    return routing;
}

std::map<std::string, succession::leadership> settled(std::uint64_t version)
{
    return {{service,
             {version, succession::leadership_phase::settled, "db-a", 1,
              "deciding"}}};
}

/// A voter set of both hosts.
fleet::voter_row two_voters()
{
    return {1, fleet::voter_set{1, {"deciding", "restarted"}, {}}};
}

/// The last heartbeat among the actions of a host.
std::optional<fleet::heartbeat>
heartbeat_in(const entry::entry_actions& actions)
{
    std::optional<fleet::heartbeat> found;
    for (const auto& action : actions.control)
        if (const auto* heartbeat =
                std::get_if<entry::heartbeat_action>(&action))
            found = fleet::decode_heartbeat(heartbeat->bytes);
    return found;
}

} // namespace

TEST_GROUP(lease){};

TEST(lease, a_host_whose_first_read_is_late_acknowledges_no_claim)
{
    // Guards against a lease on a replaced primary: a host that had read no
    // record counted as a host without a lease. Its read was sent before the
    // claim, and the late answer gave it a lease on the old primary.
    const boot_instant read_at{std::chrono::seconds(100)};
    const auto claimed_at = read_at + millis(40);
    entry::entry_host restarted({"restarted", "a", 200});
    restarted.on_members(two_hosts(), 1, read_at, read_at);
    fleet::fleet_view deciding("deciding", 100, {});
    deciding.set_members(two_hosts(), read_at);
    restarted.tick(read_at);

    deciding.start_round(claimed_at);
    auto claim_heartbeat = deciding.make_heartbeat("restarted", claimed_at);
    claim_heartbeat.knows_records = true;
    auto& status = claim_heartbeat.services[fleet::key_of(service)];
    status.record_version = 6;
    status.record = succession::leadership{
        6, succession::leadership_phase::claimed, "db-a", 1, "deciding"};
    restarted.on_heartbeat(fleet::encode(claim_heartbeat),
                           claimed_at + millis(1));
    const auto answered_at = claimed_at + millis(400);
    if (const auto heartbeat = heartbeat_in(restarted.tick(answered_at)))
        deciding.on_heartbeat(*heartbeat, answered_at);
    const bool acknowledged =
        deciding.all_acknowledged(service, 6, answered_at);

    const auto later = read_at + millis(700);
    restarted.on_routing(one_service(), later);
    restarted.on_records({settled(5), two_voters()}, read_at, later);
    const auto heartbeat = heartbeat_in(restarted.tick(later + millis(300)));
    const bool uses_old_primary =
        heartbeat && heartbeat->services.contains(fleet::key_of(service)) &&
        heartbeat->services.at(fleet::key_of(service)).record_version == 5 &&
        heartbeat->services.at(fleet::key_of(service)).proof_age_ms >= 0;
    CHECK_FALSE(acknowledged && uses_old_primary);
}

TEST(lease, a_host_that_is_not_registered_proves_no_record_by_reading_it)
{
    // Guards against a lease that no claim waits for: a host that had been
    // removed while it was cut off read the records and used their primary.
    const boot_instant start{std::chrono::seconds(100)};
    entry::entry_host host({"restarted", "a", 200});
    host.on_routing(one_service(), start);
    host.on_members(two_hosts(), 1, start, start);
    host.on_records({settled(5), two_voters()}, start, start);
    const auto has_proof = [&](boot_instant when) {
        const auto heartbeat = heartbeat_in(host.tick(when));
        return heartbeat &&
               heartbeat->services.at(fleet::key_of(service)).proof_age_ms >= 0;
    };
    CHECK(has_proof(start + millis(300)));
    // The list of hosts is not read for longer than the time after which hosts
    // are removed.
    const auto returned_at = start + millis(9000);
    host.on_records({settled(5), two_voters()}, returned_at,
                    returned_at + millis(5));
    CHECK_FALSE(has_proof(returned_at + millis(300)));
    host.on_members(two_hosts(), 1, returned_at, returned_at + millis(310));
    CHECK(has_proof(returned_at + millis(700)));
    // A list that does not contain this host ends its leases.
    auto other_hosts = two_hosts();
    other_hosts.erase("restarted");
    const auto removed_at = returned_at + millis(3000);
    host.on_members(other_hosts, 2, removed_at, removed_at);
    host.on_records({settled(5), two_voters()}, removed_at,
                    removed_at + millis(5));
    CHECK_FALSE(has_proof(removed_at + millis(600)));
}
