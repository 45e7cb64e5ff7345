#include "store.hpp"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

namespace soak
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::milliseconds answer_time{4};
constexpr std::chrono::milliseconds transaction_time{8};
constexpr std::chrono::milliseconds slow_time{250};
constexpr std::chrono::milliseconds feed_interval{5};
constexpr std::size_t max_rows = 500;
constexpr double lost_share = 0.35;

std::string base64(const std::string& bytes)
{
    namespace coder = boost::beast::detail::base64;
    std::string text(coder::encoded_size(bytes.size()), '\0');
    text.resize(coder::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string percent_decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned byte = 0;
        const auto* digits = text.data() + i + 1;
        const bool is_escape =
            text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        decoded += is_escape ? static_cast<char>(byte) : text[i];
        i += is_escape ? 2 : 0;
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto position = target.find('?');
    while (position != std::string::npos)
    {
        const auto next = target.find('&', position + 1);
        const auto part = target.substr(position + 1, next - position - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] =
                percent_decode(part.substr(equals + 1));
        position = next;
    }
    return query;
}

std::string text_in(const json::object& fields, const char* name)
{
    const auto* found = fields.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

std::uint64_t number_of(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

store::store(asio::io_context& io, recorder& record, std::uint64_t seed,
             promotion_handler on_promotion)
    : m_io(io), m_record(record), m_dice(seed, 2),
      m_on_promotion(std::move(on_promotion))
{
}

bool store::listen(std::size_t host, const tcp::endpoint& address)
{
    error_code error;
    auto acceptor = std::make_shared<tcp::acceptor>(m_io);
    acceptor->open(tcp::v4(), error);
    if (acceptor->bind(address, error) ||
        acceptor->listen(asio::socket_base::max_listen_connections, error))
        return false;
    spawn(m_io, [this, host, acceptor] { return accept(host, acceptor); });
    return true;
}

task store::accept(std::size_t host, std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;)
    {
        auto [error, socket] = co_await acceptor->async_accept(use_result);
        if (error)
            co_return;
        const auto peer = std::make_shared<connection>(std::move(socket));
        error_code ignored;
        peer->socket.set_option(tcp::no_delay(true), ignored);
        m_connections[host].insert(peer);
        spawn(m_io, [this, host, peer] { return serve(host, peer); });
    }
}

void store::mute_connections(std::size_t host)
{
    for (const auto& peer : m_connections[host])
        peer->is_muted = true;
}

task store::serve(std::size_t host, std::shared_ptr<connection> peer)
{
    boost::beast::flat_buffer buffer;
    for (;;)
    {
        request_message message;
        const auto [error, size] = co_await http::async_read(
            peer->socket, buffer, message, use_result);
        if (error)
            break;
        const auto fault = m_faults[host];
        if (peer->is_muted || fault == store_fault::silent)
        {
            peer->is_muted = true;
            continue;
        }
        if (fault == store_fault::reset)
        {
            error_code ignored;
            peer->socket.set_option(asio::socket_base::linger(true, 0),
                                    ignored);
            break;
        }
        if (fault == store_fault::slow)
            co_await pause(slow_time);
        answer result;
        if (fault == store_fault::busy)
            result.status = 503;
        else if (fault == store_fault::too_many)
            result.status = 429;
        else
            result = co_await handle(message);
        if (fault == store_fault::lost_answers && m_dice.chance(lost_share))
            peer->is_muted = true;
        if (peer->is_muted)
            continue;
        http::response<http::string_body> response;
        response.result(static_cast<unsigned>(result.status));
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(result.body);
        response.prepare_payload();
        const auto [write_error, written] =
            co_await http::async_write(peer->socket, response, use_result);
        if (write_error)
            break;
    }
    error_code ignored;
    peer->socket.close(ignored);
    m_connections[host].erase(peer);
}

asio::awaitable<store::answer> store::handle(const request_message& message)
{
    const std::string target(message.target());
    if (target.starts_with("/rows-feed"))
        co_return co_await feed(target);
    co_await pause(target == "/rows-tx" ? transaction_time : answer_time);
    if (target == "/rows-tx")
        co_return transact(message.body());
    if (target == "/promotion")
        co_return promote(message);
    auto query = query_of(target);
    if (target.starts_with("/rows-get"))
        co_return get(query);
    co_return answer{404, "{}"};
}

store::answer store::promote(const request_message& message)
{
    const auto fields = json::parse(message.body()).get_object();
    const auto status =
        m_on_promotion(text_in(fields, "service"), text_in(fields, "id"));
    m_record.line("promotion of " + text_in(fields, "id") + " by " +
                  std::string(message["X-Duty-Holder"]) + " with token " +
                  std::string(message["X-Fencing-Token"]) + ": " +
                  std::to_string(status));
    return {status, "{}"};
}

store::answer store::transact(const std::string& body)
{
    const auto fields = json::parse(body).get_object();
    const auto rows_in = [&](const char* name) {
        const auto* rows = fields.if_contains(name);
        return rows != nullptr && rows->is_array() ? rows->get_array()
                                                   : json::array();
    };
    for (const auto& entry : rows_in("expect"))
    {
        const auto& expected = entry.get_object();
        const auto found =
            m_rows.find({text_in(expected, "table"), text_in(expected, "key")});
        const auto version = found == m_rows.end() || found->second.is_removed
                                 ? 0
                                 : found->second.version;
        if (version != expected.at("record_version").to_number<std::uint64_t>())
            return {412, json::serialize(
                             json::object{{"rows", json::array{}},
                                          {"record_version", m_version},
                                          {"now_ms", m_record.now() / 1000}})};
    }
    ++m_version;
    for (const auto& entry : rows_in("upsert_rows"))
    {
        const auto& changed = entry.get_object();
        change(text_in(changed, "table"), text_in(changed, "key"),
               {text_in(changed, "value"), m_version, false});
    }
    for (const auto& entry : rows_in("remove"))
    {
        const auto& dropped = entry.get_object();
        change(text_in(dropped, "table"), text_in(dropped, "key"),
               {{}, m_version, true});
    }
    return {200,
            json::serialize(json::object{{"record_version", m_version},
                                         {"now_ms", m_record.now() / 1000}})};
}

store::answer store::get(query_fields& query) const
{
    const auto limit =
        query["limit"].empty() ? max_rows : number_of(query["limit"]);
    json::array rows;
    bool has_more = false;
    for (const auto& [key, stored] : m_rows)
    {
        if (key.first != query["table"] || stored.is_removed ||
            key.second < query["from"] ||
            (!query["to"].empty() && key.second >= query["to"]))
            continue;
        has_more = rows.size() == limit;
        if (has_more)
            break;
        rows.push_back(json::object{{"table", key.first},
                                    {"part", ""},
                                    {"key", key.second},
                                    {"value", stored.value},
                                    {"record_version", stored.version}});
    }
    return {200,
            json::serialize(json::object{{"rows", std::move(rows)},
                                         {"has_more", has_more},
                                         {"record_version", m_version},
                                         {"now_ms", m_record.now() / 1000}})};
}

asio::awaitable<store::answer> store::feed(const std::string& target)
{
    auto query = query_of(target);
    const auto table = query["table"];
    const auto after = number_of(query["after"]);
    const auto deadline =
        m_record.now() +
        from_ms(static_cast<std::int64_t>(number_of(query["wait_ms"])));
    if (after + 1 < m_first_version || after > m_version)
        co_return answer{410, "{}"};
    while (m_table_versions[table] <= after && m_record.now() < deadline)
        co_await pause(feed_interval);
    co_return changes(table, after);
}

store::answer store::changes(const std::string& table,
                             std::uint64_t after) const
{
    std::vector<std::pair<std::uint64_t, json::object>> changed;
    for (const auto& [key, stored] : m_rows)
    {
        if (key.first != table || stored.version <= after)
            continue;
        json::object fields{{"table", table},
                            {"part", ""},
                            {"key", key.second},
                            {"record_version", stored.version}};
        if (stored.is_removed)
            fields["tombstone"] = true;
        else
            fields["value"] = stored.value;
        changed.emplace_back(stored.version, std::move(fields));
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    json::array rows;
    for (auto& [version, fields] : changed)
        rows.push_back(std::move(fields));
    return {200,
            json::serialize(json::object{{"rows", std::move(rows)},
                                         {"record_version", m_version},
                                         {"now_ms", m_record.now() / 1000}})};
}

void store::put(const std::string& table, const std::string& key,
                const std::string& text)
{
    change(table, key, {base64(text), ++m_version, false});
    m_record.line("store: " + table + "/" + key + " = " + text);
}

void store::remove(const std::string& table, const std::string& key)
{
    if (!m_rows.contains({table, key}) || m_rows.at({table, key}).is_removed)
        return;
    change(table, key, {{}, ++m_version, true});
    m_record.line("store: " + table + "/" + key + " removed");
}

void store::change(const std::string& table, const std::string& key,
                   row changed)
{
    m_table_versions[table] = changed.version;
    m_rows[{table, key}] = std::move(changed);
}

} // namespace soak
