#include "context.hpp"

#include <plantainward/core/last_error.hpp>
#include <plantainward/platform/http_platform.hpp>

#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainctl
{

namespace json = boost::json;
namespace platform = plantainward::platform;
using core::error_kind;
using platform::platform_outcome;

namespace
{

constexpr core::millis request_timeout{3000};
constexpr int status_ok = 200;

std::optional<revision_in_force> from_platform(const core::address& address)
{
    boost::asio::io_context io;
    platform::http_platform services(io, address, request_timeout);
    platform::reply<platform::table_row> row;
    services.read_row(std::string(intent::head_row),
                      [&](const auto& reply) { row = reply; });
    io.run_for(request_timeout);
    if (row.outcome == platform_outcome::not_found)
        return revision_in_force{};
    if (row.outcome != platform_outcome::ok)
        return core::fail(error_kind::platform_down,
                          "the table service does not answer");
    const auto head = intent::decode_head(row.value.value, row.value.version);
    if (!head)
        return std::nullopt;
    platform::reply<std::string> body;
    services.get_object(head->digest, [&](const auto& reply) { body = reply; });
    io.restart();
    io.run_for(request_timeout);
    if (body.outcome != platform_outcome::ok)
        return core::fail(error_kind::platform_down,
                          "the object store does not answer");
    auto files = intent::decode_bundle(body.value);
    if (!files)
        return std::nullopt;
    return revision_in_force{*head, std::move(*files)};
}

std::optional<revision_in_force> from_proxy(const core::address& proxy)
{
    const auto answer =
        send_to_proxy(proxy, {"GET", "/admin/revision", {}, {}});
    if (!answer)
        return std::nullopt;
    revision_in_force current;
    current.head.revision = answer->at("revision").to_number<std::uint64_t>();
    current.head.digest = std::string(answer->at("digest").as_string());
    current.head.author = std::string(answer->at("author").as_string());
    if (current.head.revision == 0)
        return current;
    auto files = intent::decode_bundle(answer->at("body").as_string());
    if (!files)
        return std::nullopt;
    current.files = std::move(*files);
    return current;
}

} // namespace

std::optional<json::value> send_to_proxy(const core::address& proxy,
                                         const http::request& message)
{
    const auto result = http::send_and_wait(proxy, message, request_timeout);
    if (result.outcome != http::exchange_outcome::answered)
        return core::fail(error_kind::unavailable, "proxy " +
                                                       core::to_string(proxy) +
                                                       " does not answer");
    boost::system::error_code parse_error;
    auto value = json::parse(result.body, parse_error);
    if (parse_error)
        return core::fail(error_kind::internal, "malformed answer from proxy " +
                                                    core::to_string(proxy));
    if (result.status != status_ok)
        return core::fail(
            error_kind::unavailable,
            "proxy " + core::to_string(proxy) + ": " +
                std::string(value.at("error").at("reason").as_string()));
    return value;
}

std::optional<revision_in_force> read_in_force(const context& target)
{
    if (target.platform)
    {
        auto current = from_platform(*target.platform);
        if (current)
            return current;
    }
    for (const auto& proxy : target.proxies)
        if (auto current = from_proxy(proxy))
            return current;
    if (!target.platform && target.proxies.empty())
        return core::fail(error_kind::bad_setting,
                          "--platform or --proxy must be given");
    return std::nullopt;
}

void print(const json::value& value)
{
    std::cout << json::serialize(value) << '\n';
}

} // namespace plantainctl
