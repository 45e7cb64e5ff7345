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

std::optional<core::address> address_in(const json::value* field)
{
    const auto* text = field == nullptr ? nullptr : field->if_string();
    return text == nullptr ? std::nullopt
                           : core::parse_address(std::string(*text));
}

std::optional<core::host> proxy_from(const json::value& item)
{
    const auto* fields = item.if_object();
    if (fields == nullptr)
        return std::nullopt;
    const auto* name = fields->if_contains("name");
    const auto* domain = fields->if_contains("failure_domain");
    const auto caller = address_in(fields->if_contains("caller"));
    const auto peer = address_in(fields->if_contains("peer"));
    if (name == nullptr || !name->is_string() || domain == nullptr ||
        !domain->is_string() || !caller || !peer)
        return std::nullopt;
    return core::host{std::string(name->get_string()),
                      std::string(domain->get_string()), *caller, *peer};
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
        // A malformed entry names nobody; the others hold.
        for (const auto& item : fields.at("proxies").as_array())
            if (auto proxy = proxy_from(item))
                hosts.proxies.push_back(std::move(*proxy));
        for (const auto& item : fields.at("leaving_upstreams").as_array())
            if (auto address = address_in(&item))
                hosts.leaving_upstreams.push_back(std::move(*address));
        return hosts;
    });
}

} // namespace plantainward::platform::wire
