// When a host may hold a lease, seen from the host that replaces a primary.

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
    routes::routing made;
    made.version = 1;
    made.services[service].max_connections = 60;
    return made;
}

std::map<std::string, succession::leadership> settled(std::uint64_t version)
{
    return {{service,
             {version, succession::leadership_phase::settled, "db-a", 1,
              "deciding"}}};
}

/// The last heartbeat among the actions of a host.
std::optional<fleet::heartbeat> heartbeat_in(const entry::entry_actions& made)
{
    std::optional<fleet::heartbeat> found;
    for (const auto& one : made.control)
        if (const auto* beat = std::get_if<entry::heartbeat_action>(&one))
            found = fleet::decode_heartbeat(beat->bytes);
    return found;
}

} // namespace

TEST_GROUP(lease){};

TEST(lease, a_host_whose_first_read_is_late_does_not_count_as_agreeing)
{
    // Failure: a host that had read no record counted as one without a lease;
    // the answer to its read, asked before the claim, came afterwards and gave
    // it a lease for the replaced primary.
    const boot_instant asked{std::chrono::seconds(100)};
    const auto claimed_at = asked + millis(40);
    entry::entry_host restarted({"restarted", "a", 200});
    restarted.on_members(two_hosts(), 1, asked, asked);
    fleet::fleet_view deciding("deciding", 100, {});
    deciding.set_members(two_hosts(), asked);
    restarted.tick(asked);

    deciding.start_round(claimed_at);
    auto told = deciding.make_heartbeat("restarted");
    told.knows_records = true;
    auto& news = told.services[fleet::key_of(service)];
    news.record_version = 6;
    news.record = succession::leadership{
        6, succession::leadership_phase::claimed, "db-a", 1, "deciding"};
    restarted.on_heartbeat(fleet::encode(told), claimed_at + millis(1));
    const auto answered = claimed_at + millis(400);
    if (const auto got = heartbeat_in(restarted.tick(answered)))
        deciding.on_heartbeat(*got, answered);
    const bool agrees = deciding.all_acknowledged(service, 6, answered);

    const auto later = asked + millis(700);
    restarted.on_routing(one_service(), later);
    restarted.on_records(settled(5), asked, later);
    const auto got = heartbeat_in(restarted.tick(later + millis(300)));
    const bool uses_old_primary =
        got && got->services.contains(fleet::key_of(service)) &&
        got->services.at(fleet::key_of(service)).record_version == 5 &&
        got->services.at(fleet::key_of(service)).proof_age_ms >= 0;
    CHECK_FALSE(agrees && uses_old_primary);
}

TEST(lease, a_host_that_is_not_registered_proves_no_record_by_reading_it)
{
    // Failure: a host that others had removed while it was cut off read the
    // records and used a primary; who replaced it did not wait for this host.
    const boot_instant start{std::chrono::seconds(100)};
    entry::entry_host host({"restarted", "a", 200});
    host.on_routing(one_service(), start);
    host.on_members(two_hosts(), 1, start, start);
    host.on_records(settled(5), start, start);
    const auto proof = [&](boot_instant when) {
        const auto got = heartbeat_in(host.tick(when));
        return got &&
               got->services.at(fleet::key_of(service)).proof_age_ms >= 0;
    };
    CHECK(proof(start + millis(300)));
    // Nothing is heard of the list for the time after which hosts are removed.
    const auto back = start + millis(9000);
    host.on_records(settled(5), back, back + millis(5));
    CHECK_FALSE(proof(back + millis(300)));
    host.on_members(two_hosts(), 1, back, back + millis(310));
    CHECK(proof(back + millis(700)));
    // The list that shows the removal ends it again.
    auto others = two_hosts();
    others.erase("restarted");
    const auto removed = back + millis(3000);
    host.on_members(others, 2, removed, removed);
    host.on_records(settled(5), removed, removed + millis(5));
    CHECK_FALSE(proof(removed + millis(600)));
}
