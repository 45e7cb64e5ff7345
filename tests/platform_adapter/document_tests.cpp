#include <documents.hpp>
#include <host_settings.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <support/odd_entries.hpp>

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

// The routing with a field `tenants` of this text.
std::string with_workspaces(const std::string& tenants)
{
    return routing_text.substr(0, routing_text.size() - 1) +
           ",\"tenants\":" + tenants + "}";
}

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

// Guards against processes that end, or use what is no database, because of an
// entry of another writer.
TEST(documents, an_odd_entry_among_the_databases_names_no_database)
{
    for (const auto& [what, text] : support::odd_entries())
        CHECK_FALSE_TEXT(decode_upstream("i-1", text).has_value(),
                         what.c_str());
}

// Guards against an id that ends the line in which it is sent to a database,
// and goes on as another request.
TEST(documents, an_id_that_is_no_word_names_no_database)
{
    for (const char* id : {"", " ", "a b", "i\r\nQUERY 1 WRITE a 1", "i\x7f"})
        CHECK_FALSE_TEXT(decode_upstream(id, registration_text).has_value(),
                         id);
}

TEST(documents, a_time_limit_too_large_for_the_clock_is_ignored)
{
    auto text = routing_text;
    text.replace(text.find("800"), 3, "1e300");
    const auto decoded = decode_routing(text);
    CHECK(decoded->find("db1")->timeout == routes::route{}.timeout);
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

// Guards against promotions that ignore how commits are acknowledged.
TEST(documents, the_number_of_acknowledging_replicas_is_decoded)
{
    auto text = routing_text;
    LONGS_EQUAL(0, decode_routing(text)->services.at("s").sync_replicas);
    text.insert(text.find("\"max_connections\""), "\"sync_replicas\":1,");
    LONGS_EQUAL(1, decode_routing(text)->services.at("s").sync_replicas);
}

TEST(documents, a_routing_without_a_required_field_is_rejected)
{
    for (const char* field : {"version", "routes", "services", "host", "kind"})
        CHECK_FALSE_TEXT(
            decode_routing(without(routing_text, field)).has_value(), field);
}

TEST(documents, a_routing_without_workspaces_requires_no_keys)
{
    const auto decoded = decode_routing(routing_text);
    CHECK_FALSE(decoded->has_workspaces);
    CHECK(decoded->workspaces.empty());
    CHECK_FALSE(decoded->find("db1")->is_public);
}

TEST(documents, workspaces_are_decoded_and_their_keys_kept_as_digests_only)
{
    const auto decoded = decode_routing(with_workspaces(
        R"([{"name":"w1","api_keys":["k1","k2"],"priority":3,"rate_per_s":40.5,
             "burst":20},{"name":"w2","api_keys":[]},
            {"name":"w3","api_keys":["k3"],"rate_per_s":null,"burst":null}])"));
    CHECK(decoded.has_value());
    CHECK(decoded->has_workspaces);
    LONGS_EQUAL(3, decoded->workspaces.size());
    LONGS_EQUAL(3, decoded->workspace_by_key_digest.size());
    const auto* workspace = decoded->find_workspace(core::sha256_hex("k2"));
    CHECK(workspace != nullptr);
    STRCMP_EQUAL("w1", workspace->name.c_str());
    LONGS_EQUAL(3, workspace->priority);
    CHECK((workspace->quota == routes::quota_limit{40.5, 20}));
    CHECK_FALSE(decoded->workspaces.at("w2").quota.has_value());
    CHECK_FALSE(decoded->workspaces.at("w3").quota.has_value());
    POINTERS_EQUAL(nullptr, decoded->find_workspace("k2"));
    POINTERS_EQUAL(nullptr, decoded->find_workspace(""));
}

// Removing the last workspace must not admit callers without a key.
TEST(documents, an_empty_list_of_workspaces_still_requires_keys)
{
    const auto decoded = decode_routing(with_workspaces("[]"));
    CHECK(decoded->has_workspaces);
    CHECK(decoded->workspaces.empty());
}

TEST(documents, a_key_of_two_workspaces_rejects_the_routing)
{
    CHECK_FALSE(decode_routing(with_workspaces(
                                   R"([{"name":"a","api_keys":["secret-key"]},
                        {"name":"b","api_keys":["x","secret-key"]}])"))
                    .has_value());
    // Reasons are logged, so they must not contain a key.
    CHECK(core::last_error().text.find("secret-key") == std::string::npos);
    CHECK(decode_routing(
              with_workspaces(R"([{"name":"a","api_keys":["k","k"]}])"))
              .has_value());
}

TEST(documents, malformed_workspaces_reject_the_routing)
{
    for (const char* tenants :
         {R"([{"api_keys":["k"]}])", R"([{"name":"","api_keys":["k"]}])",
          R"([{"name":7,"api_keys":["k"]}])", R"(["w"])", R"({"name":"w"})",
          "null", R"([{"name":"w"},{"name":"w"}])",
          R"([{"name":"w","api_keys":"k"}])",
          R"([{"name":"w","api_keys":[7]}])",
          R"([{"name":"w","api_keys":[""]}])",
          R"([{"name":"w","rate_per_s":"9","burst":9}])",
          R"([{"name":"w","rate_per_s":9}])", R"([{"name":"w","burst":9}])",
          R"([{"name":"w","rate_per_s":-1,"burst":9}])",
          R"([{"name":"w","rate_per_s":9,"burst":-1}])"})
        CHECK_FALSE_TEXT(decode_routing(with_workspaces(tenants)).has_value(),
                         tenants);
}

TEST(documents, a_route_is_public_only_if_it_says_so)
{
    const auto with_public = [](const std::string& value) {
        auto text = routing_text;
        text.insert(text.find("\"host\""), "\"public\":" + value + ",");
        return decode_routing(text);
    };
    CHECK(with_public("true")->find("db1")->is_public);
    CHECK_FALSE(with_public("false")->find("db1")->is_public);
    CHECK_FALSE(with_public("1").has_value());
    CHECK_FALSE(with_public("null").has_value());
}

TEST(documents, a_thousand_keys_are_decoded)
{
    std::string tenants = "[";
    for (int workspace = 0; workspace < 10; ++workspace)
    {
        tenants += std::string(workspace == 0 ? "" : ",") + R"({"name":"w)" +
                   std::to_string(workspace) +
                   R"(","rate_per_s":5,"burst":5,"api_keys":[)";
        for (int key = 0; key < 100; ++key)
            tenants += std::string(key == 0 ? "\"" : ",\"") + "k" +
                       std::to_string(workspace * 100 + key) + "\"";
        tenants += "]}";
    }
    const auto decoded = decode_routing(with_workspaces(tenants + "]"));
    CHECK(decoded.has_value());
    LONGS_EQUAL(1000, decoded->workspace_by_key_digest.size());
    for (int key = 0; key < 1000; ++key)
    {
        const auto* workspace = decoded->find_workspace(
            core::sha256_hex("k" + std::to_string(key)));
        CHECK(workspace != nullptr);
        STRCMP_EQUAL(("w" + std::to_string(key / 100)).c_str(),
                     workspace->name.c_str());
    }
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
