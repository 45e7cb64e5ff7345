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

template <class Decoder>
auto guarded(std::string_view text, Decoder decode)
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

core::address address_from(const json::value& from)
{
    return core::parse_address(std::string(from.as_string()))
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
    return guarded(text, [](const json::object& from) {
        return table_row{std::string(from.at("value").as_string()),
                         from.at("version").to_number<std::uint64_t>()};
    });
}

std::string encode(const listed_hosts& hosts)
{
    json::array proxies;
    for (const auto& one : hosts.proxies)
        proxies.push_back(json::object{{"name", one.name},
                                       {"failure_domain", one.failure_domain},
                                       {"caller", core::to_string(one.caller)},
                                       {"peer", core::to_string(one.peer)}});
    json::array leaving;
    for (const auto& one : hosts.leaving_upstreams)
        leaving.push_back(json::string(core::to_string(one)));
    return json::serialize(
        json::object{{"proxies", std::move(proxies)},
                     {"leaving_upstreams", std::move(leaving)}});
}

std::optional<listed_hosts> decode_hosts(std::string_view text)
{
    return guarded(text, [](const json::object& from) {
        listed_hosts hosts;
        for (const auto& item : from.at("proxies").as_array())
        {
            const auto& one = item.as_object();
            hosts.proxies.push_back(
                {std::string(one.at("name").as_string()),
                 std::string(one.at("failure_domain").as_string()),
                 address_from(one.at("caller")), address_from(one.at("peer"))});
        }
        for (const auto& item : from.at("leaving_upstreams").as_array())
            hosts.leaving_upstreams.push_back(address_from(item));
        return hosts;
    });
}

} // namespace plantainward::platform::wire
