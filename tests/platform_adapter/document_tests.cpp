#include <documents.hpp>
#include <host_settings.hpp>

#include <plantainward/core/last_error.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;

namespace
{

const std::string settings = R"({"node":"h-1","zone":"a","ip":"10.1.0.8",
  "listen":{"front":"10.1.0.8:8784","ready":"10.1.0.8:8785"},
  "internal_ports":[7440,7455],"bounds":{"grace_s":6},
  "platform":{"address":"10.2.0.1:80"},"cloud":{"address":"10.2.0.2:81"},
  "a field of later":{"x":1}})";

const std::string registration = R"({"service":"s","address":"10.1.0.9:5",
  "zone":"a","version":"v1","slots":3,"state":"ready","cold_remaining_ms":0,
  "database_role":"replica","sequence":4,"born":1700000000123})";

const std::string routing = R"({"version":7,"routes":[
  {"name":"r","host":"db1","prefix":"/","kind":"read_your_writes",
   "timeout_ms":800,"target_latency_ms":250,"priority":2,"service":"s",
   "max_staleness_ms":2500}],
  "services":[{"name":"s","max_connections":47}],
  "limits":{"transaction_idle_ms":3000}})";

std::string without(std::string text, const std::string& field)
{
    const auto at = text.find("\"" + field + "\"");
    text.replace(at + 1, field.size(), std::string(field.size(), 'x'));
    return text;
}

} // namespace

TEST_GROUP(documents){};

TEST(documents, the_settings_file_is_decoded_and_unknown_fields_are_ignored)
{
    const auto got = decode_settings(settings);
    CHECK(got.has_value());
    STRCMP_EQUAL("h-1", got->name.c_str());
    LONGS_EQUAL(8784, got->callers.port);
    LONGS_EQUAL(7440, got->peers.port);
    LONGS_EQUAL(6000, got->grace_ms);
}

TEST(documents, a_missing_setting_is_named)
{
    for (const char* field : {"node", "zone", "ip", "front", "ready",
                              "internal_ports", "platform", "cloud"})
        CHECK_FALSE_TEXT(decode_settings(without(settings, field)).has_value(),
                         field);
    CHECK_FALSE(decode_settings("{").has_value());
    CHECK_FALSE(core::last_error().text.empty());
}

TEST(documents, a_registration_is_decoded)
{
    const auto got = decode_upstream("i-1", registration);
    CHECK(got.has_value());
    STRCMP_EQUAL("i-1", got->id.c_str());
    CHECK_FALSE(got->leaving);
    CHECK(got->started_at_ms == 1700000000123ULL);
}

TEST(documents, a_damaged_registration_names_no_database)
{
    for (const char* field :
         {"service", "address", "zone", "state", "database_role"})
        CHECK_FALSE_TEXT(
            decode_upstream("i", without(registration, field)).has_value(),
            field);
    auto other = registration;
    other.replace(other.find("ready"), 5, "ripe!");
    CHECK_FALSE(decode_upstream("i", other).has_value());
    CHECK_FALSE(decode_upstream("i", "[1]").has_value());
    CHECK_FALSE(decode_upstream("i", "").has_value());
}

TEST(documents, the_routing_is_decoded)
{
    const auto got = decode_routing(routing);
    CHECK(got.has_value());
    LONGS_EQUAL(7, got->version);
    const auto* route = got->find("db1");
    CHECK(route != nullptr);
    CHECK(route->consistency == routes::read_consistency::session);
    LONGS_EQUAL(2500, route->max_age.count());
    LONGS_EQUAL(47, got->services.at("s").max_connections);
}

TEST(documents, a_routing_that_lacks_a_part_is_refused_whole)
{
    for (const char* field : {"version", "routes", "services", "host", "kind"})
        CHECK_FALSE_TEXT(decode_routing(without(routing, field)).has_value(),
                         field);
}

TEST(documents, records_and_members_survive_their_encoding)
{
    const succession::leadership record{
        4, succession::leadership_phase::settled, "i-1", 99, "h-1"};
    CHECK(decode_record(encode_record(record)) == record);
    const fleet::member member{{"10.0.0.1", 7}, "a", 170};
    CHECK(decode_member(encode_member(member)) == member);
    CHECK_FALSE(decode_record("junk").has_value());
    CHECK_FALSE(decode_member("").has_value());
}
