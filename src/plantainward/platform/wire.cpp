#include <plantainward/platform/wire.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>

#include <exception>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::platform::wire
{

namespace json = boost::json;

namespace
{

/// Decodes a JSON object; empty optional with a reason when the text is
/// malformed or the decoder throws.
template <class Decoder>
auto decode_object(std::string_view text, Decoder decode)
    -> std::optional<decltype(decode(std::declval<const json::object&>()))>
{
    try
    {
        return decode(json::parse({text.data(), text.size()}).as_object());
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::platform_down,
                          std::string("malformed answer: ") + error.what());
    }
}

core::address address_from(const json::value& text)
{
    return core::parse_address(std::string(text.as_string()))
        .value_or(core::address{});
}

} // namespace

std::string encode(const table_row& row)
{
    return json::serialize(
        json::object{{"value", row.value}, {"version", row.version}});
}

std::optional<table_row> decode_row(std::string_view text)
{
    return decode_object(text, [](const json::object& fields) {
        return table_row{std::string(fields.at("value").as_string()),
                         fields.at("version").to_number<std::uint64_t>()};
    });
}

std::string encode(const listed_hosts& hosts)
{
    json::array proxies;
    for (const auto& proxy : hosts.proxies)
        proxies.push_back(
            json::object{{"name", proxy.name},
                         {"failure_domain", proxy.failure_domain},
                         {"caller", core::to_string(proxy.caller)},
                         {"peer", core::to_string(proxy.peer)}});
    json::array leaving;
    for (const auto& address : hosts.leaving_upstreams)
        leaving.push_back(json::string(core::to_string(address)));
    return json::serialize(
        json::object{{"proxies", std::move(proxies)},
                     {"leaving_upstreams", std::move(leaving)}});
}

std::optional<listed_hosts> decode_hosts(std::string_view text)
{
    return decode_object(text, [](const json::object& fields) {
        listed_hosts hosts;
        for (const auto& item : fields.at("proxies").as_array())
        {
            const auto& proxy = item.as_object();
            hosts.proxies.push_back(
                {std::string(proxy.at("name").as_string()),
                 std::string(proxy.at("failure_domain").as_string()),
                 address_from(proxy.at("caller")),
                 address_from(proxy.at("peer"))});
        }
        for (const auto& item : fields.at("leaving_upstreams").as_array())
            hosts.leaving_upstreams.push_back(address_from(item));
        return hosts;
    });
}

} // namespace plantainward::platform::wire
