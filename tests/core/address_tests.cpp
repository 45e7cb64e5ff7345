#include <plantainward/core/address.hpp>
#include <plantainward/core/digest.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainward;

TEST_GROUP(address){};

TEST(address, an_ip_address_and_a_port_are_parsed)
{
    const auto parsed = core::parse_address("127.0.0.1:7101");
    CHECK(parsed.has_value());
    CHECK(parsed->ip == "127.0.0.1");
    LONGS_EQUAL(7101, parsed->port);
}

TEST(address, malformed_texts_are_rejected)
{
    for (const auto* text : {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x",
                             "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:1x"})
        CHECK_FALSE(core::parse_address(text).has_value());
}

TEST(address, base64url_decodes_what_it_encodes_at_every_length)
{
    std::string bytes;
    for (int i = 0; i < 100; ++i)
    {
        const auto text = core::base64url_encode(bytes);
        CHECK(core::base64url_decode(text) == bytes);
        bytes += static_cast<char>(i * 37);
    }
    CHECK_FALSE(core::base64url_decode("a").has_value());
    CHECK_FALSE(core::base64url_decode("+/==").has_value());
}
