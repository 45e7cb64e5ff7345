#include "store.hpp"

#include <charconv>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr ms answer_time{4};
constexpr std::size_t max_rows = 500;

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

std::map<std::string, std::string> parameters_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto position = target.find('?');
    while (position != std::string::npos)
    {
        const auto next = target.find('&', position + 1);
        const auto part = target.substr(position + 1, next - position - 1);
        const auto equals_sign = part.find('=');
        if (equals_sign != std::string::npos)
            query[part.substr(0, equals_sign)] =
                percent_decode(part.substr(equals_sign + 1));
        position = next;
    }
    return query;
}

std::string text_in(const json::object& fields, const char* name)
{
    return std::string(fields.at(name).as_string());
}

std::size_t content_length(const std::string& header)
{
    constexpr std::string_view name = "\r\ncontent-length:";
    std::string lower;
    for (const char c : header)
        lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const auto found = lower.find(name);
    return found == std::string::npos
               ? 0
               : std::stoul(lower.substr(found + name.size()));
}

} // namespace

store::store(record& log, const tcp::endpoint& address,
             promotion_handler on_promotion)
    : m_record(log), m_on_promotion(std::move(on_promotion)),
      m_acceptor(m_io, address)
{
    std::thread([this] { accept(); }).detach();
}

void store::accept()
{
    for (;;)
    {
        error_code error;
        auto socket = m_acceptor.accept(error);
        if (error)
            return;
        std::thread([this, accepted = std::move(socket)]() mutable {
            serve(std::move(accepted));
        }).detach();
    }
}

void store::serve(tcp::socket socket)
{
    std::string input;
    error_code error;
    for (;;)
    {
        const auto header_size = asio::read_until(
            socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
        if (error)
            return;
        const auto header = input.substr(0, header_size);
        const auto body_size = content_length(header);
        if (input.size() < header_size + body_size)
            asio::read(
                socket, asio::dynamic_buffer(input),
                asio::transfer_exactly(header_size + body_size - input.size()),
                error);
        if (error)
            return;
        const auto body = input.substr(header_size, body_size);
        input.erase(0, header_size + body_size);
        const auto target_start = header.find(' ') + 1;
        const auto target = header.substr(
            target_start, header.find(' ', target_start) - target_start);
        std::this_thread::sleep_for(answer_time);
        const auto [status, fields] = handle(target, body);
        const auto text = json::serialize(fields);
        asio::write(socket,
                    asio::buffer("HTTP/1.1 " + std::to_string(status) +
                                 " -\r\nContent-Type: application/json\r\n"
                                 "Content-Length: " +
                                 std::to_string(text.size()) + "\r\n\r\n" +
                                 text),
                    error);
        if (error)
            return;
    }
}

store::answer store::handle(const std::string& target, const std::string& body)
{
    if (target == "/promotion")
        return promote(json::parse(body).as_object());
    if (m_is_down)
        return {503, {}};
    if (target == "/rows-tx")
        return transact(json::parse(body).as_object());
    const auto query = parameters_of(target);
    if (target.starts_with("/rows-feed?"))
        return feed(query);
    if (!target.starts_with("/rows-get?"))
        return {404, {}};
    const std::lock_guard lock(m_mutex);
    return get(query);
}

store::answer store::promote(const json::object& body)
{
    const auto service = text_in(body, "service");
    const auto id = text_in(body, "id");
    m_record.line("the platform is asked to promote " + id + " of " + service);
    return {m_on_promotion(service, id), {}};
}

std::uint64_t store::version_of(const row_name& name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() || found->second.removed
               ? 0
               : found->second.version;
}

store::answer store::transact(const json::object& body)
{
    const std::lock_guard lock(m_mutex);
    const auto name_of = [](const json::value& value) {
        const auto& fields = value.as_object();
        return row_name{text_in(fields, "table"), text_in(fields, "key")};
    };
    for (const auto& wanted : body.at("expect").as_array())
        if (version_of(name_of(wanted)) !=
            wanted.at("record_version").to_number<std::uint64_t>())
            return {412,
                    {{"rows", json::array()}, {"record_version", m_version}}};
    ++m_version;
    for (const auto& written : body.at("upsert_rows").as_array())
        m_rows[name_of(written)] = {text_in(written.as_object(), "value"),
                                    m_version, false};
    for (const auto& removed : body.at("remove").as_array())
        m_rows[name_of(removed)] = {{}, m_version, true};
    m_changed.notify_all();
    return {200, {{"record_version", m_version}, {"now_ms", 1}}};
}

json::object store::json_of(const row_name& name, const row& stored)
{
    json::object fields{{"table", name.first},
                        {"part", ""},
                        {"key", name.second},
                        {"value", stored.encoded_value},
                        {"record_version", stored.version}};
    if (stored.removed)
        fields["tombstone"] = true;
    return fields;
}

store::answer store::get(const parameters& query) const
{
    json::array rows;
    bool has_more = false;
    const auto from = query.contains("from") ? query.at("from") : std::string();
    for (const auto& [name, stored] : m_rows)
    {
        if (name.first != query.at("table") || stored.removed ||
            name.second < from)
            continue;
        has_more = rows.size() == max_rows;
        if (has_more)
            break;
        rows.push_back(json_of(name, stored));
    }
    return {200,
            {{"rows", std::move(rows)},
             {"has_more", has_more},
             {"record_version", m_version},
             {"now_ms", 1}}};
}

store::answer store::feed(const parameters& query)
{
    const auto after = std::stoull(query.at("after"));
    const auto end = steady::now() + ms(std::stoul(query.at("wait_ms")));
    std::unique_lock lock(m_mutex);
    std::map<std::uint64_t, json::object> changes;
    const auto has_changes = [&] {
        for (const auto& [name, stored] : m_rows)
            if (name.first == query.at("table") && stored.version > after)
                changes[stored.version] = json_of(name, stored);
        return !changes.empty();
    };
    m_changed.wait_until(lock, end, [&] { return m_is_down || has_changes(); });
    if (m_is_down)
        return {503, {}};
    json::array rows;
    for (auto& [version, fields] : changes)
        rows.push_back(std::move(fields));
    return {200,
            {{"rows", std::move(rows)},
             {"record_version", m_version},
             {"now_ms", 1}}};
}

void store::set_down(bool is_down)
{
    m_record.line(is_down ? "the store is down: it answers 503"
                          : "the store is back");
    m_is_down = is_down;
    const std::lock_guard lock(m_mutex);
    m_changed.notify_all();
}

bool store::put(const std::string& table, const std::string& key,
                const json::value& value)
{
    if (m_is_down)
        return false;
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows[{table, key}] = {base64(json::serialize(value)), m_version, false};
    m_changed.notify_all();
    return true;
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows[{table, key}] = {{}, m_version, true};
    m_changed.notify_all();
}

} // namespace review
