#include <plantainward/platform/http_platform.hpp>

#include <plantainward/platform/wire.hpp>

#include <utility>

namespace plantainward::platform
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

platform_outcome outcome_of(const http::exchange_result& result)
{
    if (result.outcome == http::exchange_outcome::not_sent)
        return platform_outcome::down;
    if (result.outcome != http::exchange_outcome::answered)
        return platform_outcome::unknown;
    if (result.status == status_ok)
        return platform_outcome::ok;
    if (result.status == status_not_found)
        return platform_outcome::not_found;
    return result.status == status_conflict ? platform_outcome::conflict
                                            : platform_outcome::unknown;
}

/// Makes an exchange handler that passes the decoded body on as a reply; a
/// malformed body counts as unknown.
template <class T, class Decoder>
http::exchange_handler decode_with(reply_handler<T> handler, Decoder decode)
{
    return [handler = std::move(handler),
            decode](const http::exchange_result& result) {
        reply<T> answer{outcome_of(result), {}};
        if (answer.outcome == platform_outcome::ok)
        {
            if (auto value = decode(result.body))
                answer.value = std::move(*value);
            else
                answer.outcome = platform_outcome::unknown;
        }
        handler(std::move(answer));
    };
}

std::optional<std::string> decode_text(const std::string& body)
{
    return body;
}

} // namespace

http_platform::http_platform(boost::asio::io_context& io, core::address address,
                             core::millis timeout)
    : m_address(std::move(address)), m_timeout(timeout),
      m_client(http::client::create(io))
{
}

void http_platform::read_row(const std::string& name,
                             reply_handler<table_row> handler)
{
    m_client->send(
        m_address, {"GET", "/table/" + name, {}, {}}, m_timeout,
        decode_with<table_row>(std::move(handler), wire::decode_row));
}

void http_platform::compare_and_set(const std::string& name,
                                    std::uint64_t expected_version,
                                    const std::string& value,
                                    reply_handler<table_row> handler)
{
    m_client->send(
        m_address,
        {"PUT",
         "/table/" + name,
         {},
         wire::encode(table_row{value, expected_version})},
        m_timeout,
        decode_with<table_row>(std::move(handler), wire::decode_row));
}

void http_platform::put_object(const std::string& key, const std::string& body,
                               reply_handler<std::string> handler)
{
    m_client->send(m_address, {"PUT", "/objects/" + key, {}, body}, m_timeout,
                   decode_with<std::string>(std::move(handler), decode_text));
}

void http_platform::get_object(const std::string& key,
                               reply_handler<std::string> handler)
{
    m_client->send(m_address, {"GET", "/objects/" + key, {}, {}}, m_timeout,
                   decode_with<std::string>(std::move(handler), decode_text));
}

void http_platform::list_hosts(reply_handler<listed_hosts> handler)
{
    m_client->send(
        m_address, {"GET", "/hosts", {}, {}}, m_timeout,
        decode_with<listed_hosts>(std::move(handler), wire::decode_hosts));
}

} // namespace plantainward::platform
