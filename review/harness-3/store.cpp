#include "store.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <thread>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>

namespace review
{

namespace json = boost::json;

namespace
{

// Time of an answer, and of a transaction.
constexpr std::int64_t answer_time_ms = 4;
constexpr std::int64_t transaction_time_ms = 8;

std::string encode(const std::string& bytes)
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
        if (text[i] == '%' && i + 2 < text.size())
        {
            std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
            decoded += static_cast<char>(byte);
            i += 2;
        }
        else
            decoded += text[i];
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
        if (const auto equals = part.find('='); equals != std::string::npos)
            query[part.substr(0, equals)] =
                percent_decode(part.substr(equals + 1));
        position = next;
    }
    return query;
}

std::pair<std::string, std::string> key_of(const json::value& entry)
{
    const auto& fields = entry.get_object();
    return {std::string(fields.at("table").get_string()),
            std::string(fields.at("key").get_string())};
}

} // namespace

row_store::row_store(const std::string& ip, std::uint16_t port,
                     promotion_handler on_promotion)
    : m_on_promotion(std::move(on_promotion))
{
    const int listener = listen_on(ip, port);
    std::thread([this, listener] {
        while (true)
        {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, client = std::make_shared<stream>(fd)] {
                serve(client);
            }).detach();
        }
    }).detach();
}

void row_store::put(const std::string& table, const std::string& key,
                    const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {encode(text), ++m_version, false};
    m_changed.notify_all();
}

void row_store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {{}, ++m_version, true};
    m_changed.notify_all();
}

void row_store::serve(const std::shared_ptr<stream>& client)
{
    while (true)
    {
        auto request = client->read_line();
        if (!request)
            return;
        const auto method = take_word(*request);
        const auto target = take_word(*request);
        std::map<std::string, std::string> fields;
        while (true)
        {
            const auto line = client->read_line();
            if (!line)
                return;
            if (line->empty())
                break;
            const auto colon = line->find(": ");
            auto name = line->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            fields[name] = line->substr(colon + 2);
        }
        std::string body;
        if (fields.contains("content-length"))
        {
            const auto bytes =
                client->read_bytes(std::stoul(fields.at("content-length")));
            if (!bytes)
                return;
            body = *bytes;
        }
        const auto reply = handle(method, target, fields, body);
        const auto text = json::serialize(reply.body);
        if (!client->write("HTTP/1.1 " + std::to_string(reply.status) +
                           " answer\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

row_store::answer
row_store::handle(const std::string& method, const std::string& target,
                  const std::map<std::string, std::string>& fields,
                  const std::string& body)
{
    sleep_ms(answer_time_ms);
    if (method == "POST" && target == "/promotion")
    {
        const auto call = json::parse(body).get_object();
        return {m_on_promotion(std::string(call.at("service").get_string()),
                               std::string(call.at("id").get_string()),
                               fields.at("x-duty-holder"),
                               std::stoull(fields.at("x-fencing-token"))),
                {}};
    }
    if (method == "POST" && target == "/rows-tx")
        return transact(body);
    if (target.starts_with("/rows-get"))
        return get(query_of(target));
    if (target.starts_with("/rows-feed"))
        return feed(query_of(target));
    return {404, {}};
}

json::object row_store::describe(const std::pair<std::string, std::string>& key,
                                 const row& stored) const
{
    json::object fields{{"table", key.first},
                        {"part", ""},
                        {"key", key.second},
                        {"record_version", stored.version}};
    if (stored.removed)
        fields["tombstone"] = true;
    else
        fields["value"] = stored.value;
    return fields;
}

row_store::answer row_store::transact(const std::string& body)
{
    sleep_ms(transaction_time_ms);
    const auto call = json::parse(body).get_object();
    const std::lock_guard lock(m_mutex);
    json::array current;
    bool holds = true;
    for (const auto& entry : call.at("expect").get_array())
    {
        const auto found = m_rows.find(key_of(entry));
        const bool exists = found != m_rows.end() && !found->second.removed;
        if (exists)
            current.push_back(describe(found->first, found->second));
        holds = holds && (exists ? found->second.version : 0) ==
                             entry.get_object()
                                 .at("record_version")
                                 .to_number<std::uint64_t>();
    }
    if (!holds)
        return {412,
                {{"rows", std::move(current)},
                 {"record_version", m_version},
                 {"now_ms", now_ms()}}};
    ++m_version;
    for (const auto& entry : call.at("upsert_rows").get_array())
        m_rows[key_of(entry)] = {
            std::string(entry.get_object().at("value").get_string()), m_version,
            false};
    for (const auto& entry : call.at("remove").get_array())
        m_rows[key_of(entry)] = {{}, m_version, true};
    m_changed.notify_all();
    return {200, {{"record_version", m_version}, {"now_ms", now_ms()}}};
}

row_store::answer
row_store::get(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(m_mutex);
    json::array rows;
    for (const auto& [key, stored] : m_rows)
    {
        const bool is_before =
            query.contains("from") && key.second < query.at("from");
        if (key.first == query.at("table") && !stored.removed && !is_before)
            rows.push_back(describe(key, stored));
    }
    return {200,
            {{"rows", std::move(rows)},
             {"has_more", false},
             {"record_version", m_version},
             {"now_ms", now_ms()}}};
}

row_store::answer
row_store::feed(const std::map<std::string, std::string>& query)
{
    const auto after = std::stoull(query.at("after"));
    const auto end_ms = now_ms() + std::stoll(query.at("wait_ms"));
    std::unique_lock lock(m_mutex);
    while (true)
    {
        std::vector<std::pair<std::uint64_t, json::object>> changes;
        for (const auto& [key, stored] : m_rows)
            if (key.first == query.at("table") && stored.version > after)
                changes.emplace_back(stored.version, describe(key, stored));
        std::sort(
            changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
        const auto left = end_ms - now_ms();
        if (!changes.empty() || left <= 0)
        {
            json::array rows;
            for (auto& change : changes)
                rows.push_back(std::move(change.second));
            return {200,
                    {{"rows", std::move(rows)},
                     {"record_version", m_version},
                     {"now_ms", now_ms()}}};
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }
}

} // namespace review
