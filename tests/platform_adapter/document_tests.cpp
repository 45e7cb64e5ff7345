#include <documents.hpp>
#include <host_settings.hpp>

#include <plantainward/core/last_error.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using namespace plantainward::platform_adapter;

namespace
{

const std::string settings_text = R"({"node":"h-1","zone":"a","ip":"10.1.0.8",
  "listen":{"front":"10.1.0.8:8784","ready":"10.1.0.8:8785"},
  "internal_ports":[7440,7455],"bounds":{"grace_s":6},
  "platform":{"address":"10.2.0.1:80"},"cloud":{"address":"10.2.0.2:81"},
  "a field of later":{"x":1}})";

const std::string registration_text = R"({"service":"s","address":"10.1.0.9:5",
  "zone":"a","version":"v1","slots":3,"state":"ready","cold_remaining_ms":0,
  "database_role":"replica","sequence":4,"born":1700000000123})";

const std::string routing_text = R"({"version":7,"routes":[
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
    const auto decoded = decode_settings(settings_text);
    CHECK(decoded.has_value());
    STRCMP_EQUAL("h-1", decoded->name.c_str());
    LONGS_EQUAL(8784, decoded->caller_address.port);
    LONGS_EQUAL(7440, decoded->peer_address.port);
    LONGS_EQUAL(6000, decoded->grace_ms);
    LONGS_EQUAL(7000, decoded->drain_ms);
}

TEST(documents, a_settings_file_without_a_required_field_is_rejected)
{
    for (const char* field : {"node", "zone", "ip", "front", "ready",
                              "internal_ports", "platform", "cloud"})
        CHECK_FALSE_TEXT(
            decode_settings(without(settings_text, field)).has_value(), field);
    CHECK_FALSE(decode_settings("{").has_value());
    CHECK_FALSE(core::last_error().text.empty());
}

TEST(documents, a_registration_is_decoded)
{
    const auto decoded = decode_upstream("i-1", registration_text);
    CHECK(decoded.has_value());
    STRCMP_EQUAL("i-1", decoded->id.c_str());
    CHECK_FALSE(decoded->leaving);
    CHECK(decoded->started_at_ms == 1700000000123ULL);
}

TEST(documents, a_damaged_registration_is_rejected)
{
    for (const char* field :
         {"service", "address", "zone", "state", "database_role"})
        CHECK_FALSE_TEXT(
            decode_upstream("i", without(registration_text, field)).has_value(),
            field);
    auto damaged = registration_text;
    damaged.replace(damaged.find("ready"), 5, "ripe!");
    CHECK_FALSE(decode_upstream("i", damaged).has_value());
    CHECK_FALSE(decode_upstream("i", "[1]").has_value());
    CHECK_FALSE(decode_upstream("i", "").has_value());
}

TEST(documents, the_routing_is_decoded)
{
    const auto decoded = decode_routing(routing_text);
    CHECK(decoded.has_value());
    LONGS_EQUAL(7, decoded->version);
    const auto* route = decoded->find("db1");
    CHECK(route != nullptr);
    CHECK(route->consistency == routes::read_consistency::session);
    LONGS_EQUAL(2500, route->max_age.count());
    LONGS_EQUAL(47, decoded->services.at("s").max_connections);
}

TEST(documents, a_routing_without_a_required_field_is_rejected)
{
    for (const char* field : {"version", "routes", "services", "host", "kind"})
        CHECK_FALSE_TEXT(
            decode_routing(without(routing_text, field)).has_value(), field);
}

TEST(documents, records_and_members_are_unchanged_by_encoding_and_decoding)
{
    const succession::leadership record{
        4, succession::leadership_phase::settled, "i-1", 99, "h-1"};
    const auto decoded = decode_record(encode_record(record, 3));
    CHECK(decoded->value == record);
    LONGS_EQUAL(3, decoded->era);
    const fleet::member member{{"10.0.0.1", 7}, "a", 170};
    CHECK(decode_member(encode_member(member)) == member);
    CHECK_FALSE(decode_record("junk").has_value());
    CHECK_FALSE(decode_member("").has_value());
}
